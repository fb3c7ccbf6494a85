#include "waxwingfront/fleet/executor_driver.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "waxwingfront/fleet/start_log.h"

namespace waxwingfront::fleet {

struct executor_driver::internal : std::enable_shared_from_this<internal> {
  struct hold_slot {
    bool in_flight = false;
    core::monotonic_time not_before{};
    // A timer for the next hold is pending.
    bool scheduled = false;
    // When the newest hold that got a response was sent.
    core::monotonic_time last_responded_sent{};
    // The hold in flight counts against the limit of `first_holds`.
    bool is_first_hold = false;
    // The last hold failed.
    bool failed = false;
    // The executor reported ends that are not stored yet: the next hold waits
    // for the store, or until `not_before`.
    bool awaits_store = false;
    core::monotonic_time pause_end{};
  };

  // Address, task and run.
  using stop_call = std::tuple<std::string, task_ref, std::uint32_t>;

  internal(net::event_loop& event_loop, const executor_services& services,
           fleet_core& fleet, std::int64_t fencing_token,
           executor_driver_options chosen, executor_driver_hooks callbacks,
           logging::event_log& events)
      : loop(event_loop),
        executors(services),
        core(fleet),
        token(fencing_token),
        options(chosen),
        hooks(std::move(callbacks)),
        log(events),
        first_holds(chosen.max_first_holds),
        pace(chosen.pace) {}

  // Sends a hold to the executor now if one is due, else as soon as it is.
  void Pump(const std::string& id) {
    HoldIfDue(id);
    SendFirstHolds();
  }

  void HoldIfDue(const std::string& id) {
    const executor_state* const executor = core.FindExecutor(id);
    if (executor != nullptr && executor->NeedsHold()) {
      HoldIfDue(id, *executor);
    }
  }

  void HoldIfDue(const std::string& id, const executor_state& executor) {
    hold_slot& slot = slots[id];
    if (slot.in_flight || slot.scheduled) return;
    const core::monotonic_time now = core::Now();
    if (now < slot.not_before) {
      // `OnStored` and the leader's ticks handle executors that wait for the
      // store.
      if (!slot.awaits_store) Schedule(id, slot, now);
      return;
    }
    slot.awaits_store = false;
    if (!hooks.may_order()) {
      slot.not_before = now + options.retry;
      Schedule(id, slot, now);
      return;
    }
    if (OnlyAwaitsStore(executor)) return;
    if (executor.reached && executor.in_contact) {
      Hold(id, slot, now);
    } else {
      first_holds.Add(id, UrgencyOf(executor, slot));
    }
  }

  static hold_urgency UrgencyOf(const executor_state& executor,
                                const hold_slot& slot) {
    const bool has_runs = !executor.active.empty();
    if (slot.failed) {
      const bool single_failure =
          executor.reached && executor.unanswered_holds == 1;
      return has_runs && single_failure ? hold_urgency::kSingleFailure
                                        : hold_urgency::kRetry;
    }
    return has_runs ? hold_urgency::kFirstWithRuns : hold_urgency::kFirstIdle;
  }

  void Schedule(const std::string& id, hold_slot& slot,
                core::monotonic_time now) {
    slot.scheduled = true;
    const auto delay =
        std::chrono::ceil<core::milliseconds>(slot.not_before - now);
    loop.After(delay, [self = shared_from_this(), id, due = now + delay] {
      if (self->closed) return;
      const core::monotonic_time now = core::Now();
      const auto late =
          std::chrono::duration_cast<core::milliseconds>(now - due);
      self->pace.RecordLateness(late);
      self->core.RecordLateness(late, now);
      self->slots[id].scheduled = false;
      self->Pump(id);
    });
  }

  // True if the executor runs nothing and only waits for its ends to be stored:
  // a hold would return the same ends again.
  static bool OnlyAwaitsStore(const executor_state& executor) {
    return executor.reached && executor.in_contact &&
           !executor.restart_expected && executor.active.empty();
  }

  void SendFirstHolds() {
    while (const std::optional<std::string> id = first_holds.TakeNext()) {
      const auto slot = slots.find(*id);
      if (slot == slots.end() || slot->second.in_flight ||
          !core.NeedsHold(*id) || !hooks.may_order()) {
        first_holds.Release();
        continue;
      }
      slot->second.is_first_hold = true;
      Hold(*id, slot->second, core::Now());
    }
  }

