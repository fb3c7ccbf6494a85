#include "waxwingfront/fleet/fleet_leader.h"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "waxwingfront/fleet/decision_log.h"
#include "waxwingfront/fleet/executor_registry.h"
#include "waxwingfront/fleet/fleet_loader.h"
#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::fleet {
struct fleet_leader::internal : std::enable_shared_from_this<internal> {
  internal(net::event_loop& event_loop, const store_services& services,
           const executor_services& executors, std::int64_t leader_token,
           core::monotonic_time claim_time, fleet_leader_options chosen,
           fleet_leader_hooks callbacks, logging::event_log& events)
      : loop(event_loop),
        store(services),
        token(leader_token),
        claimed(claim_time),
        options(chosen),
        hooks(std::move(callbacks)),
        log(events),
        decisions(events),
        core(chosen.core),
        pacer(chosen.writes),
        driver(
            event_loop, executors, core, leader_token, chosen.driver,
            {.may_order =
                 [this] { return hooks.may_order() && recorder.Valid(); },
             .on_fenced = [this] { Depose("an executor refused the token"); },
             .on_progress =
                 [this] {
                   SendOrders();
                   ScheduleRound();
                 },
             .now = hooks.now,
             .on_stage = hooks.on_stage},
            events),
        advice(executors, core, chosen.advice,
               {.on_progress = [this] { ScheduleRound(); }, .now = hooks.now},
               events),
        loader(event_loop, services, core, chosen.retry,
               {.now = hooks.now, .on_loaded = [this] { LoadLeases(); }},
               events),
        recorder(
            event_loop, services, core, leader_token, chosen.leases,
            {.may_order = hooks.may_order,
             .now = hooks.now,
             .first_seen = hooks.leases_first_seen,
             .suspended = hooks.suspended,
             .on_deposed = [this](std::string_view reason) { Depose(reason); }},
            events),
        registry(event_loop, services, core, chosen.registry,
                 {.now = hooks.now,
                  .on_listed = [this] { OnListed(); },
                  .on_change =
                      [this] {
                        driver.HoldAll();
                        ScheduleRound();
                      }},
                 events) {
    core.MeasureProcessor(hooks.processor);
    core.Runs().on_run_ended = [this](const task_state& task,
                                      run_outcome outcome, moment at) {
      decisions.RunEnded(task, outcome);
      if (hooks.work != nullptr) hooks.work->RunEnded(task, at.now);
    };
    core.Runs().Restarts().on_stage = hooks.on_stage;
    core.Runs().on_job_begun = [this](const job_state& job) {
      decisions.JobBegun(job);
    };
    core.Runs().on_job_final = [this](const job_state& job) {
      decisions.JobFinal(job);
      if (hooks.work != nullptr) hooks.work->JobFinal(job, hooks.now().now);
    };
    core.on_placed = [this](const task_state& task, moment) {
      decisions.Placed(task, core.Manifest().version);
      placed_on.insert(task.executor);
    };
    core.on_start_delayed = [this](const start_order& order, moment at) {
      decisions.StartDelayed(order, at);
    };
    core.on_waiting = [this](const task_state& task,
                             const placement_rejections& rejections,
                             moment at) {
      decisions.Waiting(task, rejections, at);
      if (!decisions.RoomDue(task, at)) return;
      decisions.Room(task, core.GapsFor(task, at.now), at);
    };
    core.on_reserve_changed = [this](const reserve_summary& summary) {
      decisions.ReserveChanged(summary);
    };
    core.Advice().on_void = [this](const advice_request& request, moment) {
      decisions.PermitsVoid(request);
    };
    core.Rebalancer().on_move = [this](const task_state& task, moment at) {
      decisions.Moved(task, *core.FindExecutor(task.executor),
                      core.Runs().Stops(), at);
    };
  }

  void Depose(std::string_view reason) {
    if (closed || deposed) return;
    deposed = true;
    loop.Post([self = shared_from_this(), text = std::string(reason)] {
      if (!self->closed) self->hooks.on_deposed(text);
    });
  }

  void LoadLeases() {
    recorder.Load([this](std::optional<lease_lapses> recorded) {
      earlier_leases = std::move(recorded);
      registry.Start();
    });
  }

  void OnListed() {
    if (!loaded) {
      loaded = true;
      core.FinishRestore({.now = claimed, .unix_ms = 0}, earlier_leases);
      log.Write(
          "leader_ready",
          {{"token", token},
           {"executors", static_cast<std::int64_t>(core.Executors().size())}});
      if (hooks.on_ready) hooks.on_ready();
      Tick();
      StoreSharing();
      if (hooks.work != nullptr) ReportWork();
    }
    driver.HoldAll();
  }

