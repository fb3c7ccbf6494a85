#include "waxwingfront/cli/output.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include "waxwingfront/core/text.h"

namespace waxwingfront::cli {

exit_code ReportFailure(const core::error& failure) {
  std::cerr << core::ErrorName(failure.code) << ": "
            << core::Printable(failure.detail) << "\n";
  switch (failure.code) {
    case core::error_code::kSignOffConflict:
    case core::error_code::kJobConflict:
      return exit_code::kConflict;
    case core::error_code::kOutcomeUnknown:
      return exit_code::kOutcomeUnknown;
    case core::error_code::kInvalidBundle:
    case core::error_code::kInvalidSettings:
    case core::error_code::kInvalidRequest:
    case core::error_code::kRequestTooLarge:
      return exit_code::kInvalidInput;
    default:
      return exit_code::kFailed;
  }
}

core::result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file)
    return core::Failure(core::error_code::kInvalidRequest,
                         path + " cannot be read");
  std::ostringstream content;
  content << file.rdbuf();
  // Opening a directory succeeds; only the first read fails.
  if (!file || !content)
    return core::Failure(core::error_code::kInvalidRequest,
                         path + " is empty or cannot be read");
  return content.str();
}

}  // namespace waxwingfront::cli
