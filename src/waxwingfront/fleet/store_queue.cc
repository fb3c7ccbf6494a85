#include "waxwingfront/fleet/store_queue.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace waxwingfront::fleet {
namespace {

constexpr std::array kUrgencies = {store_urgency::kImmediate,
                                   store_urgency::kRestart,
                                   store_urgency::kStart, store_urgency::kEnd};
// Records of each batch that are reserved for each urgency: those of one new
// job.
constexpr std::size_t kRecordsPerUrgency = 2;

// Returns the largest number of records that the job's changes need.
std::size_t RecordsOf(const job_state& job) {
  return job.job_revision == 0 ? 2 : 1;
}

}  // namespace

void store_queue::Insert(job_state& job) {
  entries_.emplace(
      position{.urgency = *job.pending_urgency, .sequence = job.store_sequence},
      &job);
}

void store_queue::Add(job_state& job, store_urgency urgency) {
  if (job.pending_urgency && *job.pending_urgency <= urgency) return;
  if (!job.in_flight_urgency) {
    if (job.pending_urgency) {
      entries_.erase(position{.urgency = *job.pending_urgency,
                              .sequence = job.store_sequence});
    } else {
      job.store_sequence = ++last_sequence_;
    }
  }
  job.pending_urgency = urgency;
  if (!job.in_flight_urgency) Insert(job);
}

void store_queue::TakeUrgency(store_urgency urgency, std::size_t& capacity,
                              std::vector<job_state*>& taken) {
  auto entry =
      entries_.lower_bound(position{.urgency = urgency, .sequence = 0});
  while (entry != entries_.end() && entry->first.urgency == urgency) {
    job_state& job = *entry->second;
    const std::size_t records = RecordsOf(job);
    if (records > capacity) return;
    capacity -= records;
    job.in_flight_urgency = std::exchange(job.pending_urgency, std::nullopt);
    taken.push_back(&job);
    entry = entries_.erase(entry);
  }
}

std::vector<job_state*> store_queue::Take(std::size_t max_records) {
  std::vector<job_state*> taken;
  std::size_t capacity = max_records;
  for (const store_urgency urgency : kUrgencies) {
    const std::size_t share = std::min(capacity, kRecordsPerUrgency);
    std::size_t left = share;
    TakeUrgency(urgency, left, taken);
    capacity -= share - left;
  }
  for (const store_urgency urgency : kUrgencies)
    TakeUrgency(urgency, capacity, taken);
  TakeUrgency(store_urgency::kAfterPlanning, capacity, taken);
  return taken;
}

void store_queue::Remove(job_state& job) {
  if (!job.pending_urgency || job.in_flight_urgency) return;
  entries_.erase(position{.urgency = *job.pending_urgency,
                          .sequence = job.store_sequence});
  job.pending_urgency.reset();
}

std::size_t store_queue::ReadySize() const {
  const auto unplanned = entries_.lower_bound(
      position{.urgency = store_urgency::kAfterPlanning, .sequence = 0});
  return Size() -
         static_cast<std::size_t>(std::distance(unplanned, entries_.end()));
}

void store_queue::OnBatchStored(job_state& job) {
  job.in_flight_urgency.reset();
  if (!job.pending_urgency) return;
  job.store_sequence = ++last_sequence_;
  Insert(job);
}

void store_queue::Requeue(job_state& job) {
  store_urgency before = *std::exchange(job.in_flight_urgency, std::nullopt);
  // A round of planning raises only new jobs that are queued.
  if (before == store_urgency::kAfterPlanning && job.planning_attempted) {
    before = store_urgency::kImmediate;
  }
  job.pending_urgency = std::min(before, job.pending_urgency.value_or(before));
  Insert(job);
}

}  // namespace waxwingfront::fleet
