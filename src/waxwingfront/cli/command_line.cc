#include "waxwingfront/cli/command_line.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <iostream>
#include <string>

#include "waxwingfront/cli/bundle_commands.h"
#include "waxwingfront/cli/dev_command.h"
#include "waxwingfront/cli/job_commands.h"
#include "waxwingfront/cli/serve_command.h"

namespace waxwingfront::cli {

int RunCommandLine(int argc, char** argv) {
  CLI::App app("Scheduler for colocated latency-critical and batch work");
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 done, 1 failed, 2 invalid input, 3 sign-off conflict, 4 "
      "outcome unknown.");
  std::function<exit_code()> action;
  AddServeCommands(app, action);
  AddBundleCommands(app, action);
  AddJobCommands(app, action);
  AddDevCommand(app, action);
  app.add_subcommand("version", "Prints the version")->callback([&action] {
    action = [] {
      std::cout << "waxwingfront " << WAXWINGFRONT_VERSION << "\n";
      return exit_code::kOk;
    };
  });
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& failure) {
    const bool help_only = app.exit(failure) == 0;
    return static_cast<int>(help_only ? exit_code::kOk
                                      : exit_code::kInvalidInput);
  }
  return static_cast<int>(action());
}

}  // namespace waxwingfront::cli
