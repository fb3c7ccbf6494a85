#include "waxwingfront/cli/serve_command.h"

#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>
#include <memory>
#include <string>

#include "waxwingfront/cli/output.h"
#include "waxwingfront/cli/signals.h"
#include "waxwingfront/core/json.h"
#include "waxwingfront/logging/log.h"
#include "waxwingfront/serve/entry.h"
#include "waxwingfront/settings/settings_loader.h"

namespace waxwingfront::cli {
namespace {

logging::level LevelFrom(const std::string& name) {
  if (name == "error") return logging::level::kError;
  if (name == "warning") return logging::level::kWarning;
  return logging::level::kInfo;
}

// Prints every problem of a settings file.
exit_code ReportProblems(const settings::loaded_settings& loaded) {
  for (const settings::settings_problem& problem : loaded.problems) {
    std::cerr << settings::Describe(problem) << "\n";
  }
  return loaded.problems.empty() ? exit_code::kOk : exit_code::kInvalidInput;
}

exit_code Serve(const std::string& file) {
  const settings::loaded_settings loaded = settings::LoadSettings(file);
  if (const exit_code checked = ReportProblems(loaded);
      checked != exit_code::kOk)
    return checked;
  logging::Start(LevelFrom(loaded.values.log().level()));
  const stop_signals signals;
  const auto running = serve::entry::Start(loaded.values);
  if (!running) return ReportFailure(running.error());
  signals.Wait();
  (*running)->Shutdown();
  return exit_code::kOk;
}

exit_code CheckSettings(const std::string& file) {
  const settings::loaded_settings loaded = settings::LoadSettings(file);
  if (const exit_code checked = ReportProblems(loaded);
      checked != exit_code::kOk)
    return checked;
  std::cout << core::ToPrettyJson(loaded.values);
  return exit_code::kOk;
}

}  // namespace

void AddServeCommands(CLI::App& app, std::function<exit_code()>& action) {
  const auto file = std::make_shared<std::string>();
  CLI::App& serve =
      *app.add_subcommand("serve", "Runs an entry until SIGTERM or SIGINT");
  serve.footer(
      "Example:\n"
      "  waxwingfront serve --config /etc/waxwingfront/entry.ini\n"
      "Writes its log to standard error. On SIGTERM the entry becomes not "
      "ready, goes on\nserving for front.unready_ms, finishes its requests "
      "within front.drain_ms, hands its\nshards over and exits with 0. Exit "
      "code 2 if the settings are not valid or an address\ncannot be "
      "listened on.");
  serve.add_option("--config", *file, "Settings file in INI")->required();
  serve.callback([file, &action] { action = [file] { return Serve(*file); }; });

  CLI::App& config = *app.add_subcommand("config", "Works on settings files");
  config.require_subcommand(1);
  CLI::App& check = *config.add_subcommand(
      "check", "Reports every problem, or shows all settings in force");
  check.footer(
      "Prints one line per problem to standard error: file, section, key, what "
      "is allowed and\nits unit; then exit code 2. A valid file is printed in "
      "JSON with all defaults.\nExample:\n  waxwingfront config check "
      "examples/entry.ini");
  check.add_option("file", *file, "Settings file in INI")->required();
  check.callback(
      [file, &action] { action = [file] { return CheckSettings(*file); }; });
}

}  // namespace waxwingfront::cli
