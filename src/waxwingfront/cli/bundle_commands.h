// The commands `bundle check|submit|diff|sign-off|status|history`.
#ifndef WAXWINGFRONT_CLI_BUNDLE_COMMANDS_H_
#define WAXWINGFRONT_CLI_BUNDLE_COMMANDS_H_

#include <functional>

#include "waxwingfront/cli/command_line.h"

namespace CLI {
class App;
}

namespace waxwingfront::cli {

// Adds the commands to `app`. The chosen command stores its action in `action`.
void AddBundleCommands(CLI::App& app, std::function<exit_code()>& action);

}  // namespace waxwingfront::cli

#endif  // WAXWINGFRONT_CLI_BUNDLE_COMMANDS_H_
