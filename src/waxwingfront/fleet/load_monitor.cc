#include "waxwingfront/fleet/load_monitor.h"

#include <algorithm>
#include <ctime>
#include <string_view>
#include <utility>
#include <vector>

#include "waxwingfront/fleet/processor_report.h"

namespace waxwingfront::fleet {
namespace {

using std::chrono::duration_cast;

constexpr std::array<std::string_view, kLoadStages> kStageMetrics = {
    "waxwingfront_loop_lag_seconds",     "waxwingfront_planning_seconds",
    "waxwingfront_store_write_seconds",  "waxwingfront_renewal_seconds",
    "waxwingfront_hold_seconds",         "waxwingfront_start_seconds",
    "waxwingfront_restart_wait_seconds", "waxwingfront_restart_store_seconds",
    "waxwingfront_restart_send_seconds", "waxwingfront_restart_confirm_seconds",
    "waxwingfront_leaderless_seconds"};

std::int64_t Ms(std::chrono::steady_clock::duration time) {
  return duration_cast<core::milliseconds>(time).count();
}

// Returns the processor time that this process has used, in milliseconds.
std::int64_t ProcessorMs() {
  constexpr std::int64_t kClocksPerMs = CLOCKS_PER_SEC / 1000;
  return static_cast<std::int64_t>(std::clock()) / kClocksPerMs;
}

}  // namespace

struct load_monitor::internal : std::enable_shared_from_this<internal> {
  struct stage_totals {
    std::int64_t count = 0;
    std::chrono::steady_clock::duration sum{};
    std::chrono::steady_clock::duration longest{};
  };

  internal(net::event_loop& event_loop, const net::async_http_client& http,
           load_monitor_options chosen, load_monitor_hooks callbacks,
           metrics::registry& metrics, logging::event_log& events)
      : loop(event_loop),
        client(http),
        options(chosen),
        hooks(std::move(callbacks)),
        log(events),
        connections(metrics.Counter("waxwingfront_connections_opened_total")),
        resets(metrics.Counter("waxwingfront_connections_reset_total")),
        expired(metrics.Counter("waxwingfront_calls_expired_total")),
        processor(metrics) {
    for (std::size_t i = 0; i < kLoadStages; ++i) {
      histograms[i] = &metrics.Histogram(kStageMetrics[i]);
    }
  }

  void Observe(load_stage stage, std::chrono::steady_clock::duration took) {
    const auto index = static_cast<std::size_t>(stage);
    stage_totals& total = totals[index];
    ++total.count;
    total.sum += took;
    total.longest = std::max(total.longest, took);
    histograms[index]->Observe(std::chrono::duration<double>(took).count());
  }

  void Probe() {
    const core::monotonic_time due = core::Now() + options.probe_interval;
    loop.After(options.probe_interval, [self = shared_from_this(), due] {
      if (self->closed) return;
      const core::monotonic_time now = core::Now();
      self->Observe(load_stage::kLoopLag, now - due);
      if (now >= self->next_line) {
        self->next_line = now + self->options.report_interval;
        self->Report();
      }
      self->Probe();
    });
  }

  const stage_totals& Total(load_stage stage) const {
    return totals[static_cast<std::size_t>(stage)];
  }

  void Report() {
    const net::client_totals calls = client.Totals();
    const std::int64_t processor_ms = ProcessorMs();
    if (hooks.processor != nullptr) processor.Update(*hooks.processor);
    connections.Add(calls.connections - last_calls.connections);
    resets.Add(calls.resets - last_calls.resets);
    expired.Add(calls.expired - last_calls.expired);
    if (hooks.leading()) Write(calls, processor_ms);
    totals = {};
    last_calls = calls;
    last_processor_ms = processor_ms;
  }

  void Write(const net::client_totals& calls, std::int64_t processor_ms) {
    constexpr std::uint64_t kBytesPerKb = 1000;
    const load_levels levels = hooks.levels();
    const auto number = [](auto value) {
      return static_cast<std::int64_t>(value);
    };
    const auto kb = [](std::uint64_t now, std::uint64_t before) {
      return static_cast<std::int64_t>((now - before) / kBytesPerKb);
    };
    std::vector<logging::event_field> fields = {
        {"lag_ms", Ms(Total(load_stage::kLoopLag).longest)},
        {"processor_ms", processor_ms - last_processor_ms},
        {"plans", Total(load_stage::kPlanning).count},
        {"planning_ms", Ms(Total(load_stage::kPlanning).sum)},
        {"planning_longest_ms", Ms(Total(load_stage::kPlanning).longest)},
        {"writes", Total(load_stage::kStoreWrite).count},
        {"write_longest_ms", Ms(Total(load_stage::kStoreWrite).longest)},
        {"renewal_longest_ms", Ms(Total(load_stage::kRenewal).longest)},
        {"holds", Total(load_stage::kHold).count},
        {"hold_longest_ms", Ms(Total(load_stage::kHold).longest)},
        {"starts", Total(load_stage::kStart).count},
        {"start_longest_ms", Ms(Total(load_stage::kStart).longest)},
        {"starts_waiting", number(levels.starts.waiting)},
        {"starts_behind_others", number(levels.starts.behind_others)},
        {"start_backlog_kb", kb(levels.starts.backlog_bytes, 0)},
        {"starts_in_flight_kb", kb(levels.starts.bytes_in_flight, 0)},
        {"unstored_jobs", number(levels.unpersisted_jobs)},
        {"live_jobs", number(levels.live_jobs)},
        {"executors", number(levels.executors)},
        {"out_of_contact", number(levels.executors_out_of_contact)},
        {"calls_in_flight", number(calls.in_flight)},
        {"calls_failed", number(calls.failed - last_calls.failed)},
        {"calls_waiting", number(calls.waiting)},
        {"calls_expired", number(calls.expired - last_calls.expired)},
        {"connections", number(calls.connections - last_calls.connections)},
        {"connections_idle", number(calls.idle)},
        {"connection_resets", number(calls.resets - last_calls.resets)},
        {"sent_kb", kb(calls.sent_bytes, last_calls.sent_bytes)},
        {"received_kb", kb(calls.received_bytes, last_calls.received_bytes)}};
    if (hooks.processor != nullptr) processor.AddTo(fields);
    log.Write("load", fields);
  }

  net::event_loop& loop;
  const net::async_http_client& client;
  load_monitor_options options;
  load_monitor_hooks hooks;
  logging::event_log& log;
  metrics::counter& connections;
  metrics::counter& resets;
  metrics::counter& expired;
  processor_report processor;
  std::array<metrics::histogram*, kLoadStages> histograms{};
  std::array<stage_totals, kLoadStages> totals{};
  net::client_totals last_calls;
  std::int64_t last_processor_ms = 0;
  core::monotonic_time next_line{};
  bool closed = false;
};

load_monitor::load_monitor(net::event_loop& loop,
                           const net::async_http_client& client,
                           load_monitor_options options,
                           load_monitor_hooks hooks, metrics::registry& metrics,
                           logging::event_log& log)
    : internal_(std::make_shared<internal>(loop, client, options,
                                           std::move(hooks), metrics, log)) {}

load_monitor::~load_monitor() { internal_->closed = true; }

void load_monitor::Start() { internal_->Probe(); }

void load_monitor::Observe(load_stage stage,
                           std::chrono::steady_clock::duration took) {
  internal_->Observe(stage, took);
}

}  // namespace waxwingfront::fleet
