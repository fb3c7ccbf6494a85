#include "support/slow_leader.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kToken = 1;
constexpr std::int64_t kBornMs = 1;
constexpr std::int64_t kMemoryMib = 1'000'000;
constexpr std::size_t kMaxRecords = 15;
// Time of a message on the way, and of a store transaction.
constexpr std::int64_t kMessageUs = 5'000;
constexpr std::int64_t kStoreUs = 10'000;
constexpr std::int64_t kTickUs = 100'000;
constexpr std::int64_t kMaxHoldWaitUs = 1'000'000;
// Time from an executor's draining to the end of its tasks.
constexpr std::int64_t kDrainUs = 100'000;

std::int64_t MicrosOf(core::milliseconds time) { return time.count() * 1000; }

}  // namespace

slow_leader::slow_leader(slow_leader_options options)
    : options_(std::move(options)), core_({}) {
  core_.SetManifest(ManifestOf(options_.queues));
  core_.FinishRestore(Moment(0));
  core_.on_placed = [this](const fleet::task_state& task, fleet::moment) {
    ++placements_;
    placed_on_.insert(task.executor);
    ChargePlanning();
    if (on_placed) on_placed(task, leader_us_ / kMicros);
  };
  for (int i = 0; i < options_.executors; ++i) {
    const std::string id = "e" + std::to_string(i);
    machines_.emplace(id, machine{.executor = fake_executor(id, kBornMs)});
    core_.SetExecutor({.id = id,
                       .born_ms = kBornMs,
                       .address = id,
                       .service = "s",
                       .capacity = {.processor_milli = options_.executor_millis,
                                    .memory_mib = kMemoryMib}});
  }
  Schedule(0, true, [this] { Tick(); });
}

fleet::moment slow_leader::Moment(std::int64_t us) const {
  fleet::moment result = At(us / kMicros);
  result.now += std::chrono::microseconds(us % kMicros);
  return result;
}

void slow_leader::Schedule(std::int64_t due_us, bool for_leader,
                           std::function<void()> act) {
  events_.push({.due_us = due_us,
                .order = ++event_order_,
                .for_leader = for_leader,
                .act = std::move(act)});
}

void slow_leader::RunUntil(std::int64_t ms) {
  const std::int64_t until_us = ms * kMicros;
  while (!events_.empty() && events_.top().due_us <= until_us) {
    event next = events_.top();
    events_.pop();
    now_us_ = next.due_us;
    if (next.for_leader) {
      inbox_.push_back(std::move(next.act));
    } else {
      next.act();
    }
    HandleInbox();
  }
  now_us_ = until_us;
}

void slow_leader::HandleInbox() {
  while (!inbox_.empty() && now_us_ >= busy_until_us_) {
    const std::function<void()> act = std::move(inbox_.front());
    inbox_.pop_front();
    leader_us_ = now_us_;
    act();
    busy_until_us_ = leader_us_;
    counts_.busy_us += leader_us_ - now_us_;
    // Continues with the next one then.
    if (leader_us_ > now_us_) Schedule(leader_us_, false, [] {});
  }
}

void slow_leader::ChargePlanning() {
  const auto since = [](auto now, auto& charged) {
    return static_cast<std::int64_t>(now - std::exchange(charged, now));
  };
  Charge(costs_.examined_job * since(core_.ExaminedJobs(), charged_examined_) +
         costs_.evaluation * since(core_.Evaluations(), charged_evaluations_) +
         costs_.placement * since(placements_, charged_placements_));
}

void slow_leader::Tick() {
  Charge(costs_.tick);
  core_.Tick(LeaderTime());
  RecordLeases(core_, LeaderTime().now);
  for (auto& [id, target] : machines_) Pump(target);
  ScheduleRound();
  Schedule(leader_us_ + kTickUs, true, [this] { Tick(); });
}

void slow_leader::Submit(schema::fleet_job job, std::int64_t at_ms) {
  if (!job.steps(0).long_running()) {
    run_ms_[job.id()] = job.steps(0).estimated_ms();
  }
  Schedule(at_ms * kMicros, true,
           [this, sent = std::move(job)] { Accept(sent); });
}

void slow_leader::Accept(const schema::fleet_job& job) {
  Charge(costs_.submission);
  const fleet::moment at = LeaderTime();
  if (core_.MissingRoom(job) || core_.AdmitStarts(job, at) ||
      core_.AdmitWork(job, at)) {
    ++counts_.refused_jobs;
    if (on_refused) on_refused(job.id(), leader_us_ / kMicros);
    return;
  }
  core_.Submit(job, at);
  core_.OnceStored(job.id(), [](bool) {});
  ScheduleRound();
}

