// A shard's records and snapshots in the store.
//
// The key `epoch` holds the last owner's epoch, and every append has it as a
// condition. The condition that the record's key is absent is not enough: a
// former owner could write a number again that a newer owner has compacted
// away. The record that begins an epoch also has the revision of the snapshot
// that was read as a condition: while the former owner goes on, it may append
// and compact the very number that the new owner found free.
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
  // Another owner has taken over, and its record has this number: the record is
  // surely not in the log.
  kNotWritten,
  // Another owner has taken over. The record is not in the log now; if this was
  // not the first try, an earlier one may have written it, and the new owner
  // may have compacted it.
  kDeposed,
};

class shard_log {
 public:
  // `store` must outlive this object.
  shard_log(const store::store_client& store, std::string_view shard);

  // Writes one record. The first after `Recover` has to start a new epoch. An
  // error means that the outcome is not known or that nothing was written: the
  // same record has to be written again.
  core::result<append_outcome> Append(const log_append& append) const;

  // Replays the snapshot and the records after it. Fails with `kProtocol` when
  // a record is damaged or missing.
  core::result<recovered_shard> Recover();

  // Replaces the snapshot by a newer one, and then deletes the records it
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
