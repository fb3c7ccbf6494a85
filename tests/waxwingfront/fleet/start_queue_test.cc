#include "waxwingfront/fleet/start_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
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
  const std::vector<fleet::start_order> first = queue.Take(At(0).now);
  REQUIRE(first.size() == kMaxStarts);
  CHECK(first.front().task.job == "short0");
  CHECK(queue.Take(At(0).now).empty());
  queue.OnResponse(first[0], fleet::start_outcome::kAccepted, At(0).now);
  // A late response after a timeout.
  queue.OnResponse(first[0], fleet::start_outcome::kAccepted, At(0).now);
  const std::vector<fleet::start_order> next = queue.Take(At(0).now);
  REQUIRE(next.size() == 1);
  CHECK(next[0].task.job == "short" + std::to_string(kMaxStarts));
}

TEST_CASE("starts of long-running tasks do not wait for short ones",
          "[fleet]") {
  fleet::start_queue queue({.link_mbps = kLinkMbps});
  for (std::size_t i = 0; i < 2 * kMaxStarts; ++i) {
    queue.Add(OrderOf("short" + std::to_string(i)));
  }
  REQUIRE(queue.Take(At(0).now).size() == kMaxStarts);
  queue.Add(OrderOf("lasting", true));
  const std::vector<fleet::start_order> taken = queue.Take(At(0).now);
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
  REQUIRE(queue.Take(At(0).now).size() == kMaxStarts);
  fleet::start_order interrupted = OrderOf("interrupted", true);
  interrupted.run = kSecondRun;
  queue.Add(interrupted);
  const std::vector<fleet::start_order> taken = queue.Take(At(0).now);
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
  const std::vector<fleet::start_order> first = queue.Take(At(0).now);
  CHECK(first.size() == kMaxStarts);
  queue.OnResponse(first[0], fleet::start_outcome::kAccepted, At(0).now);
  const std::vector<fleet::start_order> next = queue.Take(At(0).now);
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
  CHECK(queue.Take(At(0).now).size() == kMaxStarts);
}

TEST_CASE("a start that is larger than the limit is sent alone", "[fleet]") {
  fleet::start_queue queue({.link_mbps = 0.1});
  queue.Add(OrderOf("first"));
  queue.Add(OrderOf("second"));
  const std::vector<fleet::start_order> first = queue.Take(At(0).now);
  REQUIRE(first.size() == 1);
  queue.OnResponse(first[0], fleet::start_outcome::kAccepted, At(0).now);
  CHECK(queue.Take(At(0).now).size() == 1);
}

