#include "waxwingfront/bundle/bundle_follower.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <utility>

#include "waxwingfront/bundle/bundle_check.h"
#include "waxwingfront/bundle/bundle_repository.h"
#include "waxwingfront/core/hash.h"
#include "waxwingfront/logging/log.h"

namespace waxwingfront::bundle {
namespace {

constexpr std::string_view kPart = "bundle";

std::set<std::string> DigestsOf(const schema::bundle_head& head) {
  std::set<std::string> digests;
  if (!head.digest().empty()) digests.insert(head.digest());
  for (const auto& domain : head.domains()) digests.insert(domain.digest());
  return digests;
}

}  // namespace

bundle_follower::bundle_follower(bundle_follower_options options,
                                 const bundle_repository& repository)
    : options_(std::move(options)), repository_(repository) {}

core::result<void> bundle_follower::Poll() {
  const auto head = repository_.Head();
  if (head) {
    store_answered_ = true;
    if (!head->has_value()) return {};
    return PollStore(**head);
  }
  // Until the store has answered, this entry may hold an older bundle than its
  // peers. Afterwards it is as new as any, and peers are left alone.
  if (store_answered_) return tl::unexpected(head.error());
  return TakeFromPeers();
}

core::result<void> bundle_follower::PollStore(const schema::bundle_head& head) {
  const content_source source = [this](const std::string& digest) {
    return repository_.Content(digest);
  };
  const auto taken = Take(head, source);
  if (!taken) {
    if (in_force_.Load() != nullptr) return taken;
    return TakeFromPeers();
  }
  FetchMissing(source);
  return {};
}

core::result<void> bundle_follower::TakeFromPeers() {
  std::vector<peer_head> peers = options_.peer_heads();
  std::stable_sort(peers.begin(), peers.end(),
                   [](const peer_head& left, const peer_head& right) {
                     return left.head.generation() > right.head.generation();
                   });
  const content_source source = [this, &peers](const std::string& digest) {
    return ContentFromPeers(peers, digest);
  };
  core::result<void> taken = core::Failure(core::error_code::kNoBundle,
                                           "no peer has a bundle in force");
  for (const peer_head& peer : peers) {
    taken = Take(peer.head, source);
    if (taken) break;
  }
  FetchMissing(source);
  return in_force_.Load() != nullptr ? core::result<void>() : taken;
}

core::result<std::string> bundle_follower::ContentFromPeers(
    const std::vector<peer_head>& peers, const std::string& digest) const {
  for (const peer_head& peer : peers) {
    auto content = options_.peer_content(peer.address, digest);
    if (content && core::Sha256Hex(*content) == digest) return content;
  }
  return core::Failure(core::error_code::kNoBundle,
                       "no peer has the content " + digest);
}

core::result<std::string> bundle_follower::Fetch(
    const std::string& digest, const content_source& source) const {
  {
    const std::lock_guard lock(mutex_);
    const auto known = contents_.find(digest);
    if (known != contents_.end()) return known->second;
  }
  return source(digest);
}

core::result<void> bundle_follower::Take(const schema::bundle_head& head,
                                         const content_source& source) {
  {
    const std::lock_guard lock(mutex_);
    if (head.generation() <= head_.generation()) return {};
  }
  const auto valid = CheckHead(head);
  if (!valid) return valid;
  const schema::domain_version chosen =
      VersionFor(head, options_.failure_domain);
  const auto current = in_force_.Load();
  const std::int64_t current_version =
      current == nullptr ? 0 : current->Version();
  if (chosen.version() < current_version) {
    return core::Failure(core::error_code::kProtocol,
                         "the bundle head would revert version " +
                             std::to_string(current_version) + " to " +
                             std::to_string(chosen.version()));
  }
  if (chosen.version() == current_version) {
    // The sign-off concerned other failure domains.
    Remember(head, "", "");
    return {};
  }
  const auto json = Fetch(chosen.digest(), source);
  if (!json) return tl::unexpected(json.error());
  checked_bundle checked = CheckBundle(*json);
  if (!checked.problems.empty()) {
    return core::Failure(core::error_code::kInvalidBundle,
                         checked.problems.front().field);
  }
  Remember(head, chosen.digest(), *json);
  in_force_.Store(std::make_shared<const bundle_view>(
      std::move(checked.content), chosen.version()));
  logging::Info(kPart, "version ", chosen.version(), " is in force");
  return {};
}

void bundle_follower::Remember(const schema::bundle_head& head,
                               const std::string& digest,
                               const std::string& json) {
  const std::set<std::string> wanted = DigestsOf(head);
  const std::lock_guard lock(mutex_);
  head_ = head;
  std::erase_if(contents_, [&wanted](const auto& item) {
    return !wanted.contains(item.first);
  });
  if (!digest.empty()) contents_[digest] = json;
}

void bundle_follower::FetchMissing(const content_source& source) {
  std::set<std::string> missing;
  {
    const std::lock_guard lock(mutex_);
    missing = DigestsOf(head_);
    for (const auto& [digest, json] : contents_) missing.erase(digest);
  }
  for (const std::string& digest : missing) {
    auto json = source(digest);
    if (!json) {
      logging::Warning(kPart, "content for another failure domain not read: ",
                       json.error().detail);
      return;
    }
    const std::lock_guard lock(mutex_);
    contents_[digest] = std::move(*json);
  }
}

schema::bundle_reply bundle_follower::MakeReply(
    const std::string& digest) const {
  const auto current = in_force_.Load();
  const std::lock_guard lock(mutex_);
  schema::bundle_reply reply;
  *reply.mutable_head() = head_;
  if (current != nullptr) reply.set_version_in_force(current->Version());
  const auto known = contents_.find(digest);
  if (known != contents_.end())
    (*reply.mutable_contents())[digest] = known->second;
  return reply;
}

}  // namespace waxwingfront::bundle
