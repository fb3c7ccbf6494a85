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

constexpr std::string_view kModule = "bundle";

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
    store_responded_ = true;
    if (!head->has_value()) return {};
    return ApplyStoreHead(**head);
  }
  // Until the store has responded, peers may have a newer bundle than this
  // entry. Afterwards this entry is as current as its peers, so they are not
  // queried.
  if (store_responded_) return tl::unexpected(head.error());
  return PollPeers();
}

core::result<void> bundle_follower::ApplyStoreHead(
    const schema::bundle_head& head) {
  const content_source source = [this](const std::string& digest) {
    return repository_.Content(digest);
  };
  const auto applied = ApplyHead(head, source);
  if (!applied) {
    if (in_force_.Load() != nullptr) return applied;
    return PollPeers();
  }
  FetchMissingContents(source);
  return {};
}

core::result<void> bundle_follower::PollPeers() {
  std::vector<peer_head> peers = options_.peer_heads();
  std::stable_sort(peers.begin(), peers.end(),
                   [](const peer_head& left, const peer_head& right) {
                     return left.head.generation() > right.head.generation();
                   });
  const content_source source = [this, &peers](const std::string& digest) {
    return FetchFromPeers(peers, digest);
  };
  core::result<void> applied = core::Failure(core::error_code::kNoBundle,
                                             "no peer has a bundle in force");
  for (const peer_head& peer : peers) {
    applied = ApplyHead(peer.head, source);
    if (applied) break;
  }
  FetchMissingContents(source);
  return in_force_.Load() != nullptr ? core::result<void>() : applied;
}

core::result<std::string> bundle_follower::FetchFromPeers(
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
    const auto cached = contents_.find(digest);
    if (cached != contents_.end()) return cached->second;
  }
  return source(digest);
}

core::result<void> bundle_follower::ApplyHead(const schema::bundle_head& head,
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
    // The sign-off applies to other failure domains only.
    UpdateCache(head, "", "");
    return {};
  }
  const auto json = Fetch(chosen.digest(), source);
  if (!json) return tl::unexpected(json.error());
  checked_bundle checked = CheckBundle(*json);
  if (!checked.problems.empty()) {
    return core::Failure(core::error_code::kInvalidBundle,
                         checked.problems.front().field);
  }
  UpdateCache(head, chosen.digest(), *json);
  in_force_.Store(std::make_shared<const bundle_view>(
      std::move(checked.content), chosen.version()));
  logging::Info(kModule, "version ", chosen.version(), " is in force");
  return {};
}

void bundle_follower::UpdateCache(const schema::bundle_head& head,
                                  const std::string& digest,
                                  const std::string& json) {
  const std::set<std::string> referenced = DigestsOf(head);
  const std::lock_guard lock(mutex_);
  head_ = head;
  std::erase_if(contents_, [&referenced](const auto& item) {
    return !referenced.contains(item.first);
  });
  if (!digest.empty()) contents_[digest] = json;
}

void bundle_follower::FetchMissingContents(const content_source& source) {
  std::set<std::string> missing;
  {
    const std::lock_guard lock(mutex_);
    missing = DigestsOf(head_);
    for (const auto& [digest, json] : contents_) missing.erase(digest);
  }
  for (const std::string& digest : missing) {
    auto json = source(digest);
    if (!json) {
      logging::Warning(kModule,
                       "cannot read the content for another failure domain: ",
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
  const auto cached = contents_.find(digest);
  if (cached != contents_.end())
    (*reply.mutable_contents())[digest] = cached->second;
  return reply;
}

}  // namespace waxwingfront::bundle
