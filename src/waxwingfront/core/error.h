// Error codes and the result type of operations that can fail.
#ifndef WAXWINGFRONT_CORE_ERROR_H_
#define WAXWINGFRONT_CORE_ERROR_H_

#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace waxwingfront::core {

// All error types. `ErrorName` returns the name that callers and logs see.
enum class error_code {
  // The caller's input is invalid.
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
  // The request had no effect; it is safe to retry.
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
  // What is stored cannot be read.
  kRecordDamaged,
  // A concurrent writer took precedence.
  kSignOffConflict,
  kUnknownVersion,
  kDeposed,
  // The target has been replaced by another incarnation.
  kOtherIncarnation,
  // The peer violated the protocol.
  kProtocol,
  kInternal,
};

// Returns the snake-case name of `code`, for example "outcome_unknown". Names
// are part of the interface to callers and do not change.
std::string_view ErrorName(error_code code);

// Inverse of `ErrorName`; `nullopt` for an unknown name.
std::optional<error_code> ErrorFromName(std::string_view name);

// Returns the HTTP status of a response that reports `code`.
int HttpStatus(error_code code);

// A failure: its type and a human-readable description.
struct error {
  error_code code = error_code::kInternal;
  std::string detail;
};

template <typename T>
using result = tl::expected<T, error>;

// Wraps a failure for return from a function that returns a `result`.
inline tl::unexpected<error> Failure(error_code code, std::string detail) {
  return tl::unexpected<error>(
      error{.code = code, .detail = std::move(detail)});
}

}  // namespace waxwingfront::core

#endif  // WAXWINGFRONT_CORE_ERROR_H_
