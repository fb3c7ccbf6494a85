#include "waxwingfront/fleet/store_queue.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace waxwingfront::fleet {
namespace {

constexpr std::array kUrgencies = {store_urgency::kAtOnce,
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
      position{.urgency = *job.unstored_as, .sequence = job.store_turn}, &job);
}

void store_queue::Add(job_state& job, store_urgency urgency) {
  if (job.unstored_as && *job.unstored_as <= urgency) return;
  if (!job.in_batch_as) {
    if (job.unstored_as) {
      entries_.erase(
          position{.urgency = *job.unstored_as, .sequence = job.store_turn});
    } else {
      job.store_turn = ++last_sequence_;
    }
  }
  job.unstored_as = urgency;
  if (!job.in_batch_as) Insert(job);
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
    job.in_batch_as = std::exchange(job.unstored_as, std::nullopt);
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

std::size_t store_queue::ReadySize() const {
  const auto unplanned = entries_.lower_bound(
      position{.urgency = store_urgency::kAfterPlanning, .sequence = 0});
  return Size() -
         static_cast<std::size_t>(std::distance(unplanned, entries_.end()));
}

void store_queue::OnBatchStored(job_state& job) {
  job.in_batch_as.reset();
  if (!job.unstored_as) return;
  job.store_turn = ++last_sequence_;
  Insert(job);
}

void store_queue::Requeue(job_state& job) {
  const store_urgency before = *std::exchange(job.in_batch_as, std::nullopt);
  job.unstored_as = std::min(before, job.unstored_as.value_or(before));
  Insert(job);
}

}  // namespace waxwingfront::fleet
