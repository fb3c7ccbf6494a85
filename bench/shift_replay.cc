// Replays a shift of Jihlava's order batches through the planning code, with a
// long reconciliation job of lower priority, and reports the results of the
// production policy and of first fit. Inputs are drawn from the distributions
// below with one seed, and time is simulated. Neither policy has access to run
// times.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "waxwingfront/shard/aging.h"
#include "waxwingfront/shard/capacity_holds.h"
#include "waxwingfront/shard/planner.h"
#include "waxwingfront/shard/preemption.h"

namespace waxwingfront::shard {
namespace {

constexpr std::uint32_t kSeed = 20261204;
constexpr int kWorkers = 12;
constexpr int kShiftSeconds = 8 * 3600;
constexpr int kPassIntervalSeconds = 1;
// During the first 7 hours an order batch arrives every 10 minutes on average.
constexpr double kBatchIntervalSeconds = 600;
constexpr int kLastBatchSeconds = 7 * 3600;
// Urgent corrections arrive once per hour on average.
constexpr double kUrgentIntervalSeconds = 3600;
constexpr int kReconciliationTasks = 4000;
// An eviction loses the work since the last checkpoint. A task checkpoints only
// when it is stopped, which takes this long.
constexpr int kCheckpointSeconds = 5;

enum class policy_kind { kChosen, kFirstFit };

schema::bundle MakeBundle() {
  schema::bundle content;
  const std::vector<std::tuple<std::string, int, bool, int>> classes{
      {"reconciliation", 0, false, 90},
      {"orders", 10, false, 90},
      {"urgent", 20, true, 100}};
  for (const auto& [name, priority, urgent, share] : classes) {
    auto& item = *content.add_batch_classes();
    item.set_name(name);
    item.set_priority(priority);
    item.set_urgent(urgent);
    item.set_preemptible(!urgent);
    item.set_host_share_percent(share);
    item.set_max_failures(3);
  }
  auto& service = *content.add_services();
  service.set_name("dispatch");
  service.mutable_reserve_per_executor()->set_processor_milli(6000);
  service.mutable_reserve_per_executor()->set_memory_mib(16000);
  auto& customer = *content.add_customers();
  customer.set_name("jihlava");
  customer.set_weight(1);
  return content;
}

struct arrival {
  int second = 0;
  schema::job_spec spec;
  // Run time of each task in seconds.
  std::vector<int> run_times;
};

schema::job_spec MakeSpec(const std::string& id, const std::string& batch_class,
                          std::int64_t processor_milli, std::int64_t memory_mib,
                          std::int64_t tasks) {
  schema::job_spec spec;
  spec.set_id(id);
  spec.set_customer("jihlava");
  spec.set_batch_class(batch_class);
  spec.set_task_count(tasks);
  spec.mutable_task_size()->set_processor_milli(processor_milli);
  spec.mutable_task_size()->set_memory_mib(memory_mib);
  return spec;
}

std::vector<int> DrawTimes(std::mt19937& random, std::int64_t count,
                           double median_seconds, double sigma) {
  std::lognormal_distribution<double> draw(std::log(median_seconds), sigma);
  std::vector<int> times;
  for (std::int64_t index = 0; index < count; ++index)
    times.push_back(std::max(1, static_cast<int>(draw(random))));
  return times;
}

// Order batches: 40 to 160 tasks of 1 to 4 processors, lognormal run times with
// a median of 120 s (sigma 0.8). Reconciliation: 4,000 tasks of 2 processors,
// median 900 s (sigma 0.6), from the start. Urgent: 1 to 6 tasks of 8
// processors, median 60 s (sigma 0.5).
std::vector<arrival> DrawArrivals() {
  std::mt19937 random(kSeed);
  std::vector<arrival> arrivals;
  arrivals.push_back(
      {.second = 0,
       .spec = MakeSpec("reconciliation", "reconciliation", 2000, 6000,
                        kReconciliationTasks),
       .run_times = DrawTimes(random, kReconciliationTasks, 900, 0.6)});
  std::exponential_distribution<double> batch_interval(1 /
                                                       kBatchIntervalSeconds);
  for (double at = batch_interval(random); at < kLastBatchSeconds;
       at += batch_interval(random)) {
    const int tasks = std::uniform_int_distribution(40, 160)(random);
    const int processors = std::uniform_int_distribution(1, 4)(random);
    arrivals.push_back(
        {.second = static_cast<int>(at),
         .spec = MakeSpec("orders-" + std::to_string(arrivals.size()), "orders",
                          1000L * processors, 2000L * processors, tasks),
         .run_times = DrawTimes(random, tasks, 120, 0.8)});
  }
  std::exponential_distribution<double> urgent_interval(1 /
                                                        kUrgentIntervalSeconds);
  for (double at = urgent_interval(random); at < kLastBatchSeconds;
       at += urgent_interval(random)) {
    const int tasks = std::uniform_int_distribution(1, 6)(random);
    arrivals.push_back(
        {.second = static_cast<int>(at),
         .spec = MakeSpec("urgent-" + std::to_string(arrivals.size()), "urgent",
                          8000, 8000, tasks),
         .run_times = DrawTimes(random, tasks, 60, 0.5)});
  }
  std::sort(arrivals.begin(), arrivals.end(),
            [](const arrival& left, const arrival& right) {
              return left.second < right.second;
            });
  return arrivals;
}

struct outcome {
  std::int64_t order_tasks = 0;
  std::int64_t order_tasks_finished = 0;
  std::int64_t reconciliation_finished = 0;
  std::int64_t evictions = 0;
  std::int64_t wasted_seconds = 0;
  std::vector<int> order_batch_times;
  std::vector<int> urgent_waits;
};

class shift_replay {
 public:
  explicit shift_replay(policy_kind kind)
      : kind_(kind), policy_(MakeBundle(), 1) {
    for (int index = 0; index < kWorkers; ++index) {
      infos_.push_back(
          {.id = "worker-" + std::to_string(10 + index),
           .failure_domain = "jihlava-north",
           .shard = "jihlava-north/0",
           .capacity = {.processor_milli = 32000, .memory_mib = 125000}});
      infos_.back().executors["dispatch"] = 1;
    }
    for (const hosts::worker_info& info : infos_)
      workers_.push_back({.info = &info});
  }

