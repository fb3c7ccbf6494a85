// The commands `submit|status|cancel` for jobs.
#ifndef WAXWINGFRONT_CLI_JOB_COMMANDS_H_
#define WAXWINGFRONT_CLI_JOB_COMMANDS_H_

#include <functional>

#include "waxwingfront/cli/command_line.h"

namespace CLI {
class App;
}

namespace waxwingfront::cli {

// Adds the commands to `app`. The chosen command stores its action in `action`.
void AddJobCommands(CLI::App& app, std::function<exit_code()>& action);

}  // namespace waxwingfront::cli

#endif  // WAXWINGFRONT_CLI_JOB_COMMANDS_H_