TEST_CASE("starts on a link of unknown speed are not limited", "[fleet]") {
  constexpr std::size_t kMany = 1000;
  fleet::start_queue queue;
  for (std::size_t i = 0; i < kMany; ++i) {
    queue.Add(OrderOf("short"));
  }
  CHECK(queue.Take(At(0).now).size() == kMany);
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
    constexpr std::int64_t kBatchingMs = 350;
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

// A link that always has starts to carry, first come first served.
class busy_link {
 public:
  explicit busy_link(double mbps) : mbps_(mbps) {}

  // Every second executor gets its starts but does not respond.
  void SilenceHalf() { half_silent_ = true; }

  void Play(std::int64_t ms) {
    for (const std::int64_t until = now_ms_ + ms; now_ms_ < until; ++now_ms_) {
      while (queue_.Levels().waiting < 2 * kMaxStarts) {
        queue_.Add(OrderOf("short"));
      }
      Carry();
      Respond();
      for (fleet::start_order& order : queue_.Take(At(now_ms_).now)) {
        link_.push_back({.order = std::move(order), .since_ms = now_ms_});
      }
    }
  }

  // Number of starts that reached executors which respond.
  std::size_t Responses() const { return responses_; }
  // Longest time that a start waited for the link.
  std::int64_t LongestWaitMs() const { return longest_wait_ms_; }

 private:
  static constexpr std::int64_t kTimeoutMs = 1500;
  static constexpr std::int64_t kResponseMs = 10;
  static constexpr double kBytesPerMsAtOneMbps = 125.0;
  static constexpr double kBytes = kPayload + 500.0;

  struct sent_start {
    fleet::start_order order;
    std::int64_t since_ms;
  };

  void Carry() {
    carried_bytes_ += mbps_ * kBytesPerMsAtOneMbps;
    while (!link_.empty() && carried_bytes_ >= kBytes) {
      carried_bytes_ -= kBytes;
      const sent_start& first = link_.front();
      longest_wait_ms_ = std::max(longest_wait_ms_, now_ms_ - first.since_ms);
      const bool silent = half_silent_ && first.order.number % 2 == 0;
      outcomes_.emplace(
          silent ? first.since_ms + kTimeoutMs : now_ms_ + kResponseMs,
          outcome{.order = first.order,
                  .value = silent ? fleet::start_outcome::kUnknown
                                  : fleet::start_outcome::kAccepted});
      link_.pop_front();
    }
    if (link_.empty()) carried_bytes_ = 0.0;
  }

  void Respond() {
    while (!outcomes_.empty() && outcomes_.begin()->first <= now_ms_) {
      const outcome& next = outcomes_.begin()->second;
      if (next.value == fleet::start_outcome::kAccepted) ++responses_;
      queue_.OnResponse(next.order, next.value, At(now_ms_).now);
      outcomes_.erase(outcomes_.begin());
    }
  }

  struct outcome {
    fleet::start_order order;
    fleet::start_outcome value;
  };

  double mbps_;
  bool half_silent_ = false;
  fleet::start_queue queue_{{.link_mbps = kLinkMbps}};
  std::int64_t now_ms_ = 0;
  std::deque<sent_start> link_;
  double carried_bytes_ = 0.0;
  // By the time at which they become known.
  std::multimap<std::int64_t, outcome> outcomes_;
  std::size_t responses_ = 0;
  std::int64_t longest_wait_ms_ = 0;
};

// Guards against a link that unanswered starts occupy until they time out.
TEST_CASE("starts to silent executors do not hold up those to others",
          "[fleet][overload]") {
  // The link carries 125 starts a second.
  constexpr std::int64_t kPlayMs = 4'000;
  constexpr std::size_t kCarried = 500;
  busy_link link(kLinkMbps);
  link.SilenceHalf();
  link.Play(kPlayMs);
  CHECK(link.Responses() > kCarried * 2 / 5);
  CHECK(link.LongestWaitMs() <= 120);
}

// Guards against starts that pile up in the sockets for their deadlines.
TEST_CASE("a link that is slower than its nominal speed is not overfilled",
          "[fleet][overload]") {
  constexpr std::int64_t kPlayMs = 8'000;
  constexpr double kSlowness = 4.0;
  busy_link link(kLinkMbps / kSlowness);
  SECTION("all executors respond") {}
  SECTION("half of the executors are silent") { link.SilenceHalf(); }
  link.Play(kPlayMs);
  // What the link carries in 100 ms at its nominal speed, and one start more.
  CHECK(link.LongestWaitMs() <= 440);
}

// Guards against unanswered starts that count as gone while they are sent.
TEST_CASE("an unanswered start occupies the link for as long as it is carried",
          "[fleet]") {
  constexpr std::int64_t kCarriedMs = 8;
  fleet::start_queue queue({.link_mbps = kLinkMbps});
  for (std::size_t i = 0; i < 4 * kMaxStarts; ++i) queue.Add(OrderOf("short"));
  const std::vector<fleet::start_order> first = queue.Take(At(0).now);
  REQUIRE(first.size() == kMaxStarts);
  SECTION("a later start was answered") {
    queue.OnResponse(first.back(), fleet::start_outcome::kNoCapacity,
                     At(1).now);
    CHECK(queue.NextRoom() == At(kCarriedMs).now);
    CHECK(queue.Take(At(kCarriedMs - 1).now).size() == 1);
    CHECK(queue.Take(At(kCarriedMs).now).size() == 1);
    CHECK(queue.Take(At(3 * kCarriedMs).now).size() == 2);
  }
  SECTION("a failure is no answer") {
    queue.OnResponse(first.back(), fleet::start_outcome::kUnreachable,
                     At(1).now);
    CHECK(queue.Take(At(kCarriedMs).now).size() == 1);
    CHECK(queue.Take(At(2 * kCarriedMs).now).empty());
  }
  SECTION("no start is answered") {
    constexpr std::int64_t kSilenceMs = 400;
    CHECK(queue.NextRoom() == At(kSilenceMs).now);
    CHECK(queue.Take(At(kSilenceMs - 1).now).empty());
    CHECK(queue.Take(At(kSilenceMs).now).size() == kMaxStarts);
    CHECK(queue.Take(At(2 * kSilenceMs - 1).now).empty());
  }
}

// Guards against starts that are given up because the link was busy.
TEST_CASE("a start whose executor was held too long ago waits for a hold",
          "[fleet]") {
  constexpr std::uint32_t kTasks = 2 * kMaxStarts;
  constexpr std::int64_t kCapacity = 1'000'000;
  constexpr std::int64_t kLaterMs = 2'500;
  fleet_fixture fixture({{}}, {.starts = {.link_mbps = kLinkMbps}});
  fleet::fleet_core& core = fixture.Core();
  fixture.AddExecutor("a", kCapacity);
  schema::fleet_job job = JobOf("short", kTasks, 1);
  job.set_payload(std::string(kPayload, 'x'));
  core.Submit(job, At(0));
  const std::vector<fleet::start_order> first = fixture.Step(0).starts;
  REQUIRE(first.size() == kMaxStarts);
  std::vector<fleet::running_report> running;
  for (const fleet::start_order& order : first) {
    core.OnStartResponse(order, fleet::start_outcome::kAccepted, At(kLaterMs));
    running.push_back({.task = order.task, .run = order.run});
  }
  fixture.RecordLeases(kLaterMs);
  for (const auto& order : core.TakeOrders(At(kLaterMs)).starts) {
    const bool sent =
        core.Deadlines().ForStart(order, At(kLaterMs).now).has_value();
    CHECK(sent);
    if (sent) continue;
    core.OnStartResponse(order, fleet::start_outcome::kNotSent, At(kLaterMs));
  }
  CHECK(core.NeedsHold("a"));
  fixture.Report("a", kLaterMs, running);
  const std::vector<fleet::start_order> next = fixture.Step(kLaterMs).starts;
  REQUIRE(next.size() == kMaxStarts);
  for (const fleet::start_order& order : next) {
    CHECK(order.run == 1);
    CHECK(core.Deadlines().ForStart(order, At(kLaterMs).now));
  }
}

// Guards against starts that lose their turn each time they wait for a hold.
TEST_CASE("starts are sent in the order in which they were placed", "[fleet]") {
  fleet::start_queue queue({.link_mbps = kLinkMbps});
  fleet::start_order early = OrderOf("early");
  early.placed_at = At(0).now;
  fleet::start_order late = OrderOf("late");
  late.placed_at = At(1).now;
  queue.Add(late);
  queue.Add(early);
  const std::vector<fleet::start_order> taken = queue.Take(At(2).now);
  REQUIRE(taken.size() == 2);
  CHECK(taken[0].task.job == "early");
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
