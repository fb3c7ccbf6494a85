// Runs the shards that this entry owns: does the I/O that the shards' decisions
// ask for.
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
  // The bundle and the hosts in force; either may be null.
  std::function<std::shared_ptr<const bundle::bundle_view>()> policy;
  std::function<std::shared_ptr<const hosts::host_view>()> hosts;
  // Threads that talk to workers.
  int sync_threads = 4;
  // Records between two snapshots.
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

  // Waits until the job is in the log. Fails with `kNotRun` types when it
  // surely is not accepted, and with `kOutcomeUnknown` when it may be.
  core::result<schema::job_status> Submit(const schema::job_spec& spec,
                                          core::milliseconds limit);
  // The job as the log has it. Waits while the outcome of a record is unknown.
  core::result<schema::job_status> Status(std::string_view job,
                                          core::milliseconds limit);
  core::result<schema::job_status> Cancel(std::string_view job,
                                          core::milliseconds limit);

  // Ends the epoch by a resign record, waiting for it at most `limit`.
  void Resign(core::milliseconds limit);

  // Decides nothing and sends nothing any more, except what a thread has
  // already taken out to send. Does not wait. Callers that wait are answered.
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
  // Writes the same record until its outcome is known; nothing when stopped
  // before that.
  std::optional<append_outcome> AppendUntilKnown(
      const shard_log& log, const log_append& append,
      std::unique_lock<std::mutex>& lock);
  // Whether a record has been sent whose outcome is not known.
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
  // Number of the last record that was sent to the store, and whether its
  // outcome is still unknown.
  std::uint64_t last_sent_ = 0;
  bool unresolved_ = false;
  // A try to write the unresolved record has failed.
  bool append_failed_ = false;
  // Jobs that wait for the next record.
  std::set<std::string, std::less<>> queued_jobs_;
  core::monotonic_time next_drop_;
  // Until then no worker is due for a message.
  core::monotonic_time next_sync_scan_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_SHARD_OWNER_H_
