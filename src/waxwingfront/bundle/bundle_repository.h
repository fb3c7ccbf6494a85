// Bundles and their sign-offs in the store.
#ifndef WAXWINGFRONT_BUNDLE_BUNDLE_REPOSITORY_H_
#define WAXWINGFRONT_BUNDLE_BUNDLE_REPOSITORY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/error.h"
#include "waxwingfront/core/hash.h"
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
  // Identifies the request in the history. A repeated request has to carry the
  // nonce and the expected version of the first, so that it takes effect once.
  std::uint64_t nonce = core::RandomNonce();
};

// Version and digest that `head` gives a failure domain; version 0 means none.
schema::domain_version VersionFor(const schema::bundle_head& head,
                                  std::string_view failure_domain);

// The newest version that `head` names, for any failure domain.
std::int64_t NewestVersion(const schema::bundle_head& head);

// The bytes of a head. Fails with `kProtocol` unless they are one that
// sign-offs can have produced.
core::result<schema::bundle_head> ParseHead(const std::string& bytes);
core::result<void> CheckHead(const schema::bundle_head& head);

class bundle_repository {
 public:
  // `store` must outlive this object.
  explicit bundle_repository(const store::store_client& store);

  // Stores a checked bundle and gives its digest. Fails with `kInvalidBundle`.
  // May be repeated after any failure.
  core::result<std::string> Submit(std::string_view json) const;

  // Makes a submitted bundle the next version. Gives the version that is there
  // already if the request took effect before, or if the newest version is the
  // same content for the same failure domains by the same operator. Fails with
  // `kSignOffConflict` when another sign-off came first, with `kUnknownVersion`
  // when nothing was submitted under the digest, with `kOutcomeUnknown` when
  // the version may come to exist, and with `kStoreUnavailable` when it will
  // not.
  core::result<schema::sign_off> SignOff(const sign_off_request& request) const;

  // The head; nothing before the first sign-off.
  core::result<std::optional<schema::bundle_head>> Head() const;

  // All sign-offs, oldest first.
  core::result<std::vector<schema::sign_off>> History() const;

  // The bytes that were submitted under `digest`, verified against it.
  core::result<std::string> Content(std::string_view digest) const;

 private:
  // The head with the revision that a write is conditional on.
  struct stored_head {
    schema::bundle_head head;
    std::int64_t revision = 0;
  };

  core::result<stored_head> ReadHead() const;
  core::result<std::optional<schema::sign_off>> ReadSignOff(
      std::int64_t version) const;
  // The sign-off that an earlier try of `request` made, or that is equal to it
  // and the newest.
  core::result<std::optional<schema::sign_off>> FindEarlier(
      const sign_off_request& request, std::int64_t newest) const;
  core::result<schema::sign_off> Write(const schema::sign_off& wanted,
                                       const stored_head& base) const;

  const store::store_client& store_;
};

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_BUNDLE_REPOSITORY_H_
