// Turns changes of jobs into conditional writes of their records.
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

// Where a record stands according to the store.
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

// Several batches may be on their way, each with jobs of its own. A batch
// without an answer is followed by others that expect the same revisions, so
// that for each job only one takes effect.
class fleet_journal {
 public:
  explicit fleet_journal(fleet_state& state) : state_(state) {}

  // Called for each job of a stored batch, before its waiters.
  std::function<void(job_state&, moment)> on_job_stored;

  // What no batch carries, if one takes `max_writes`.
  waiting_changes Waiting(std::size_t max_writes) const;

  // The next writes, none if there are no changes of jobs that are not in a
  // batch already. A job takes two writes at most.
  write_batch NextBatch(std::size_t max_writes);

  // The batch took effect as `revision`.
  void Stored(std::uint64_t batch, std::int64_t revision, moment at);

  // The batch took no effect because records have other revisions.
  void Conflicted(std::uint64_t batch, std::span<const record_revision> actual);

  // The batch may or may not have taken effect, or surely did not.
  void Unanswered(std::uint64_t batch);

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
  using batch_entries = std::vector<batch_entry>;

  void WriteChanges(job_state& job, std::vector<record_write>& writes,
                    batch_entries& entries);
  void WriteRemoval(const job_state& job, std::vector<record_write>& writes,
                    batch_entries& entries);
  batch_entries TakeBatch(std::uint64_t batch);
  void OnEntryStored(const batch_entry& entry, std::int64_t revision,
                     moment at);

  fleet_state& state_;
  std::uint64_t last_batch_ = 0;
  std::map<std::uint64_t, batch_entries> in_flight_;
  std::vector<std::string> removals_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FLEET_JOURNAL_H_
