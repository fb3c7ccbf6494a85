// Measures the CPU time of the leader's decisions on a large fleet, without a
// network and in simulated time: submissions, planning passes, the journal, and
// holds with reports. Prints the cost of each entry point and a digest of all
// decisions, which is the same on every run.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "cost_table.h"
#include "fleet_load.h"
#include "waxwingfront/fleet/fleet_core.h"

namespace waxwingfront::fleet {
namespace {

constexpr std::int64_t kStepMs = 5;
constexpr std::int64_t kPlanIntervalMs = 15;
constexpr std::int64_t kTickIntervalMs = 100;
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
constexpr std::uint32_t kSeed = 20261204;
constexpr double kBaseTailLatencyMs = 4.0;
constexpr double kMillisPerSecond = 1000.0;

struct simulation_options {
  int executors = 490;
  // Jobs per second, and maximum records in a transaction.
  double jobs = 45.0;
  std::size_t records = 120;
  std::int64_t warm_up_ms = 4000;
  std::int64_t measured_ms = 10'000;
  bool advised = false;
};

class fleet_simulation {
 public:
  explicit fleet_simulation(const simulation_options& options)
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
    for (int i = 0; i < options_.executors; ++i) AddExecutor(i);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    for (auto& row : interference_) {
      for (double& value : row) value = unit(random_) < 0.5 ? 0.003 : 0.03;
    }
    core_.Runs().on_run_ended = [this](const task_state& task,
                                       run_outcome outcome, moment at) {
      AddToDigest(task.job->Id());
      AddToDigest(std::to_string(at.unix_ms) + "/" +
                  std::to_string(task.index));
      if (outcome == run_outcome::kDone) ++done_;
    };
    core_.Runs().on_job_final = [this](const job_state&) { ++finished_; };
  }

  void Run() {
    for (const job_class& profile : kClasses) {
      for (int i = 0; i < profile.initial_jobs; ++i) Submit(profile);
    }
    const std::int64_t end = options_.warm_up_ms + options_.measured_ms;
    for (now_ = 0; now_ < end; now_ += kStepMs) {
      if (now_ == options_.warm_up_ms) ResetCounters();
      SubmitDueJobs();
      AdvanceRuns();
      SendHolds();
      DeliverStarts();
      if (now_ % kTickIntervalMs == 0) {
        costs_.Measure("tick", [this] { core_.Tick(Now()); });
      }
      if (now_ % kPlanIntervalMs == 0) {
        costs_.Measure("plan", [this] { core_.Plan(Now()); });
      }
      WriteRecords();
      ExecuteOrders(core_.TakeOrders(Now()));
    }
  }

  void Print() const {
    const double seconds =
        static_cast<double>(options_.measured_ms) / kMillisPerSecond;
    std::size_t active = 0;
    for (const simulated_executor& executor : executors_)
      active += executor.runs.size();
    std::cout << "executors " << options_.executors << ", runs active at end "
              << active << ", jobs ended " << finished_ << "\nstarts "
              << static_cast<double>(starts_) / seconds << "/s, runs done "
              << static_cast<double>(done_) / seconds << "/s, records "
              << static_cast<double>(records_) / seconds << "/s\n";
    costs_.Print(starts_, seconds);
    std::cout << "digest " << std::hex << digest_ << "\n";
  }

 private:
  struct run {
    start_order order;
    std::size_t job_class_index = 0;
    int image = 0;
    double cpu = 0.0;
    double remaining_ms = 0.0;
    double work_ms = 1.0;
    bool fails = false;
    int pace = kFullPace;
  };
  struct simulated_executor {
    std::string id;
    std::vector<run> runs;
    std::vector<ended_report> ended;
    std::uint64_t ends = 0;
    std::int64_t last_hold_ms = -kLongRunningHoldIntervalMs;
  };
  moment Now() const {
    constexpr core::milliseconds kStart{1'000'000};
    return {.now = core::monotonic_time(kStart + core::milliseconds(now_)),
            .unix_ms = kUnixStartMs + now_};
  }