  outcome Run() {
    const std::vector<arrival> arrivals = DrawArrivals();
    std::size_t next = 0;
    for (now_ = 0; now_ < kShiftSeconds; now_ += kPassIntervalSeconds) {
      FinishDueTasks();
      for (; next < arrivals.size() && arrivals[next].second <= now_; ++next)
        Accept(arrivals[next]);
      Bind(kind_ == policy_kind::kChosen ? PlanChosen() : PlanFirstFit());
    }
    CountFinished();
    return std::move(result_);
  }

 private:
  using task_key = std::pair<std::string, std::int64_t>;
  struct running {
    schema::attempt_id id;
    int started = 0;
    int generation = 0;
  };

  core::monotonic_time Time() const {
    return core::monotonic_time(std::chrono::seconds(now_));
  }

  void Apply(const schema::decision& decision) {
    if (!state_.Apply(decision)) std::abort();
  }

  void Accept(const arrival& item) {
    schema::decision decision;
    *decision.mutable_accepted()->mutable_spec() = item.spec;
    Apply(decision);
    accepted_at_[item.spec.id()] = now_;
    for (std::size_t task = 0; task < item.run_times.size(); ++task)
      remaining_seconds_[{item.spec.id(), task}] = item.run_times[task];
    if (item.spec.batch_class() == "orders")
      result_.order_tasks += item.spec.task_count();
  }

  void End(const schema::attempt_id& id, schema::attempt_outcome outcome) {
    schema::decision decision;
    *decision.mutable_ended()->mutable_id() = id;
    decision.mutable_ended()->set_outcome(outcome);
    Apply(decision);
  }

  void FinishDueTasks() {
    while (!ends_.empty() && std::get<0>(ends_.top()) <= now_) {
      const auto [at, key, generation] = ends_.top();
      ends_.pop();
      const auto found = running_.find(key);
      if (found == running_.end() || found->second.generation != generation)
        continue;
      End(found->second.id, schema::ATTEMPT_OUTCOME_FINISHED);
      running_.erase(found);
      const job_record& job = *state_.FindJob(key.first);
      if (job.IsClosed() && job.spec.batch_class() == "orders")
        result_.order_batch_times.push_back(now_ - accepted_at_[key.first]);
    }
  }

  // An evicted task keeps its progress; the time to save and restore the
  // checkpoint counts as wasted.
  void Evict(const schema::attempt_id& id) {
    const task_key key{id.job(), id.task()};
    const auto found = running_.find(key);
    remaining_seconds_[key] +=
        kCheckpointSeconds - (now_ - found->second.started);
    running_.erase(found);
    End(id, schema::ATTEMPT_OUTCOME_EVICTED);
    ++result_.evictions;
    result_.wasted_seconds += kCheckpointSeconds;
  }

  std::vector<schema::attempt_bound> PlanChosen() {
    holds_.Prune(
        state_, [](std::string_view) { return true; }, Time());
    auto bindings = PlanBindings(state_, workers_, policy_, kMaxBindings,
                                 {.held = holds_.All()});
    for (const auto& binding : bindings) {
      holds_.OnBound(binding.id().job(), binding.worker());
      aging_.OnBound(binding.id().job(), Time());
    }
    shard_state after = state_;
    for (const auto& binding : bindings) {
      schema::decision decision;
      *decision.mutable_bound() = binding;
      static_cast<void>(after.Apply(decision));
    }
    for (const preemption& item : PlanPreemptions(
             after, workers_, policy_, kMaxBindings, {.held = holds_.All()})) {
      holds_.Add(item.held, core::monotonic_time::max());
      for (const auto& victim : item.victims) evict_after_.push_back(victim);
    }
    const auto aged = aging_.ChooseReservation(after, workers_, policy_,
                                               holds_.All(), Time());
    if (aged.has_value()) holds_.Add(*aged, core::monotonic_time::max());
    return bindings;
  }

