#include "waxwingfront/cli/bundle_commands.h"

#include <CLI/CLI.hpp>
#include <cstdint>
#include <future>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "waxwingfront/bundle/bundle_check.h"
#include "waxwingfront/bundle/bundle_diff.h"
#include "waxwingfront/bundle/bundle_repository.h"
#include "waxwingfront/bundle/bundle_status.h"
#include "waxwingfront/cli/output.h"
#include "waxwingfront/cli/validators.h"
#include "waxwingfront/core/json.h"
#include "waxwingfront/net/http_client.h"
#include "waxwingfront/peer/peer_client.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::cli {
namespace {

struct bundle_arguments {
  std::string store_address;
  std::string file;
  // File or digest of the bundle to compare.
  std::string bundle;
  std::string failure_domain;
  bundle::sign_off_request sign_off;
  std::int64_t expected_version = -1;
  std::uint64_t retry_nonce = 0;
  bool json = false;
};

// Timeout for an entry's response.
constexpr core::milliseconds kEntryTimeout{1000};
constexpr std::string_view kEntriesPrefix = "entries/";

using shared_arguments = std::shared_ptr<bundle_arguments>;

// A bundle repository with its own connection to the store.
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
  const store::store_client& Store() const { return store_; }

 private:
  net::http_client http_;
  store::store_client store_;
  bundle::bundle_repository repository_;
};

// Prints every problem of a bundle file. Returns its content if there is none.
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

// Returns the parsed bundle with this digest; an empty one if `digest` is
// empty.
core::result<schema::bundle> ReadBundle(
    const bundle::bundle_repository& repository, const std::string& digest) {
  if (digest.empty()) return schema::bundle();
  const auto json = repository.Content(digest);
  if (!json) return tl::unexpected(json.error());
  return bundle::CheckBundle(*json).content;
}

// Returns the head for comparisons; an empty one before the first sign-off.
core::result<schema::bundle_head> ReadHead(
    const bundle::bundle_repository& repository) {
  const auto head = repository.Head();
  if (!head) return tl::unexpected(head.error());
  return head->value_or(schema::bundle_head());
}

// Prints the changes that `after` makes in one failure domain. An empty name
// means the domains that have no version of their own.
core::result<void> PrintChanges(const bundle::bundle_repository& repository,
                                const schema::bundle_head& head,
                                const std::string& failure_domain,
                                const schema::bundle& after) {
  const schema::domain_version former =
      bundle::VersionFor(head, failure_domain);
  const auto before = ReadBundle(repository, former.digest());
  if (!before) return tl::unexpected(before.error());
  std::cout << "changes against version " << former.version();
  if (!failure_domain.empty()) std::cout << " in " << failure_domain;
  std::cout << ":\n" << bundle::ToText(bundle::DiffBundles(*before, after));
  return {};
}

exit_code Diff(const bundle_arguments& arguments) {
  const connected_repository repository(arguments.store_address);
  const auto file = ReadFile(arguments.bundle);
  schema::bundle after;
  if (file) {
    bundle::checked_bundle checked = bundle::CheckBundle(*file);
    if (!checked.problems.empty()) {
      const bundle::bundle_problem& first = checked.problems.front();
      return ReportFailure(
          {.code = core::error_code::kInvalidBundle,
           .detail = first.field + ": allowed is " + first.allowed});
    }
    after = std::move(checked.content);
  } else {
    auto stored = ReadBundle(*repository, arguments.bundle);
    if (!stored) return ReportFailure(stored.error());
    after = std::move(*stored);
  }
  const auto head = ReadHead(*repository);
  if (!head) return ReportFailure(head.error());
  const auto printed =
      PrintChanges(*repository, *head, arguments.failure_domain, after);
  return printed ? exit_code::kOk : ReportFailure(printed.error());
}

// Prints the effect of the requested sign-off. Fails if the bundle is for a
// different site.
core::result<void> PrintSignOff(const bundle::bundle_repository& repository,
                                const schema::bundle_head& head,
                                const bundle::sign_off_request& request) {
  const auto after = ReadBundle(repository, request.digest);
  if (!after) return tl::unexpected(after.error());
  std::cout << "site: " << after->site() << "\nfailure domains:";
  if (request.failure_domains.empty()) std::cout << " all";
  for (const std::string& domain : request.failure_domains)
    std::cout << " " << domain;
  std::cout << "\n";
  std::set<std::string> compared(request.failure_domains.begin(),
                                 request.failure_domains.end());
  if (compared.empty()) {
    compared.insert("");
    for (const auto& domain : head.domains())
      compared.insert(domain.failure_domain());
  }
  for (const std::string& domain : compared) {
    const auto printed = PrintChanges(repository, head, domain, *after);
    if (!printed) return printed;
    const auto before =
        ReadBundle(repository, bundle::VersionFor(head, domain).digest());
    if (before && !before->site().empty() && before->site() != after->site()) {
      return core::Failure(core::error_code::kInvalidBundle,
                           "the bundle is for site " + after->site() +
                               ", the one in force is for " + before->site());
    }
  }
  return {};
}

