// Storage of bundles and their sign-offs.
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
  // Version that the operator assumes to be the newest; the check is skipped if
  // it is not set.
  std::optional<std::int64_t> expected_version;
  // Identifies the request in the history. A retry must carry the nonce and the
  // expected version of the first attempt, so that it takes effect once.
  std::uint64_t nonce = core::RandomNonce();
};

// Returns the version and digest that `head` assigns to a failure domain;
// version 0 means none.
schema::domain_version VersionFor(const schema::bundle_head& head,
                                  std::string_view failure_domain);

// Returns the newest version in `head`, over all failure domains.
std::int64_t NewestVersion(const schema::bundle_head& head);

// Parses a serialized head. Fails with `kProtocol` unless it is one that
// sign-offs can have produced.
core::result<schema::bundle_head> ParseHead(const std::string& bytes);
// Fails with `kProtocol` unless sign-offs can have produced `head`.
core::result<void> CheckHead(const schema::bundle_head& head);

class bundle_repository {
 public:
  // `store` must outlive this object.
  explicit bundle_repository(const store::store_client& store);

  // Validates and stores a bundle and returns its digest. Fails with
  // `kInvalidBundle`. May be retried after any failure.
  core::result<std::string> Submit(std::string_view json) const;

  // Makes a submitted bundle the next version. Returns the existing version if
  // the request already took effect, or if the newest version has the same
  // content for the same failure domains by the same operator. Fails with
  // `kSignOffConflict` if another sign-off was written first, with
  // `kUnknownVersion` if no bundle was submitted with the digest, with
  // `kOutcomeUnknown` if the write may have taken or may still take effect, and
  // with `kStoreUnavailable` if it did not and cannot take effect.
  core::result<schema::sign_off> SignOff(const sign_off_request& request) const;

  // Returns the head; no value before the first sign-off.
  core::result<std::optional<schema::bundle_head>> Head() const;

  // Returns all sign-offs, oldest first.
  core::result<std::vector<schema::sign_off>> History() const;

  // Returns the submitted document with `digest`; the digest is verified.
  core::result<std::string> Content(std::string_view digest) const;

 private:
  // A head and its store revision; writes are conditional on the revision.
  struct stored_head {
    schema::bundle_head head;
    std::int64_t revision = 0;
  };

  core::result<stored_head> ReadHead() const;
  core::result<std::optional<schema::sign_off>> ReadSignOff(
      std::int64_t version) const;
  // Returns the sign-off that an earlier attempt of `request` wrote, or the
  // newest one if it has the same effect.
  core::result<std::optional<schema::sign_off>> FindExisting(
      const sign_off_request& request, std::int64_t newest) const;
  core::result<schema::sign_off> WriteSignOff(const schema::sign_off& requested,
                                              const stored_head& base) const;

  const store::store_client& store_;
};

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_BUNDLE_REPOSITORY_H_
