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

std::vector<std::string> job_book::Members(const job_state& job,
                                           const std::string& task) {
  if (job.kind != job_kind::kGang) return {task};
  const std::string step = task.substr(0, task.rfind('.') + 1);
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(job.width));
  for (int i = 0; i < job.width; ++i) names.push_back(step + std::to_string(i));
  return names;
}

void job_book::Done(job_state& job, const review::run_event& event,
                    milliseconds at) {
  for (const std::string& name : Members(job, event.task)) {
    job.task_states[name].done.try_emplace({event.executor, event.run}, at);
  }
}

void job_book::Seen(job_state& job, const review::run_event& event) {
  for (const std::string& name : Members(job, event.task)) {
    task_state& task = job.task_states[name];
    const auto done = task.done.find({event.executor, event.run});
    if (done == task.done.end()) continue;
    task.done_seen =
        std::min(task.done_seen.value_or(done->second), done->second);
    if (task.last_begun.value_or(milliseconds{0}) > done->second) {
      log_.Breach("TWICE",
                  name + " started after an end that is acknowledged now");
    }
  }
}

void job_book::CheckGang(const job_state& job, const review::run_event& event) {
  if (job.kind != job_kind::kGang || job.cancel_sent) return;
  if (is_disturbed(bounds_.gang_timeout + bounds_.contact)) return;
  const std::string about = event.task + " run " + std::to_string(event.run);
  if (event.what == "alone") {
    log_.Breach("GANG", about + " waited alone for its gang");
    return;
  }
  for (const std::string& name : Members(job, event.task)) {
    const auto found = job.task_states.find(name);
    if (found == job.task_states.end()) continue;
    for (const run_place& other : found->second.running) {
      if (other.run == event.run) continue;
      std::string text = about + " begins beside run ";
      text += std::to_string(other.run) + " of " + name;
      log_.Breach("GANG", text);
    }
  }
}

void job_book::CheckDue(const job_state& job, const review::run_event& event) {
  if (job.kind != job_kind::kScheduled) return;
  const std::int64_t occurrence =
      std::stoll(event.task.substr(event.task.find('.') + 1));
  const std::int64_t early_ms =
      job.first_run_ms + occurrence * job.interval_ms - UnixMs();
  if (early_ms <= bounds_.early_ms) return;
  log_.Breach("ORDER", event.task + " starts " + std::to_string(early_ms) +
                           " ms before its time");
}

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
  const milliseconds now = log_.Now();
  const std::scoped_lock lock(mutex_);
  if (now < next_check_) return;
  next_check_ = now + kCheckInterval;
  if (!is_disturbed(kIdle + kCalmBefore)) {
    for (const std::string& id : lasting_) CheckLasting(id, jobs_.at(id), now);
  }
  std::erase_if(stopping_, [this, now](const std::string& id) {
    job_state& job = jobs_.at(id);
    CheckStopped(job, now);
    return !IsRunning(job);
  });
}

void job_book::CheckLasting(const std::string& id, job_state& job,
                            milliseconds now) {
  for (int i = 0; i < job.tasks; ++i) {
    const std::string name = id + ".0.0." + std::to_string(i);
    task_state& task = job.task_states[name];
    if (!task.running.empty() || task.missed) continue;
    const milliseconds since =
        std::max(*job.accepted, task.last_end.value_or(milliseconds{0}));
    if (now <= since + kTurn + kIdle) continue;
    task.missed = true;
    log_.Breach("LOST", name + " lasts and has not run for " +
                            std::to_string((now - since).count()) + " ms");
  }
}

void job_book::CheckStopped(job_state& job, milliseconds now) {
  for (auto& [name, task] : job.task_states) {
    if (task.running.empty() || task.overran) continue;
    milliseconds due = *job.cancelled + bounds_.cancel;
    // Started late by its executor.
    if (*task.last_begun > *job.cancelled) {
      due = std::max(due, *task.last_begun + bounds_.contact);
    }
    if (now <= due + bounds_.stop_timeout ||
        is_disturbed(bounds_.contact + bounds_.cancel + bounds_.stop_timeout)) {
      continue;
    }
    task.overran = true;
    log_.Breach("UNASKED", name + " runs " +
                               std::to_string((now - *job.cancelled).count()) +
                               " ms after its cancel");
  }
}

}  // namespace waxwingfront::soak
