// Maintains the entry's store lease and the set of shards that the entry owns.
#ifndef WAXWINGFRONT_SHARD_SHARD_MANAGER_H_
#define WAXWINGFRONT_SHARD_SHARD_MANAGER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/schema/gen/peer.pb.h"
#include "waxwingfront/shard/shard_owner.h"

namespace waxwingfront::shard {

struct shard_manager_options {
  std::string entry_id;
  std::string peer_address;
  std::string failure_domain;
  std::int64_t lease_ttl_seconds = 9;
  // Options of each owner; the manager sets the shard's name.
  shard_owner_options owner;
};

class shard_manager {
 public:
  // `store` must outlive this object.
  shard_manager(shard_manager_options options,
                const store::store_client& store);

  // Renews the lease, reads the owners of all shards, and claims shards without
  // an owner. Must be called about three times per lease TTL, from one thread.
  core::result<void> Poll();

  // Makes `Poll` claim no more shards; it still renews the lease.
  void StopClaiming();

  // Resigns all shards and ends the lease. Waits for a concurrent `Poll`; later
  // calls of `Poll` do nothing.
  void Stop(core::milliseconds limit);

  // Returns the owner object of a shard that this entry owns, and null for
  // other shards.
  std::shared_ptr<shard_owner> LocalOwner(std::string_view shard) const;
  // Returns the peer address of the entry that owns `shard`, as last read.
  std::optional<std::string> OwnerAddress(std::string_view shard) const;
  std::size_t OwnedCount() const;
  // Returns the ids of the live entries as last read, including this one. Must
  // be called from the thread that calls `Poll`.
  const std::vector<std::string>& LiveEntries() const { return live_entries_; }

 private:
  using owner_map =
      std::map<std::string, std::shared_ptr<shard_owner>, std::less<>>;

  core::result<void> RenewLease();
  core::result<void> ReadOwners();
  core::result<void> ReadEntries();
  void ClaimShards();
  void Claim(const std::string& shard);
  bool ShouldClaim(const std::string& shard);
  void ReconcileOwners();
  void DropAllOwners();
  std::set<std::string> KnownShards() const;

  shard_manager_options options_;
  const store::store_client& store_;
  std::atomic<bool> claiming_{true};
  // Held by `Poll` and `Stop`. Guards the members up to `mutex_`.
  std::mutex poll_mutex_;
  bool stopped_ = false;
  std::int64_t lease_ = 0;
  core::monotonic_time lease_requested_at_;
  // Nonces of the ownership records written under the current lease.
  std::set<std::uint64_t> nonces_;
  std::vector<std::string> live_entries_;
  // By shard: the number of polls that found it without an owner.
  std::map<std::string, int> unowned_polls_;
  mutable std::mutex mutex_;
  std::map<std::string, schema::shard_ownership, std::less<>> owners_;
  owner_map owned_;
};

}  // namespace waxwingfront::shard

#endif  // WAXWINGFRONT_SHARD_SHARD_MANAGER_H_
