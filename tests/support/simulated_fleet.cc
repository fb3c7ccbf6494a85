#include "support/simulated_fleet.h"

#include <algorithm>
#include <utility>

#include "support/simulated_fleet_leader.h"

namespace waxwingfront::tests {
namespace {

// How often a run ends in a step of the simulation, and how often it fails.
constexpr int kEndPerMille = 10;
constexpr int kSlowEndPerMille = 2;
constexpr int kFailurePerMille = 50;
// How often a member of a gang fails by itself when another one ends.
constexpr int kFailsTooPerMille = 300;

}  // namespace

schema::fleet_job TwoStepJob(const std::string& id, bool has_gang) {
  schema::fleet_job job;
  job.set_id(id);
  job.set_queue("q");
  job.set_service("s");
  schema::fleet_step& first = *job.add_steps();
  first.set_task_count(kFirstStepTasks);
  first.set_cpu_millis(kCpuMillis);
  schema::fleet_step& second = *job.add_steps();
  second.set_task_count(kSecondStepTasks);
  second.set_cpu_millis(kCpuMillis);
  second.add_after(0);
  second.set_gang(has_gang);
  return job;
}
simulated_fleet::simulated_fleet(std::uint32_t seed,
                                 simulated_fleet_options options)
    : random_(seed),
      options_(options),
      invariants_(
          {.max_attempts = kMaxAttempts,
           .first_step_tasks = kFirstStepTasks,
           .second_step_is_gang = options.gangs,
           .drain_ms = kDrainMs,
           .end_grace_ms = options.reliable_executors ? kEndGraceMs : 0}) {
  for (int i = 0; i < options.executors; ++i) {
    executors_.emplace_back("e" + std::to_string(i), now_ms_);
    unreachable_until_.push_back(0);
  }
  Elect();
  for (int i = 0; i < options.jobs; ++i) {
    const std::string id = "job" + std::to_string(i);
    jobs_.insert(id);
    current_->core.Submit(TwoStepJob(id, options_.gangs), Now());
  }
}

simulated_fleet::~simulated_fleet() = default;

bool simulated_fleet::ChancePerMille(int in_thousand) {
  return static_cast<int>(random_() % kThousand) < in_thousand;
}

std::int64_t simulated_fleet::Between(std::int64_t low, std::int64_t high) {
  return low + static_cast<std::int64_t>(
                   random_() % static_cast<std::uint64_t>(high - low + 1));
}

void simulated_fleet::After(std::int64_t ms, std::function<void()> act) {
  events_.push_back(
      {.at_ms = now_ms_ + ms, .order = ++orders_, .act = std::move(act)});
  std::push_heap(events_.begin(), events_.end(), std::greater<>());
}

fleet::moment simulated_fleet::Now() const {
  return {.now = core::monotonic_time(core::milliseconds(now_ms_)),
          .unix_ms = now_ms_};
}

void simulated_fleet::Run(std::int64_t ms, bool fault_free) {
  fault_free_ = fault_free;
  const std::int64_t end = now_ms_ + ms;
  while (now_ms_ < end && Violations().empty()) {
    now_ms_ += kStepMs;
    while (!events_.empty() && events_.front().at_ms <= now_ms_) {
      std::pop_heap(events_.begin(), events_.end(), std::greater<>());
      const std::function<void()> act = std::move(events_.back().act);
      events_.pop_back();
      act();
    }
    RunTasks();
    if (options_.gangs) RunGangs();
    if (!fault_free && now_ms_ % kThousand == 0) {
      if (ChancePerMille(options_.faults_per_mille)) InjectFault();
      if (options_.drains_per_mille > 0 &&
          ChancePerMille(options_.drains_per_mille))
        Drain();
      if (options_.lapses_per_mille > 0 &&
          ChancePerMille(options_.lapses_per_mille))
        LapseEntry();
      if (options_.stalls_per_mille > 0 &&
          ChancePerMille(options_.stalls_per_mille))
        Stall();
    }
    invariants_.Check(executors_);
  }
  for (const std::string& id : jobs_) {
    if (const auto progress = Progress(id)) {
      invariants_.CheckFailed(id, *progress);
    }
  }
}

void simulated_fleet::SendCall(int executor, call sent) {
  const auto unreachable = [this, executor] {
    return now_ms_ < unreachable_until_[static_cast<std::size_t>(executor)];
  };
  const auto time_out = [this, on_response = sent.on_response] {
    After(kOrderTimeoutMs, [on_response] { on_response(false); });
  };
  if (unreachable() ||
      (!fault_free_ && ChancePerMille(options_.lost_per_mille))) {
    time_out();
    return;
  }
  if (!fault_free_ && ChancePerMille(options_.late_per_mille)) {
    // The order is buffered by the executor and lost when it restarts.
    fake_executor& target = executors_[static_cast<std::size_t>(executor)];
    After(Between(2000, 8000),
          [act = sent.act, unreachable, &target, born = target.BornMs()] {
            if (!unreachable() && target.BornMs() == born) act();
          });
    time_out();
    return;
  }
  const bool response_lost =
      !fault_free_ && ChancePerMille(options_.lost_per_mille);
  // A restart loses the request. With reliable executors, nothing else does.
  const auto gone =
      [this, executor,
       born = executors_[static_cast<std::size_t>(executor)].BornMs()] {
        return (options_.reliable_executors ||
                options_.crash_downtime_ms > 0) &&
               executors_[static_cast<std::size_t>(executor)].BornMs() != born;
      };
  After(Between(1, 20),
        [this, sent, unreachable, gone, response_lost, time_out] {
          if (!gone()) sent.act();
          if (unreachable() || gone() || response_lost) {
            time_out();
            return;
          }
          if (!sent.reply) {
            After(Between(1, 20),
                  [on_response = sent.on_response] { on_response(true); });
            return;
          }
          After(sent.wait_ms, [this, sent, unreachable, time_out] {
            if (unreachable()) {
              time_out();
              return;
            }
            sent.reply();
            After(Between(1, 20),
                  [on_response = sent.on_response] { on_response(true); });
          });
        });
}

void simulated_fleet::Stall() {
  current_->busy_until_ms = now_ms_ + Between(0, options_.max_stall_ms);
}

void simulated_fleet::Drain() {
  fake_executor& executor = executors_[static_cast<std::size_t>(
      Between(0, static_cast<std::int64_t>(executors_.size()) - 1))];
  const std::string id = executor.Id();
  if (!draining_.insert(id).second) return;
  ++entries_version_;
  After(kDrainingMs, [this, id, &executor] {
    invariants_.OnRestart(id);
    executor.Restart(now_ms_);
    // The executor does not respond until it is back under its old id.
    unreachable_until_[Index(id)] = now_ms_ + kDowntimeMs;
    After(kDowntimeMs, [this, id] {
      draining_.erase(id);
      invariants_.OnRestart(id);
      ++entries_version_;
    });
  });
}

void simulated_fleet::LapseEntry() {
  const std::string id =
      executors_[static_cast<std::size_t>(Between(
                     0, static_cast<std::int64_t>(executors_.size()) - 1))]
          .Id();
  if (!lapsed_.insert(id).second) return;
  ++entries_version_;
  After(Between(1, options_.max_lapse_ms), [this, id] {
    lapsed_.erase(id);
    ++entries_version_;
  });
}

void simulated_fleet::InjectFault() {
  if (options_.reliable_executors) {
    Elect();
    return;
  }
  const auto victim = static_cast<std::size_t>(
      Between(0, static_cast<std::int64_t>(executors_.size()) - 1));
  switch (Between(0, 3)) {
    case 0:
      invariants_.OnRestart(executors_[victim].Id());
      executors_[victim].Restart(now_ms_);
      unreachable_until_[victim] = std::max(
          unreachable_until_[victim], now_ms_ + options_.crash_downtime_ms);
      break;
    case 1:
      unreachable_until_[victim] = now_ms_ + Between(1000, 9000);
      break;
    default:
      Elect();
      break;
  }
}

void simulated_fleet::RunTasks() {
  for (fake_executor& executor : executors_) {
    executor.Tick(now_ms_);
    const auto running = executor.Running();
    for (const auto& [task, live] : running) {
      if (IsMember(task)) continue;
      const bool long_running = options_.uneven_tasks && task.index == 0;
      if (!ChancePerMille(long_running ? kSlowEndPerMille : kEndPerMille)) {
        continue;
      }
      const bool failed = ChancePerMille(kFailurePerMille);
      if (failed) invariants_.OnFailed(task, live.run);
      executor.End(task,
                   failed ? fleet::run_end::kFailed : fleet::run_end::kDone);
    }
  }
}

bool simulated_fleet::IsMember(const fleet::task_ref& task) const {
  return options_.gangs && task.step == 1;
}

void simulated_fleet::RunGangs() {
  std::map<gang_key, std::set<std::uint32_t>> present;
  for (const fake_executor& executor : executors_) {
    for (const auto& [task, live] : executor.Running()) {
      if (!IsMember(task)) continue;
      present[{task.job, live.run}].insert(task.index);
      gangs_[{task.job, live.run}].joined.insert(task.index);
    }
  }
  for (auto& [key, one] : gangs_) {
    if (!one.end && one.joined != present[key]) {
      one.end = fleet::run_end::kBroken;
    }
  }
  for (fake_executor& executor : executors_) {
    const auto running = executor.Running();
    for (const auto& [task, live] : running) {
      if (!IsMember(task)) continue;
      gang& one = gangs_[{task.job, live.run}];
      if (one.end) {
        const bool fails_too = one.end == fleet::run_end::kBroken &&
                               ChancePerMille(kFailsTooPerMille);
        if (fails_too) invariants_.OnFailed(task, live.run);
        executor.End(task, fails_too ? fleet::run_end::kFailed : *one.end);
        continue;
      }
      const bool complete = one.joined.size() == kSecondStepTasks;
      if (complete ? !ChancePerMille(kEndPerMille)
                   : now_ms_ - live.begun_ms <= kGangTimeoutMs) {
        continue;
      }
      const bool done = complete && !ChancePerMille(kFailurePerMille);
      if (complete && !done) invariants_.OnFailed(task, live.run);
      one.end = done ? fleet::run_end::kDone : fleet::run_end::kBroken;
      executor.End(task, done       ? fleet::run_end::kDone
                         : complete ? fleet::run_end::kFailed
                                    : fleet::run_end::kGangIncomplete);
    }
  }
}

std::vector<std::string> simulated_fleet::Violations() const {
  std::vector<std::string> all = invariants_.Violations();
  all.insert(all.end(), records_.Violations().begin(),
             records_.Violations().end());
  return all;
}

std::optional<schema::fleet_progress> simulated_fleet::Progress(
    const std::string& job) const {
  return records_.Progress(job);
}

bool simulated_fleet::AllFinal() const {
  return std::ranges::all_of(jobs_, [this](const std::string& id) {
    const auto progress = Progress(id);
    return progress && progress->state() >= schema::FLEET_COMPLETED;
  });
}

}  // namespace waxwingfront::tests
