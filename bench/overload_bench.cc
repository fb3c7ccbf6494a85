// Measures the throughput of several entries that share executors, below, at
// and above the executors' capacity. Requests arrive on a fixed schedule.
#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "support/process_site.h"
#include "waxwingfront/net/http_client.h"

namespace waxwingfront::tests {
namespace {

constexpr int kEntries = 3;
constexpr int kExecutors = 2;
// 2 executors with 4 slots each and 20 ms per request.
constexpr int kCapacityPerSecond = 400;
constexpr int kThreads = 120;
constexpr int kSeconds = 5;
constexpr int kPercents[] = {50, 100, 200, 300};

struct outcome_counts {
  std::atomic<int> completed{0};
  std::atomic<int> not_run{0};
  std::atomic<int> unknown{0};
};

int CountRejections(const process_site& site) {
  int rejections = 0;
  for (int index = 0; index < kExecutors; ++index) {
    const auto reply =
        site.Call(site.ExecutorAddress(index), "GET", "/refused");
    if (reply) rejections += std::stoi(reply->body);
  }
  return rejections;
}

void Count(const core::result<net::http_reply>& reply, outcome_counts& counts) {
  if (reply && reply->status == 200) {
    ++counts.completed;
  } else if (reply &&
             reply->body.find("outcome_unknown") == std::string::npos) {
    ++counts.not_run;
  } else {
    ++counts.unknown;
  }
}

void Run(const process_site& site, int percent) {
  outcome_counts counts;
  const int rate = kCapacityPerSecond * percent / 100;
  const int rejected_before = CountRejections(site);
  const auto begin = core::Now();
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      net::http_client http({.address = site.EntryAddress(thread % kEntries)});
      for (int number = thread; number < rate * kSeconds; number += kThreads) {
        std::this_thread::sleep_until(
            begin + std::chrono::microseconds(1000000LL * number / rate));
        Count(http.Send("POST", "/v1/services/dispatch/orders", "order",
                        {{"Waxwingfront-Customer", "jihlava"},
                         {"Waxwingfront-Deadline-Ms", "500"},
                         {"test-delay-ms", "20"}}),
              counts);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const std::chrono::duration<double> elapsed = core::Now() - begin;
  std::printf(
      "offered %3d %%  completed %.0f/s  not run %d  unknown %d  rejected "
      "by executors %d\n",
      percent, counts.completed / elapsed.count(), counts.not_run.load(),
      counts.unknown.load(), CountRejections(site) - rejected_before);
}

int Measure() {
  process_site site(
      {.entries = kEntries, .workers = 1, .executors = kExecutors});
  if (!site.AwaitReady()) return 1;
  // Entries discover each other when they renew their leases.
  std::this_thread::sleep_for(core::milliseconds(2000));
  for (const int percent : kPercents) Run(site, percent);
  return 0;
}

}  // namespace
}  // namespace waxwingfront::tests

int main() { return waxwingfront::tests::Measure(); }
