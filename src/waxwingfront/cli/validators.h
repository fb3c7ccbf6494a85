// Checks of command-line arguments that several commands share.
#ifndef WAXWINGFRONT_CLI_VALIDATORS_H_
#define WAXWINGFRONT_CLI_VALIDATORS_H_

#include <string>

namespace waxwingfront::cli {

// For CLI::Option::check: an empty string if the argument is valid, otherwise
// what is allowed.
std::string CheckAddress(const std::string& text);
std::string CheckJobId(const std::string& text);

}  // namespace waxwingfront::cli

#endif  // WAXWINGFRONT_CLI_VALIDATORS_H_
