// Runs a shard that this entry owns: performs the I/O for the decisions of
// `shard_core`.
#ifndef WAXWINGFRONT_SHARD_SHARD_OWNER_H_
#define WAXWINGFRONT_SHARD_SHARD_OWNER_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/schema/gen/job.pb.h"
#include "waxwingfront/schema/gen/worker_protocol.pb.h"
#include "waxwingfront/shard/shard_core.h"
#include "waxwingfront/shard/shard_log.h"

namespace waxwingfront::store {
class store_client;
}

namespace waxwingfront::shard {

struct shard_owner_options {
  shard_core_options core;
  // Exchanges one message with a worker at an address.
  std::function<core::result<schema::sync_response>(
      const std::string& address, const schema::sync_request& request)>
      sync;
  // Return the current bundle and host list; either may be null.
  std::function<std::shared_ptr<const bundle::bundle_view>()> policy;
  std::function<std::shared_ptr<const hosts::host_view>()> hosts;
  // Number of threads that exchange messages with workers.
  int sync_threads = 4;
  // Number of records between two snapshots.
  std::uint64_t snapshot_every = 256;
};

// Owns one shard from its take-over until it is deposed or stopped.
class shard_owner {
 public:
  // `store` must outlive this object.
  shard_owner(shard_owner_options options, const store::store_client& store,
              core::monotonic_time lease_requested_at);
  shard_owner(const shard_owner&) = delete;
  shard_owner& operator=(const shard_owner&) = delete;
  // Stops without a resign record.
  ~shard_owner();

  void OnLeaseRenewed(core::monotonic_time requested_at);

  // Waits until the job is in the log. Fails with an error of the `kNotRun`
  // class if the job is surely not accepted, and with `kOutcomeUnknown` if it
  // may be.
  core::result<schema::job_status> Submit(const schema::job_spec& spec,
                                          core::milliseconds limit);
  // Returns the job's status as of the log. Waits while the outcome of a record
  // is unknown.
  core::result<schema::job_status> Status(std::string_view job,
                                          core::milliseconds limit);
  core::result<schema::job_status> Cancel(std::string_view job,
                                          core::milliseconds limit);

  // Ends the epoch with a resign record and waits for it for at most `limit`.
  void Resign(core::milliseconds limit);

  // Stops all decisions and messages, except messages that a thread is already
  // about to send. Does not block. Waiting callers return with an error.
  void Halt();

  bool IsDeposed();

 private:
  void RunLog();
  void RunSync();
  core::result<void> TakeOver();
  void AppendOnce(std::unique_lock<std::mutex>& lock);
  void CompactIfDue();
  void DropExpiredJobs();
  struct pending_sync {
    std::string worker;
    std::string address;
    schema::sync_request request;
  };
  std::optional<pending_sync> NextSync();
  // Retries the same record until its outcome is known. Returns nothing if the
  // owner is stopped before that.
  std::optional<append_outcome> AppendUntilKnown(
      const shard_log& log, const log_append& append,
      std::unique_lock<std::mutex>& lock);
  // True if a record has been sent whose outcome is unknown.
  bool HasUnresolvedRecord() const { return unresolved_; }
  bool HasEnded() const { return stopping_ || core_->IsDeposed(); }
  core::result<void> CheckActive() const;
  core::result<schema::job_status> AwaitApplied(
      std::uint64_t number, std::string_view job, core::milliseconds limit,
      std::unique_lock<std::mutex>& lock);

  shard_owner_options options_;
  const store::store_client& store_;
  core::monotonic_time lease_requested_at_;
  std::mutex mutex_;
  std::condition_variable changed_;
  // Null until the log is recovered.
  std::unique_ptr<shard_core> core_;
  std::uint64_t compacted_through_ = 0;
  std::size_t next_worker_ = 0;
  // Number of the last record sent to the store, and whether its outcome is
  // still unknown.
  std::uint64_t last_sent_ = 0;
  bool unresolved_ = false;
  // True if an attempt to write the unresolved record has failed.
  bool append_failed_ = false;
  // Ids of the jobs that the next record will contain.
  std::set<std::string, std::less<>> queued_jobs_;
  core::monotonic_time next_drop_;
  // No worker needs a message before this time.
  core::monotonic_time next_sync_scan_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_SHARD_OWNER_H_
