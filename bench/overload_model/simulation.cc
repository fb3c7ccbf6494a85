#include "overload_model/simulation.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "overload_model/callers.h"
#include "overload_model/executor_model.h"
#include "waxwingfront/fleet/fleet_core.h"

namespace waxwingfront::overload_model {
namespace {

constexpr std::int64_t kStepMs = 10;
constexpr std::int64_t kTickPeriodMs = 100;
constexpr std::int64_t kLeasePeriodMs = 500;
constexpr std::int64_t kSamplePeriodMs = 100;
constexpr std::int64_t kUnixStartMs = 1'700'000'000'000;
constexpr core::milliseconds kStart{1'000'000};

fleet::moment At(std::int64_t ms) {
  return {.now = core::monotonic_time(kStart + core::milliseconds(ms)),
          .unix_ms = kUnixStartMs + ms};
}

class simulation {
 public:
  simulation(const model_settings& settings, const run_options& options)
      : settings_(settings),
        options_(options),
        random_(options.seed),
        pressures_(random_, settings),
        callers_(settings, options, core_, random_) {
    fleet::manifest manifest{.version = 1};
    for (const class_settings& profile : settings.classes) {
      manifest.queues.push_back(
          {.name = profile.name,
           .service = "executors",
           .priority = profile.priority,
           .max_attempts = profile.attempts,
           .stretch = profile.stretch,
           .target_duration = core::milliseconds(profile.target_duration_ms)});
    }
    core_.SetManifest(manifest);
    core_.FinishRestore(At(0));
    for (int i = 0; i < settings.executors.count; ++i) AddExecutor(i);
  }

  load_result Run() {
    const std::int64_t measured_from = settings_.warm_up_ms;
    const std::int64_t measured_until = measured_from + options_.measured_ms;
    callers_.SubmitInitialJobs(At(0));
    for (now_ = 0; now_ < measured_until + settings_.finish_ms;
         now_ += kStepMs) {
      if (now_ == measured_from) sums_ = {};
      if (now_ < measured_until) callers_.Arrive(now_, kStepMs);
      callers_.Act(At(now_), now_);
      for (executor_model& executor : executors_) {
        executor.Advance(now_, static_cast<double>(kStepMs));
      }
      Report();
      DeliverStarts();
      if (now_ % kTickPeriodMs == 0) core_.Tick(At(now_));
      if (now_ % settings_.plan_period_ms == 0) core_.Plan(At(now_));
      WriteRecords();
      Execute(core_.TakeOrders(At(now_)));
      callers_.ObserveEnds(At(now_), now_);
      if (now_ >= measured_from && now_ < measured_until &&
          now_ % kSamplePeriodMs == 0) {
        Sample();
      }
      if (now_ + kStepMs == measured_until) result_.sharing = sums_;
    }
    result_.load = options_.load;
    result_.seed = options_.seed;
    result_.classes = callers_.Finish();
    return std::move(result_);
  }

 private:
  struct pending_start {
    std::int64_t due_ms;
    fleet::start_order order;
  };
  struct pending_write {
    std::int64_t due_ms;
    std::uint64_t number;
  };

  void AddExecutor(int index) {
    std::string id = std::to_string(index);
    constexpr std::size_t kDigits = 3;
    id.insert(0, kDigits - std::min(kDigits, id.size()), '0');
    core_.SetExecutor(
        {.id = id,
         .born_ms = 1,
         .address = id,
         .service = "executors",
         .capacity = {.processor_milli = settings_.executors.cpu_millis,
                      .memory_mib = settings_.executors.memory_mib}});
    indexes_[id] = executors_.size();
    executors_.emplace_back(id, settings_, pressures_, sums_);
    SendReport(executors_.back());
  }

  void RecordLeases() {
    core_.NextLeaseRecord(At(now_).now);
    core_.Leases().Stored();
  }

  void SendReport(executor_model& executor) {
    core_.OnHold(executor.Id(), executor.Report(now_), At(now_).now, At(now_));
  }

  void Report() {
    if (now_ % kLeasePeriodMs == 0) RecordLeases();
    for (executor_model& executor : executors_) {
      executor.Acknowledge(core_.FindExecutor(executor.Id())->acknowledged);
      const std::int64_t since = now_ - executor.last_report_ms;
      const executor_settings& pace = settings_.executors;
      const std::int64_t wait =
          executor.HasNewEnds() ? pace.report_pause_ms : pace.report_wait_ms;
      if (since >= wait) SendReport(executor);
    }
  }

  void DeliverStarts() {
    std::erase_if(starts_, [this](const pending_start& pending) {
      if (now_ < pending.due_ms) return false;
      const fleet::start_order& order = pending.order;
      const std::shared_ptr<modelled_job>& job = callers_.Job(order.task.job);
      executors_[indexes_.at(order.executor)].Start(order, job,
                                                    DrawFailure(*job, order));
      if (order.run == 1) job->steps.at(order.task.step).last_start_ms = now_;
      core_.OnStartResponse(order, fleet::start_outcome::kAccepted, At(now_));
      return true;
    });
  }

  std::optional<double> DrawFailure(const modelled_job& job,
                                    const fleet::start_order& order) {
    const modelled_task& task =
        job.steps.at(order.task.step).tasks.at(order.task.index);
    if (task.doomed) return task.work_ms;
    const class_settings& profile = settings_.classes.at(job.class_index);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    if (unit(random_) >= profile.failing_runs) return std::nullopt;
    return task.saved_ms + unit(random_) * (task.work_ms - task.saved_ms);
  }

  void WriteRecords() {
    if (write_ && now_ >= write_->due_ms) {
      core_.Journal().Stored(std::exchange(write_, std::nullopt)->number,
                             ++revision_, At(now_));
    }
    if (write_) return;
    const fleet::write_batch batch =
        core_.Journal().NextBatch(settings_.records_per_write);
    if (batch.records.empty()) return;
    write_ = {.due_ms = now_ + settings_.write_ms, .number = batch.number};
  }

  void Execute(const fleet::orders& decided) {
    for (const fleet::start_order& order : decided.starts) {
      starts_.push_back({.due_ms = now_ + settings_.executors.start_delay_ms,
                         .order = order});
    }
    for (const fleet::stop_order& order : decided.stops) {
      executors_[indexes_.at(order.executor)].Stop(order);
      core_.Runs().OnStopResponse(order, true, At(now_));
    }
    for (const fleet::pace_order& order : decided.paces) {
      executors_[indexes_.at(order.executor)].SetPace(order);
    }
  }

  void Sample() {
    const auto [waiting, running] = callers_.CountBestEffortTasks();
    const double samples =
        static_cast<double>(options_.measured_ms) / kSamplePeriodMs;
    result_.waiting += static_cast<double>(waiting) / samples;
    result_.running += static_cast<double>(running) / samples;
  }

  const model_settings& settings_;
  run_options options_;
  std::mt19937_64 random_;
  pressure_table pressures_;
  fleet::fleet_core core_{{}};
  callers callers_;
  sharing_sums sums_;
  std::vector<executor_model> executors_;
  std::map<std::string, std::size_t> indexes_;
  std::vector<pending_start> starts_;
  std::optional<pending_write> write_;
  std::int64_t revision_ = 1;
  std::int64_t now_ = 0;
  load_result result_;
};

}  // namespace

load_result Simulate(const model_settings& settings,
                     const run_options& options) {
  return simulation(settings, options).Run();
}

}  // namespace waxwingfront::overload_model