  void AddToDigest(std::string_view text) {
    constexpr std::uint64_t kPrime = 1099511628211ULL;
    for (const char character : text) {
      digest_ = (digest_ ^ static_cast<unsigned char>(character)) * kPrime;
    }
  }

  void AddExecutor(int index) {
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
    executors_.push_back({.id = id});
    executor_indexes_[id] = executors_.size() - 1;
    core_.OnHold(id, {.born_ms = 1, .clock_ms = 0}, Now().now, Now());
  }

  void Submit(const job_class& profile) {
    const auto job_class_index =
        static_cast<std::size_t>(&profile - kClasses.data());
    int image = 0;
    schema::fleet_job job =
        DrawJob(random_, job_class_index, ++submitted_, image);
    job.set_accepted_unix_ms(Now().unix_ms);
    job_classes_[job.id()] = {job_class_index, image};
    costs_.Measure("submit", [&] { core_.Submit(job, Now()); });
  }

  void SubmitDueJobs() {
    due_jobs_ +=
        options_.jobs * static_cast<double>(kStepMs) / kMillisPerSecond;
    for (; due_jobs_ >= 1.0; due_jobs_ -= 1.0) Submit(DrawClass(random_));
  }

  void AdvanceRuns() {
    for (simulated_executor& executor : executors_) {
      std::erase_if(executor.runs, [&](run& task) {
        if (task.job_class_index == 2) return false;
        task.remaining_ms -=
            static_cast<double>(kStepMs * task.pace) / kFullPace;
        if (task.remaining_ms > 0.0) return false;
        executor.ended.push_back(
            {.number = ++executor.ends,
             .task = task.order.task,
             .run = task.order.run,
             .how = task.fails ? run_end::kFailed : run_end::kDone});
        return true;
      });
    }
  }

  hold_report Report(simulated_executor& executor) {
    hold_report report{.born_ms = 1, .clock_ms = now_};
    for (const run& task : executor.runs) {
      running_report row{.task = task.order.task, .run = task.order.run};
      if (task.job_class_index == 2) {
        double used = 0.42 + 0.2 * std::sin(static_cast<double>(now_) / 2200.0 +
                                            task.image);
        for (const run& other : executor.runs) {
          if (other.job_class_index != 1) continue;
          used += interference_.at(static_cast<std::size_t>(task.image))
                      .at(static_cast<std::size_t>(other.image)) *
                  other.cpu / kMillisPerSecond * other.pace / kFullPace;
        }
        row.percent = 100;
        row.reported_load =
            std::lround(kBaseTailLatencyMs / std::max(0.04, 1.0 - used));
      } else {
        row.percent = static_cast<int>(
            100.0 * (1.0 - std::max(0.0, task.remaining_ms) / task.work_ms));
        row.reported_load = std::lround(task.cpu * task.pace / kFullPace);
        if (task.job_class_index == 1) row.checkpoint = "checkpoint";
      }
      report.running.push_back(std::move(row));
    }
    for (const ended_report& end : executor.ended) report.ended.push_back(end);
    return report;
  }

  void SendHolds() {
    for (simulated_executor& executor : executors_) {
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
      if (now_ - executor.last_hold_ms < interval) continue;
      executor.last_hold_ms = now_;
      const hold_report report = Report(executor);
      costs_.Measure(
          "hold", [&] { core_.OnHold(executor.id, report, Now().now, Now()); });
    }
  }

  void ExecuteOrders(const orders& decided) {
    for (const start_order& order : decided.starts) {
      pending_starts_.push_back({now_ + kStartDelayMs, order});
      ++starts_;
      AddToDigest(order.task.job);
      AddToDigest(order.executor);
      AddToDigest(std::to_string(now_) + "/" +
                  std::to_string(order.task.index));
    }
    for (const stop_order& order : decided.stops) {
      const auto found = executor_indexes_.find(order.executor);
      if (found == executor_indexes_.end()) continue;
      simulated_executor& executor = executors_[found->second];
      std::erase_if(executor.runs, [&](const run& task) {
        if (task.order.task != order.task || task.order.run != order.run) {
          return false;
        }
        executor.ended.push_back({.number = ++executor.ends,
                                  .task = order.task,
                                  .run = order.run,
                                  .how = run_end::kStopped});
        return true;
      });
      core_.Runs().OnStopResponse(order, true, Now());
      AddToDigest(order.executor + order.task.job);
    }
    for (const pace_order& order : decided.paces) {
      for (run& task : executors_[executor_indexes_.at(order.executor)].runs) {
        if (task.order.task == order.task) task.pace = order.percent;
      }
      AddToDigest(order.executor + std::to_string(order.percent));
    }
    for (const advice_request& request : decided.advice)
      RespondToAdviceRequest(request);
  }

