// Keeps this entry's bundle up to date with the signed-off version.
#ifndef WAXWINGFRONT_BUNDLE_BUNDLE_FOLLOWER_H_
#define WAXWINGFRONT_BUNDLE_BUNDLE_FOLLOWER_H_

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/core/rcu_cell.h"
#include "waxwingfront/schema/gen/bundle.pb.h"
#include "waxwingfront/schema/gen/peer.pb.h"

namespace waxwingfront::bundle {

class bundle_repository;

// The bundle head that a peer has applied.
struct peer_head {
  std::string address;
  schema::bundle_head head;
};

struct bundle_follower_options {
  std::string failure_domain;
  // Returns the heads of all peers that respond.
  std::function<std::vector<peer_head>()> peer_heads;
  // Fetches one content from a peer; the caller verifies its digest.
  std::function<core::result<std::string>(const std::string& address,
                                          const std::string& digest)>
      peer_content;
};

// `Poll` must be called from a single thread; the other members are
// thread-safe.
class bundle_follower {
 public:
  // `repository` must outlive this object.
  bundle_follower(bundle_follower_options options,
                  const bundle_repository& repository);

  // Reads the head once and puts a newer bundle in force. Ignores a head of a
  // lower generation and rejects one that would revert this failure domain to
  // a lower version. Queries peers until the store has responded once.
  core::result<void> Poll();

  // Returns the bundle in force; null if there is none yet.
  std::shared_ptr<const bundle_view> InForce() const {
    return in_force_.Load();
  }

  // Returns the response to a peer: the head, and the content with `digest` if
  // the head refers to it and it is cached here.
  schema::bundle_reply MakeReply(const std::string& digest) const;

 private:
  using content_source =
      std::function<core::result<std::string>(const std::string& digest)>;

  core::result<void> ApplyStoreHead(const schema::bundle_head& head);
  core::result<void> PollPeers();
  core::result<std::string> FetchFromPeers(const std::vector<peer_head>& peers,
                                           const std::string& digest) const;
  core::result<void> ApplyHead(const schema::bundle_head& head,
                               const content_source& source);
  // Returns the content from the cache or else from `source`, which verifies
  // its digest.
  core::result<std::string> Fetch(const std::string& digest,
                                  const content_source& source) const;
  // Fetches the head's contents for other failure domains, since peers may need
  // them.
  void FetchMissingContents(const content_source& source);
  void UpdateCache(const schema::bundle_head& head, const std::string& digest,
                   const std::string& json);

  bundle_follower_options options_;
  const bundle_repository& repository_;
  bool store_responded_ = false;
  mutable std::mutex mutex_;
  schema::bundle_head head_;
  // Cached contents that `head_` refers to, by digest.
  std::map<std::string, std::string> contents_;
  core::rcu_cell<bundle_view> in_force_;
};

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_BUNDLE_FOLLOWER_H_
