// Keeps what jobs cost within the process's memory: occurrences have state only
// while they are near, and a new job is refused if all live jobs, each with one
// occurrence, would cost too much.
#ifndef WAXWINGFRONT_FLEET_JOB_MEMORY_H_
#define WAXWINGFRONT_FLEET_JOB_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/job_state.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::fleet {

struct job_memory_options {
  // Memory that the process may use, in units of 1,000,000 bytes; no bound on
  // what jobs cost if 0.
  std::int64_t process_mb = 0;
  // Share of it that jobs may cost. The rest is for the program, its calls, and
  // for what a take-over reads and has not parsed yet.
  double job_share = 0.6;
  // Share of the jobs' memory up to which a job may have several occurrences at
  // once.
  double overlap_share = 0.5;
  // Share of the jobs' memory that is left for tasks if records of earlier
  // versions fill it.
  double min_task_share = 0.25;
  // How long before its due time an occurrence gets its state.
  core::milliseconds lead{1000};
  // When the caller of a job that was refused should try again.
  core::milliseconds retry_after{5000};
};

// Why a new job was refused, in bytes.
struct memory_refusal {
  std::size_t needed = 0;
  std::size_t committed = 0;
  std::size_t limit = 0;
  core::milliseconds retry_after{0};
};

class job_memory {
 public:
  job_memory(fleet_state& state, job_memory_options options);

  // Returns why a new job may not be accepted, or nothing if it may.
  std::optional<memory_refusal> Admit(const schema::fleet_job& job) const;

  // Charges a job that was added to the live ones, and makes the state of its
  // occurrences that are near.
  void OnAdded(job_state& job, moment at);

  // Frees the states of occurrences that are over, and makes those of the ones
  // that are near, earliest first, as far as memory suffices. References to
  // tasks that are not active become invalid.
  void Update(moment at);

  // Number of jobs with a near occurrence that has no state for want of memory.
  std::size_t Withheld() const { return withheld_; }

 private:
  // Returns the due time of the job's next occurrence if it is near.
  std::optional<std::int64_t> NextNear(const job_state& job, moment at) const;
  // Makes the job's next occurrence. Returns false if memory does not suffice.
  bool MakeNext(job_state& job);
  // Adds the job's cost to the sums.
  void Charge(const job_state& job);
  // Bytes that the records of all jobs leave for tasks.
  std::size_t TaskLimit() const;

  fleet_state& state_;
  job_memory_options options_;
  // In bytes; no bound if 0.
  std::size_t limit_;
  // Cost of all states of live jobs.
  std::size_t made_ = 0;
  // The same, with at least one occurrence of each job that is not final.
  std::size_t committed_ = 0;
  std::size_t withheld_ = 0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_JOB_MEMORY_H_
