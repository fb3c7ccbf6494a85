// Checks of the book that depend on the time that has passed.
#include <algorithm>

#include "soak/job_book.h"

namespace waxwingfront::soak {
namespace {

constexpr milliseconds kCheckInterval{100};
// A task that lasts is owed from this long after its last run.
constexpr milliseconds kTurn{6000};
// For so long at least; the time before has to be calm as well.
constexpr milliseconds kIdle{3000};
constexpr milliseconds kCalmBefore{4000};

}  // namespace

bool job_book::IsRunning(const job_state& job) {
  return std::ranges::any_of(job.task_states, [](const auto& row) {
    return !row.second.running.empty();
  });
}

bool job_book::AnyStopping() const {
  const std::scoped_lock lock(mutex_);
  return std::ranges::any_of(
      stopping_, [this](const auto& id) { return IsRunning(jobs_.at(id)); });
}

void job_book::CheckNow() {
  const std::scoped_lock lock(mutex_);
  if (log_.Now() < next_check_) return;
  next_check_ = log_.Now() + kCheckInterval;
  if (!is_disturbed(kIdle + kCalmBefore)) {
    for (const std::string& id : lasting_) CheckLasting(id, jobs_.at(id));
  }
  std::erase_if(stopping_, [this](const std::string& id) {
    job_state& job = jobs_.at(id);
    CheckStopped(job);
    return !IsRunning(job);
  });
}

void job_book::CheckLasting(const std::string& id, job_state& job) {
  for (int i = 0; i < job.tasks; ++i) {
    const std::string name = id + ".0.0." + std::to_string(i);
    task_state& task = job.task_states[name];
    if (!task.running.empty() || task.missed) continue;
    const milliseconds since =
        std::max(*job.accepted, task.last_end.value_or(milliseconds{0}));
    if (log_.Now() <= since + kTurn + kIdle) continue;
    task.missed = true;
    log_.Breach("LOST", name + " lasts and has not run for " +
                            std::to_string((log_.Now() - since).count()) +
                            " ms");
  }
}

void job_book::CheckStopped(job_state& job) {
  for (auto& [name, task] : job.task_states) {
    if (task.running.empty() || task.overran) continue;
    milliseconds due = *job.cancelled + bounds_.cancel;
    // Started late by its executor.
    if (*task.last_begun > *job.cancelled) {
      due = std::max(due, *task.last_begun + bounds_.contact);
    }
    if (log_.Now() <= due + bounds_.stop_timeout ||
        is_disturbed(bounds_.contact + bounds_.cancel + bounds_.stop_timeout)) {
      continue;
    }
    task.overran = true;
    log_.Breach("UNASKED",
                name + " runs " +
                    std::to_string((log_.Now() - *job.cancelled).count()) +
                    " ms after its cancel");
  }
}

}  // namespace waxwingfront::soak
