#include "waxwingfront/fleet/load_monitor.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "support/loop_runner.h"
#include "waxwingfront/core/clock.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

struct monitored_process {
  net::event_loop loop;
  net::async_http_client client{loop, {}};
  metrics::registry metrics;
  logging::event_log log{{.descriptor = -1}};
  int lines = 0;
  bool leading = true;
  fleet::load_monitor monitor{
      loop,
      client,
      {.probe_interval = milliseconds(5), .report_interval = milliseconds(20)},
      {.levels =
           [this] {
             ++lines;
             return fleet::load_levels{};
           },
       .leading = [this] { return leading; }},
      metrics,
      log};
};

TEST_CASE("a blocked event loop shows in the lag metric", "[fleet]") {
  monitored_process process;
  process.monitor.Start();
  const auto& lag = process.metrics.Histogram("waxwingfront_loop_lag_seconds");
  process.loop.After(milliseconds(20),
                     [] { std::this_thread::sleep_for(milliseconds(120)); });
  REQUIRE(
      RunUntil(process.loop, [&lag] { return lag.Totals().maximum >= 0.1; }));
}

TEST_CASE("only a leader logs its load", "[fleet]") {
  monitored_process process;
  process.leading = false;
  process.monitor.Start();
  RunFor(process.loop, milliseconds(100));
  CHECK(process.lines == 0);
  process.leading = true;
  CHECK(RunUntil(process.loop, [&process] { return process.lines > 0; }));
}

TEST_CASE("stage durations are exported as metrics", "[fleet]") {
  monitored_process process;
  process.monitor.Observe(fleet::load_stage::kStoreWrite, milliseconds(40));
  const auto totals =
      process.metrics.Histogram("waxwingfront_store_write_seconds").Totals();
  CHECK(totals.count == 1);
  CHECK(totals.maximum == Approx(0.04));
}

TEST_CASE("each stage of a restart has a metric", "[fleet]") {
  monitored_process process;
  process.monitor.Observe(fleet::load_stage::kRestartSend, milliseconds(700));
  const std::string text = process.metrics.Text();
  for (const char* const stage : {"wait", "store", "send", "confirm"}) {
    CHECK(text.find("waxwingfront_restart_" + std::string(stage) +
                    "_seconds") != std::string::npos);
  }
  const auto sent =
      process.metrics.Histogram("waxwingfront_restart_send_seconds").Totals();
  CHECK(sent.maximum == Approx(0.7));
}

}  // namespace
}  // namespace waxwingfront::tests