  void StoreSharing() {
    Later(options.sharing_period, [this] { StoreSharing(); });
    if (!hooks.may_order() || !loader.SharingRead()) return;
    const processor_scope writing(hooks.processor,
                                  processor_stage::kStoreWrite);
    store_write write;
    write.expect.push_back({.key = std::string(kLeaderKey), .revision = token});
    write.put.push_back({.key = std::string(kSharingKey),
                         .value = core.SharingRecord().SerializeAsString(),
                         .lease = 0});
    store.write(write, [](const store_write_reply&) {});
  }

  void ReportWork() {
    const processor_scope scope(hooks.processor, processor_stage::kTick);
    hooks.work->Report(core.ShortWork(hooks.now().now));
    Later(options.work_period, [this] { ReportWork(); });
  }

  void Tick() {
    const processor_scope scope(hooks.processor, processor_stage::kTick);
    core.Tick(hooks.now());
    LogWithheld();
    recorder.Update();
    driver.HoldAll();
    ScheduleRound();
    Later(options.tick, [this] { Tick(); });
  }

  void LogWithheld() {
    const std::size_t jobs = core.JobsWithoutMemory();
    if (std::exchange(withheld, jobs) == jobs) return;
    log.Write("occurrences_without_memory",
              {{"jobs", static_cast<std::int64_t>(jobs)}});
  }

  // Changes that arrive before the next round share it.
  void ScheduleRound() {
    if (!loaded || round_scheduled) return;
    round_scheduled = true;
    const auto pause =
        std::chrono::ceil<core::milliseconds>(next_plan - core::Now());
    Later(std::max(pause, core::milliseconds(0)), [this] {
      round_scheduled = false;
      next_plan = core::Now() + options.plan_interval;
      PlanAndSend();
    });
  }

  void PlanAndSend() {
    const processor_scope round(hooks.processor, processor_stage::kRound);
    if (hooks.may_order()) {
      const core::monotonic_time began = core::Now();
      const auto out_of_time = [until = began + options.plan_budget] {
        return core::Now() >= until;
      };
      if (!core.Plan(hooks.now(), out_of_time)) ScheduleRound();
      Measure(load_stage::kPlanning, began);
      // While the placements are stored, executors that were not held recently
      // show whether they are the same as before.
      for (const std::string& id : std::exchange(placed_on, {})) {
        const executor_state* const executor = core.FindExecutor(id);
        if (executor != nullptr && !executor->HeldRecently(hooks.now().now)) {
          driver.Hold(id);
        }
      }
    }
    SendOrders();
    WriteBatches();
  }

  void SendOrders() {
    bool all_sent = false;
    while (!all_sent) {
      const orders decided = core.TakeOrders(hooks.now());
      const processor_scope sending(
          decided.starts.empty() ? nullptr : hooks.processor,
          processor_stage::kStarts);
      all_sent = driver.Send(decided);
      advice.Send(decided.advice);
    }
    ScheduleStarts();
  }

  void ScheduleStarts() {
    const auto next = core.NextStarts();
    if (!next || (scheduled_starts && *scheduled_starts <= *next)) return;
    scheduled_starts = next;
    const auto delay =
        std::chrono::ceil<core::milliseconds>(*next - core::Now());
    Later(std::max(delay, core::milliseconds(0)), [this, next] {
      if (scheduled_starts == next) scheduled_starts.reset();
      SendOrders();
    });
  }

  void Measure(load_stage stage, core::monotonic_time since) const {
    if (hooks.on_stage) hooks.on_stage(stage, core::Now() - since);
  }

  void WriteBatches() {
    while (!deposed && hooks.may_order()) {
      const auto start =
          pacer.NextStart(core.Journal().Pending(options.max_records));
      if (!start) return;
      const core::monotonic_time now = core::Now();
      if (*start > now) {
        ScheduleWrite(*start, now);
        return;
      }
      const processor_scope writing(hooks.processor,
                                    processor_stage::kStoreWrite);
      const write_batch batch = core.Journal().NextBatch(options.max_records);
      if (batch.records.empty()) return;
      pacer.Started(now);
      Write(batch);
    }
  }

  // Leaves the write to the scheduled round of planning, which adds changes to
  // it, unless a batch is already full.
  void MaybeWriteBatches() {
    const bool full = core.Journal().Pending(options.max_records).full;
    if (!round_scheduled || full) WriteBatches();
  }

