// The program's commands, run as callers run them.
#include <Poco/TemporaryFile.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "support/child_process.h"
#include "support/process_site.h"

namespace waxwingfront::tests {
namespace {

struct run_result {
  int exit_code = -1;
  std::string out;
  std::string err;
};

std::string Content(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

class temporary_file {
 public:
  explicit temporary_file(const std::string& content = "") {
    std::ofstream(file_.path(), std::ios::binary) << content;
  }
  const std::string& Path() const { return file_.path(); }

 private:
  Poco::TemporaryFile file_;
};

// Runs the program to its end.
run_result Run(std::vector<std::string> arguments) {
  const temporary_file out;
  const temporary_file err;
  std::vector<std::string> words{
      "-c", R"(out=$1; err=$2; shift 2; exec "$0" "$@" >"$out" 2>"$err")",
      WAXWINGFRONT_PROGRAM, out.Path(), err.Path()};
  words.insert(words.end(), arguments.begin(), arguments.end());
  child_process shell("/bin/sh", words);
  run_result result;
  result.exit_code = shell.Wait();
  result.out = Content(out.Path());
  result.err = Content(err.Path());
  return result;
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

std::string Bundle(const std::string& site) {
  return R"({"site": ")" + site + R"(",
    "services": [{"name": "dispatch", "default_deadline_ms": 5000}],
    "batch_classes": [{"name": "orders", "host_share_percent": 100,
                       "max_failures": 3, "preemptible": true}],
    "customers": [{"name": "jihlava", "weight": 1}]})";
}

std::string Job(const std::string& id, int processor_milli) {
  return R"({"id": ")" + id + R"(", "customer": "jihlava",
    "batch_class": "orders", "task_count": 1, "command": "sleep:60000",
    "task_size": {"processor_milli": )" +
         std::to_string(processor_milli) + "}}";
}

// Guards against a command whose help omits its arguments.
TEST_CASE("help of each command shows its arguments", "[cli]") {
  const std::vector<std::pair<std::vector<std::string>, std::string>> commands =
      {{{}, "Exit codes"},
       {{"serve"}, "--config"},
       {{"config", "check"}, "file"},
       {{"bundle"}, "sign-off --store 127.0.0.1:2379"},
       {{"bundle", "check"}, "file"},
       {{"bundle", "submit"}, "--store"},
       {{"bundle", "sign-off"}, "--expect"},
       {{"bundle", "status"}, "--store"},
       {{"bundle", "history"}, "--store"},
       {{"submit"}, "\"batch_class\""},
       {{"status"}, "--entry"},
       {{"cancel"}, "--entry"},
       {{"dev"}, "--once"},
       {{"version"}, "version"}};
  for (auto [words, expected] : commands) {
    words.push_back("--help");
    const run_result result = Run(words);
    CAPTURE(words.front());
    CHECK(result.exit_code == 0);
    CHECK(Contains(result.out, expected));
  }
  const run_result version = Run({"version"});
  CHECK(version.exit_code == 0);
  CHECK(Contains(version.out, "waxwingfront 0."));
}

// Guards against scripts that mistake a mistyped command for a successful one.
TEST_CASE("an invalid command line ends with exit code 2", "[cli]") {
  const std::vector<std::vector<std::string>> lines = {
      {},
      {"nothing"},
      {"serve"},
      {"config"},
      {"bundle"},
      {"bundle", "status"},
      {"bundle", "status", "--store", "localhost:2379"},
      {"status", "--entry", "127.0.0.1:0", "orders-1"},
      {"status", "--entry", "127.0.0.1:8080", "a b"},
      {"cancel", "--entry", "127.0.0.1:8080", ""},
      {"dev", "--port", "0"},
      {"config", "check", "/nowhere/entry.ini"},
      {"bundle", "check", "/nowhere/bundle.json"},
      {"submit", "--entry", "127.0.0.1:8080", "/nowhere/job.json"}};
  for (const auto& words : lines) {
    const run_result result = Run(words);
    CAPTURE(words, result.out);
    CHECK(result.exit_code == 2);
    CHECK_FALSE(result.err.empty());
  }
}

TEST_CASE("config check reports every problem or all settings", "[cli]") {
  const std::string valid =
      "[entry]\nid = entry-1\nfailure_domain = trebic\n"
      "caller_address = 127.0.0.1:8080\npeer_address = 127.0.0.1:8180\n"
      "[platform]\nstore_address = 127.0.0.1:2379\n"
      "host_list_address = 127.0.0.1:2380\n";
  const temporary_file good(valid);
  const run_result accepted = Run({"config", "check", good.Path()});
  CHECK(accepted.exit_code == 0);
  CHECK(Contains(accepted.out, "\"ticket_ms\": \"6000\""));
  const temporary_file bad(valid + "[front]\nthreads = 0\n[lgo]\n");
  const run_result rejected = Run({"config", "check", bad.Path()});
  CHECK(rejected.exit_code == 2);
  CHECK(Contains(rejected.err, bad.Path() + ": [front] threads: '0'"));
  CHECK(Contains(rejected.err, bad.Path() + ": [lgo]: unknown section"));
  CHECK(Run({"serve", "--config", bad.Path()}).exit_code == 2);
}

TEST_CASE("bundle check reports every problem", "[cli]") {
  const temporary_file good(Bundle("trebic"));
  CHECK(Run({"bundle", "check", good.Path()}).exit_code == 0);
  const temporary_file bad(
      R"({"site": "", "customers": [{"name": "jihlava", "weight": 0}]})");
  const run_result rejected = Run({"bundle", "check", bad.Path()});
  CHECK(rejected.exit_code == 2);
  CHECK(Contains(rejected.err, "site: allowed is"));
  CHECK(Contains(rejected.err, "customers[0].weight: allowed is"));
  CHECK(Run({"bundle", "submit", "--store", "127.0.0.1:9", bad.Path()})
            .exit_code == 2);
}

// Guards against examples that no longer pass the checks.
TEST_CASE("the examples are valid", "[cli]") {
  const std::filesystem::path root =
      std::filesystem::path(WAXWINGFRONT_TRACES).parent_path().parent_path();
  const std::string examples = root / "examples";
  const run_result settings = Run({"config", "check", examples + "/entry.ini"});
  CAPTURE(settings.err);
  CHECK(settings.exit_code == 0);
  CHECK(Run({"bundle", "check", examples + "/bundle.json"}).exit_code == 0);
}

TEST_CASE("commands fail if the store does not respond", "[cli]") {
  const run_result result = Run({"bundle", "status", "--store", FreeAddress()});
  CHECK(result.exit_code == 1);
  CHECK_FALSE(result.err.empty());
}

// Guards against wrong exit codes in the operators' workflow.
TEST_CASE("a sign-off conflict names the operator who signed off first",
          "[cli][process]") {
  child_process store(WAXWINGFRONT_STANDINS_PROGRAM, {"store"});
  const std::string address = store.ReadLine();
  const temporary_file first(Bundle("trebic"));
  const auto bundle = [&address](std::vector<std::string> words) {
    words.insert(words.begin(), "bundle");
    words.insert(words.end(), {"--store", address});
    return Run(words);
  };

  CHECK(Contains(bundle({"status"}).out, "no version is signed off"));
  const run_result submitted = bundle({"submit", first.Path()});
  REQUIRE(submitted.exit_code == 0);
  const std::string digest = submitted.out.substr(0, submitted.out.find('\n'));
  CHECK(bundle({"submit", first.Path()}).out == submitted.out);

  const run_result signed_off =
      bundle({"sign-off", "--operator", "anna", "--domain", "trebic", digest});
  CHECK(signed_off.exit_code == 0);
  CHECK(Contains(signed_off.out, "added customer jihlava\n"));
  CHECK(signed_off.out.ends_with("\nversion 1\n"));
  const run_result late =
      bundle({"sign-off", "--operator", "petr", "--expect", "0", digest});
  CHECK(late.exit_code == 3);
  CHECK(Contains(late.err, "sign_off_conflict: anna has signed off version 1"));
  CHECK(bundle({"sign-off", "--operator", "petr", "unknown"}).exit_code == 1);

  CHECK(Contains(bundle({"status", "--json"}).out,
                 "\"failure_domain\": \"trebic\""));
  const run_result history = bundle({"history"});
  CHECK(history.exit_code == 0);
  CHECK(Contains(history.out, "\"operator_name\":\"anna\""));
}

// Guards against wrong exit codes of job commands, and a serve command that
// does not end cleanly.
TEST_CASE("job commands and serve return their exit codes", "[cli][process]") {
  process_site site({.entries = 1, .workers = 1, .executors = 1});
  REQUIRE(site.AwaitReady());
  const std::string entry = site.EntryAddress(0);
  const std::string small = Job("orders-1", 100);
  REQUIRE(site.AwaitAccepted(0, small));

  const temporary_file same(small);
  const run_result again = Run({"submit", "--entry", entry, same.Path()});
  CHECK(again.exit_code == 0);
  CHECK(Contains(again.out, "\"id\":\"orders-1\""));
  const temporary_file other(Job("orders-1", 200));
  const run_result taken = Run({"submit", "--entry", entry, other.Path()});
  CHECK(taken.exit_code == 3);
  CHECK(Contains(taken.err, "job_conflict"));
  const temporary_file huge(Job("orders-2", 1000000));
  const run_result unplaceable = Run({"submit", "--entry", entry, huge.Path()});
  CHECK(unplaceable.exit_code == 1);
  CHECK(Contains(unplaceable.err, "unplaceable"));
  const temporary_file malformed("{");
  CHECK(Run({"submit", "--entry", entry, malformed.Path()}).exit_code == 2);

  CHECK(Run({"status", "--entry", entry, "orders-1"}).exit_code == 0);
  const run_result unknown = Run({"status", "--entry", entry, "orders-9"});
  CHECK(unknown.exit_code == 1);
  CHECK(Contains(unknown.err, "unknown_job"));
  const run_result cancelled = Run({"cancel", "--entry", entry, "orders-1"});
  CHECK(cancelled.exit_code == 0);

  site.Entry(0).Signal(SIGTERM);
  CHECK(site.Entry(0).Wait() == 0);
}

TEST_CASE("explain prints a job's events from all nodes' logs in order",
          "[cli]") {
  const Poco::TemporaryFile file;
  const std::string& path = file.path();
  std::ofstream(path)
      << "  1.0 front-2 {\"time_ms\":20,\"node\":\"front-2\",\"event\":"
         "\"run_over\",\"job\":\"00ab\",\"fate\":\"lapsed\"}\n"
      << "not a line of ours\n"
      << "{\"time_ms\":10,\"node\":\"front-1\",\"event\":\"task_placed\","
         "\"job\":\"00ab\",\"run\":1}\n"
      << "{\"time_ms\":15,\"node\":\"front-2\",\"event\":"
         "\"leader_elected\",\"token\":7}\n"
      << "{\"time_ms\":12,\"node\":\"front-1\",\"event\":\"task_placed\","
         "\"job\":\"ffff\",\"run\":1}\n";
  const run_result result = Run({"explain", "00ab", path});
  CHECK(result.exit_code == 0);
  CHECK(result.out ==
        "10 front-1 task_placed job=00ab run=1\n"
        "15 front-2 leader_elected token=7\n"
        "20 front-2 run_over job=00ab fate=lapsed\n");
}

}  // namespace
}  // namespace waxwingfront::tests
