// Bundles and their sign-offs in the store.
#ifndef WAXWINGFRONT_BUNDLE_BUNDLE_REPOSITORY_H_
#define WAXWINGFRONT_BUNDLE_BUNDLE_REPOSITORY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/error.h"
#include "waxwingfront/schema/gen/bundle.pb.h"

namespace waxwingfront::store {
class store_client;
}

namespace waxwingfront::bundle {

struct sign_off_request {
  // SHA-256 of a submitted bundle.
  std::string digest;
  std::string operator_name;
  // Failure domains the version applies to; empty means all.
  std::vector<std::string> failure_domains;
  // Version that the operator takes to be the newest; nothing skips the check.
  std::optional<std::int64_t> expected_version;
};

class bundle_repository {
 public:
  // `store` must outlive this object.
  explicit bundle_repository(const store::store_client& store);

  // Stores a checked bundle and gives its digest. Fails with `kInvalidBundle`.
  core::result<std::string> Submit(std::string_view json) const;

  // Makes a submitted bundle the next version. Fails with `kSignOffConflict`
  // when another sign-off came first, and with `kUnknownVersion` when nothing
  // was submitted under the digest.
  core::result<schema::sign_off> SignOff(const sign_off_request& request) const;

  // The head; nothing before the first sign-off.
  core::result<std::optional<schema::bundle_head>> Head() const;

  // All sign-offs, oldest first.
  core::result<std::vector<schema::sign_off>> History() const;

  // The bytes that were submitted under `digest`, verified against it.
  core::result<std::string> Content(std::string_view digest) const;

 private:
  core::result<schema::sign_off> SettleSignOff(
      const schema::sign_off& wanted) const;

  const store::store_client& store_;
};

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_BUNDLE_REPOSITORY_H_
