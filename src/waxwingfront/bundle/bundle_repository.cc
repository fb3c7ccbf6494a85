#include "waxwingfront/bundle/bundle_repository.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "waxwingfront/bundle/bundle_check.h"
#include "waxwingfront/core/hash.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::bundle {
namespace {

constexpr std::string_view kHeadKey = "bundles/head";
constexpr std::string_view kHistoryPrefix = "bundles/history/";
constexpr std::string_view kContentPrefix = "bundles/content/";
// Versions are padded to this length in keys, so that keys sort by version.
constexpr std::size_t kVersionDigits = 12;
constexpr int kMaxWriteAttempts = 5;
constexpr std::size_t kDigestDigits = 64;

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

// Converts the error of a read: a read without a response changes nothing, so
// its outcome is not in doubt.
core::error AsUnavailable(core::error failure) {
  if (failure.code == core::error_code::kOutcomeUnknown)
    failure.code = core::error_code::kStoreUnavailable;
  return failure;
}

schema::sign_off ToSignOff(const sign_off_request& request) {
  schema::sign_off requested;
  requested.set_digest(request.digest);
  requested.set_operator_name(request.operator_name);
  requested.set_nonce(request.nonce);
  for (const std::string& domain : request.failure_domains)
    requested.add_failure_domains(domain);
  return requested;
}

bool HasSameEffect(const schema::sign_off& left,
                   const schema::sign_off& right) {
  const std::set<std::string> left_domains(left.failure_domains().begin(),
                                           left.failure_domains().end());
  const std::set<std::string> right_domains(right.failure_domains().begin(),
                                            right.failure_domains().end());
  return left.digest() == right.digest() && left_domains == right_domains &&
         left.operator_name() == right.operator_name();
}

bool IsDigest(std::string_view text) {
  return text.size() == kDigestDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

}  // namespace

schema::domain_version VersionFor(const schema::bundle_head& head,
                                  std::string_view failure_domain) {
  for (const auto& domain : head.domains()) {
    if (domain.failure_domain() == failure_domain) return domain;
  }
  schema::domain_version general;
  general.set_failure_domain(std::string(failure_domain));
  general.set_version(head.version());
  general.set_digest(head.digest());
  return general;
}

std::int64_t NewestVersion(const schema::bundle_head& head) {
  std::int64_t newest = head.version();
  for (const auto& domain : head.domains())
    newest = std::max(newest, domain.version());
  return newest;
}

core::result<void> CheckHead(const schema::bundle_head& head) {
  bool valid = head.generation() > 0 &&
               head.generation() == NewestVersion(head) &&
               (head.version() == 0) == head.digest().empty() &&
               (head.version() == 0 || IsDigest(head.digest()));
  for (const auto& domain : head.domains()) {
    valid =
        valid && IsDigest(domain.digest()) && domain.version() > head.version();
  }
  if (valid) return {};
  return core::Failure(core::error_code::kProtocol,
                       "the bundle head is damaged");
}

core::result<schema::bundle_head> ParseHead(const std::string& bytes) {
  schema::bundle_head head;
  if (!head.ParseFromString(bytes)) {
    return core::Failure(core::error_code::kProtocol,
                         "the bundle head is damaged");
  }
  const auto checked = CheckHead(head);
  if (!checked) return tl::unexpected(checked.error());
  return head;
}

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
  // The key is the content's digest, so an existing value is not a conflict and
  // a write without a response may be retried.
  core::error failure;
  for (int attempt = 0; attempt < kMaxWriteAttempts; ++attempt) {
    const auto written = store_.CreateIfAbsent(ContentKey(digest), json);
    if (written) return digest;
    failure = written.error();
    if (failure.code != core::error_code::kOutcomeUnknown) break;
  }
  return tl::unexpected(failure);
}

core::result<schema::sign_off> bundle_repository::SignOff(
    const sign_off_request& request) const {
  const auto content = Content(request.digest);
  if (!content) return tl::unexpected(content.error());
  const auto base = ReadHead();
  if (!base) return tl::unexpected(base.error());
  const std::int64_t newest = NewestVersion(base->head);
  const auto existing = FindExisting(request, newest);
  if (!existing) return tl::unexpected(existing.error());
  if (existing->has_value()) return **existing;
  const std::int64_t expected = request.expected_version.value_or(newest);
  if (expected > newest) {
    return core::Failure(core::error_code::kInvalidRequest,
                         "the newest version is " + std::to_string(newest) +
                             ", not " + std::to_string(expected));
  }
  if (expected < newest) return Conflict(base->head.operator_name(), newest);
  schema::sign_off requested = ToSignOff(request);
  requested.set_version(newest + 1);
  return WriteSignOff(requested, *base);
}

