// Keeps the bundle in force at this entry.
#ifndef WAXWINGFRONT_BUNDLE_BUNDLE_FOLLOWER_H_
#define WAXWINGFRONT_BUNDLE_BUNDLE_FOLLOWER_H_

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/core/rcu_cell.h"
#include "waxwingfront/schema/gen/bundle.pb.h"
#include "waxwingfront/schema/gen/peer.pb.h"

namespace waxwingfront::bundle {

class bundle_repository;

struct bundle_follower_options {
  std::string failure_domain;
  // Asks other entries for what is in force there; used while the store is down
  // and nothing is in force here.
  std::function<std::vector<schema::bundle_reply>()> ask_peers;
};

class bundle_follower {
 public:
  // `repository` must outlive this object.
  bundle_follower(bundle_follower_options options,
                  const bundle_repository& repository);

  // Reads the head once and puts a newer bundle in force. A head of a lower
  // generation is refused.
  core::result<void> Poll();

  // The bundle in force; null before the first.
  std::shared_ptr<const bundle_view> InForce() const {
    return in_force_.Load();
  }

  // What peers get: the head, and the content in force.
  schema::bundle_reply Reply() const;

 private:
  core::result<void> Take(
      const schema::bundle_head& head,
      const std::function<core::result<std::string>(std::string_view)>&
          content);
  core::result<void> TakeFromPeers();

  bundle_follower_options options_;
  const bundle_repository& repository_;
  mutable std::mutex mutex_;
  schema::bundle_head head_;
  std::string digest_;
  std::string json_;
  core::rcu_cell<bundle_view> in_force_;
};

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_BUNDLE_FOLLOWER_H_
