#include "waxwingfront/shard/shard_log.h"

#include <charconv>
#include <optional>
#include <system_error>
#include <vector>

#include "waxwingfront/store/store_client.h"

namespace waxwingfront::shard {
namespace {

// Decimal digits of a record number; numbers are padded so that keys sort by
// number.
constexpr int kNumberDigits = 20;

std::string PaddedNumber(std::uint64_t number) {
  const std::string digits = std::to_string(number);
  return std::string(kNumberDigits - digits.size(), '0') + digits;
}

std::optional<std::uint64_t> ParseNumber(std::string_view digits) {
  std::uint64_t number = 0;
  const char* const end = digits.data() + digits.size();
  const auto [stopped, failure] = std::from_chars(digits.data(), end, number);
  if (failure != std::errc() || stopped != end) return std::nullopt;
  return number;
}

core::result<recovered_shard> DamagedLog(std::string detail) {
  return core::Failure(core::error_code::kProtocol, std::move(detail));
}

}  // namespace

shard_log::shard_log(const store::store_client& store, std::string_view shard)
    : store_(store),
      snapshot_key_("shards/" + std::string(shard) + "/snapshot"),
      log_prefix_("shards/" + std::string(shard) + "/log/"),
      epoch_key_("shards/" + std::string(shard) + "/epoch") {}

std::string shard_log::RecordKey(std::uint64_t number) const {
  return log_prefix_ + PaddedNumber(number);
}

core::result<append_outcome> shard_log::Append(const log_append& append) const {
  const std::string key = RecordKey(append.number);
  const std::string epoch = std::to_string(append.record.epoch());
  std::vector<store::write_condition> conditions{{.key = key}};
  std::vector<store::write_item> items{
      {.key = key, .value = append.record.SerializeAsString()}};
  if (append.record.decisions(0).has_epoch()) {
    conditions.push_back({.key = epoch_key_, .mod_revision = epoch_revision_});
    conditions.push_back(
        {.key = snapshot_key_, .mod_revision = snapshot_revision_});
    items.push_back({.key = epoch_key_, .value = epoch});
  } else {
    conditions.push_back({.key = epoch_key_, .value = epoch});
  }
  const auto written = store_.WriteIf(conditions, items);
  if (written && *written == store::write_outcome::kApplied)
    return append_outcome::kApplied;
  // The key may hold this record if an earlier attempt succeeded but its
  // response was lost.
  const auto found = store_.Get(key);
  if (!found) return tl::unexpected(found.error());
  if (!found->has_value()) {
    if (!written) return tl::unexpected(written.error());
    // A newer epoch has begun, or a newer owner has compacted the log past this
    // number.
    return append_outcome::kDeposed;
  }
  schema::log_record record;
  const bool is_own = record.ParseFromString((*found)->value) &&
                      record.nonce() == append.record.nonce();
  return is_own ? append_outcome::kApplied : append_outcome::kNotWritten;
}

core::result<recovered_shard> shard_log::Recover() {
  recovered_shard recovered;
  // Read first, so that a record written after this read makes the append of
  // the epoch record fail.
  const auto epoch = store_.Get(epoch_key_);
  if (!epoch) return tl::unexpected(epoch.error());
  epoch_revision_ = epoch->has_value() ? (*epoch)->mod_revision : 0;
  // Listed before the snapshot is read, because records that a concurrent
  // compaction deletes after this are covered by the snapshot that it wrote
  // before.
  const auto records = store_.List(log_prefix_);
  if (!records) return tl::unexpected(records.error());
  const auto stored = store_.Get(snapshot_key_);
  if (!stored) return tl::unexpected(stored.error());
  snapshot_revision_ = stored->has_value() ? (*stored)->mod_revision : 0;
  if (stored->has_value()) {
    schema::shard_snapshot snapshot;
    if (!snapshot.ParseFromString((*stored)->value))
      return DamagedLog(snapshot_key_);
    recovered.state = shard_state::FromSnapshot(snapshot);
    recovered.next_number = snapshot.through() + 1;
  }
  for (const store::stored_value& item : *records) {
    if (item.key < RecordKey(recovered.next_number)) continue;
    if (item.key != RecordKey(recovered.next_number))
      return DamagedLog(item.key + " is not the next record of the log");
    schema::log_record record;
    if (!record.ParseFromString(item.value)) return DamagedLog(item.key);
    for (const schema::decision& decision : record.decisions()) {
      const auto applied = recovered.state.Apply(decision);
      if (!applied) return DamagedLog(item.key + ": " + applied.error().detail);
    }
    ++recovered.next_number;
  }
  // The epoch key is written atomically with the first record of the epoch, so
  // a log that ends before this epoch has lost its last records.
  if (epoch->has_value()) {
    const auto started_epoch = ParseNumber((*epoch)->value);
    if (!started_epoch.has_value()) return DamagedLog(epoch_key_);
    if (recovered.state.Epoch() < *started_epoch)
      return DamagedLog(epoch_key_ + ": the log ends before this epoch");
  }
  return recovered;
}

core::result<void> shard_log::Compact(
    const schema::shard_snapshot& snapshot) const {
  const auto stored = store_.Get(snapshot_key_);
  if (!stored) return tl::unexpected(stored.error());
  std::int64_t revision = 0;
  if (stored->has_value()) {
    schema::shard_snapshot former;
    const bool newer = former.ParseFromString((*stored)->value) &&
                       former.through() >= snapshot.through();
    if (newer) return {};
    revision = (*stored)->mod_revision;
  }
  const store::write_condition unchanged{.key = snapshot_key_,
                                         .mod_revision = revision};
  const store::write_item item{.key = snapshot_key_,
                               .value = snapshot.SerializeAsString()};
  const auto written = store_.WriteIf({&unchanged, 1}, {&item, 1});
  if (!written) return tl::unexpected(written.error());
  if (*written == store::write_outcome::kConflict) return {};
  return store_.DeleteRange(log_prefix_, RecordKey(snapshot.through() + 1));
}

}  // namespace waxwingfront::shard
