// Converts changes of jobs into conditional writes of their store records.
#ifndef WAXWINGFRONT_FLEET_FLEET_JOURNAL_H_
#define WAXWINGFRONT_FLEET_FLEET_JOURNAL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/write_pacer.h"

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

// Current revision of a record in the store.
struct record_revision {
  record_kind kind = record_kind::kJob;
  std::string id;
  // 0 if it does not exist.
  std::int64_t revision = 0;
};

struct write_batch {
  std::uint64_t number = 0;
  std::vector<record_write> records;
};

// Several batches may be in flight, each with different jobs. The changes of a
// batch without a response are written again under the same expected revisions,
// so that only one of the writes takes effect for each job. That holds as long
// as a record exists: it is not removed while such a write may still come.
class fleet_journal {
 public:
  explicit fleet_journal(fleet_state& state) : state_(state) {}

  // Called for each job of a stored batch, before the job's store callbacks.
  std::function<void(job_state&, moment)> on_job_stored;

  // Returns which changes are in no batch yet; a batch has at most `max_writes`
  // records.
  pending_changes Pending(std::size_t max_writes) const;

  // Returns the next batch, which is empty unless a job outside the batches in
  // flight has changes. A job takes at most two writes.
  write_batch NextBatch(std::size_t max_writes);

  // Handles the success of a batch at store revision `revision`.
  void Stored(std::uint64_t batch, std::int64_t revision, moment at);

  // Handles a batch that had no effect because records have other revisions.
  void Conflicted(std::uint64_t batch, std::span<const record_revision> actual);

  // Handles a batch whose outcome is unknown or that certainly had no effect.
  void Unanswered(std::uint64_t batch);

  // Calls `done(true)` once the job's current state is stored, or `done(false)`
  // on `Abandon`. Pending changes of the job become urgent.
  void OnceStored(job_state& job, std::function<void(bool)> done);

  // Queues the records of a finished job for removal.
  void Remove(job_state& job);

  // Calls all store callbacks with `false`, since their changes may be lost.
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
  using batch_entries = std::vector<batch_entry>;

  void WriteChanges(job_state& job, std::vector<record_write>& writes,
                    batch_entries& entries);
  void WriteRemoval(const job_state& job, std::vector<record_write>& writes,
                    batch_entries& entries);
  batch_entries TakeBatch(std::uint64_t batch);
  // Queues the changes of a batch again.
  void Retry(const batch_entries& entries);
  void OnEntryStored(const batch_entry& entry, std::int64_t revision,
                     moment at);

  fleet_state& state_;
  std::uint64_t last_batch_ = 0;
  std::map<std::uint64_t, batch_entries> in_flight_;
  std::vector<std::string> removals_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FLEET_JOURNAL_H_
