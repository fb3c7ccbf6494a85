// The command `dev`: runs a small demonstration site in one process.
#ifndef WAXWINGFRONT_CLI_DEV_COMMAND_H_
#define WAXWINGFRONT_CLI_DEV_COMMAND_H_

#include <functional>

#include "waxwingfront/cli/command_line.h"

namespace CLI {
class App;
}

namespace waxwingfront::cli {

// Adds the command to `app`. If it is chosen, it stores its action in `action`.
void AddDevCommand(CLI::App& app, std::function<exit_code()>& action);

}  // namespace waxwingfront::cli

#endif  // WAXWINGFRONT_CLI_DEV_COMMAND_H_
