// The commands `serve` and `config check`.
#ifndef WAXWINGFRONT_CLI_SERVE_COMMAND_H_
#define WAXWINGFRONT_CLI_SERVE_COMMAND_H_

#include <functional>

#include "waxwingfront/cli/command_line.h"

namespace CLI {
class App;
}

namespace waxwingfront::cli {

// Adds the commands to `app`. The chosen command stores its action in `action`.
void AddServeCommands(CLI::App& app, std::function<exit_code()>& action);

}  // namespace waxwingfront::cli

#endif  // WAXWINGFRONT_CLI_SERVE_COMMAND_H_
