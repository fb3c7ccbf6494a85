// Graceful shutdown of entries under load.
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <set>
#include <sstream>
#include <thread>

#include "support/balancer.h"
#include "support/process_site.h"

namespace waxwingfront::tests {
namespace {

constexpr int kClients = 4;
constexpr int kEntries = 3;

std::string Settings() {
  return QuickBatchSettings() + "[front]\nunready_ms = 500\ndrain_ms = 5000\n";
}

// Clients that send requests until they are stopped, with counts of the
// results.
class load {
 public:
  explicit load(balancer& entries) {
    for (int client = 0; client < kClients; ++client) {
      threads_.emplace_back([this, &entries, client] { Run(entries, client); });
    }
  }
  load(const load&) = delete;
  load& operator=(const load&) = delete;
  ~load() { Stop(); }

  void Stop() {
    stopping_ = true;
    for (std::thread& thread : threads_) {
      if (thread.joinable()) thread.join();
    }
  }

  int Completed() const { return completed_; }
  int Failed() const { return failed_; }

 private:
  void Run(balancer& entries, int client) {
    for (int number = 0; !stopping_; ++number) {
      const std::string body =
          std::to_string(client) + "-" + std::to_string(number);
      const auto reply =
          entries.Send("POST", "/v1/services/dispatch/orders", body,
                       {{"Waxwingfront-Customer", "jihlava"},
                        {"test-delay-ms", "20"},
                        {"test-id", body}});
      const bool complete = reply && reply->status == 200 &&
                            reply->body == "executor-0 POST /orders " + body;
      ++(complete ? completed_ : failed_);
    }
  }

  std::atomic<bool> stopping_{false};
  std::atomic<int> completed_{0};
  std::atomic<int> failed_{0};
  std::vector<std::thread> threads_;
};

std::vector<std::string> Lines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

// Guards against a restart that cuts requests off or runs them twice.
TEST_CASE("rolling restarts of every entry lose no request under load",
          "[process][shutdown]") {
  process_site site({.entries = kEntries,
                     .workers = 1,
                     .executors = 1,
                     .more_settings = Settings()});
  REQUIRE(site.AwaitReady());
  std::vector<std::string> addresses;
  addresses.reserve(kEntries);
  for (int index = 0; index < kEntries; ++index) {
    addresses.push_back(site.EntryAddress(index));
  }
  balancer entries(addresses);
  REQUIRE(AwaitCondition([&entries] {
    return entries.Send("GET", "/healthz", "", {}).has_value();
  }));
  load requests(entries);
  for (int index = 0; index < kEntries; ++index) {
    const int before = requests.Completed();
    REQUIRE(AwaitCondition(
        [&requests, before] { return requests.Completed() > before + 20; }));
    site.Entry(index).Signal(SIGTERM);
    REQUIRE(site.Entry(index).Wait() == 0);
    site.RestartEntry(index);
    REQUIRE(site.AwaitReady());
  }
  requests.Stop();
  CHECK(requests.Failed() == 0);

  const std::vector<std::string> ran =
      Lines(site.Journal(site.ExecutorAddress(0)));
  CHECK(static_cast<int>(ran.size()) == requests.Completed());
  CHECK(std::set<std::string>(ran.begin(), ran.end()).size() == ran.size());
}

// Guards against a shutdown that waits for the notice period only.
TEST_CASE("a request that outlasts the notice period gets a complete response",
          "[process][shutdown]") {
  process_site site({.entries = 1,
                     .workers = 1,
                     .executors = 1,
                     .more_settings = Settings()});
  REQUIRE(site.AwaitReady());
  core::result<net::http_reply> reply = tl::unexpected(core::error{});
  std::thread caller([&site, &reply] {
    reply = site.Call(site.EntryAddress(0), "POST",
                      "/v1/services/dispatch/orders", "slow",
                      {{"Waxwingfront-Customer", "jihlava"},
                       {"test-delay-ms", "1500"},
                       {"test-id", "slow"}});
  });
  REQUIRE(AwaitCondition(
      [&site] { return site.Journal(site.ExecutorAddress(0)) == "slow\n"; }));
  site.Entry(0).Signal(SIGTERM);
  CHECK(site.Entry(0).Wait() == 0);
  caller.join();
  REQUIRE(reply.has_value());
  CHECK(reply->body == "executor-0 POST /orders slow");
}

}  // namespace
}  // namespace waxwingfront::tests
