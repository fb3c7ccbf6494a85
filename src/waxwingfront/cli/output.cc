#include "waxwingfront/cli/output.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace waxwingfront::cli {

exit_code ReportFailure(const core::error& failure) {
  std::cerr << core::ErrorName(failure.code) << ": " << failure.detail << "\n";
  switch (failure.code) {
    case core::error_code::kSignOffConflict:
      return exit_code::kConflict;
    case core::error_code::kOutcomeUnknown:
      return exit_code::kOutcomeUnknown;
    case core::error_code::kInvalidBundle:
    case core::error_code::kInvalidSettings:
    case core::error_code::kInvalidRequest:
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
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace waxwingfront::cli
