// Options of shard owners and managers in tests: fast appends, no workers.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_OWNER_OPTIONS_H_
#define WAXWINGFRONT_TESTS_SUPPORT_OWNER_OPTIONS_H_

#include <memory>
#include <string>

#include "support/process_site.h"
#include "waxwingfront/core/hash.h"
#include "waxwingfront/hosts/host_view.h"
#include "waxwingfront/shard/shard_owner.h"

namespace waxwingfront::tests {

// Returns a host view with one worker for each of `shards`.
inline std::shared_ptr<const hosts::host_view> MakeHostView(
    const std::vector<std::string>& shards) {
  auto view = std::make_shared<hosts::host_view>();
  for (const std::string& shard : shards) {
    const std::string id = "worker-" + shard;
    view->workers.emplace(
        id, hosts::worker_info{.id = id, .address = id, .shard = shard});
  }
  return view;
}

inline shard::shard_owner_options FastOwnerOptions(const std::string& owner) {
  return {.core = {.shard = "local/0",
                   .owner = owner,
                   .sync_period = core::milliseconds(10),
                   .appends_per_second = 1000,
                   .append_burst = 1000,
                   .nonce = core::RandomNonce},
          .sync = [](const std::string& address,
                     const schema::sync_request& /*request*/)
              -> core::result<schema::sync_response> {
            return core::Failure(core::error_code::kUnreachable, address);
          },
          .policy = [] { return std::shared_ptr<const bundle::bundle_view>(); },
          .hosts = [] { return MakeHostView({}); }};
}

inline schema::job_spec ShortJob(const std::string& id) {
  schema::job_spec spec;
  spec.set_id(id);
  spec.set_customer("jihlava");
  spec.set_batch_class("orders");
  spec.set_task_count(1);
  spec.set_command("sleep:1");
  spec.mutable_task_size()->set_processor_milli(1);
  return spec;
}

// Waits until `owner` has taken over its shard. Returns false on timeout.
inline bool AwaitActive(shard::shard_owner& owner) {
  return AwaitCondition([&owner] {
    const auto status = owner.Status("no-such-job", core::milliseconds(0));
    return !status && status.error().code == core::error_code::kUnknownJob;
  });
}

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_OWNER_OPTIONS_H_
