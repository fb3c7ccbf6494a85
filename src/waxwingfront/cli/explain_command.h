// The command `explain`: prints a job's history from the logs of all nodes.
#ifndef WAXWINGFRONT_CLI_EXPLAIN_COMMAND_H_
#define WAXWINGFRONT_CLI_EXPLAIN_COMMAND_H_

#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "waxwingfront/cli/command_line.h"

namespace CLI {
class App;
}

namespace waxwingfront::cli {

// Adds the command to `app`. If it is chosen, it stores its action in `action`.
void AddExplainCommand(CLI::App& app, std::function<exit_code()>& action);

// Returns the events in `logs` that contain `id` and all changes of leadership,
// sorted by time: one per line, with the node, the event and its fields. Text
// before a line's JSON and lines without JSON are ignored.
std::string Explain(std::string_view id, std::span<const std::string> logs);

}  // namespace waxwingfront::cli

#endif  // WAXWINGFRONT_CLI_EXPLAIN_COMMAND_H_