  void Hold(const std::string& id, hold_slot& slot, core::monotonic_time now) {
    executor_state& executor = *core.FindExecutor(id);
    hold_request request{.address = executor.info.address,
                         .executor = id,
                         .token = token,
                         .acknowledged = executor.ForgettableEnd(now)};
    if (const auto deadline_ms = core.Deadlines().ForHold(executor, now)) {
      request.deadline_ms = *deadline_ms;
      // An end that is not stored yet would make the executor respond at once.
      const bool has_unstored_ends = executor.processed > executor.acknowledged;
      if (!has_unstored_ends && !executor.active.empty()) {
        request.wait = executor.OnlyLongRunning() ? options.max_hold_wait
                                                  : pace.BusyWait();
      }
    }
    slot.in_flight = true;
    executors.hold(request, [self = shared_from_this(), id, now,
                             wait = request.wait, address = request.address,
                             responded = std::make_shared<bool>(false)](
                                const core::result<hold_report>& report) {
      if (self->closed) return;
      if (std::exchange(*responded, true)) {
        self->OnLateHold(id, now, report);
        return;
      }
      self->MeasureLateness(now, wait, report.has_value());
      if (wait.count() == 0) self->ReportStage(load_stage::kHold, now);
      self->OnHold(id, {.address = address, .sent = now}, report);
    });
  }

  void OnHold(const std::string& id, const hold_origin& hold,
              const core::result<hold_report>& report) {
    hold_slot& slot = slots[id];
    slot.in_flight = false;
    slot.failed = !report;
    if (std::exchange(slot.is_first_hold, false)) first_holds.Release();
    const moment at = hooks.now();
    const executor_state* const executor = core.FindExecutor(id);
    if (executor == nullptr) {
      slots.erase(id);
      SendFirstHolds();
      return;
    }
    if (!report) {
      if (report.error().code == core::error_code::kDeposed) {
        hooks.on_fenced();
        return;
      }
      if (executor->in_contact) {
        log.Write("executor_lost",
                  {{"executor", id}, {"cause", report.error().detail}},
                  logging::line_priority::kUrgent);
      }
      if (report.error().code == core::error_code::kOtherIncarnation) {
        core.Runs().OnOtherIncarnation(id, hold, at);
      } else {
        core.Runs().OnHoldFailed(id, at);
      }
      slot.not_before = at.now + options.retry;
    } else {
      ProcessReport(*executor, slot, hold.sent, *report, at);
      slot.pause_end = at.now + pace.Pause();
      slot.not_before = slot.pause_end;
      if (executor->processed > executor->acknowledged) {
        slot.awaits_store = true;
        slot.not_before = at.now + pace.BusyWait();
        awaiting_store.insert(id);
      }
    }
    hooks.on_progress();
    if (!closed) Pump(id);
  }

  void ProcessReport(const executor_state& executor, hold_slot& slot,
                     core::monotonic_time sent, const hold_report& report,
                     moment at) {
    const bool regained = !executor.in_contact;
    slot.last_responded_sent = sent;
    core.OnHold(executor.info.id, report, sent, at);
    if (!regained) return;
    log.Write("executor_reached",
              {{"executor", executor.info.id},
               {"born_ms", report.born_ms},
               {"running", static_cast<std::int64_t>(report.running.size())}},
              logging::line_priority::kUrgent);
  }

  // Handles the response to a hold that has already counted as failed. It is
  // ignored if a newer hold got a response or if it comes from another
  // incarnation, because the present state is then known from another hold.
  void OnLateHold(const std::string& id, core::monotonic_time sent,
                  const core::result<hold_report>& report) {
    if (!report) {
      if (report.error().code == core::error_code::kDeposed) hooks.on_fenced();
      return;
    }
    const executor_state* const executor = core.FindExecutor(id);
    const auto slot = slots.find(id);
    if (executor == nullptr || slot == slots.end() ||
        sent <= slot->second.last_responded_sent ||
        (executor->reached && executor->info.born_ms != report->born_ms)) {
      return;
    }
    ProcessReport(*executor, slot->second, sent, *report, hooks.now());
    hooks.on_progress();
    if (!closed) Pump(id);
  }

  void MeasureLateness(core::monotonic_time sent, core::milliseconds wait,
                       bool has_response) {
    const auto taken =
        std::chrono::duration_cast<core::milliseconds>(core::Now() - sent);
    // The executor responds before the wait is over if a run ends.
    if (!has_response || taken < wait) return;
    pace.RecordLateness(taken - wait);
    core.Runs().Stops().RecordRoundTrip(taken - wait);
  }

  void ReportStage(load_stage stage, core::monotonic_time since) const {
    if (hooks.on_stage) hooks.on_stage(stage, core::Now() - since);
  }

