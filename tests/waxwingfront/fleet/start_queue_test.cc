#include "waxwingfront/fleet/start_queue.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

// 10 Mbit/s carry 125,000 bytes in the 100 ms that starts may take at once.
constexpr double kLinkMbps = 10.0;
constexpr std::size_t kPayload = 9'500;
// With 500 bytes of overhead each.
constexpr std::size_t kMaxStarts = 12;

fleet::start_order OrderOf(const std::string& job, bool long_running = false) {
  return {.executor = "e",
          .task = {.job = job, .occurrence = 0, .step = 0, .index = 0},
          .run = 1,
          .payload = std::string(kPayload, 'x'),
          .long_running = long_running};
}

TEST_CASE("starts are sent as the link carries them", "[fleet]") {
  fleet::start_queue queue({.link_mbps = kLinkMbps});
  for (std::size_t i = 0; i < 2 * kMaxStarts; ++i) {
    queue.Add(OrderOf("short" + std::to_string(i)));
  }
  const std::vector<fleet::start_order> first = queue.Take();
  REQUIRE(first.size() == kMaxStarts);
  CHECK(first.front().task.job == "short0");
  CHECK(queue.Take().empty());
  queue.OnResponse(first[0]);
  // A late response after a timeout.
  queue.OnResponse(first[0]);
  const std::vector<fleet::start_order> next = queue.Take();
  REQUIRE(next.size() == 1);
  CHECK(next[0].task.job == "short" + std::to_string(kMaxStarts));
}

TEST_CASE("starts of long-running tasks do not wait for short ones",
          "[fleet]") {
  fleet::start_queue queue({.link_mbps = kLinkMbps});
  for (std::size_t i = 0; i < 2 * kMaxStarts; ++i) {
    queue.Add(OrderOf("short" + std::to_string(i)));
  }
  REQUIRE(queue.Take().size() == kMaxStarts);
  queue.Add(OrderOf("lasting", true));
  const std::vector<fleet::start_order> taken = queue.Take();
  REQUIRE(taken.size() == 1);
  CHECK(taken[0].task.job == "lasting");
}

TEST_CASE("starts of interrupted tasks come before those of new ones",
          "[fleet]") {
  constexpr std::uint32_t kSecondRun = 2;
  fleet::start_queue queue({.link_mbps = kLinkMbps});
  for (std::size_t i = 0; i < 2 * kMaxStarts; ++i) {
    queue.Add(OrderOf("new", true));
  }
  REQUIRE(queue.Take().size() == kMaxStarts);
  fleet::start_order interrupted = OrderOf("interrupted", true);
  interrupted.run = kSecondRun;
  queue.Add(interrupted);
  const std::vector<fleet::start_order> taken = queue.Take();
  REQUIRE(taken.size() == 1);
  CHECK(taken[0].task.job == "interrupted");
}

TEST_CASE("short tasks do not start while long-running ones wait for the link",
          "[fleet]") {
  fleet::start_queue queue({.link_mbps = kLinkMbps});
  queue.Add(OrderOf("short"));
  for (std::size_t i = 0; i <= kMaxStarts; ++i) {
    queue.Add(OrderOf("lasting", true));
  }
  const std::vector<fleet::start_order> first = queue.Take();
  CHECK(first.size() == kMaxStarts);
  queue.OnResponse(first[0]);
  const std::vector<fleet::start_order> next = queue.Take();
  REQUIRE(next.size() == 2);
  CHECK(next[0].task.job == "lasting");
  CHECK(next[1].task.job == "short");
}

TEST_CASE("starts of long-running tasks leave the link free for holds",
          "[fleet]") {
  fleet::start_queue queue({.link_mbps = kLinkMbps});
  for (std::size_t i = 0; i < 2 * kMaxStarts; ++i) {
    queue.Add(OrderOf("lasting", true));
  }
  CHECK(queue.Take().size() == kMaxStarts);
}

TEST_CASE("a start that is larger than the limit is sent alone", "[fleet]") {
  fleet::start_queue queue({.link_mbps = 0.1});
  queue.Add(OrderOf("first"));
  queue.Add(OrderOf("second"));
  const std::vector<fleet::start_order> first = queue.Take();
  REQUIRE(first.size() == 1);
  queue.OnResponse(first[0]);
  CHECK(queue.Take().size() == 1);
}

