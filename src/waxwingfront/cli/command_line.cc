#include "waxwingfront/cli/command_line.h"

#include <CLI/CLI.hpp>
#include <exception>
#include <functional>
#include <iostream>
#include <string>

#include "platform/command.h"
#include "waxwingfront/cli/bundle_commands.h"
#include "waxwingfront/cli/dev_command.h"
#include "waxwingfront/cli/explain_command.h"
#include "waxwingfront/cli/job_commands.h"
#include "waxwingfront/cli/output.h"
#include "waxwingfront/cli/serve_command.h"

namespace waxwingfront::cli {

int RunCommandLine(int argc, char** argv) {
  CLI::App app("Scheduler for colocated latency-critical and batch work");
  app.require_subcommand(1);
  app.footer(
      "Every command has a --help of its own.\n"
      "Exit codes:\n"
      "  0  done\n"
      "  1  failed; standard error has the error's type and a sentence\n"
      "  2  the command line, a settings file, a bundle or a job is not valid\n"
      "  3  conflict: another sign-off came first, or the job id is taken\n"
      "  4  it is not known whether the command took effect");
  std::function<exit_code()> action;
  AddServeCommands(app, action);
  AddBundleCommands(app, action);
  AddJobCommands(app, action);
  platform::AddPlatformCommand(app, action);
  AddExplainCommand(app, action);
#ifdef WAXWINGFRONT_DEV
  AddDevCommand(app, action);
#endif
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
  try {
    return static_cast<int>(action());
  } catch (const std::exception& failure) {
    return static_cast<int>(ReportFailure(
        {.code = core::error_code::kInternal, .detail = failure.what()}));
  }
}

}  // namespace waxwingfront::cli
