// Bounds on the leases of executors that survive a change of leader. The leader
// stores them, and extends a lease only within the stored bound.
#ifndef WAXWINGFRONT_FLEET_LEASE_LEDGER_H_
#define WAXWINGFRONT_FLEET_LEASE_LEDGER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::fleet {

// Times at which all leases of executors have lapsed, on our clock.
struct lease_lapses {
  // For executors that the leader does not reach.
  std::map<std::string, core::monotonic_time, std::less<>> silent;
  // For all other executors.
  core::monotonic_time others{};

  core::monotonic_time Of(std::string_view executor) const;
};

// Converts a record that was first seen at `seen`, hence written before.
lease_lapses ToLapses(const schema::fleet_leases& record,
                      core::monotonic_time seen);

// The record that the leader stores, in versions. A version without a response
// may be in the store, so that the leader keeps within it as well.
class lease_ledger {
 public:
  // Returns until when an order sent now may extend the executor's leases;
  // nothing before a version is stored.
  std::optional<core::monotonic_time> Limit(std::string_view executor) const;

  bool AnyStored() const { return stored_.has_value(); }

  // True if a version that is or may be stored lists the executor as silent.
  bool ListsSilent(std::string_view executor) const;

  // Begins a version that is sent at `now` and returns its record.
  schema::fleet_leases Begin(lease_lapses lapses, core::monotonic_time now);
  // The newest version is stored.
  void Stored();
  // The newest version is certainly not stored.
  void Dropped();

 private:
  std::optional<lease_lapses> stored_;
  // Sent after `stored_`, the last one possibly still in flight.
  std::vector<lease_lapses> unconfirmed_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_LEASE_LEDGER_H_