exit_code SignOff(bundle_arguments& arguments) {
  bundle::sign_off_request& request = arguments.sign_off;
  if (arguments.retry_nonce != 0) request.nonce = arguments.retry_nonce;
  const connected_repository repository(arguments.store_address);
  const auto head = ReadHead(*repository);
  if (!head) return ReportFailure(head.error());
  // Without `--expect`, the sign-off applies to the head that was printed.
  request.expected_version = arguments.expected_version >= 0
                                 ? arguments.expected_version
                                 : bundle::NewestVersion(*head);
  const auto printed = PrintSignOff(*repository, *head, request);
  if (!printed) return ReportFailure(printed.error());
  const auto signed_off = repository->SignOff(request);
  if (!signed_off) {
    const exit_code code = ReportFailure(signed_off.error());
    if (code == exit_code::kOutcomeUnknown) {
      std::cerr << "run the command again with --expect "
                << *request.expected_version << " --retry " << request.nonce
                << "; it takes effect at most once\n";
    }
    return code;
  }
  std::cout << "version " << signed_off->version() << "\n";
  return exit_code::kOk;
}

core::result<schema::bundle_reply> QueryEntry(peer::peer_client& peers,
                                              const std::string& address) {
  schema::peer_request request;
  request.mutable_bundle();
  const auto response = peers.Call(address, request, kEntryTimeout);
  if (!response) return tl::unexpected(response.error());
  return response->bundle();
}

// Queries every entry that has a live record in the store.
core::result<std::vector<bundle::entry_response>> QueryEntries(
    const store::store_client& store) {
  const auto records = store.List(kEntriesPrefix);
  if (!records) return tl::unexpected(records.error());
  peer::peer_client peers;
  std::vector<bundle::entry_response> responses;
  std::vector<std::future<core::result<schema::bundle_reply>>> calls;
  for (const store::stored_value& item : *records) {
    schema::entry_record entry;
    if (!entry.ParseFromString(item.value)) continue;
    calls.push_back(std::async(std::launch::async,
                               [&peers, address = entry.peer_address()] {
                                 return QueryEntry(peers, address);
                               }));
    responses.push_back({.entry = std::move(entry)});
  }
  for (std::size_t index = 0; index < calls.size(); ++index)
    responses[index].reply = calls[index].get();
  return responses;
}

exit_code Status(const bundle_arguments& arguments) {
  const connected_repository repository(arguments.store_address);
  const auto head = ReadHead(*repository);
  if (!head) return ReportFailure(head.error());
  const auto responses = QueryEntries(repository.Store());
  if (!responses) return ReportFailure(responses.error());
  const schema::bundle_status status =
      bundle::MakeBundleStatus(*head, *responses);
  if (arguments.json) {
    std::cout << core::ToPrettyJson(status);
  } else if (bundle::NewestVersion(*head) == 0) {
    std::cout << "no version is signed off\n";
  } else {
    std::cout << bundle::ToText(status);
  }
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

void AddFileCommands(CLI::App& bundle, const shared_arguments& arguments,
                     std::function<exit_code()>& action) {
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

  CLI::App& diff = *bundle.add_subcommand(
      "diff", "Shows what a bundle changes against the version signed off");
  AddStoreOption(diff, arguments);
  diff.add_option("bundle", arguments->bundle,
                  "Bundle file, or digest that submit printed")
      ->required();
  diff.add_option("--domain", arguments->failure_domain,
                  "Failure domain whose version is compared");
  diff.callback([arguments, &action] {
    action = [arguments] { return Diff(*arguments); };
  });
}

void AddSignOffCommand(CLI::App& bundle, const shared_arguments& arguments,
                       std::function<exit_code()>& action) {
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
      "the outcome is\nunknown: repeat the command with the --expect and "
      "--retry "
      "that it prints.");
  AddStoreOption(sign_off, arguments);
  sign_off
      .add_option("digest", arguments->sign_off.digest,
                  "Digest that submit printed")
      ->required();
  sign_off
      .add_option("--operator", arguments->sign_off.operator_name,
                  "Name of the operator")
      ->required();
  // Each --domain takes one value; otherwise it would also consume the digest.
  sign_off
      .add_option(
          "--domain", arguments->sign_off.failure_domains,
          "Failure domain to roll out to; may be repeated; all if absent")
      ->allow_extra_args(false);
  CLI::Option& expect =
      *sign_off
           .add_option("--expect", arguments->expected_version,
                       "Newest version the operator knows, 0 for none; another "
                       "one is a conflict")
           ->check(CLI::NonNegativeNumber);
  sign_off
      .add_option("--retry", arguments->retry_nonce,
                  "Number printed by a sign-off whose outcome was unknown")
      ->needs(&expect);
  sign_off.callback([arguments, &action] {
    action = [arguments] { return SignOff(*arguments); };
  });
}

void AddShowCommands(CLI::App& bundle, const shared_arguments& arguments,
                     std::function<exit_code()>& action) {
  CLI::App& status = *bundle.add_subcommand(
      "status", "Shows the versions signed off and those in force");
  AddStoreOption(status, arguments);
  status.footer(
      "Shows the versions signed off for each failure domain, and the version "
      "in force\nat each live entry.");
  status.add_flag("--json", arguments->json, "Prints JSON");
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
  AddFileCommands(bundle, arguments, action);
  AddSignOffCommand(bundle, arguments, action);
  AddShowCommands(bundle, arguments, action);
}

}  // namespace waxwingfront::cli
