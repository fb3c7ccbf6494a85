#include "waxwingfront/shard/placement_reason.h"

#include <algorithm>

#include "waxwingfront/core/resources.h"
#include "waxwingfront/shard/planner.h"

namespace waxwingfront::shard {

std::string UnplaceableReason(const schema::job_spec& spec,
                              const bundle::bundle_view& policy,
                              const hosts::host_view& hosts,
                              std::string_view shard) {
  const auto* batch_class = policy.FindBatchClass(spec.batch_class());
  if (batch_class == nullptr)
    return "the bundle has no batch class '" + spec.batch_class() + "'";
  const auto* customer = policy.FindCustomer(spec.customer());
  if (customer == nullptr)
    return "the bundle has no customer '" + spec.customer() + "'";
  const core::resources size = core::FromSchema(spec.task_size());
  if (customer->has_quota() && !core::FromSchema(customer->quota()).Holds(size))
    return "one task is larger than the customer's quota";
  const bool holds = std::any_of(
      hosts.workers.begin(), hosts.workers.end(), [&](const auto& item) {
        const hosts::worker_info& info = item.second;
        return info.shard == shard && IsPermitted(info, *batch_class) &&
               BatchCapacity(info, policy).Holds(size) &&
               info.capacity.Percent(batch_class->host_share_percent())
                   .Holds(size);
      });
  return holds ? "" : "no host that the bundle permits can hold one task";
}

}  // namespace waxwingfront::shard
