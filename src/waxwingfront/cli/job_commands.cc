#include "waxwingfront/cli/job_commands.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <string>

#include "waxwingfront/cli/output.h"
#include "waxwingfront/core/json.h"
#include "waxwingfront/net/http_client.h"
#include "waxwingfront/schema/gen/common.pb.h"

namespace waxwingfront::cli {
namespace {

// Longer than an entry waits for the store.
constexpr core::milliseconds kCallLimit{10000};
constexpr int kHttpOk = 200;

struct job_arguments {
  std::string entry_address;
  std::string file;
  std::string job;
};

using shared_arguments = std::shared_ptr<job_arguments>;

exit_code Call(const job_arguments& arguments, std::string_view method,
               const std::string& path, std::string_view body) {
  net::http_client http(
      {.address = arguments.entry_address, .timeout = kCallLimit});
  const auto reply = http.Send(method, path, body);
  if (!reply) return ReportFailure(reply.error());
  if (reply->status == kHttpOk) {
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
                  "Address of an entry, IP:PORT")
      ->required();
}

}  // namespace

void AddJobCommands(CLI::App& app, std::function<exit_code()>& action) {
  const auto arguments = std::make_shared<job_arguments>();

  CLI::App& submit = *app.add_subcommand("submit", "Submits a batch job");
  AddEntryOption(submit, arguments);
  submit.add_option("file", arguments->file, "Job in JSON")->required();
  submit.callback([arguments, &action] {
    action = [arguments] { return Submit(*arguments); };
  });

  CLI::App& status = *app.add_subcommand("status", "Shows a batch job");
  AddEntryOption(status, arguments);
  status.add_option("job", arguments->job, "Id of the job")->required();
  status.callback([arguments, &action] {
    action = [arguments] {
      return Call(*arguments, "GET", "/v1/jobs/" + arguments->job, "");
    };
  });

  CLI::App& cancel = *app.add_subcommand("cancel", "Cancels a batch job");
  AddEntryOption(cancel, arguments);
  cancel.add_option("job", arguments->job, "Id of the job")->required();
  cancel.callback([arguments, &action] {
    action = [arguments] {
      return Call(*arguments, "DELETE", "/v1/jobs/" + arguments->job, "");
    };
  });
}

}  // namespace waxwingfront::cli
