#include "waxwingfront/cli/job_commands.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <string>

#include "waxwingfront/cli/output.h"
#include "waxwingfront/cli/validators.h"
#include "waxwingfront/core/json.h"
#include "waxwingfront/net/http_client.h"
#include "waxwingfront/net/http_status.h"
#include "waxwingfront/schema/gen/common.pb.h"

namespace waxwingfront::cli {
namespace {

// Longer than an entry's timeout for the store.
constexpr core::milliseconds kCallTimeout{10000};

struct job_arguments {
  std::string entry_address;
  std::string file;
  std::string job;
};

using shared_arguments = std::shared_ptr<job_arguments>;

exit_code Call(const job_arguments& arguments, std::string_view method,
               const std::string& path, std::string_view body) {
  net::http_client http(
      {.address = arguments.entry_address, .timeout = kCallTimeout});
  const auto reply = http.Send(method, path, body);
  if (!reply) return ReportFailure(reply.error());
  if (reply->status == net::kHttpOk) {
    std::cout << reply->body << "\n";
    return exit_code::kOk;
  }
  schema::error_body failure;
  if (!core::FromJson(reply->body, core::unknown_fields::kIgnore, failure)) {
    return ReportFailure(
        {.code = core::error_code::kProtocol, .detail = reply->body});
  }
  const auto code = core::ErrorFromName(failure.type());
  return ReportFailure({.code = code.value_or(core::error_code::kProtocol),
                        .detail = failure.detail()});
}

exit_code Submit(const job_arguments& arguments) {
  const auto spec = ReadFile(arguments.file);
  if (!spec) return ReportFailure(spec.error());
  return Call(arguments, "POST", "/v1/jobs", *spec);
}

void AddEntryOption(CLI::App& command, const shared_arguments& arguments) {
  command
      .add_option("--entry", arguments->entry_address,
                  "Caller address of an entry, IP:PORT")
      ->required()
      ->check(CheckAddress);
}

}  // namespace

void AddJobCommands(CLI::App& app, std::function<exit_code()>& action) {
  const auto arguments = std::make_shared<job_arguments>();

  CLI::App& submit = *app.add_subcommand("submit", "Submits a batch job");
  submit.footer(
      "The file has one JSON object, for example:\n"
      "  {\"id\": \"orders-7\", \"customer\": \"demo\", \"batch_class\": "
      "\"orders\", \"task_count\": 4,\n"
      "   \"task_size\": {\"processor_milli\": 1000, \"memory_mib\": 512}, "
      "\"command\": \"...\"}\n"
      "Prints the job's status in JSON. With an id, a repeated submission is "
      "harmless: after\nexit code 4 (outcome unknown) submit the same file "
      "again. Exit code 3 if the id\nbelongs to a different job.");
  AddEntryOption(submit, arguments);
  submit.add_option("file", arguments->file, "Job in JSON")->required();
  submit.callback([arguments, &action] {
    action = [arguments] { return Submit(*arguments); };
  });

  CLI::App& status = *app.add_subcommand("status", "Shows a batch job");
  status.footer(
      "Prints the job's state and its counts of tasks and attempts in JSON.");
  AddEntryOption(status, arguments);
  status.add_option("job", arguments->job, "Id of the job")
      ->required()
      ->check(CheckJobId);
  status.callback([arguments, &action] {
    action = [arguments] {
      return Call(*arguments, "GET", "/v1/jobs/" + arguments->job, "");
    };
  });

  CLI::App& cancel = *app.add_subcommand("cancel", "Cancels a batch job");
  cancel.footer(
      "Running tasks are stopped. Prints the job's status in JSON; a finished "
      "job stays finished.");
  AddEntryOption(cancel, arguments);
  cancel.add_option("job", arguments->job, "Id of the job")
      ->required()
      ->check(CheckJobId);
  cancel.callback([arguments, &action] {
    action = [arguments] {
      return Call(*arguments, "DELETE", "/v1/jobs/" + arguments->job, "");
    };
  });
}

}  // namespace waxwingfront::cli
