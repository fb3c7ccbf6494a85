// The last claim of the leader key under which this process led.
#ifndef WAXWINGFRONT_FLEET_FORMER_CLAIM_H_
#define WAXWINGFRONT_FLEET_FORMER_CLAIM_H_

#include <cstdint>

#include "waxwingfront/fleet/leader_record.h"
#include "waxwingfront/fleet/platform_services.h"

namespace waxwingfront::fleet {

class former_claim {
 public:
  explicit former_claim(const store_services& store) : store_(store) {}

  // This process no longer leads under the claim with `token` and `lease`.
  void Set(std::int64_t token, std::int64_t lease);

  std::int64_t Token() const { return token_; }

  // Ends `lease`, which removes the key or its reservation.
  void End(std::int64_t lease);

  // Handles that the key was read at `revision` with `record`. If the claim
  // still holds or reserves it although its lease was to end, the request may
  // be lost: sends it again and returns true.
  bool EndAgain(const leader_record& record, std::int64_t revision);

 private:
  const store_services& store_;
  // 0 if this process has not led yet.
  std::int64_t token_ = 0;
  std::int64_t lease_ = 0;
  // The end of `lease_` was requested.
  bool ending_ = false;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_FORMER_CLAIM_H_