void slow_leader::ScheduleRound() {
  if (std::exchange(round_scheduled_, true)) return;
  Schedule(std::max(leader_us_, next_plan_us_), true, [this] {
    round_scheduled_ = false;
    next_plan_us_ = leader_us_ + MicrosOf(options_.plan_interval);
    PlanAndSend();
  });
}

void slow_leader::PlanAndSend() {
  const std::int64_t began_us = leader_us_;
  Charge(costs_.round + costs_.round_executor * static_cast<std::int64_t>(
                                                    core_.Levels().executors));
  const std::int64_t until_us = began_us + MicrosOf(options_.plan_budget);
  const bool all = core_.Plan(Moment(began_us), [this, until_us] {
    ChargePlanning();
    return leader_us_ >= until_us;
  });
  ChargePlanning();
  if (!all) ScheduleRound();
  ++counts_.rounds;
  counts_.planning_us += leader_us_ - began_us;
  for (const std::string& id : std::exchange(placed_on_, {})) {
    const fleet::executor_state* const executor = core_.FindExecutor(id);
    if (executor != nullptr && !executor->HeldRecently(LeaderTime().now)) {
      Pump(Machine(id));
    }
  }
  SendOrders();
  WriteBatches();
}

void slow_leader::SendOrders() {
  bool all_sent = false;
  while (!all_sent) {
    all_sent = true;
    const fleet::orders decided = core_.TakeOrders(LeaderTime());
    for (const fleet::stop_order& order : decided.stops) SendStop(order);
    for (const fleet::start_order& order : decided.starts) {
      all_sent = SendStart(order) && all_sent;
    }
  }
}

bool slow_leader::SendStart(const fleet::start_order& order) {
  const fleet::moment at = LeaderTime();
  const auto deadline_ms = core_.Deadlines().ForStart(order, at.now);
  if (!deadline_ms) {
    core_.OnStartResponse(order, fleet::start_outcome::kNotSent, at);
    return false;
  }
  Charge(costs_.order);
  ++counts_.starts;
  machine& target = Machine(order.executor);
  Schedule(leader_us_ + kMessageUs, false,
           [this, &target, order, deadline = *deadline_ms] {
             ReceiveStart(target, order, deadline);
           });
  Pump(target);
  return true;
}

void slow_leader::SendStop(const fleet::stop_order& order) {
  Charge(costs_.order);
  Schedule(leader_us_ + kMessageUs, false, [this, order] {
    machine& at = Machine(order.executor);
    at.executor.Stop(order, kToken, now_us_ / kMicros);
    Schedule(now_us_ + kMessageUs, true, [this, order] {
      Charge(costs_.order_response);
      core_.Runs().OnStopResponse(order, true, LeaderTime());
      Pump(Machine(order.executor));
    });
  });
}

void slow_leader::WriteBatches() {
  for (;;) {
    const auto start = pacer_.NextStart(core_.Journal().Pending(kMaxRecords));
    if (!start) return;
    if (*start > LeaderTime().now) {
      if (std::exchange(write_scheduled_, true)) return;
      const auto delay = std::chrono::ceil<std::chrono::microseconds>(
          *start - LeaderTime().now);
      Schedule(leader_us_ + delay.count(), true, [this] {
        write_scheduled_ = false;
        WriteBatches();
      });
      return;
    }
    const fleet::write_batch batch = core_.Journal().NextBatch(kMaxRecords);
    if (batch.records.empty()) return;
    Charge(costs_.batch +
           costs_.record * static_cast<std::int64_t>(batch.records.size()));
    pacer_.Started(LeaderTime().now);
    Schedule(leader_us_ + kStoreUs, true, [this, number = batch.number] {
      pacer_.Finished(true, LeaderTime().now);
      core_.Journal().Stored(number, ++store_revision_, LeaderTime());
      SendOrders();
      ScheduleRound();
      WriteBatches();
    });
  }
}

void slow_leader::Pump(machine& target) {
  const std::string& id = target.executor.Id();
  if (target.in_flight || target.scheduled || !core_.NeedsHold(id)) return;
  if (leader_us_ >= target.not_before_us) {
    SendHold(target);
    return;
  }
  target.scheduled = true;
  Schedule(target.not_before_us, true, [this, &target] {
    const std::int64_t late_us = leader_us_ - target.not_before_us;
    pace_.RecordLateness(core::milliseconds(late_us / kMicros));
    target.scheduled = false;
    Pump(target);
  });
}