core::result<std::optional<schema::sign_off>> bundle_repository::FindExisting(
    const sign_off_request& request, std::int64_t newest) const {
  const schema::sign_off requested = ToSignOff(request);
  // An earlier attempt can only have created the version after the expected
  // one.
  const std::int64_t attempted = request.expected_version.value_or(newest) + 1;
  for (const std::int64_t version : {attempted, newest}) {
    if (version < 1 || version > newest) continue;
    const auto found = ReadSignOff(version);
    if (!found) return tl::unexpected(found.error());
    if (!found->has_value()) continue;
    const bool same_nonce = (*found)->nonce() == request.nonce;
    const bool same_effect = HasSameEffect(**found, requested);
    if (same_nonce && !same_effect) {
      return core::Failure(core::error_code::kInvalidRequest,
                           "the nonce belongs to another sign-off, version " +
                               std::to_string(version));
    }
    if (same_nonce || (same_effect && version == newest)) return **found;
  }
  return std::nullopt;
}

core::result<schema::sign_off> bundle_repository::WriteSignOff(
    const schema::sign_off& requested, const stored_head& base) const {
  // The second condition protects the history if the head was deleted by
  // mistake.
  const std::array conditions{
      store::write_condition{.key = std::string(kHeadKey),
                             .mod_revision = base.revision},
      store::write_condition{.key = HistoryKey(requested.version())}};
  const std::array items{
      store::write_item{
          .key = std::string(kHeadKey),
          .value = NextHead(base.head, requested).SerializeAsString()},
      store::write_item{.key = HistoryKey(requested.version()),
                        .value = requested.SerializeAsString()}};
  // True if an attempt may have taken or may still take effect.
  bool may_apply = false;
  for (int attempt = 0; attempt < kMaxWriteAttempts; ++attempt) {
    const auto written = store_.WriteIf(conditions, items);
    if (written && *written == store::write_outcome::kApplied) return requested;
    if (!written && written.error().code != core::error_code::kOutcomeUnknown)
      continue;
    may_apply = may_apply || !written;
    const auto found = ReadSignOff(requested.version());
    if (!found) continue;
    if (!found->has_value()) {
      if (!written) continue;
      return core::Failure(core::error_code::kProtocol,
                           "the bundle head changed without a sign-off");
    }
    const bool is_own = (*found)->nonce() == requested.nonce() ||
                        HasSameEffect(**found, requested);
    if (is_own) return **found;
    return Conflict((*found)->operator_name(), (*found)->version());
  }
  if (may_apply) {
    return core::Failure(core::error_code::kOutcomeUnknown,
                         "the store did not confirm version " +
                             std::to_string(requested.version()));
  }
  return core::Failure(core::error_code::kStoreUnavailable,
                       "the store refused the sign-off; nothing was changed");
}

core::result<std::optional<schema::sign_off>> bundle_repository::ReadSignOff(
    std::int64_t version) const {
  const auto stored = store_.Get(HistoryKey(version));
  if (!stored) return tl::unexpected(AsUnavailable(stored.error()));
  if (!stored->has_value()) return std::nullopt;
  schema::sign_off found;
  if (!found.ParseFromString((*stored)->value)) {
    return core::Failure(core::error_code::kProtocol, "a sign-off is damaged");
  }
  return found;
}

core::result<bundle_repository::stored_head> bundle_repository::ReadHead()
    const {
  const auto stored = store_.Get(kHeadKey);
  if (!stored) return tl::unexpected(AsUnavailable(stored.error()));
  if (!stored->has_value()) return stored_head{};
  auto head = ParseHead((*stored)->value);
  if (!head) return tl::unexpected(head.error());
  return stored_head{.head = std::move(*head),
                     .revision = (*stored)->mod_revision};
}

core::result<std::optional<schema::bundle_head>> bundle_repository::Head()
    const {
  auto stored = ReadHead();
  if (!stored) return tl::unexpected(stored.error());
  if (stored->revision == 0) return std::nullopt;
  return std::move(stored->head);
}

core::result<std::vector<schema::sign_off>> bundle_repository::History() const {
  const auto stored = store_.List(kHistoryPrefix);
  if (!stored) return tl::unexpected(AsUnavailable(stored.error()));
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
  if (!stored) return tl::unexpected(AsUnavailable(stored.error()));
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
