#include "fleet_simulation.h"

#include <algorithm>
#include <array>
#include <iostream>

namespace waxwingfront::fleet {
namespace {

constexpr std::int64_t kStepMs = 5;
constexpr std::int64_t kPlanIntervalMs = 15;
constexpr std::int64_t kTickIntervalMs = 100;
constexpr std::int64_t kLeaseRecordIntervalMs = 500;
// Minimum time between two holds of an executor with unreported ends, with
// ordinary or best-effort runs, and with only long-running runs.
constexpr std::int64_t kEndHoldIntervalMs = 100;
constexpr std::int64_t kBusyHoldIntervalMs = 300;
constexpr std::int64_t kLongRunningHoldIntervalMs = 2000;
// Duration of a store transaction, including the interval before the next
// profile.
constexpr std::int64_t kWriteDurationMs = 30;
constexpr std::int64_t kStartDelayMs = 5;
constexpr std::int64_t kUnixStartMs = 1'700'000'000'000;
constexpr std::int64_t kProcessorMilli = 32'000;
constexpr std::int64_t kMemoryMb = 128'000;
constexpr double kMillisPerSecond = 1000.0;
// Of the live jobs, if their number is given.
constexpr double kLongRunningShare = 0.15;
constexpr std::size_t kLongRunningClass = 2;

}  // namespace

fleet_simulation::fleet_simulation(const simulation_options& options)
    : options_(options) {
  manifest initial_manifest{.version = 1};
  const std::array<int, 3> priorities{0, 2, 0};
  const std::array<double, 3> stretches{1.5, 2.0, 2.2};
  const std::array<std::int64_t, 3> target_durations_ms{300, 1000, 2500};
  for (std::size_t i = 0; i < kClasses.size(); ++i) {
    initial_manifest.queues.push_back(
        {.name = std::string(kClasses.at(i).queue),
         .service = "bucle-api",
         .priority = priorities.at(i),
         .max_attempts = 3,
         .stretch = stretches.at(i),
         .target_duration = core::milliseconds(target_durations_ms.at(i)),
         .advised = options_.advised && i == 0});
  }
  core_.SetManifest(initial_manifest);
  core_.FinishRestore(Now());
  StoreLeaseRecord();
  for (int i = 0; i < options_.executors; ++i) AddExecutor(i);
  core_.MeasureProcessor(&processor_);
  core_.on_placed = [this](const task_state& task, moment) {
    placed_on_.insert(task.executor);
  };
  core_.Runs().on_run_ended = [this](const task_state& task,
                                     run_outcome outcome, moment at) {
    AddToDigest(task.job->Id());
    AddToDigest(std::to_string(at.unix_ms) + "/" + std::to_string(task.index));
    if (outcome == run_outcome::kDone) ++done_;
  };
  core_.Runs().on_job_final = [this](const job_state&) { ++finished_; };
}

void fleet_simulation::Run() {
  SubmitInitialJobs();
  const std::int64_t end = options_.warm_up_ms + options_.measured_ms;
  for (now_ = 0; now_ < end; now_ += kStepMs) {
    if (now_ == options_.warm_up_ms) ResetCounters();
    SubmitDueJobs();
    executors_.Advance(kStepMs);
    SendHolds();
    DeliverStarts();
    if (now_ % kLeaseRecordIntervalMs == 0) StoreLeaseRecord();
    if (now_ % kTickIntervalMs == 0) {
      costs_.Measure("tick", [this] { core_.Tick(Now()); });
    }
    if (now_ % kPlanIntervalMs == 0) Plan();
    WriteRecords();
    orders decided;
    costs_.Measure("orders", [&] { decided = core_.TakeOrders(Now()); });
    ExecuteOrders(decided);
  }
}

simulated_costs fleet_simulation::Costs() {
  constexpr double kNanosPerMicro = 1000.0;
  const auto rounds = static_cast<double>(costs_.Calls("plan"));
  const auto in_round = [&](processor_stage stage) {
    const auto index = static_cast<std::size_t>(stage);
    const auto time =
        processor_.Totals().at(index).time - processor_before_.at(index).time;
    return static_cast<double>(time.count()) / kNanosPerMicro / rounds;
  };
  return {.starts_per_s = static_cast<double>(starts_) / Seconds(),
          .live_jobs = static_cast<double>(live_jobs_) / rounds,
          .per_start = costs_.AllMicros() / static_cast<double>(starts_),
          .per_round = costs_.MicrosPerCall("plan"),
          .ranking = in_round(processor_stage::kRound),
          .visits = in_round(processor_stage::kVisits),
          .reserve = in_round(processor_stage::kReserve),
          .per_report = costs_.MicrosPerCall("hold"),
          .per_request = costs_.MicrosPerCall("submit"),
          .per_start_response = costs_.MicrosPerCall("start response")};
}

void fleet_simulation::Print() const {
  std::cout << "executors " << options_.executors << ", runs active at end "
            << executors_.CountRuns() << ", jobs ended " << finished_
            << "\nstarts " << static_cast<double>(starts_) / Seconds()
            << "/s, runs done " << static_cast<double>(done_) / Seconds()
            << "/s, records " << static_cast<double>(records_) / Seconds()
            << "/s\n";
  costs_.Print(starts_, Seconds());
  std::cout << "digest " << std::hex << digest_ << "\n";
}

double fleet_simulation::Seconds() const {
  return static_cast<double>(options_.measured_ms) / kMillisPerSecond;
}

moment fleet_simulation::Now() const {
  constexpr core::milliseconds kStart{1'000'000};
  return {.now = core::monotonic_time(kStart + core::milliseconds(now_)),
          .unix_ms = kUnixStartMs + now_};
}

void fleet_simulation::AddToDigest(std::string_view text) {
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  for (const char character : text) {
    digest_ = (digest_ ^ static_cast<unsigned char>(character)) * kPrime;
  }
}

void fleet_simulation::AddExecutor(int index) {
  std::string number = std::to_string(index);
  number.insert(0, 3 - std::min<std::size_t>(3, number.size()), '0');
  const std::string id = "bucle-api-lima-norte-" + number;
  core_.SetExecutor({.id = id,
                     .born_ms = 1,
                     .address = id,
                     .zone = "lima-norte",
                     .service = "bucle-api",
                     .capacity = {.processor_milli = kProcessorMilli,
                                  .memory_mib = kMemoryMb}});
  executors_.Add(id, -kLongRunningHoldIntervalMs);
  core_.OnHold(id, {.born_ms = 1, .clock_ms = 0}, Now().now, Now());
}

void fleet_simulation::StoreLeaseRecord() {
  costs_.Measure("lease record", [this] {
    core_.NextLeaseRecord(Now().now);
    core_.Leases().Stored();
  });
}

void fleet_simulation::Plan() {
  costs_.Measure("plan", [this] {
    const processor_scope round(&processor_, processor_stage::kRound);
    core_.Plan(Now());
  });
  live_jobs_ += core_.Levels().live_jobs;
  for (const std::string& id : std::exchange(placed_on_, {})) {
    if (!core_.FindExecutor(id)->HeldRecently(Now().now)) {
      Hold(executors_.Of(id));
    }
  }
}

void fleet_simulation::SubmitInitialJobs() {
  if (options_.live_jobs == 0) {
    for (const job_class& profile : kClasses) {
      for (int i = 0; i < profile.initial_jobs; ++i) Submit(profile);
    }
    return;
  }
  const auto count = static_cast<int>(kLongRunningShare *
                                      static_cast<double>(options_.live_jobs));
  for (int i = 0; i < count; ++i) Submit(kClasses.at(kLongRunningClass));
}

void fleet_simulation::Submit(const job_class& profile) {
  const auto job_class_index =
      static_cast<std::size_t>(&profile - kClasses.data());
  int image = 0;
  schema::fleet_job job =
      DrawJob(random_, job_class_index, ++submitted_, image);
  job.set_accepted_unix_ms(Now().unix_ms);
  job_classes_[job.id()] = {job_class_index, image};
  // Submitted even if it would be refused, so that the number of live jobs is
  // as asked.
  costs_.Measure("submit", [&] {
    core_.MissingRoom(job);
    core_.AdmitStarts(job, Now());
    core_.AdmitWork(job, Now());
    core_.Submit(job, Now());
  });
}

void fleet_simulation::SubmitDueJobs() {
  if (options_.live_jobs > 0) {
    std::size_t live = core_.Levels().live_jobs;
    for (; live < options_.live_jobs; ++live) {
      const job_class* profile = &DrawClass(random_);
      while (profile == &kClasses.at(kLongRunningClass)) {
        profile = &DrawClass(random_);
      }
      Submit(*profile);
    }
    return;
  }
  due_jobs_ += options_.jobs * static_cast<double>(kStepMs) / kMillisPerSecond;
  for (; due_jobs_ >= 1.0; due_jobs_ -= 1.0) Submit(DrawClass(random_));
}

void fleet_simulation::SendHolds() {
  for (simulated_executor& executor : executors_.All()) {
    const executor_state& state = *core_.FindExecutor(executor.id);
    std::erase_if(executor.ended, [&state](const ended_report& end) {
      return end.number <= state.acknowledged;
    });
    if (!core_.NeedsHold(executor.id)) continue;
    const bool has_new_ends = !executor.ended.empty() &&
                              executor.ended.back().number > state.processed;
    const std::int64_t interval =
        has_new_ends ? kEndHoldIntervalMs
                     : (state.OnlyLongRunning() ? kLongRunningHoldIntervalMs
                                                : kBusyHoldIntervalMs);
    if (now_ - executor.last_hold_ms >= interval) Hold(executor);
  }
}

void fleet_simulation::Hold(simulated_executor& executor) {
  executor.last_hold_ms = now_;
  const hold_report report = executors_.Report(executor, now_);
  costs_.Measure("hold",
                 [&] { core_.OnHold(executor.id, report, Now().now, Now()); });
}

void fleet_simulation::ExecuteOrders(const orders& decided) {
  for (const start_order& order : decided.starts) {
    pending_starts_.push_back({now_ + kStartDelayMs, order});
    ++starts_;
    AddToDigest(order.task.job);
    AddToDigest(order.executor);
    AddToDigest(std::to_string(now_) + "/" + std::to_string(order.task.index));
  }
  for (const stop_order& order : decided.stops) {
    executors_.Stop(order);
    core_.Runs().OnStopResponse(order, true, Now());
    AddToDigest(order.executor + order.task.job);
  }
  for (const pace_order& order : decided.paces) {
    executors_.SetPace(order);
    AddToDigest(order.executor + std::to_string(order.percent));
  }
  for (const advice_request& request : decided.advice)
    RespondToAdviceRequest(request);
}

void fleet_simulation::RespondToAdviceRequest(const advice_request& request) {
  advice_reply reply{.valid = core::milliseconds(3000)};
  for (const std::string& executor : request.executors) {
    reply.permits.push_back({.executor = executor, .ticket = "t"});
  }
  costs_.Measure("advice", [&] { core_.OnAdvice(request, reply, Now()); });
}

void fleet_simulation::DeliverStarts() {
  std::erase_if(pending_starts_, [this](const pending_start& pending) {
    if (now_ < pending.due_ms) return false;
    const start_order& order = pending.order;
    const auto [job_class_index, image] = job_classes_.at(order.task.job);
    const job_class& profile = kClasses.at(job_class_index);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    const double work =
        Draw(random_, profile.work_ms, 0.5, profile.max_work_ms);
    executors_.Of(order.executor)
        .runs.push_back({.order = order,
                         .job_class_index = job_class_index,
                         .image = image,
                         .cpu = profile.cpu,
                         .remaining_ms = work,
                         .work_ms = work,
                         .fails = unit(random_) < profile.failure_probability});
    costs_.Measure("start response", [&] {
      core_.OnStartResponse(order, start_outcome::kAccepted, Now());
    });
    return true;
  });
}

void fleet_simulation::WriteRecords() {
  if (writing_ && now_ >= write_done_ms_) {
    writing_ = false;
    costs_.Measure("stored", [this] {
      core_.Journal().Stored(batch_, ++revision_, Now());
    });
  }
  if (writing_) return;
  write_batch writes;
  costs_.Measure("next batch",
                 [&] { writes = core_.Journal().NextBatch(options_.records); });
  if (writes.records.empty()) return;
  batch_ = writes.number;
  records_ += writes.records.size();
  writing_ = true;
  write_done_ms_ = now_ + kWriteDurationMs;
}

void fleet_simulation::ResetCounters() {
  costs_ = {};
  processor_before_ = processor_.Totals();
  live_jobs_ = 0;
  starts_ = 0;
  done_ = 0;
  finished_ = 0;
  records_ = 0;
}

}  // namespace waxwingfront::fleet
