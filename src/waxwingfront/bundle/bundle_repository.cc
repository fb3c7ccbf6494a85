#include "waxwingfront/bundle/bundle_repository.h"

#include <algorithm>

#include "waxwingfront/bundle/bundle_check.h"
#include "waxwingfront/core/hash.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::bundle {
namespace {

constexpr std::string_view kHeadKey = "bundles/head";
constexpr std::string_view kHistoryPrefix = "bundles/history/";
constexpr std::string_view kContentPrefix = "bundles/content/";
// Decimal digits of a version in its key, so that keys sort by version.
constexpr std::size_t kVersionDigits = 12;
constexpr int kMaxWriteTries = 5;

std::string HistoryKey(std::int64_t version) {
  const std::string digits = std::to_string(version);
  return std::string(kHistoryPrefix) +
         std::string(kVersionDigits - digits.size(), '0') + digits;
}

std::string ContentKey(std::string_view digest) {
  return std::string(kContentPrefix) + std::string(digest);
}

tl::unexpected<core::error> Conflict(const std::string& winner,
                                     std::int64_t version) {
  return core::Failure(
      core::error_code::kSignOffConflict,
      winner + " has signed off version " + std::to_string(version) + " first");
}

std::int64_t NewestVersion(const schema::bundle_head& head) {
  std::int64_t newest = head.version();
  for (const auto& domain : head.domains())
    newest = std::max(newest, domain.version());
  return newest;
}

void SetDomainVersion(schema::bundle_head& head,
                      const std::string& failure_domain,
                      const schema::sign_off& signed_off) {
  for (auto& domain : *head.mutable_domains()) {
    if (domain.failure_domain() != failure_domain) continue;
    domain.set_version(signed_off.version());
    domain.set_digest(signed_off.digest());
    return;
  }
  schema::domain_version& added = *head.add_domains();
  added.set_failure_domain(failure_domain);
  added.set_version(signed_off.version());
  added.set_digest(signed_off.digest());
}

schema::bundle_head NextHead(schema::bundle_head head,
                             const schema::sign_off& signed_off) {
  head.set_generation(head.generation() + 1);
  head.set_operator_name(signed_off.operator_name());
  head.set_nonce(signed_off.nonce());
  if (signed_off.failure_domains().empty()) {
    head.set_version(signed_off.version());
    head.set_digest(signed_off.digest());
    head.clear_domains();
    return head;
  }
  for (const std::string& domain : signed_off.failure_domains()) {
    SetDomainVersion(head, domain, signed_off);
  }
  return head;
}

}  // namespace

bundle_repository::bundle_repository(const store::store_client& store)
    : store_(store) {}

core::result<std::string> bundle_repository::Submit(
    std::string_view json) const {
  const checked_bundle checked = CheckBundle(json);
  if (!checked.problems.empty()) {
    const bundle_problem& first = checked.problems.front();
    return core::Failure(core::error_code::kInvalidBundle,
                         first.field + ": allowed is " + first.allowed);
  }
  std::string digest = core::Sha256Hex(json);
  // The key names the content, so an existing value or a lost answer is not a
  // conflict.
  const auto written = store_.CreateIfAbsent(ContentKey(digest), json);
  if (!written) return tl::unexpected(written.error());
  return digest;
}

core::result<schema::sign_off> bundle_repository::SignOff(
    const sign_off_request& request) const {
  const auto content = Content(request.digest);
  if (!content) return tl::unexpected(content.error());
  const auto stored = store_.Get(kHeadKey);
  if (!stored) return tl::unexpected(stored.error());
  schema::bundle_head head;
  std::int64_t revision = 0;
  if (stored->has_value()) {
    if (!head.ParseFromString((*stored)->value)) {
      return core::Failure(core::error_code::kProtocol,
                           "the bundle head is damaged");
    }
    revision = (*stored)->mod_revision;
  }
  const std::int64_t newest = NewestVersion(head);
  if (request.expected_version.has_value() &&
      *request.expected_version != newest) {
    return Conflict(head.operator_name(), newest);
  }
  schema::sign_off signed_off;
  signed_off.set_version(newest + 1);
  signed_off.set_digest(request.digest);
  signed_off.set_operator_name(request.operator_name);
  signed_off.set_nonce(core::RandomNonce());
  for (const std::string& domain : request.failure_domains) {
    signed_off.add_failure_domains(domain);
  }
  const store::write_condition unchanged{.key = std::string(kHeadKey),
                                         .mod_revision = revision};
  const std::vector<store::stored_item> items{
      {.key = std::string(kHeadKey),
       .value = NextHead(head, signed_off).SerializeAsString()},
      {.key = HistoryKey(signed_off.version()),
       .value = signed_off.SerializeAsString()}};
  for (int attempt = 0; attempt < kMaxWriteTries; ++attempt) {
    const auto written = store_.WriteIf({&unchanged, 1}, items);
    if (written && *written == store::write_outcome::kApplied)
      return signed_off;
    if (written || written.error().code == core::error_code::kOutcomeUnknown) {
      const auto settled = SettleSignOff(signed_off);
      const bool absent =
          !settled && settled.error().code == core::error_code::kUnknownVersion;
      if (!absent) return settled;
    }
  }
  return core::Failure(core::error_code::kOutcomeUnknown,
                       "the store did not confirm version " +
                           std::to_string(signed_off.version()));
}

core::result<schema::sign_off> bundle_repository::SettleSignOff(
    const schema::sign_off& wanted) const {
  const auto stored = store_.Get(HistoryKey(wanted.version()));
  if (!stored) return tl::unexpected(stored.error());
  if (!stored->has_value()) {
    return core::Failure(core::error_code::kUnknownVersion,
                         "the version is not there");
  }
  schema::sign_off found;
  if (!found.ParseFromString((*stored)->value)) {
    return core::Failure(core::error_code::kProtocol, "a sign-off is damaged");
  }
  if (found.nonce() == wanted.nonce()) return wanted;
  return Conflict(found.operator_name(), found.version());
}

core::result<std::optional<schema::bundle_head>> bundle_repository::Head()
    const {
  const auto stored = store_.Get(kHeadKey);
  if (!stored) return tl::unexpected(stored.error());
  if (!stored->has_value()) return std::nullopt;
  schema::bundle_head head;
  if (!head.ParseFromString((*stored)->value)) {
    return core::Failure(core::error_code::kProtocol,
                         "the bundle head is damaged");
  }
  return head;
}

core::result<std::vector<schema::sign_off>> bundle_repository::History() const {
  const auto stored = store_.List(kHistoryPrefix);
  if (!stored) return tl::unexpected(stored.error());
  std::vector<schema::sign_off> history;
  for (const store::stored_value& item : *stored) {
    schema::sign_off signed_off;
    if (!signed_off.ParseFromString(item.value)) {
      return core::Failure(core::error_code::kProtocol,
                           item.key + " is damaged");
    }
    history.push_back(std::move(signed_off));
  }
  return history;
}

core::result<std::string> bundle_repository::Content(
    std::string_view digest) const {
  const auto stored = store_.Get(ContentKey(digest));
  if (!stored) return tl::unexpected(stored.error());
  if (!stored->has_value()) {
    return core::Failure(
        core::error_code::kUnknownVersion,
        "no bundle was submitted with digest " + std::string(digest));
  }
  if (core::Sha256Hex((*stored)->value) != digest) {
    return core::Failure(core::error_code::kProtocol,
                         "a bundle does not match its digest");
  }
  return (*stored)->value;
}

}  // namespace waxwingfront::bundle
