// Validators of command-line arguments for several commands.
#ifndef WAXWINGFRONT_CLI_VALIDATORS_H_
#define WAXWINGFRONT_CLI_VALIDATORS_H_

#include <string>

namespace waxwingfront::cli {

// Validators for CLI::Option::check. Return an empty string if the argument is
// valid, otherwise an error that states what is allowed.
std::string CheckAddress(const std::string& text);
std::string CheckJobId(const std::string& text);

}  // namespace waxwingfront::cli

#endif  // WAXWINGFRONT_CLI_VALIDATORS_H_
