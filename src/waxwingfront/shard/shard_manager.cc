#include "waxwingfront/shard/shard_manager.h"

#include <algorithm>
#include <utility>

#include "waxwingfront/core/hash.h"
#include "waxwingfront/logging/log.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::shard {
namespace {

constexpr std::string_view kModule = "shards";
constexpr std::string_view kOwnersPrefix = "owners/";
constexpr std::string_view kEntriesPrefix = "entries/";

std::string OwnerKey(std::string_view shard) {
  return std::string(kOwnersPrefix) + std::string(shard);
}

}  // namespace

shard_manager::shard_manager(shard_manager_options options,
                             const store::store_client& store)
    : options_(std::move(options)),
      store_(store),
      live_entries_{options_.entry_id} {}

core::result<void> shard_manager::Poll() {
  const std::lock_guard poll_lock(poll_mutex_);
  if (stopped_) return {};
  if (const auto renewed = RenewLease(); !renewed) return renewed;
  if (const auto read = ReadEntries(); !read) return read;
  if (const auto read = ReadOwners(); !read) return read;
  ReconcileOwners();
  if (claiming_) ClaimShards();
  return {};
}

void shard_manager::StopClaiming() { claiming_ = false; }

core::result<void> shard_manager::RenewLease() {
  const core::monotonic_time requested_at = core::Now();
  if (lease_ != 0) {
    const auto alive = store_.KeepAlive(lease_);
    // Without a response the owners continue until the end of their grace.
    if (!alive) return tl::unexpected(alive.error());
    if (!*alive) {
      logging::Warning(kModule,
                       "store lease expired; halting all owned shards");
      DropAllOwners();
    }
  }
  if (lease_ == 0) {
    const auto new_lease = static_cast<std::int64_t>(core::RandomNonce());
    const auto granted =
        store_.GrantLease(new_lease, options_.lease_ttl_seconds);
    if (!granted) return granted;
    lease_ = new_lease;
    schema::entry_record record;
    record.set_id(options_.entry_id);
    record.set_peer_address(options_.peer_address);
    record.set_failure_domain(options_.failure_domain);
    const std::string key = std::string(kEntriesPrefix) + options_.entry_id +
                            "/" + std::to_string(new_lease);
    const auto written =
        store_.CreateIfAbsent(key, record.SerializeAsString(), lease_);
    if (!written)
      logging::Warning(kModule, "cannot register the entry in the store: ",
                       written.error().detail);
  }
  lease_requested_at_ = requested_at;
  const std::lock_guard lock(mutex_);
  for (const auto& [shard, owner] : owned_) owner->OnLeaseRenewed(requested_at);
  return {};
}

core::result<void> shard_manager::ReadEntries() {
  const auto stored = store_.List(kEntriesPrefix);
  if (!stored) return tl::unexpected(stored.error());
  std::set<std::string> ids{options_.entry_id};
  for (const store::stored_value& item : *stored) {
    schema::entry_record record;
    if (record.ParseFromString(item.value)) ids.insert(record.id());
  }
  live_entries_.assign(ids.begin(), ids.end());
  return {};
}

core::result<void> shard_manager::ReadOwners() {
  const auto stored = store_.List(kOwnersPrefix);
  if (!stored) return tl::unexpected(stored.error());
  const std::lock_guard lock(mutex_);
  owners_.clear();
  for (const store::stored_value& item : *stored) {
    schema::shard_ownership ownership;
    if (!ownership.ParseFromString(item.value)) continue;
    owners_.emplace(item.key.substr(kOwnersPrefix.size()),
                    std::move(ownership));
  }
  return {};
}

void shard_manager::ReconcileOwners() {
  std::vector<std::shared_ptr<shard_owner>> dropped;
  const std::lock_guard lock(mutex_);
  for (auto entry = owned_.begin(); entry != owned_.end();) {
    const auto ownership = owners_.find(entry->first);
    const bool is_own = ownership != owners_.end() &&
                        nonces_.contains(ownership->second.nonce());
    if (is_own && !entry->second->IsDeposed()) {
      ++entry;
      continue;
    }
    // A waiting caller may keep the object alive, so it must be halted
    // explicitly.
    entry->second->Halt();
    dropped.push_back(std::move(entry->second));
    entry = owned_.erase(entry);
  }
  for (const auto& [shard, ownership] : owners_) {
    if (!nonces_.contains(ownership.nonce()) || owned_.contains(shard))
      continue;
    shard_owner_options owner = options_.owner;
    owner.core.shard = shard;
    owned_.emplace(shard, std::make_shared<shard_owner>(
                              std::move(owner), store_, lease_requested_at_));
  }
}