  void RespondToAdviceRequest(const advice_request& request) {
    advice_reply reply{.valid = core::milliseconds(3000)};
    for (const std::string& executor : request.executors) {
      reply.permits.push_back({.executor = executor, .ticket = "t"});
    }
    costs_.Measure("advice", [&] { core_.OnAdvice(request, reply, Now()); });
  }

  void DeliverStarts() {
    std::erase_if(pending_starts_, [this](const pending_start& pending) {
      if (now_ < pending.due_ms) return false;
      const start_order& order = pending.order;
      const auto [job_class_index, image] = job_classes_.at(order.task.job);
      const job_class& profile = kClasses.at(job_class_index);
      std::uniform_real_distribution<double> unit(0.0, 1.0);
      const double work =
          Draw(random_, profile.work_ms, 0.5, profile.max_work_ms);
      executors_[executor_indexes_.at(order.executor)].runs.push_back(
          {.order = order,
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

  void WriteRecords() {
    if (writing_ && now_ >= write_done_ms_) {
      writing_ = false;
      costs_.Measure("stored", [this] {
        core_.Journal().Stored(batch_, ++revision_, Now());
      });
    }
    if (writing_) return;
    write_batch writes;
    costs_.Measure("next batch", [&] {
      writes = core_.Journal().NextBatch(options_.records);
    });
    if (writes.records.empty()) return;
    batch_ = writes.number;
    records_ += writes.records.size();
    writing_ = true;
    write_done_ms_ = now_ + kWriteDurationMs;
  }

  void ResetCounters() {
    costs_ = {};
    starts_ = 0;
    done_ = 0;
    finished_ = 0;
    records_ = 0;
  }

  struct pending_start {
    std::int64_t due_ms;
    start_order order;
  };

  simulation_options options_;
  fleet_core core_{{}};
  std::mt19937 random_{kSeed};
  std::int64_t now_ = 0;
  std::vector<simulated_executor> executors_;
  std::map<std::string, std::size_t> executor_indexes_;
  std::map<std::string, std::pair<std::size_t, int>> job_classes_;
  std::array<std::array<double, kBestEffortImages>, kServingImages>
      interference_{};
  std::vector<pending_start> pending_starts_;
  cost_table costs_;
  double due_jobs_ = 0.0;
  int submitted_ = 0;
  std::int64_t starts_ = 0;
  std::int64_t done_ = 0;
  std::int64_t finished_ = 0;
  std::size_t records_ = 0;
  // Number of the batch that is being written.
  std::uint64_t batch_ = 0;
  bool writing_ = false;
  std::int64_t write_done_ms_ = 0;
  std::int64_t revision_ = 1;
  std::uint64_t digest_ = 14695981039346656037ULL;
};

}  // namespace
}  // namespace waxwingfront::fleet

// Arguments: executors, jobs per second, maximum records in a transaction,
// measured milliseconds; "advised" as the last one enables an adviser.
int main(int count, char** arguments) {
  const std::vector<std::string> values(arguments + 1, arguments + count);
  waxwingfront::fleet::simulation_options options;
  if (!values.empty()) options.executors = std::stoi(values[0]);
  if (values.size() > 1) options.jobs = std::stod(values[1]);
  if (values.size() > 2) options.records = std::stoul(values[2]);
  if (values.size() > 3) options.measured_ms = std::stoll(values[3]);
  options.advised = values.size() > 4 && values[4] == "advised";
  waxwingfront::fleet::fleet_simulation simulation(options);
  simulation.Run();
  simulation.Print();
  return 0;
}
