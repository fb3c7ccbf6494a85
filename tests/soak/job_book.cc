#include "soak/job_book.h"

#include <algorithm>

namespace waxwingfront::soak {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

// Starts that were sent before a job was shown as completed may still arrive.
constexpr milliseconds kCompletedSlack{1000};

bool IsSuccess(int status) { return status >= kOk && status < 300; }

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

}  // namespace

void job_book::Sent(const soak_job& sent) {
  const milliseconds now = log_.Now();
  const std::scoped_lock lock(mutex_);
  job_state& job = jobs_[sent.id];
  job.queue = sent.queue;
  job.kind = sent.kind;
  job.tasks = sent.tasks;
  job.width = sent.width;
  job.first_run_ms = sent.first_run_ms;
  job.interval_ms = sent.interval_ms;
  job.last_sent = std::max(job.last_sent, now);
  ++job.attempts;
}

void job_book::Answered(const std::string& id, int status) {
  const milliseconds now = log_.Now();
  const std::scoped_lock lock(mutex_);
  job_state& job = jobs_[id];
  if (IsSuccess(status)) {
    if (!job.accepted) job.accepted = now;
    if (job.kind == job_kind::kLasting) lasting_.insert(id);
  } else if (status == kTooMany || status == kUnavailable ||
             status == kNotFound) {
    ++job.refusals;
  }
}

void job_book::Cancelled(const std::string& id, int status) {
  const milliseconds now = log_.Now();
  const std::scoped_lock lock(mutex_);
  job_state& job = jobs_[id];
  if (!job.cancel_sent) job.cancel_sent = now;
  lasting_.erase(id);
  if (!IsSuccess(status) || job.cancelled) return;
  job.cancelled = now;
  stopping_.insert(id);
}

bool job_book::AllDone(const job_state& job) const {
  return std::ranges::count_if(job.task_states, [](const auto& row) {
           return !row.second.done.empty();
         }) >= job.tasks;
}

bool job_book::AllBegun(const job_state& job) {
  return std::ranges::count_if(job.task_states, [](const auto& row) {
           return row.second.last_begun.has_value();
         }) >= job.tasks;
}

std::optional<milliseconds> job_book::EndOf(const job_state& job) const {
  if (!AllDone(job)) return std::nullopt;
  milliseconds end{0};
  for (const auto& [name, task] : job.task_states) {
    for (const auto& [place, at] : task.done) end = std::max(end, at);
  }
  return job.shown_ended ? std::min(end, *job.shown_ended) : end;
}

void job_book::Shown(const std::string& id, int status, std::string_view body,
                     milliseconds sent_at, std::string_view where) {
  const milliseconds now = log_.Now();
  const std::scoped_lock lock(mutex_);
  const auto found = jobs_.find(id);
  if (found == jobs_.end()) return;
  job_state& job = found->second;
  const std::string about = "job " + id + " at " + std::string(where) + ", ";
  const bool cancelled = job.cancel_sent.has_value();
  if (status == kGone) {
    if (cancelled || !job.accepted) return;
    if (sent_at <= *job.accepted + bounds_.visible) return;
    const std::optional<milliseconds> end = EndOf(job);
    if (end && now > *end + bounds_.status) return;
    log_.Breach("LOST", about + "is unknown; accepted at " +
                            std::to_string(job.accepted->count()) +
                            (end ? ", ended at " + std::to_string(end->count())
                                 : ", not ended"));
    return;
  }
  if (status != kOk) return;
  const bool completed = body.find("completed") != std::string_view::npos;
  if (completed && !AllDone(job)) {
    log_.Breach("MIXED", about + "shown as completed with tasks not done");
  }
  if (completed && !job.shown_ended) job.shown_ended = now;
  if (completed && !job.shown_completed) job.shown_completed = now;
  if (body.find("\"failed\"") != std::string_view::npos && !cancelled) {
    if (!job.shown_ended) job.shown_ended = now;
    const bool has_cause =
        job.kind != job_kind::kLasting &&
        std::ranges::any_of(job.task_states, [this](const auto& row) {
          return row.second.failed >= bounds_.max_attempts;
        });
    if (!has_cause) log_.Breach("LOST", about + "failed without cause");
  }
  if (body.find("cancelled") != std::string_view::npos && !cancelled) {
    log_.Breach("LOST", about + "shown as cancelled, nobody cancelled it");
  }
}

