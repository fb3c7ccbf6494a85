#include "waxwingfront/cli/bundle_commands.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "waxwingfront/bundle/bundle_check.h"
#include "waxwingfront/bundle/bundle_repository.h"
#include "waxwingfront/cli/output.h"
#include "waxwingfront/cli/validators.h"
#include "waxwingfront/core/json.h"
#include "waxwingfront/net/http_client.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::cli {
namespace {

struct bundle_arguments {
  std::string store_address;
  std::string file;
  bundle::sign_off_request sign_off;
  std::int64_t expected_version = -1;
};

using shared_arguments = std::shared_ptr<bundle_arguments>;

// A repository over a connection of its own.
class connected_repository {
 public:
  explicit connected_repository(const std::string& address)
      : http_({.address = address}),
        store_({.post =
                    [this](std::string_view path, std::string_view body) {
                      return http_.Send("POST", path, body);
                    }}),
        repository_(store_) {}

  const bundle::bundle_repository& operator*() const { return repository_; }
  const bundle::bundle_repository* operator->() const { return &repository_; }

 private:
  net::http_client http_;
  store::store_client store_;
  bundle::bundle_repository repository_;
};

// Prints every problem of a bundle file; gives its content if there is none.
core::result<std::string> ReadBundle(const std::string& path) {
  auto json = ReadFile(path);
  if (!json) return json;
  const bundle::checked_bundle checked = bundle::CheckBundle(*json);
  for (const bundle::bundle_problem& problem : checked.problems) {
    std::cerr << path << ": " << problem.field << ": allowed is "
              << problem.allowed << "\n";
  }
  if (!checked.problems.empty()) {
    return core::Failure(
        core::error_code::kInvalidBundle,
        std::to_string(checked.problems.size()) + " problems in " + path);
  }
  return json;
}

exit_code Check(const bundle_arguments& arguments) {
  const auto json = ReadBundle(arguments.file);
  if (!json) return ReportFailure(json.error());
  std::cout << arguments.file << " is valid\n";
  return exit_code::kOk;
}

exit_code Submit(const bundle_arguments& arguments) {
  const auto json = ReadBundle(arguments.file);
  if (!json) return ReportFailure(json.error());
  const connected_repository repository(arguments.store_address);
  const auto digest = repository->Submit(*json);
  if (!digest) return ReportFailure(digest.error());
  std::cout << *digest << "\n";
  return exit_code::kOk;
}

exit_code SignOff(bundle_arguments& arguments) {
  if (arguments.expected_version >= 0) {
    arguments.sign_off.expected_version = arguments.expected_version;
  }
  const connected_repository repository(arguments.store_address);
  const auto signed_off = repository->SignOff(arguments.sign_off);
  if (!signed_off) return ReportFailure(signed_off.error());
  std::cout << "version " << signed_off->version() << "\n";
  return exit_code::kOk;
}

exit_code Status(const bundle_arguments& arguments) {
  const connected_repository repository(arguments.store_address);
  const auto head = repository->Head();
  if (!head) return ReportFailure(head.error());
  if (!head->has_value()) {
    std::cout << "no version is signed off\n";
    return exit_code::kOk;
  }
  std::cout << core::ToPrettyJson(**head);
  return exit_code::kOk;
}

exit_code History(const bundle_arguments& arguments) {
  const connected_repository repository(arguments.store_address);
  const auto history = repository->History();
  if (!history) return ReportFailure(history.error());
  for (const auto& signed_off : *history)
    std::cout << core::ToJson(signed_off) << "\n";
  return exit_code::kOk;
}

void AddStoreOption(CLI::App& command, const shared_arguments& arguments) {
  command
      .add_option("--store", arguments->store_address,
                  "Address of the platform's store, IP:PORT")
      ->required()
      ->check(CheckAddress);
}

}  // namespace

void AddBundleCommands(CLI::App& app, std::function<exit_code()>& action) {
  const auto arguments = std::make_shared<bundle_arguments>();
  CLI::App& bundle =
      *app.add_subcommand("bundle", "Checks, signs off and shows bundles");
  bundle.footer(
      "A bundle takes effect in three steps:\n"
      "  waxwingfront bundle check bundle.json\n"
      "  waxwingfront bundle submit --store 127.0.0.1:2379 bundle.json\n"
      "  waxwingfront bundle sign-off --store 127.0.0.1:2379 --operator NAME "
      "DIGEST\n"
      "A rollback is the sign-off of an earlier digest, which `history` "
      "shows.");
  bundle.require_subcommand(1);

  CLI::App& check =
      *bundle.add_subcommand("check", "Reports every problem of a bundle file");
  check.footer(
      "Prints one line per problem to standard error: the field and what is "
      "allowed.\nExit code 2 if there is any. Needs no store.");
  check.add_option("file", arguments->file, "Bundle in JSON")->required();
  check.callback([arguments, &action] {
    action = [arguments] { return Check(*arguments); };
  });

  CLI::App& submit =
      *bundle.add_subcommand("submit", "Stores a bundle and prints its digest");
  submit.footer(
      "The bundle has no effect until its digest is signed off. Submitting the "
      "same file\nagain is harmless.");
  AddStoreOption(submit, arguments);
  submit.add_option("file", arguments->file, "Bundle in JSON")->required();
  submit.callback([arguments, &action] {
    action = [arguments] { return Submit(*arguments); };
  });

  CLI::App& sign_off = *bundle.add_subcommand(
      "sign-off",
      "Makes a submitted bundle the next version; an earlier one rolls back");
  sign_off.footer(
      "Examples:\n"
      "  to one failure domain first:\n"
      "    waxwingfront bundle sign-off --store 127.0.0.1:2379 --operator NAME "
      "--domain trebic DIGEST\n"
      "  to all, unless another operator was faster than version 7:\n"
      "    waxwingfront bundle sign-off --store 127.0.0.1:2379 --operator NAME "
      "--expect 7 DIGEST\n"
      "Exit code 3 and the winner's name if another sign-off came first; 4 if "
      "the outcome is\nunknown: `bundle history` shows whether it took "
      "effect.");
  AddStoreOption(sign_off, arguments);
  sign_off
      .add_option("digest", arguments->sign_off.digest,
                  "Digest that submit printed")
      ->required();
  sign_off
      .add_option("--operator", arguments->sign_off.operator_name,
                  "Name of the operator")
      ->required();
  // Without the limit of one value each, --domain would take the digest too.
  sign_off
      .add_option(
          "--domain", arguments->sign_off.failure_domains,
          "Failure domain to roll out to; may be repeated; all if absent")
      ->allow_extra_args(false);
  sign_off
      .add_option("--expect", arguments->expected_version,
                  "Newest version the operator knows, 0 for none; another one "
                  "is a conflict")
      ->check(CLI::NonNegativeNumber);
  sign_off.callback([arguments, &action] {
    action = [arguments] { return SignOff(*arguments); };
  });

  CLI::App& status =
      *bundle.add_subcommand("status", "Shows the versions in force");
  AddStoreOption(status, arguments);
  status.footer(
      "Prints the head in JSON: generation, version and digest, and the "
      "failure "
      "domains\nwhose version differs.");
  status.callback([arguments, &action] {
    action = [arguments] { return Status(*arguments); };
  });

  CLI::App& history =
      *bundle.add_subcommand("history", "Lists all sign-offs, oldest first");
  AddStoreOption(history, arguments);
  history.footer("Prints one JSON object per line.");
  history.callback([arguments, &action] {
    action = [arguments] { return History(*arguments); };
  });
}

}  // namespace waxwingfront::cli