  // Returns false if the start is held back.
  bool SendStart(const start_order& order) {
    executor_state* const executor = core.FindExecutor(order.executor);
    const moment at = hooks.now();
    const auto deadline_ms = core.Deadlines().ForStart(order, at.now);
    core.Runs().Restarts().OnSendDecided(order, at.now);
    if (!deadline_ms || !hooks.may_order()) {
      LogHeldBack(log, order, start_outcome::kNotSent, at.now);
      core.OnStartResponse(order, start_outcome::kNotSent, at);
      return false;
    }
    start_order call = order;
    call.may_send = [self = shared_from_this(),
                     current = start_order{.executor = order.executor,
                                           .task = order.task,
                                           .run = order.run}] {
      return !self->closed && self->hooks.may_order() &&
             self->core.Deadlines().MayStart(current, self->hooks.now().now);
    };
    executors.start(executor->info.address, call, token, *deadline_ms,
                    [self = shared_from_this(), order,
                     sent = at.now](start_outcome outcome) {
                      if (self->closed) return;
                      self->ReportStage(load_stage::kStart, sent);
                      self->OnStart(order, outcome, sent);
                    });
    Pump(order.executor);
    return true;
  }

  void OnStart(const start_order& order, start_outcome outcome,
               core::monotonic_time sent) {
    const moment at = hooks.now();
    if (outcome != start_outcome::kAccepted) {
      LogNotConfirmed(log, order, outcome, sent, at.now);
    }
    core.OnStartResponse(order, outcome, at);
    if (outcome == start_outcome::kFenced) return hooks.on_fenced();
    hooks.on_progress();
  }

  void SendStop(const stop_order& order) {
    const executor_state* const executor = core.FindExecutor(order.executor);
    if (executor == nullptr || !hooks.may_order()) return;
    stop_call call{executor->info.address, order.task, order.run};
    if (!stops_in_flight.insert(call).second) return;
    executors.stop(executor->info.address, order, token,
                   [self = shared_from_this(), order,
                    call = std::move(call)](order_status status) {
                     if (self->closed) return;
                     self->stops_in_flight.erase(call);
                     self->core.Runs().OnStopResponse(
                         order, status == order_status::kDone,
                         self->hooks.now());
                     self->Pump(order.executor);
                   });
  }

  void SendPace(const pace_order& order) {
    const executor_state* const executor = core.FindExecutor(order.executor);
    if (executor == nullptr || !hooks.may_order()) return;
    executors.pace(executor->info.address, order, token,
                   [self = shared_from_this(), order](order_status status) {
                     if (self->closed || status == order_status::kDone) return;
                     self->core.Runs().OnPaceFailed(order);
                   });
  }

  net::event_loop& loop;
  const executor_services& executors;
  fleet_core& core;
  std::int64_t token;
  executor_driver_options options;
  executor_driver_hooks hooks;
  logging::event_log& log;
  std::map<std::string, hold_slot> slots;
  first_hold_queue first_holds;
  hold_pace pace;
  std::set<stop_call> stops_in_flight;
  // Executors whose next hold waits for the store.
  std::set<std::string> awaiting_store;
  bool closed = false;
};

executor_driver::executor_driver(net::event_loop& loop,
                                 const executor_services& executors,
                                 fleet_core& core, std::int64_t token,
                                 executor_driver_options options,
                                 executor_driver_hooks hooks,
                                 logging::event_log& log)
    : internal_(std::make_shared<internal>(loop, executors, core, token,
                                           options, std::move(hooks), log)) {}

executor_driver::~executor_driver() { internal_->closed = true; }

void executor_driver::HoldAll() {
  for (const auto& [id, executor] : internal_->core.Executors()) {
    if (executor.NeedsHold()) internal_->HoldIfDue(id, executor);
  }
  internal_->SendFirstHolds();
}

void executor_driver::Hold(const std::string& id) { internal_->Pump(id); }

void executor_driver::OnStored() {
  for (const std::string& id : std::exchange(internal_->awaiting_store, {})) {
    const executor_state* const executor = internal_->core.FindExecutor(id);
    if (executor == nullptr) continue;
    if (executor->processed > executor->acknowledged) {
      internal_->awaiting_store.insert(id);
      continue;
    }
    const auto slot = internal_->slots.find(id);
    if (slot == internal_->slots.end()) continue;
    if (std::exchange(slot->second.awaits_store, false)) {
      slot->second.not_before = slot->second.pause_end;
    }
    internal_->Pump(id);
  }
}

bool executor_driver::Send(const orders& decided) {
  bool all_sent = true;
  for (const stop_order& order : decided.stops) internal_->SendStop(order);
  for (const start_order& order : decided.starts) {
    all_sent = internal_->SendStart(order) && all_sent;
  }
  for (const pace_order& order : decided.paces) internal_->SendPace(order);
  return all_sent;
}

}  // namespace waxwingfront::fleet