void slow_leader::SendHold(machine& target) {
  fleet::executor_state& executor = *core_.FindExecutor(target.executor.Id());
  const core::monotonic_time now = LeaderTime().now;
  hold_request hold{.sent_us = leader_us_,
                    .acknowledged = executor.ForgettableEnd(now)};
  if (const auto deadline_ms = core_.Deadlines().ForHold(executor, now)) {
    hold.deadline_ms = *deadline_ms;
    if (executor.processed <= executor.acknowledged &&
        !executor.active.empty()) {
      hold.wait_us = executor.OnlyLongRunning() ? kMaxHoldWaitUs
                                                : MicrosOf(pace_.BusyWait());
    }
  }
  target.in_flight = true;
  Schedule(leader_us_ + kMessageUs, false,
           [this, &target, hold] { ReceiveHold(target, hold); });
}

void slow_leader::OnReport(machine& from, const hold_request& hold,
                           const fleet::hold_report& report) {
  const std::int64_t late_us = leader_us_ - hold.sent_us - hold.wait_us;
  if (late_us >= 0) pace_.RecordLateness(core::milliseconds(late_us / kMicros));
  Charge(costs_.report +
         costs_.report_row * static_cast<std::int64_t>(report.running.size()));
  const std::string& id = from.executor.Id();
  from.in_flight = false;
  const fleet::moment at = LeaderTime();
  core_.OnHold(id, report, Moment(hold.sent_us).now, at);
  from.not_before_us = leader_us_ + MicrosOf(pace_.Pause());
  SendOrders();
  ScheduleRound();
  Pump(from);
}

void slow_leader::ReceiveHold(machine& at, const hold_request& hold) {
  fleet::hold_report unused;
  at.executor.Hold(kToken, hold.acknowledged, hold.deadline_ms,
                   now_us_ / kMicros, unused);
  at.hold = hold;
  at.waits = true;
  const std::uint64_t number = ++at.hold_number;
  if (hold.wait_us == 0 || !at.executor.Ended().empty()) {
    Respond(at);
    return;
  }
  Schedule(now_us_ + hold.wait_us, false, [this, &at, number] {
    if (at.waits && at.hold_number == number) Respond(at);
  });
}

void slow_leader::Respond(machine& from) {
  from.waits = false;
  fleet::hold_report report;
  from.executor.Hold(kToken, from.hold.acknowledged, from.hold.deadline_ms,
                     now_us_ / kMicros, report);
  Schedule(now_us_ + kMessageUs, true,
           [this, &from, hold = from.hold, report = std::move(report)] {
             OnReport(from, hold, report);
           });
}

void slow_leader::ReceiveStart(machine& at, const fleet::start_order& order,
                               std::int64_t deadline_ms) {
  const std::int64_t now_ms = now_us_ / kMicros;
  const fleet::start_outcome outcome =
      at.leaving ? fleet::start_outcome::kUnhealthy
                 : at.executor.Start(order, kToken, deadline_ms, now_ms);
  Schedule(now_us_ + kMessageUs, true, [this, order, outcome] {
    Charge(costs_.order_response);
    core_.OnStartResponse(order, outcome, LeaderTime());
    SendOrders();
    ScheduleRound();
  });
  if (outcome != fleet::start_outcome::kAccepted) return;
  if (on_begun) on_begun(order.task, now_ms);
  const auto run = run_ms_.find(order.task.job);
  if (run == run_ms_.end()) return;
  Schedule(now_us_ + run->second * kMicros, false,
           [this, &at, order] { End(at, order.task, fleet::run_end::kDone); });
}

void slow_leader::End(machine& at, const fleet::task_ref& task,
                      fleet::run_end how) {
  at.executor.End(task, how);
  if (at.waits) Respond(at);
}

void slow_leader::Leave(int executor, std::int64_t at_ms) {
  machine& at = Machine("e" + std::to_string(executor));
  const std::int64_t at_us = at_ms * kMicros;
  Schedule(at_us, true, [this, &at] {
    fleet::executor_info info = core_.FindExecutor(at.executor.Id())->info;
    info.draining = true;
    core_.SetExecutor(std::move(info));
    ScheduleRound();
  });
  Schedule(at_us, false, [&at] { at.leaving = true; });
  Schedule(at_us + kDrainUs, false, [this, &at] {
    const auto running = at.executor.Running();
    for (const auto& [task, run] : running) {
      at.executor.End(task, fleet::run_end::kFailed);
      if (on_failed && !run_ms_.contains(task.job)) {
        on_failed(task, now_us_ / kMicros);
      }
    }
    if (at.waits) Respond(at);
  });
}

}  // namespace waxwingfront::tests
