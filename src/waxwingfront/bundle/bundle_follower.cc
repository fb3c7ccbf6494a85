#include "waxwingfront/bundle/bundle_follower.h"

#include <cstdint>
#include <utility>

#include "waxwingfront/bundle/bundle_check.h"
#include "waxwingfront/bundle/bundle_repository.h"
#include "waxwingfront/core/hash.h"
#include "waxwingfront/logging/log.h"

namespace waxwingfront::bundle {
namespace {

constexpr std::string_view kPart = "bundle";

struct chosen_version {
  std::int64_t version = 0;
  std::string digest;
};

chosen_version VersionFor(const schema::bundle_head& head,
                          std::string_view failure_domain) {
  for (const auto& domain : head.domains()) {
    if (domain.failure_domain() == failure_domain) {
      return {.version = domain.version(), .digest = domain.digest()};
    }
  }
  return {.version = head.version(), .digest = head.digest()};
}

}  // namespace

bundle_follower::bundle_follower(bundle_follower_options options,
                                 const bundle_repository& repository)
    : options_(std::move(options)), repository_(repository) {}

core::result<void> bundle_follower::Poll() {
  const auto head = repository_.Head();
  if (!head) {
    if (in_force_.Load() != nullptr) return tl::unexpected(head.error());
    return TakeFromPeers();
  }
  if (!head->has_value()) return {};
  return Take(**head, [this](std::string_view digest) {
    return repository_.Content(digest);
  });
}

core::result<void> bundle_follower::TakeFromPeers() {
  core::result<void> taken = core::Failure(core::error_code::kNoBundle,
                                           "no peer has a bundle in force");
  for (const schema::bundle_reply& reply : options_.ask_peers()) {
    const auto content =
        [&reply](std::string_view digest) -> core::result<std::string> {
      const auto found = reply.contents().find(std::string(digest));
      if (found == reply.contents().end() ||
          core::Sha256Hex(found->second) != digest) {
        return core::Failure(core::error_code::kProtocol,
                             "a peer's bundle is damaged");
      }
      return found->second;
    };
    if (Take(reply.head(), content)) taken = {};
  }
  return taken;
}

core::result<void> bundle_follower::Take(
    const schema::bundle_head& head,
    const std::function<core::result<std::string>(std::string_view)>& content) {
  {
    const std::lock_guard lock(mutex_);
    if (head.generation() <= head_.generation()) return {};
  }
  const chosen_version chosen = VersionFor(head, options_.failure_domain);
  // The first sign-offs may concern other failure domains only.
  if (chosen.version == 0) return {};
  auto json = content(chosen.digest);
  if (!json) return tl::unexpected(json.error());
  checked_bundle checked = CheckBundle(*json);
  if (!checked.problems.empty()) {
    return core::Failure(core::error_code::kInvalidBundle,
                         checked.problems.front().field);
  }
  const std::lock_guard lock(mutex_);
  if (head.generation() <= head_.generation()) return {};
  head_ = head;
  digest_ = chosen.digest;
  json_ = std::move(*json);
  in_force_.Store(std::make_shared<const bundle_view>(
      std::move(checked.content), chosen.version));
  logging::Info(kPart, "version ", chosen.version, " is in force");
  return {};
}

schema::bundle_reply bundle_follower::Reply() const {
  const std::lock_guard lock(mutex_);
  schema::bundle_reply reply;
  *reply.mutable_head() = head_;
  if (!digest_.empty()) (*reply.mutable_contents())[digest_] = json_;
  return reply;
}

}  // namespace waxwingfront::bundle
