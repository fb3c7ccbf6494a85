#include "waxwingfront/jobs/job_check.h"

#include <cstdint>
#include <string_view>

#include "waxwingfront/core/resources.h"
#include "waxwingfront/shard/planner.h"

namespace waxwingfront::jobs {
namespace {

constexpr std::size_t kMaxCommandBytes = 4096;
constexpr std::int64_t kMaxTasks = 1000000;
constexpr std::string_view kIdCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";

tl::unexpected<core::error> Invalid(std::string detail) {
  return core::Failure(core::error_code::kInvalidRequest, std::move(detail));
}

core::result<void> CheckSpec(const schema::job_spec& spec) {
  if (!IsValidJobId(spec.id())) return Invalid(std::string(kJobIdRule));
  if (spec.task_count() < 1 || spec.task_count() > kMaxTasks) {
    return Invalid("task_count: 1 to 1000000");
  }
  if (spec.command().size() > kMaxCommandBytes)
    return Invalid("command: at most 4096 bytes");
  const core::resources size = core::FromSchema(spec.task_size());
  if (!size.IsNonNegative() || size == core::resources{}) {
    return Invalid(
        "task_size: amounts of 0 or more, at least one of them above 0");
  }
  return {};
}

}  // namespace

bool IsValidJobId(std::string_view id) {
  const bool has_valid_length = !id.empty() && id.size() <= kMaxJobIdLength;
  return has_valid_length &&
         id.find_first_not_of(kIdCharacters) == std::string_view::npos;
}

core::result<void> CheckJob(const schema::job_spec& spec,
                            const bundle::bundle_view& policy) {
  if (const auto checked = CheckSpec(spec); !checked) return checked;
  const auto* customer = policy.FindCustomer(spec.customer());
  if (customer == nullptr) {
    return core::Failure(
        core::error_code::kUnknownCustomer,
        "the bundle has no customer '" + spec.customer() + "'");
  }
  if (policy.FindBatchClass(spec.batch_class()) == nullptr) {
    return core::Failure(
        core::error_code::kUnknownBatchClass,
        "the bundle has no batch class '" + spec.batch_class() + "'");
  }
  const core::resources size = core::FromSchema(spec.task_size());
  if (customer->has_quota() &&
      !core::FromSchema(customer->quota()).Holds(size)) {
    return core::Failure(core::error_code::kUnplaceable,
                         "one task is larger than the customer's quota");
  }
  return {};
}

core::result<std::set<std::string>> PlaceableShards(
    const schema::job_spec& spec, const bundle::bundle_view& policy,
    const hosts::host_view& hosts) {
  const auto* batch_class = policy.FindBatchClass(spec.batch_class());
  const core::resources size = core::FromSchema(spec.task_size());
  std::set<std::string> shards;
  for (const auto& [id, info] : hosts.workers) {
    const core::resources share =
        info.capacity.Percent(batch_class->host_share_percent());
    const bool holds = shard::IsPermitted(info, *batch_class) &&
                       shard::BatchCapacity(info, policy).Holds(size) &&
                       share.Holds(size);
    if (holds) shards.insert(info.shard);
  }
  if (shards.empty()) {
    return core::Failure(core::error_code::kUnplaceable,
                         "no host that the bundle permits can hold one task");
  }
  return shards;
}

}  // namespace waxwingfront::jobs
