// Jobs whose changes the store does not have, most urgent first.
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

// A job is in one batch at most: changes made while one is on its way wait
// until that batch has been settled.
class store_queue {
 public:
  // Notes a change of `job`.
  void Add(job_state& job, store_urgency urgency);

  // Takes jobs that need `max_records` records at most. Each urgency gets some
  // of them, so that none waits for ever; the rest go to the most urgent. New
  // jobs that have not been planned for get what is left.
  std::vector<job_state*> Take(std::size_t max_records);

  // The job's batch took effect: what changed since queues now.
  void Settle(job_state& job);
  // The job's batch may have failed: the job takes its old place again.
  void Return(job_state& job);

  std::size_t Size() const { return entries_.size(); }
  // Without new jobs that have not been planned for.
  std::size_t Ready() const;
  bool AnyUrgent() const {
    return !entries_.empty() &&
           entries_.begin()->first.urgency == store_urgency::kImmediate;
  }

 private:
  struct place {
    store_urgency urgency;
    std::uint64_t turn;

    friend auto operator<=>(const place&, const place&) = default;
  };

  void Insert(job_state& job);
  // Takes jobs of `urgency` while there is room for them.
  void TakeOf(store_urgency urgency, std::size_t& room,
              std::vector<job_state*>& taken);

  std::map<place, job_state*> entries_;
  std::uint64_t turns_ = 0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_STORE_QUEUE_H_
