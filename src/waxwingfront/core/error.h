// Typed failures.
#ifndef WAXWINGFRONT_CORE_ERROR_H_
#define WAXWINGFRONT_CORE_ERROR_H_

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace waxwingfront::core {

// Every kind of failure. `ErrorName` gives the name that callers and logs see.
enum class error_code {
  // The caller's input is at fault.
  kInvalidRequest,
  kRequestTooLarge,
  kRequestTimeout,
  kLengthRequired,
  kUnknownPath,
  kMethodNotAllowed,
  kUnknownCustomer,
  kUnknownService,
  kUnknownBatchClass,
  kUnknownJob,
  kJobConflict,
  kUnplaceable,
  kInvalidSettings,
  kInvalidBundle,
  // Nothing was done; the same request may be sent again.
  kNotRun,
  kOverloaded,
  kDeadlineExceeded,
  kNoUpstream,
  kNoBundle,
  kNoOwner,
  kShuttingDown,
  kStoreUnavailable,
  kUnreachable,
  // The request may or may not have taken effect.
  kOutcomeUnknown,
  // Another writer was first.
  kSignOffConflict,
  kUnknownVersion,
  kDeposed,
  // Another incarnation has taken the place of the one that was meant.
  kOtherIncarnation,
  // The other side broke its protocol.
  kProtocol,
  kInternal,
};

// Snake-case name of `code`, stable for callers, for example "outcome_unknown".
std::string_view ErrorName(error_code code);

// Inverse of `ErrorName`; nothing for an unknown name.
std::optional<error_code> ErrorFromName(std::string_view name);

// HTTP status that tells a caller about `code`.
int HttpStatus(error_code code);

// A failure: its type, and one sentence for a person.
struct error {
  error_code code = error_code::kInternal;
  std::string detail;
};

template <typename T>
using result = tl::expected<T, error>;

// Wraps a failure for return from a function that gives a `result`.
inline tl::unexpected<error> Failure(error_code code, std::string detail) {
  return tl::unexpected<error>(
      error{.code = code, .detail = std::move(detail)});
}

}  // namespace waxwingfront::core

#endif  // WAXWINGFRONT_CORE_ERROR_H_
