// Log records and snapshots of a shard in the store.
//
// The key `epoch` holds the epoch of the last owner, and every append is
// conditional on it. A condition that the record's key is absent would not be
// enough, because a former owner could rewrite a number that a newer owner has
// compacted. The record that begins an epoch is also conditional on the
// revision of the snapshot that was read, because a former owner that is still
// active may append and compact the number that the new owner found free.
#ifndef WAXWINGFRONT_SHARD_SHARD_LOG_H_
#define WAXWINGFRONT_SHARD_SHARD_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "waxwingfront/core/error.h"
#include "waxwingfront/shard/shard_core.h"

namespace waxwingfront::store {
class store_client;
}

namespace waxwingfront::shard {

enum class append_outcome {
  kApplied,
  // Another owner has taken over and its record has this number, so the record
  // is surely not in the log.
  kNotWritten,
  // Another owner has taken over. The record is not in the log now. If this was
  // a retry, an earlier attempt may have written it and the new owner may have
  // compacted it.
  kDeposed,
};

class shard_log {
 public:
  // `store` must outlive this object.
  shard_log(const store::store_client& store, std::string_view shard);

  // Writes one record. The first one after `Recover` must start a new epoch.
  // After an error the outcome is unknown or nothing was written, and the
  // caller must retry the same record.
  core::result<append_outcome> Append(const log_append& append) const;

  // Replays the snapshot and the records after it. Fails with `kProtocol` if a
  // record is damaged or missing.
  core::result<recovered_shard> Recover();

  // Replaces the snapshot with a newer one and then deletes the records that it
  // covers.
  core::result<void> Compact(const schema::shard_snapshot& snapshot) const;

 private:
  std::string RecordKey(std::uint64_t number) const;

  const store::store_client& store_;
  std::string snapshot_key_;
  std::string log_prefix_;
  std::string epoch_key_;
  // Revisions of the epoch key and of the snapshot at the last recovery.
  std::int64_t epoch_revision_ = 0;
  std::int64_t snapshot_revision_ = 0;
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_SHARD_LOG_H_