void job_book::Begun(job_state& job, const review::run_event& event,
                     milliseconds at) {
  task_state& task = job.task_states[event.task];
  const std::string about = event.task + " run " + std::to_string(event.run) +
                            " at " + event.executor + ", ";
  job.begun = true;
  ++starts_;
  CheckDue(job, event);
  CheckGang(job, event);
  for (const run_place& other : task.running) {
    log_.Breach("TWICE", about + "runs also at " + other.executor + " as run " +
                             std::to_string(other.run));
  }
  task.running.insert({event.executor, event.run});
  // A request that arrives again after the record's end is a new job.
  const std::optional<milliseconds> end = EndOf(job);
  const bool sent_again = end && job.last_sent > *end + bounds_.status;
  if (task.done_seen && at > *task.done_seen && !sent_again) {
    log_.Breach("TWICE", about + "starts after an acknowledged end");
  } else if (job.shown_completed && !sent_again &&
             at > *job.shown_completed + kCompletedSlack &&
             !is_disturbed(bounds_.contact)) {
    log_.Breach("TWICE", about + "starts after its job was completed");
  }
  task.last_begun = std::max(task.last_begun.value_or(at), at);
  task.missed = false;
  if (job.cancelled) stopping_.insert(JobOf(event.task));
  if (job.cancelled && at > *job.cancelled + bounds_.cancel &&
      !is_disturbed(bounds_.contact)) {
    log_.Breach("UNASKED", about + "starts " +
                               std::to_string((at - *job.cancelled).count()) +
                               " ms after its cancel");
  }
}

void job_book::Ran(const review::run_event& event, milliseconds at) {
  log_.Write(event.executor + " " + event.task + " run " +
             std::to_string(event.run) + " " + event.what + " " + event.detail);
  if (event.task.empty()) return;
  const std::scoped_lock lock(mutex_);
  const auto found = jobs_.find(JobOf(event.task));
  if (found == jobs_.end()) {
    log_.Breach("UNASKED", event.task + " was sent by nobody");
    return;
  }
  job_state& job = found->second;
  if (event.what == "begun") {
    Begun(job, event, at);
    return;
  }
  if (event.what == "refused" || event.what == "seen_after_lapse") return;
  if (event.what == "seen") {
    if (event.detail == "done") Seen(job, event);
    return;
  }
  task_state& task = job.task_states[event.task];
  task.running.erase({event.executor, event.run});
  task.last_end = std::max(task.last_end.value_or(at), at);
  if (event.what == "done") Done(job, event, at);
  if (event.what == "alone") CheckGang(job, event);
  if (event.what == "failed") ++task.failed;
}

std::vector<std::string> job_book::Unfinished() const {
  const std::scoped_lock lock(mutex_);
  std::vector<std::string> ids;
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted || job.cancel_sent) continue;
    const bool reached =
        job.kind == job_kind::kLasting ? AllBegun(job) : AllDone(job);
    if (!reached) ids.push_back(id);
  }
  return ids;
}

std::vector<std::string> job_book::Owed() const {
  const milliseconds now = log_.Now();
  const std::scoped_lock lock(mutex_);
  std::vector<std::string> ids;
  for (const auto& [id, job] : jobs_) {
    if (!job.accepted || job.cancel_sent) continue;
    const std::optional<milliseconds> end = EndOf(job);
    if (!end || now <= *end + bounds_.status) ids.push_back(id);
  }
  return ids;
}

void job_book::CheckRefused() {
  const std::scoped_lock lock(mutex_);
  for (const auto& [id, job] : jobs_) {
    if (job.begun && job.refusals == job.attempts) {
      log_.Breach("REFUSED", "job " + id + " was refused and started");
    }
  }
}

std::string job_book::Summary() const {
  const std::scoped_lock lock(mutex_);
  const auto accepted = std::ranges::count_if(
      jobs_, [](const auto& row) { return row.second.accepted.has_value(); });
  const auto cancelled = std::ranges::count_if(
      jobs_, [](const auto& row) { return row.second.cancelled.has_value(); });
  return std::to_string(jobs_.size()) + " jobs sent, " +
         std::to_string(accepted) + " accepted, " + std::to_string(cancelled) +
         " cancelled, " + std::to_string(starts_) + " starts";
}

std::size_t job_book::QueueOf(const std::string& id) const {
  const std::scoped_lock lock(mutex_);
  return jobs_.at(id).queue;
}

bool job_book::Lasts(const std::string& id) const {
  const std::scoped_lock lock(mutex_);
  return jobs_.at(id).kind == job_kind::kLasting;
}

}  // namespace waxwingfront::soak