std::set<std::string> shard_manager::KnownShards() const {
  std::set<std::string> shards;
  const auto view = options_.owner.hosts();
  if (view == nullptr) return shards;
  for (const auto& [id, info] : view->workers) shards.insert(info.shard);
  return shards;
}

bool shard_manager::ShouldClaim(const std::string& shard) {
  // Rendezvous hashing: the entry with the largest hash claims immediately, the
  // next one a poll later.
  const auto weight = [&shard](const std::string& entry) {
    return core::Fnv1a(entry + "|" + shard);
  };
  const auto preceding =
      std::count_if(live_entries_.begin(), live_entries_.end(),
                    [this, &weight](const std::string& entry) {
                      return weight(entry) > weight(options_.entry_id);
                    });
  return unowned_polls_[shard]++ >= preceding;
}

void shard_manager::ClaimShards() {
  for (const std::string& shard : KnownShards()) {
    const bool owned = OwnerAddress(shard).has_value();
    if (owned) {
      unowned_polls_.erase(shard);
    } else if (ShouldClaim(shard)) {
      Claim(shard);
    }
  }
}

void shard_manager::Claim(const std::string& shard) {
  schema::shard_ownership ownership;
  ownership.set_owner(options_.entry_id);
  ownership.set_peer_address(options_.peer_address);
  ownership.set_nonce(core::RandomNonce());
  // Stored before the write, so that the ownership record is recognised at the
  // next read if the response is lost.
  nonces_.insert(ownership.nonce());
  const auto written = store_.CreateIfAbsent(
      OwnerKey(shard), ownership.SerializeAsString(), lease_);
  const bool claimed = written && *written == store::write_outcome::kApplied;
  if (!claimed) return;
  logging::Info(kModule, shard, " claimed");
  {
    const std::lock_guard lock(mutex_);
    owners_.insert_or_assign(shard, ownership);
  }
  ReconcileOwners();
}

void shard_manager::DropAllOwners() {
  owner_map dropped;
  {
    const std::lock_guard lock(mutex_);
    dropped.swap(owned_);
    owners_.clear();
  }
  for (const auto& [shard, owner] : dropped) owner->Halt();
  nonces_.clear();
  lease_ = 0;
}

void shard_manager::Stop(core::milliseconds limit) {
  const std::lock_guard poll_lock(poll_mutex_);
  stopped_ = true;
  owner_map owned;
  {
    const std::lock_guard lock(mutex_);
    owned = owned_;
  }
  const core::monotonic_time end = core::Now() + limit;
  // All shards start to resign before the first one is awaited, so that one
  // whose record is not confirmed does not use up the time of the others.
  for (const auto& [shard, owner] : owned) owner->Resign(core::milliseconds(0));
  for (const auto& [shard, owner] : owned) {
    const auto left =
        std::chrono::duration_cast<core::milliseconds>(end - core::Now());
    owner->Resign(std::max(left, core::milliseconds(0)));
  }
  const std::int64_t lease = lease_;
  DropAllOwners();
  if (lease != 0) static_cast<void>(store_.RevokeLease(lease));
}

std::shared_ptr<shard_owner> shard_manager::LocalOwner(
    std::string_view shard) const {
  const std::lock_guard lock(mutex_);
  const auto found = owned_.find(shard);
  return found == owned_.end() ? nullptr : found->second;
}

std::optional<std::string> shard_manager::OwnerAddress(
    std::string_view shard) const {
  const std::lock_guard lock(mutex_);
  const auto found = owners_.find(shard);
  if (found == owners_.end()) return std::nullopt;
  return found->second.peer_address();
}

std::size_t shard_manager::OwnedCount() const {
  const std::lock_guard lock(mutex_);
  return owned_.size();
}

}  // namespace waxwingfront::shard