TEST_CASE("starts on a link of unknown speed are not limited", "[fleet]") {
  constexpr std::size_t kMany = 1000;
  fleet::start_queue queue;
  for (std::size_t i = 0; i < kMany; ++i) {
    queue.Add(OrderOf("short"));
  }
  CHECK(queue.Take().size() == kMany);
  CHECK_FALSE(queue.IsFull());
}

TEST_CASE("short tasks are placed as far as the link carries their starts",
          "[fleet]") {
  // 25 starts in the 200 ms for which starts may wait.
  constexpr std::size_t kMaxPlaced = 25;
  constexpr std::uint32_t kTasks = 100;
  constexpr std::int64_t kCapacity = 1'000'000;
  fleet_fixture fixture({{}}, {.starts = {.link_mbps = kLinkMbps}});
  fixture.AddExecutor("a", kCapacity);
  schema::fleet_job job = JobOf("short", kTasks, 1);
  job.set_payload(std::string(kPayload, 'x'));
  fixture.Core().Submit(job, At(0));
  std::vector<fleet::start_order> sent = fixture.Step(0).starts;
  CHECK(sent.size() == kMaxStarts);
  CHECK(fixture.Core().FindExecutor("a")->active.size() == kMaxPlaced);

  SECTION("long-running tasks are placed and sent all the same") {
    schema::fleet_job lasting = JobOf("lasting", 1, 1);
    lasting.mutable_steps(0)->set_long_running(true);
    fixture.Core().Submit(lasting, At(0));
    constexpr std::int64_t kBatchingMs = 400;
    fixture.Step(0);
    fixture.Report("a", kBatchingMs, {});
    const fleet::orders next = fixture.Step(kBatchingMs);
    REQUIRE(next.starts.size() == 1);
    CHECK(next.starts[0].task.job == "lasting");
  }
  SECTION("others follow once starts have been sent") {
    std::size_t started = 0;
    while (!sent.empty()) {
      for (const fleet::start_order& order : sent) {
        fixture.Core().OnStartResponse(order, fleet::start_outcome::kAccepted,
                                       At(0));
        ++started;
      }
      sent = fixture.Step(0).starts;
    }
    CHECK(started == kTasks);
  }
  SECTION("a cancelled job does not count") {
    fixture.Core().Cancel("short", At(0));
    for (const fleet::start_order& order : sent) {
      fixture.Core().OnStartResponse(order, fleet::start_outcome::kNotSent,
                                     At(0));
    }
    schema::fleet_job other = JobOf("other", kTasks, 1);
    other.set_payload(std::string(kPayload, 'x'));
    fixture.Core().Submit(other, At(0));
    std::size_t started = 0;
    for (int round = 0; round < 100 && started < kTasks; ++round) {
      for (const fleet::start_order& order : fixture.Step(0).starts) {
        const bool current = order.task.job == "other";
        started += current ? 1 : 0;
        fixture.Core().OnStartResponse(order,
                                       current ? fleet::start_outcome::kAccepted
                                               : fleet::start_outcome::kNotSent,
                                       At(0));
      }
    }
    CHECK(started == kTasks);
  }
}

// Guards against a backlog that placements which came to nothing keep full.
TEST_CASE("placements that are given up make room for others", "[fleet]") {
  constexpr std::uint32_t kTasks = 100;
  constexpr std::int64_t kCapacity = 1'000'000;
  fleet_fixture fixture({{}}, {.starts = {.link_mbps = kLinkMbps}});
  fixture.AddExecutor("a", kCapacity);
  const auto place = [&fixture](const std::string& id) {
    schema::fleet_job job = JobOf(id, kTasks, 1);
    job.set_payload(std::string(kPayload, 'x'));
    fixture.Core().Submit(job, At(0));
    fixture.Core().Plan(At(0));
    return fixture.Core().FindExecutor("a")->active.size();
  };
  const std::size_t placed = place("first");
  REQUIRE(placed > 0);
  REQUIRE(place("second") == placed);
  fixture.Core().Cancel("first", At(0));
  REQUIRE(fixture.Core().FindExecutor("a")->active.empty());
  fixture.Core().Plan(At(0));
  CHECK(fixture.Core().FindExecutor("a")->active.size() == placed);
}

}  // namespace
}  // namespace waxwingfront::tests
