#include "waxwingfront/fleet/fleet_journal.h"

#include <algorithm>
#include <utility>

namespace waxwingfront::fleet {

std::vector<record_write> fleet_journal::NextBatch(std::size_t max_writes) {
  std::vector<record_write> writes;
  if (!in_flight_.empty()) return writes;
  while (!state_.unstored.empty() && writes.size() + 2 <= max_writes) {
    const std::string id = std::move(state_.unstored.front());
    state_.unstored.pop_front();
    job_state* const job = state_.FindJob(id);
    if (job == nullptr) continue;
    job->queued_for_store = false;
    const bool new_job = job->job_revision == 0;
    if (new_job) {
      writes.push_back({.kind = record_kind::kJob,
                        .id = id,
                        .expected_revision = 0,
                        .value = job->Spec().SerializeAsString()});
    }
    const bool progress = !new_job || job->AnyActive() || job->Final();
    if (progress) {
      writes.push_back({.kind = record_kind::kProgress,
                        .id = id,
                        .expected_revision = job->progress_revision,
                        .value = job->ToRecord().SerializeAsString()});
    }
    in_flight_.push_back({.id = id,
                          .version = job->version,
                          .state = job->State(),
                          .wrote_job = new_job,
                          .wrote_progress = progress,
                          .removed = false});
  }
  while (!removals_.empty() && writes.size() + 2 <= max_writes) {
    const std::string id = std::move(removals_.back());
    removals_.pop_back();
    job_state* const job = state_.FindJob(id);
    if (job == nullptr) continue;
    writes.push_back({.kind = record_kind::kJob,
                      .id = id,
                      .expected_revision = job->job_revision,
                      .remove = true,
                      .value = {}});
    writes.push_back({.kind = record_kind::kProgress,
                      .id = id,
                      .expected_revision = job->progress_revision,
                      .remove = true,
                      .value = {}});
    in_flight_.push_back({.id = id,
                          .version = job->version,
                          .state = job->State(),
                          .wrote_job = false,
                          .wrote_progress = false,
                          .removed = true});
  }
  return writes;
}

void fleet_journal::Stored(std::int64_t revision, moment at) {
  const std::vector<batch_entry> batch = std::exchange(in_flight_, {});
  for (const batch_entry& entry : batch) {
    job_state* const job = state_.FindJob(entry.id);
    if (job == nullptr) continue;
    if (entry.removed) {
      state_.jobs.erase(entry.id);
      continue;
    }
    if (entry.wrote_job) {
      job->job_revision = revision;
      job->milestones.stored = at.now;
    }
    if (entry.wrote_progress) job->progress_revision = revision;
    job->stored_version = entry.version;
    job->stored_state = entry.state;
    if (on_job_stored) on_job_stored(*job, at);
    std::vector<std::function<void(bool)>> ready;
    std::erase_if(job->waiters, [&](job_state::waiter& waiter) {
      if (waiter.version > job->stored_version) return false;
      ready.push_back(std::move(waiter.done));
      return true;
    });
    for (const auto& done : ready) done(true);
  }
  if (on_batch_stored) on_batch_stored();
}

void fleet_journal::Conflicted(std::span<const record_revision> actual) {
  for (const record_revision& record : actual) {
    job_state* const job = state_.FindJob(record.id);
    if (job == nullptr) continue;
    if (record.kind == record_kind::kJob) {
      job->job_revision = record.revision;
    } else {
      job->progress_revision = record.revision;
    }
  }
  Unanswered();
}

void fleet_journal::Unanswered() {
  const std::vector<batch_entry> batch = std::exchange(in_flight_, {});
  for (auto entry = batch.rbegin(); entry != batch.rend(); ++entry) {
    job_state* const job = state_.FindJob(entry->id);
    if (job == nullptr) continue;
    if (entry->removed) {
      removals_.push_back(entry->id);
    } else if (!job->queued_for_store) {
      job->queued_for_store = true;
      state_.unstored.push_front(entry->id);
    }
  }
}

void fleet_journal::OnceStored(job_state& job, std::function<void(bool)> done) {
  if (job.stored_version >= job.version) {
    done(true);
    return;
  }
  job.waiters.push_back({.version = job.version, .done = std::move(done)});
}

void fleet_journal::Remove(job_state& job) { removals_.push_back(job.Id()); }

void fleet_journal::Abandon() {
  std::vector<std::function<void(bool)>> lost;
  for (auto& [id, job] : state_.jobs) {
    for (job_state::waiter& waiter : job->waiters) {
      lost.push_back(std::move(waiter.done));
    }
    job->waiters.clear();
  }
  for (const auto& done : lost) done(false);
}

}  // namespace waxwingfront::fleet
