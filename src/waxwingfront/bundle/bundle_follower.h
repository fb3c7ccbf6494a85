// Keeps the bundle in force at this entry.
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

// The head that a peer follows.
struct peer_head {
  std::string address;
  schema::bundle_head head;
};

struct bundle_follower_options {
  std::string failure_domain;
  // The heads of all peers that answer.
  std::function<std::vector<peer_head>()> peer_heads;
  // One content from a peer; its digest is verified here.
  std::function<core::result<std::string>(const std::string& address,
                                          const std::string& digest)>
      peer_content;
};

// `Poll` is for one thread; the other members are for any.
class bundle_follower {
 public:
  // `repository` must outlive this object.
  bundle_follower(bundle_follower_options options,
                  const bundle_repository& repository);

  // Reads the head once and puts a newer bundle in force. A head of a lower
  // generation, or one that would give this failure domain a lower version, is
  // refused. Asks peers until the store has answered once.
  core::result<void> Poll();

  // The bundle in force; null before the first.
  std::shared_ptr<const bundle_view> InForce() const {
    return in_force_.Load();
  }

  // What peers get: the head, and the content with `digest` if it is one of the
  // head's and known here.
  schema::bundle_reply MakeReply(const std::string& digest) const;

 private:
  using content_source =
      std::function<core::result<std::string>(const std::string& digest)>;

  core::result<void> PollStore(const schema::bundle_head& head);
  core::result<void> TakeFromPeers();
  core::result<std::string> ContentFromPeers(
      const std::vector<peer_head>& peers, const std::string& digest) const;
  core::result<void> Take(const schema::bundle_head& head,
                          const content_source& source);
  // Content from memory or else from `source`; verified.
  core::result<std::string> Fetch(const std::string& digest,
                                  const content_source& source) const;
  // Gets the head's contents for other failure domains, which peers may need.
  void FetchMissing(const content_source& source);
  void Remember(const schema::bundle_head& head, const std::string& digest,
                const std::string& json);

  bundle_follower_options options_;
  const bundle_repository& repository_;
  bool store_answered_ = false;
  mutable std::mutex mutex_;
  schema::bundle_head head_;
  // Contents that `head_` names, by digest.
  std::map<std::string, std::string> contents_;
  core::rcu_cell<bundle_view> in_force_;
};

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_BUNDLE_FOLLOWER_H_
