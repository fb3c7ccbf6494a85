#include "waxwingfront/fleet/former_claim.h"

namespace waxwingfront::fleet {

void former_claim::Set(std::int64_t token, std::int64_t lease) {
  token_ = token;
  lease_ = lease;
  ending_ = false;
}

void former_claim::End(std::int64_t lease) {
  if (lease == lease_) ending_ = true;
  store_.end_lease(lease);
}

bool former_claim::EndAgain(const leader_record& record,
                            std::int64_t revision) {
  const bool names_claim =
      record.reserved ? record.reserved_by == token_ : revision == token_;
  if (!ending_ || !names_claim) return false;
  store_.end_lease(lease_);
  return true;
}

}  // namespace waxwingfront::fleet
