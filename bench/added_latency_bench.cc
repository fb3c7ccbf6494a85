// Measures the latency that an entry adds to a request on loopback, compared
// with direct calls to the same executor. Requests are sent on a fixed
// schedule; the latency of a late request counts from its scheduled time, so
// that queueing in the client is included.
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iterator>
#include <mutex>
#include <thread>
#include <vector>

#include "support/process_site.h"
#include "waxwingfront/net/http_client.h"

namespace waxwingfront::tests {
namespace {

constexpr int kThreads = 8;
constexpr int kSeconds = 5;
constexpr int kRates[] = {200, 1000, 3000};

struct run_result {
  std::vector<double> milliseconds;
  int failed = 0;
};

double Percentile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) return 0;
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(sorted.size() - 1));
  return sorted[index];
}

// Sends `rate` requests per second for `kSeconds` seconds.
run_result Run(const std::string& address, const std::string& path, int rate) {
  run_result result;
  std::mutex mutex;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  const auto begin = core::Now();
  const auto interval =
      std::chrono::nanoseconds(1000000000LL * kThreads / rate);
  const int requests = rate * kSeconds / kThreads;
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      net::http_client http({.address = address});
      run_result thread_result;
      for (int number = 0; number < requests; ++number) {
        const auto scheduled =
            begin + interval * number + interval * thread / kThreads;
        std::this_thread::sleep_until(scheduled);
        const auto reply = http.Send("POST", path, "order",
                                     {{"Waxwingfront-Customer", "jihlava"}});
        const std::chrono::duration<double, std::milli> latency =
            core::Now() - scheduled;
        thread_result.milliseconds.push_back(latency.count());
        thread_result.failed += reply && reply->status == 200 ? 0 : 1;
      }
      const std::lock_guard lock(mutex);
      result.failed += thread_result.failed;
      std::copy(thread_result.milliseconds.begin(),
                thread_result.milliseconds.end(),
                std::back_inserter(result.milliseconds));
    });
  }
  for (std::thread& thread : threads) thread.join();
  std::sort(result.milliseconds.begin(), result.milliseconds.end());
  return result;
}

void Print(const char* name, int rate, const run_result& result) {
  std::printf(
      "%-7s %5d/s  p50 %.3f ms  p99 %.3f ms  p99.9 %.3f ms  failed %d\n", name,
      rate, Percentile(result.milliseconds, 0.5),
      Percentile(result.milliseconds, 0.99),
      Percentile(result.milliseconds, 0.999), result.failed);
}

int Measure() {
  process_site site({.entries = 1, .workers = 1, .executors = 3});
  if (!site.AwaitReady()) return 1;
  for (const int rate : kRates) {
    Print("direct", rate, Run(site.ExecutorAddress(0), "/orders", rate));
    Print("entry", rate,
          Run(site.EntryAddress(0), "/v1/services/dispatch/orders", rate));
  }
  return 0;
}

}  // namespace
}  // namespace waxwingfront::tests

int main() { return waxwingfront::tests::Measure(); }
