// Output of commands: text on the standard streams and exit codes.
#ifndef WAXWINGFRONT_CLI_OUTPUT_H_
#define WAXWINGFRONT_CLI_OUTPUT_H_

#include <string>

#include "waxwingfront/cli/command_line.h"
#include "waxwingfront/core/error.h"

namespace waxwingfront::cli {

// Prints "<type>: <detail>" to standard error and returns the exit code for the
// type.
exit_code ReportFailure(const core::error& failure);

// Returns the content of the file at `path`. Fails with `kInvalidRequest`.
core::result<std::string> ReadFile(const std::string& path);

}  // namespace waxwingfront::cli

#endif  // WAXWINGFRONT_CLI_OUTPUT_H_
