#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"
#include "waxwingfront/fleet/start_queue.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCapacity = 1'000'000;
// Leaves a leader one connection for orders to each executor.
constexpr std::size_t kMaxConnections = 50;

fleet::manifest SharedConnections() {
  fleet::manifest manifest = ManifestOf({{}});
  manifest.services = {{.name = "s", .max_connections = kMaxConnections}};
  return manifest;
}

fleet::start_order OrderFor(const std::string& executor, const std::string& job,
                            std::uint32_t run = 1, bool long_running = false) {
  return {.executor = executor,
          .task = {.job = job, .occurrence = 0, .step = 0, .index = 0},
          .run = run,
          .long_running = long_running};
}

// Guards against starts that wait at the leader's own connection until they
// count as failed.
TEST_CASE("an executor gets its next start when it has answered the one before",
          "[fleet]") {
  constexpr std::uint32_t kTasks = 8;
  fleet_fixture fixture;
  fixture.Core().SetManifest(SharedConnections());
  fixture.AddExecutor("a", kCapacity);
  fixture.Core().Submit(JobOf("job", kTasks, 1000), At(10));
  std::set<std::uint32_t> started;
  fleet::orders orders = fixture.Step(10);
  for (std::uint32_t i = 0; i < kTasks; ++i) {
    REQUIRE(orders.starts.size() == 1);
    started.insert(orders.starts[0].task.index);
    const auto now = At(10 + i);
    fixture.Core().OnStartResponse(orders.starts[0],
                                   fleet::start_outcome::kAccepted, now);
    orders = fixture.Core().TakeOrders(now);
  }
  CHECK(orders.starts.empty());
  CHECK(started.size() == kTasks);
}

// Guards against executors that get no tasks because the leader was late.
TEST_CASE("a start that found no free connection is sent to its executor later",
          "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("a", kCapacity);
  fixture.Core().Submit(JobOf("job", 1, 1000), At(10));
  const fleet::orders first = fixture.Step(10);
  REQUIRE(first.starts.size() == 1);
  fixture.Core().OnStartResponse(
      first.starts[0], fleet::start_outcome::kConnectionsBusy, At(500));
  fixture.Report("a", 600, {});
  const fleet::orders again = fixture.Core().TakeOrders(At(600));
  REQUIRE(again.starts.size() == 1);
  CHECK(again.starts[0].run == first.starts[0].run);
  CHECK(fixture.Core().FindExecutor("a")->Available(At(600).now));
}

TEST_CASE("starts of interrupted tasks precede others for their executor",
          "[fleet]") {
  fleet::start_queue queue;
  queue.SetMaxPerExecutor(1);
  queue.Add(OrderFor("a", "first"));
  const std::vector<fleet::start_order> first = queue.Take(At(0).now);
  REQUIRE(first.size() == 1);
  queue.Add(OrderFor("a", "short"));
  queue.Add(OrderFor("a", "new", 1, true));
  queue.Add(OrderFor("a", "interrupted", 2, true));
  queue.Add(OrderFor("b", "elsewhere"));
  const std::vector<fleet::start_order> elsewhere = queue.Take(At(0).now);
  REQUIRE(elsewhere.size() == 1);
  CHECK(elsewhere[0].task.job == "elsewhere");
  CHECK(queue.Levels().behind_others == 3);
  std::vector<std::string> sent;
  fleet::start_order last = first[0];
  for (int i = 0; i < 3; ++i) {
    queue.OnResponse(last, fleet::start_outcome::kAccepted, At(i).now);
    const std::vector<fleet::start_order> next = queue.Take(At(i).now);
    REQUIRE(next.size() == 1);
    last = next[0];
    sent.push_back(last.task.job);
  }
  CHECK(sent == std::vector<std::string>{"interrupted", "new", "short"});
}

TEST_CASE("executors get all starts once and few at a time", "[fleet]") {
  CHECK(rc::check([] {
    const auto limit = *rc::gen::inRange<std::size_t>(1, 4);
    fleet::start_queue queue;
    queue.SetMaxPerExecutor(limit);
    std::map<std::string, std::size_t> unanswered;
    std::vector<fleet::start_order> sent;
    std::set<std::string> jobs;
    std::size_t added = 0;
    const auto take = [&] {
      for (const fleet::start_order& order : queue.Take(At(0).now)) {
        RC_ASSERT(++unanswered[order.executor] <= limit);
        RC_ASSERT(jobs.insert(order.task.job).second);
        sent.push_back(order);
      }
    };
    const auto answer = [&](std::size_t index) {
      const fleet::start_order order = sent[index];
      sent.erase(sent.begin() + static_cast<std::ptrdiff_t>(index));
      --unanswered[order.executor];
      queue.OnResponse(order, fleet::start_outcome::kUnknown, At(0).now);
      // A late response after the failure.
      queue.OnResponse(order, fleet::start_outcome::kAccepted, At(0).now);
      take();
    };
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (const int step : steps) {
      if (step < 4) {
        queue.Add(OrderFor("e" + std::to_string(step % 2),
                           "job" + std::to_string(added++), step < 2 ? 2 : 1,
                           step == 0));
        take();
      } else if (!sent.empty()) {
        answer(sent.size() / 2);
      }
    }
    while (!sent.empty()) answer(0);
    RC_ASSERT(jobs.size() == added);
    RC_ASSERT(queue.Levels().behind_others == 0);
  }));
}

}  // namespace
}  // namespace waxwingfront::tests
