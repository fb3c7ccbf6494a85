// The command `dev`: a whole small site in one process, for a newcomer.
#ifndef WAXWINGFRONT_CLI_DEV_COMMAND_H_
#define WAXWINGFRONT_CLI_DEV_COMMAND_H_

#include <functional>

#include "waxwingfront/cli/command_line.h"

namespace CLI {
class App;
}

namespace waxwingfront::cli {

// Adds the command to `app`; if it is chosen, it stores its action in `action`.
void AddDevCommand(CLI::App& app, std::function<exit_code()>& action);

}  // namespace waxwingfront::cli

#endif  // WAXWINGFRONT_CLI_DEV_COMMAND_H_
