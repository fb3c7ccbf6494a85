#include "support/simulated_fleet.h"

#include <algorithm>
#include <utility>

#include "support/simulated_fleet_leader.h"

namespace waxwingfront::tests {

schema::fleet_job WorldJob(const std::string& id) {
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
  return job;
}
simulated_fleet::simulated_fleet(std::uint32_t seed,
                                 simulated_fleet_options options)
    : random_(seed),
      options_(options),
      rules_({.max_attempts = kMaxAttempts,
              .first_step_tasks = kFirstStepTasks,
              .drain_ms = kDrainMs,
              .noted_ms = options.reliable_executors ? kNotedMs : 0}) {
  for (int i = 0; i < options.executors; ++i) {
    executors_.emplace_back("e" + std::to_string(i), now_ms_);
    cut_until_.push_back(0);
  }
  Elect();
  for (int i = 0; i < options.jobs; ++i) {
    const std::string id = "job" + std::to_string(i);
    jobs_.insert(id);
    current_->core.Submit(WorldJob(id), Now());
  }
}

simulated_fleet::~simulated_fleet() = default;

bool simulated_fleet::Chance(int in_thousand) {
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

void simulated_fleet::Run(std::int64_t ms, bool calm) {
  calm_ = calm;
  const std::int64_t end = now_ms_ + ms;
  while (now_ms_ < end && Violations().empty()) {
    now_ms_ += kStepMs;
    while (!events_.empty() && events_.front().at_ms <= now_ms_) {
      std::pop_heap(events_.begin(), events_.end(), std::greater<>());
      const std::function<void()> act = std::move(events_.back().act);
      events_.pop_back();
      act();
    }
    Work();
    if (!calm && now_ms_ % kThousand == 0) {
      if (Chance(options_.faults_per_mille)) Fault();
      if (options_.drains_per_mille > 0 && Chance(options_.drains_per_mille))
        Drain();
      if (options_.stalls_per_mille > 0 && Chance(options_.stalls_per_mille))
        MaybeStall();
    }
    rules_.Check(executors_);
  }
}

void simulated_fleet::Message(int executor, call sent) {
  const auto cut = [this, executor] {
    return now_ms_ < cut_until_[static_cast<std::size_t>(executor)];
  };
  const auto give_up = [this, answer = sent.answer] {
    After(kOrderTimeoutMs, [answer] { answer(false); });
  };
  if (cut() || (!calm_ && Chance(options_.lost_per_mille))) {
    give_up();
    return;
  }
  if (!calm_ && Chance(options_.late_per_mille)) {
    // The order waits in the executor's memory and dies with it.
    fake_executor& target = executors_[static_cast<std::size_t>(executor)];
    After(Between(2000, 8000),
          [act = sent.act, cut, &target, born = target.BornMs()] {
            if (!cut() && target.BornMs() == born) act();
          });
    give_up();
    return;
  }
  const bool lost_answer = !calm_ && Chance(options_.lost_per_mille);
  // Where nothing fails by itself, a request dies with its executor.
  const auto gone =
      [this, executor,
       born = executors_[static_cast<std::size_t>(executor)].BornMs()] {
        return options_.reliable_executors &&
               executors_[static_cast<std::size_t>(executor)].BornMs() != born;
      };
  After(Between(1, 20), [this, sent, cut, gone, lost_answer, give_up] {
    if (!gone()) sent.act();
    if (cut() || gone() || lost_answer) {
      give_up();
      return;
    }
    if (!sent.reply) {
      After(Between(1, 20), [answer = sent.answer] { answer(true); });
      return;
    }
    After(sent.wait_ms, [this, sent, cut, give_up] {
      if (cut()) {
        give_up();
        return;
      }
      sent.reply();
      After(Between(1, 20), [answer = sent.answer] { answer(true); });
    });
  });
}

void simulated_fleet::MaybeStall() {
  current_->busy_until_ms = now_ms_ + Between(0, options_.max_stall_ms);
}

void simulated_fleet::Drain() {
  fake_executor& executor = executors_[static_cast<std::size_t>(
      Between(0, static_cast<std::int64_t>(executors_.size()) - 1))];
  const std::string id = executor.Id();
  if (!draining_.insert(id).second) return;
  ++entries_version_;
  After(kDrainingMs, [this, id, &executor] {
    rules_.OnRestart(id);
    executor.Restart(now_ms_);
    // Nobody answers until it is back under its old id.
    cut_until_[Index(id)] = now_ms_ + kAwayMs;
    After(kAwayMs, [this, id] {
      draining_.erase(id);
      rules_.OnRestart(id);
      ++entries_version_;
    });
  });
}

void simulated_fleet::Fault() {
  if (options_.reliable_executors) {
    Elect();
    return;
  }
  const auto victim = static_cast<std::size_t>(
      Between(0, static_cast<std::int64_t>(executors_.size()) - 1));
  switch (Between(0, 3)) {
    case 0:
      rules_.OnRestart(executors_[victim].Id());
      executors_[victim].Restart(now_ms_);
      break;
    case 1:
      cut_until_[victim] = now_ms_ + Between(1000, 9000);
      break;
    default:
      Elect();
      break;
  }
}

void simulated_fleet::Work() {
  for (fake_executor& executor : executors_) {
    executor.Tick(now_ms_);
    const auto running = executor.Running();
    for (const auto& [task, live] : running) {
      const bool lasts = options_.uneven_tasks && task.index == 0;
      if (!Chance(lasts ? 2 : 10)) continue;
      executor.End(
          task, Chance(50) ? fleet::run_end::kFailed : fleet::run_end::kDone);
    }
  }
}

std::vector<std::string> simulated_fleet::Violations() const {
  std::vector<std::string> all = rules_.Violations();
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
