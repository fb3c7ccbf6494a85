// Queue of jobs with changes that are not yet persisted, most urgent first.
#ifndef WAXWINGFRONT_FLEET_STORE_QUEUE_H_
#define WAXWINGFRONT_FLEET_STORE_QUEUE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "waxwingfront/fleet/job_state.h"

namespace waxwingfront::fleet {

// A job is in at most one batch: changes made while that batch is in flight
// wait until it completes.
class store_queue {
 public:
  // Queues a change of `job`.
  void Add(job_state& job, store_urgency urgency);

  // Removes and returns jobs that need at most `max_records` records in total.
  // Each urgency has a share of them, so that none starves; the rest go to the
  // most urgent. New jobs that have not been planned for get the remainder.
  std::vector<job_state*> Take(std::size_t max_records);

  // Handles the success of the job's batch: queues changes made since.
  void OnBatchStored(job_state& job);
  // Returns a job to its old position, since its batch may have failed. A new
  // job that has been planned for since becomes urgent.
  void Requeue(job_state& job);

  // Drops the changes of a job that is about to be freed.
  void Remove(job_state& job);

  std::size_t Size() const { return entries_.size(); }
  // Number of jobs, except new ones that have not been planned for.
  std::size_t ReadySize() const;
  bool AnyUrgent() const {
    return !entries_.empty() &&
           entries_.begin()->first.urgency <= store_urgency::kRestart;
  }

 private:
  struct position {
    store_urgency urgency;
    std::uint64_t sequence;

    friend auto operator<=>(const position&, const position&) = default;
  };

  void Insert(job_state& job);
  // Takes jobs of `urgency` while their records fit into `capacity`.
  void TakeUrgency(store_urgency urgency, std::size_t& capacity,
                   std::vector<job_state*>& taken);

  std::map<position, job_state*> entries_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_STORE_QUEUE_H_