  void ScheduleWrite(core::monotonic_time start, core::monotonic_time now) {
    if (scheduled_write && *scheduled_write <= start) return;
    scheduled_write = start;
    Later(std::chrono::ceil<core::milliseconds>(start - now), [this, start] {
      if (scheduled_write == start) scheduled_write.reset();
      MaybeWriteBatches();
    });
  }

  void Write(const write_batch& batch) {
    store_write write;
    write.expect.push_back({.key = std::string(kLeaderKey), .revision = token});
    for (const record_write& record : batch.records) {
      std::string key = RecordKey(record.kind, record.id);
      write.expect.push_back(
          {.key = key, .revision = record.expected_revision});
      if (record.remove) {
        write.remove.push_back(std::move(key));
      } else {
        write.put.push_back({.key = std::move(key), .value = record.value});
      }
    }
    store.write(write, [self = shared_from_this(), number = batch.number,
                        sent = core::Now()](const store_write_reply& reply) {
      if (self->closed) return;
      self->Measure(load_stage::kStoreWrite, sent);
      self->OnWritten(number, reply);
    });
  }

  void OnWritten(std::uint64_t batch, const store_write_reply& reply) {
    const bool carried_out = reply.status == store_write_status::kApplied ||
                             reply.status == store_write_status::kConflict;
    pacer.Finished(carried_out, core::Now());
    SetStoreLost(!carried_out);
    if (reply.status == store_write_status::kApplied) {
      core.Journal().Stored(batch, reply.revision, hooks.now());
      driver.OnStored();
      SendOrders();
      ScheduleRound();
    } else if (reply.status == store_write_status::kConflict) {
      OnConflict(batch, reply);
    } else {
      core.Journal().Unanswered(batch);
    }
    MaybeWriteBatches();
  }

  void OnConflict(std::uint64_t batch, const store_write_reply& reply) {
    std::vector<record_revision> actual;
    for (const store_item& item : reply.actual) {
      if (item.key == kLeaderKey) {
        if (item.revision != token) {
          core.Journal().Unanswered(batch);
          Depose("the leader key belongs to another process");
          return;
        }
        continue;
      }
      actual.push_back(ToRecordRevision(item.key, item.revision));
    }
    log.Write("write_conflict",
              {{"records", static_cast<std::int64_t>(actual.size())}});
    core.Journal().Conflicted(batch, actual);
  }

  void SetStoreLost(bool lost) {
    if (lost == store_lost) return;
    store_lost = lost;
    log.Write(lost ? "store_lost" : "store_regained", {{"for", "writes"}});
  }

  void Later(core::milliseconds delay, std::function<void()> action) {
    loop.After(delay, [self = shared_from_this(), action = std::move(action)] {
      if (!self->closed) action();
    });
  }

  net::event_loop& loop;
  const store_services& store;
  std::int64_t token;
  core::monotonic_time claimed;
  fleet_leader_options options;
  fleet_leader_hooks hooks;
  logging::event_log& log;
  decision_log decisions;
  fleet_core core;
  write_pacer pacer;
  executor_driver driver;
  advice_driver advice;
  fleet_loader loader;
  lease_recorder recorder;
  executor_registry registry;
  std::optional<lease_lapses> earlier_leases;
  bool loaded = false;
  bool closed = false;
  bool deposed = false;
  // Jobs with an occurrence that waited for memory at the last tick.
  std::size_t withheld = 0;
  bool round_scheduled = false;
  bool store_lost = false;
  std::optional<core::monotonic_time> scheduled_write;
  std::optional<core::monotonic_time> scheduled_starts;
  core::monotonic_time next_plan{};
  // Executors of the tasks that the present round has placed.
  std::set<std::string> placed_on;
};

fleet_leader::fleet_leader(net::event_loop& loop, const store_services& store,
                           const executor_services& executors,
                           std::int64_t token, core::monotonic_time claimed,
                           fleet_leader_options options,
                           fleet_leader_hooks hooks, logging::event_log& log)
    : internal_(std::make_shared<internal>(loop, store, executors, token,
                                           claimed, options, std::move(hooks),
                                           log)) {
  internal_->loader.Start();
}

fleet_leader::~fleet_leader() {
  internal_->closed = true;
  internal_->core.Journal().Abandon();
}

void fleet_leader::SetManifest(const manifest& wanted) {
  internal_->core.SetManifest(wanted);
  ScheduleRound();
}

bool fleet_leader::Loaded() const { return internal_->loaded; }

fleet_core& fleet_leader::Core() { return internal_->core; }

load_levels fleet_leader::Levels() const { return internal_->core.Levels(); }

void fleet_leader::ScheduleRound() { internal_->ScheduleRound(); }

}  // namespace waxwingfront::fleet