  // Binds tasks in order of job arrival, each to the first worker with free
  // capacity, within the same host and class limits but without preemption.
  std::vector<schema::attempt_bound> PlanFirstFit() {
    std::vector<schema::attempt_bound> bindings;
    std::vector<const job_record*> jobs;
    for (const std::string& id : state_.OpenJobs())
      jobs.push_back(state_.FindJob(id));
    std::sort(jobs.begin(), jobs.end(),
              [](const job_record* left, const job_record* right) {
                return left->order < right->order;
              });
    std::map<std::string, core::resources> used;
    std::map<std::pair<std::string, std::string>, core::resources> by_class;
    for (const job_record* job : jobs) {
      for (const auto& [task, bound] : job->active) {
        used[bound.worker] += job->task_size;
        by_class[{bound.worker, job->spec.batch_class()}] += job->task_size;
      }
    }
    for (const job_record* job : jobs) {
      std::int64_t task = job->next_task;
      for (const candidate_worker& worker : workers_) {
        const std::string& id = worker.info->id;
        core::resources& on_worker = used[id];
        core::resources& of_batch_class =
            by_class[{id, job->spec.batch_class()}];
        const auto share = worker.info->capacity.Percent(
            policy_.FindBatchClass(job->spec.batch_class())
                ->host_share_percent());
        const auto capacity = BatchCapacity(*worker.info, policy_);
        while (task < job->spec.task_count() &&
               bindings.size() < kMaxBindings &&
               capacity.Holds(on_worker + job->task_size) &&
               share.Holds(of_batch_class + job->task_size)) {
          schema::attempt_bound& binding = bindings.emplace_back();
          binding.mutable_id()->set_job(job->spec.id());
          binding.mutable_id()->set_task(task++);
          binding.mutable_id()->set_attempt(1);
          binding.set_worker(id);
          on_worker += job->task_size;
          of_batch_class += job->task_size;
        }
      }
    }
    return bindings;
  }

  void Bind(const std::vector<schema::attempt_bound>& bindings) {
    for (const auto& binding : bindings) {
      schema::decision decision;
      *decision.mutable_bound() = binding;
      Apply(decision);
      const task_key key{binding.id().job(), binding.id().task()};
      running_[key] = {
          .id = binding.id(), .started = now_, .generation = ++generation_};
      ends_.emplace(now_ + remaining_seconds_[key], key, generation_);
      if (policy_.FindBatchClass(state_.FindJob(key.first)->spec.batch_class())
              ->urgent())
        result_.urgent_waits.push_back(now_ - accepted_at_[key.first]);
    }
    for (const auto& victim : evict_after_) Evict(victim);
    evict_after_.clear();
  }

  void CountFinished() {
    for (const auto& [id, job] : state_.Jobs()) {
      if (job.spec.batch_class() == "orders")
        result_.order_tasks_finished += job.finished;
      if (job.spec.batch_class() == "reconciliation")
        result_.reconciliation_finished += job.finished;
    }
  }

  static constexpr std::size_t kMaxBindings = 512;

  policy_kind kind_;
  bundle::bundle_view policy_;
  std::vector<hosts::worker_info> infos_;
  std::vector<candidate_worker> workers_;
  shard_state state_;
  capacity_holds holds_;
  aging aging_;
  int now_ = 0;
  int generation_ = 0;
  std::map<std::string, int> accepted_at_;
  std::map<task_key, int> remaining_seconds_;
  std::map<task_key, running> running_;
  std::vector<schema::attempt_id> evict_after_;
  std::priority_queue<std::tuple<int, task_key, int>,
                      std::vector<std::tuple<int, task_key, int>>,
                      std::greater<>>
      ends_;
  outcome result_;
};

int Largest(const std::vector<int>& values) {
  return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

int Median(std::vector<int> values) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void Print(const std::string& name, const outcome& result) {
  std::cout << name << ": order tasks finished " << result.order_tasks_finished
            << " of " << result.order_tasks << ", batches finished "
            << result.order_batch_times.size() << " (median "
            << Median(result.order_batch_times) << " s, longest "
            << Largest(result.order_batch_times) << " s)"
            << ", reconciliation tasks finished "
            << result.reconciliation_finished << ", evictions "
            << result.evictions << ", wasted task-seconds "
            << result.wasted_seconds << ", urgent tasks started "
            << result.urgent_waits.size() << " (longest wait "
            << Largest(result.urgent_waits) << " s)\n";
}

}  // namespace
}  // namespace waxwingfront::shard

int main() {
  using waxwingfront::shard::policy_kind;
  using waxwingfront::shard::shift_replay;
  Print("chosen policy", shift_replay(policy_kind::kChosen).Run());
  Print("first fit", shift_replay(policy_kind::kFirstFit).Run());
}
