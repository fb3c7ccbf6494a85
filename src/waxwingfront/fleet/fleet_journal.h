// Turns changes of jobs into conditional writes of their records.
#ifndef WAXWINGFRONT_FLEET_FLEET_JOURNAL_H_
#define WAXWINGFRONT_FLEET_FLEET_JOURNAL_H_

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <vector>

#include "waxwingfront/fleet/fleet_state.h"

namespace waxwingfront::fleet {

enum class record_kind { kJob, kProgress };

struct record_write {
  record_kind kind = record_kind::kJob;
  std::string id;
  // Revision that the record must have now; 0 if it must not exist.
  std::int64_t expected_revision = 0;
  // Removed instead of written.
  bool remove = false;
  std::string value;
};

// Where a record stands according to the store.
struct record_revision {
  record_kind kind = record_kind::kJob;
  std::string id;
  // 0 if it does not exist.
  std::int64_t revision = 0;
};

// One batch is on its way at most. A batch without an answer is followed by one
// that expects the same revisions, so that of the two only one takes effect.
class fleet_journal {
 public:
  explicit fleet_journal(fleet_state& state) : state_(state) {}

  // Called for each job of a stored batch, before its waiters.
  std::function<void(job_state&, moment)> on_job_stored;
  // Called once for a stored batch, after all its jobs.
  std::function<void()> on_batch_stored;

  // The next writes, empty if there are none or a batch is on its way. A job
  // takes two writes at most.
  std::vector<record_write> NextBatch(std::size_t max_writes);

  // The batch took effect as `revision`.
  void Stored(std::int64_t revision, moment at);

  // The batch took no effect because records have other revisions.
  void Conflicted(std::span<const record_revision> actual);

  // The batch may or may not have taken effect, or surely did not.
  void Unanswered();

  // Calls `done` once the job's present state is stored.
  void OnceStored(job_state& job, std::function<void(bool)> done);

  // Marks a final job's records for removal.
  void Remove(job_state& job);

  // Tells all waiters that their changes may be lost.
  void Abandon();

 private:
  struct batch_entry {
    std::string id;
    std::uint64_t version;
    schema::fleet_job_state state;
    bool wrote_job;
    bool wrote_progress;
    bool removed;
  };

  fleet_state& state_;
  std::vector<batch_entry> in_flight_;
  std::vector<std::string> removals_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FLEET_JOURNAL_H_
