#include "waxwingfront/fleet/fleet_journal.h"

#include <algorithm>
#include <utility>

namespace waxwingfront::fleet {
namespace {

// A batch with urgent changes does not wait to be fuller than one part in this
// many, since callers wait for it.
constexpr std::size_t kUrgentBatchDivisor = 3;
// A write without a response takes effect within seconds or not at all.
constexpr core::milliseconds kLateWriteBound{30'000};

}  // namespace

pending_changes fleet_journal::Pending(std::size_t max_writes) const {
  const bool urgent = state_.store_backlog.AnyUrgent();
  const std::size_t full_batch =
      urgent ? max_writes / kUrgentBatchDivisor : max_writes;
  return {.any = state_.store_backlog.Size() > 0 || !removals_.empty(),
          .urgent = urgent,
          .full = state_.store_backlog.ReadySize() >= full_batch};
}

write_batch fleet_journal::NextBatch(std::size_t max_writes) {
  write_batch batch{.number = last_batch_ + 1};
  batch_entries entries;
  for (job_state* const job : state_.store_backlog.Take(max_writes)) {
    WriteChanges(*job, batch.records, entries);
  }
  while (!removals_.empty() && batch.records.size() + 2 <= max_writes) {
    const job_state* const job = state_.FindJob(removals_.back());
    removals_.pop_back();
    if (job != nullptr) WriteRemoval(*job, batch.records, entries);
  }
  if (entries.empty()) return {};
  last_batch_ = batch.number;
  in_flight_[batch.number] = std::move(entries);
  return batch;
}

void fleet_journal::WriteChanges(job_state& job,
                                 std::vector<record_write>& writes,
                                 batch_entries& entries) {
  const bool new_job = job.job_revision == 0;
  if (new_job) {
    writes.push_back({.kind = record_kind::kJob,
                      .id = job.Id(),
                      .expected_revision = 0,
                      .value = job.Spec().SerializeAsString()});
  }
  const bool progress = !new_job || job.AnyActive() || job.Final();
  if (progress) {
    writes.push_back({.kind = record_kind::kProgress,
                      .id = job.Id(),
                      .expected_revision = job.progress_revision,
                      .value = job.ToRecord().SerializeAsString()});
  }
  entries.push_back({.id = job.Id(),
                     .version = job.version,
                     .state = job.State(),
                     .wrote_job = new_job,
                     .wrote_progress = progress,
                     .removed = false});
}

void fleet_journal::WriteRemoval(const job_state& job,
                                 std::vector<record_write>& writes,
                                 batch_entries& entries) {
  writes.push_back({.kind = record_kind::kJob,
                    .id = job.Id(),
                    .expected_revision = job.job_revision,
                    .remove = true,
                    .value = {}});
  writes.push_back({.kind = record_kind::kProgress,
                    .id = job.Id(),
                    .expected_revision = job.progress_revision,
                    .remove = true,
                    .value = {}});
  entries.push_back({.id = job.Id(),
                     .version = job.version,
                     .state = job.State(),
                     .wrote_job = false,
                     .wrote_progress = false,
                     .removed = true});
}

fleet_journal::batch_entries fleet_journal::TakeBatch(std::uint64_t batch) {
  const auto found = in_flight_.find(batch);
  if (found == in_flight_.end()) return {};
  batch_entries entries = std::move(found->second);
  in_flight_.erase(found);
  return entries;
}

void fleet_journal::Stored(std::uint64_t batch, std::int64_t revision,
                           moment at) {
  for (const batch_entry& entry : TakeBatch(batch)) {
    OnEntryStored(entry, revision, at);
  }
}

void fleet_journal::OnEntryStored(const batch_entry& entry,
                                  std::int64_t revision, moment at) {
  job_state* const job = state_.FindJob(entry.id);
  if (job == nullptr) return;
  if (entry.removed) {
    state_.RemoveJob(entry.id);
    return;
  }
  if (entry.wrote_job) {
    job->job_revision = revision;
    job->milestones.stored = at.now;
  }
  if (entry.wrote_progress) job->progress_revision = revision;
  if (std::exchange(job->write_unanswered, false)) {
    job->late_writes_until = at.now + kLateWriteBound;
  }
  job->stored_version = entry.version;
  job->stored_state = entry.state;
  state_.store_backlog.OnBatchStored(*job);
  if (on_job_stored) on_job_stored(*job, at);
  std::vector<std::function<void(bool)>> ready;
  std::erase_if(job->store_callbacks, [&](job_state::store_callback& callback) {
    if (callback.version > job->stored_version) return false;
    ready.push_back(std::move(callback.done));
    return true;
  });
  for (const auto& done : ready) done(true);
}

void fleet_journal::Conflicted(std::uint64_t batch,
                               std::span<const record_revision> actual) {
  for (const record_revision& record : actual) {
    job_state* const job = state_.FindJob(record.id);
    if (job == nullptr) continue;
    if (record.kind == record_kind::kJob) {
      job->job_revision = record.revision;
    } else {
      job->progress_revision = record.revision;
    }
  }
  Retry(TakeBatch(batch));
}

void fleet_journal::Unanswered(std::uint64_t batch) {
  const batch_entries entries = TakeBatch(batch);
  for (const batch_entry& entry : entries) {
    job_state* const job = state_.FindJob(entry.id);
    if (job != nullptr && !entry.removed) job->write_unanswered = true;
  }
  Retry(entries);
}

void fleet_journal::Retry(const batch_entries& entries) {
  for (const batch_entry& entry : entries) {
    job_state* const job = state_.FindJob(entry.id);
    if (job == nullptr) continue;
    if (entry.removed && job->job_revision == 0) {
      // An earlier attempt, whose response was lost, removed the records.
      state_.RemoveJob(entry.id);
    } else if (entry.removed) {
      removals_.push_back(entry.id);
    } else {
      state_.store_backlog.Requeue(*job);
    }
  }
}

void fleet_journal::OnceStored(job_state& job, std::function<void(bool)> done) {
  if (job.stored_version >= job.version) {
    done(true);
    return;
  }
  job.store_callbacks.push_back(
      {.version = job.version, .done = std::move(done)});
  // The placements of a new job are stored with it, once planning is over.
  if (job.pending_urgency &&
      *job.pending_urgency != store_urgency::kAfterPlanning) {
    state_.store_backlog.Add(job, store_urgency::kImmediate);
  }
}

void fleet_journal::Remove(job_state& job) { removals_.push_back(job.Id()); }

void fleet_journal::Abandon() {
  std::vector<std::function<void(bool)>> lost;
  for (auto& [id, job] : state_.jobs) {
    for (job_state::store_callback& callback : job->store_callbacks) {
      lost.push_back(std::move(callback.done));
    }
    job->store_callbacks.clear();
  }
  for (const auto& done : lost) done(false);
}

}  // namespace waxwingfront::fleet
