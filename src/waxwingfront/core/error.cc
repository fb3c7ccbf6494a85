#include "waxwingfront/core/error.h"

#include <array>

namespace waxwingfront::core {
namespace {

struct error_row {
  error_code code;
  std::string_view name;
  int http_status;
};

constexpr std::array kErrorRows = {
    error_row{error_code::kInvalidRequest, "invalid_request", 400},
    error_row{error_code::kRequestTooLarge, "request_too_large", 413},
    error_row{error_code::kRequestTimeout, "request_timeout", 408},
    error_row{error_code::kLengthRequired, "length_required", 411},
    error_row{error_code::kUnknownPath, "unknown_path", 404},
    error_row{error_code::kMethodNotAllowed, "method_not_allowed", 405},
    error_row{error_code::kUnknownCustomer, "unknown_customer", 403},
    error_row{error_code::kUnknownService, "unknown_service", 404},
    error_row{error_code::kUnknownBatchClass, "unknown_batch_class", 400},
    error_row{error_code::kUnknownJob, "unknown_job", 404},
    error_row{error_code::kJobConflict, "job_conflict", 409},
    error_row{error_code::kUnplaceable, "unplaceable", 422},
    error_row{error_code::kInvalidSettings, "invalid_settings", 500},
    error_row{error_code::kInvalidBundle, "invalid_bundle", 400},
    error_row{error_code::kNotRun, "not_run", 503},
    error_row{error_code::kOverloaded, "overloaded", 503},
    error_row{error_code::kDeadlineExceeded, "deadline_exceeded", 504},
    error_row{error_code::kNoUpstream, "no_upstream", 503},
    error_row{error_code::kNoBundle, "no_bundle", 503},
    error_row{error_code::kNoOwner, "no_owner", 503},
    error_row{error_code::kShuttingDown, "shutting_down", 503},
    error_row{error_code::kStoreUnavailable, "store_unavailable", 503},
    error_row{error_code::kUnreachable, "unreachable", 503},
    error_row{error_code::kOutcomeUnknown, "outcome_unknown", 502},
    error_row{error_code::kRecordDamaged, "record_damaged", 500},
    error_row{error_code::kSignOffConflict, "sign_off_conflict", 409},
    error_row{error_code::kUnknownVersion, "unknown_version", 404},
    error_row{error_code::kDeposed, "deposed", 503},
    error_row{error_code::kOtherIncarnation, "other_incarnation", 503},
    error_row{error_code::kProtocol, "protocol", 502},
    error_row{error_code::kInternal, "internal", 500},
};

const error_row& FindRow(error_code code) {
  for (const error_row& row : kErrorRows) {
    if (row.code == code) return row;
  }
  return kErrorRows.back();
}

}  // namespace

std::string_view ErrorName(error_code code) { return FindRow(code).name; }

std::optional<error_code> ErrorFromName(std::string_view name) {
  for (const error_row& row : kErrorRows) {
    if (row.name == name) return row.code;
  }
  return std::nullopt;
}

int HttpStatus(error_code code) { return FindRow(code).http_status; }

}  // namespace waxwingfront::core
