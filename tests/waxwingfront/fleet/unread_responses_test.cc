#include "waxwingfront/fleet/unread_responses.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "support/fleet_fixture.h"
#include "waxwingfront/fleet/start_queue.h"

namespace waxwingfront::tests {
namespace {

constexpr std::size_t kMaxBytes = 1000;
constexpr double kLinkMbps = 10.0;
constexpr std::int64_t kLinkBytesPerMs = 1250;
constexpr std::size_t kPayloadBytes = 2000;
constexpr std::int64_t kStartBytes = 2500;
// What starts may take of the link at its nominal speed.
constexpr std::int64_t kMaxLinkMs = 100;

TEST_CASE("responses that are read one by one show no lateness", "[fleet]") {
  fleet::unread_responses unread({.max_bytes = kMaxBytes});
  for (int ms = 0; ms < 10; ++ms) {
    unread.OnRead(100);
    unread.EndReading(At(ms).now);
  }
  CHECK(unread.Room() == 0);
}

TEST_CASE("responses that are read at once have waited but for one",
          "[fleet]") {
  fleet::unread_responses unread({.max_bytes = kMaxBytes});
  for (const std::size_t bytes : {100, 200, 100}) unread.OnRead(bytes);
  CHECK(unread.Room() == 0);
  unread.EndReading(At(0).now);
  CHECK(unread.Room() == 200);
  SECTION("unread ones are counted until they are read") {
    unread.Add(1, 100);
    unread.Add(2, 100);
    CHECK(unread.Room() == 0);
    CHECK(unread.Remove(1) == 100);
    CHECK(unread.Remove(1) == 0);
    CHECK(unread.Room() == 100);
    unread.RemoveBefore(3);
    CHECK(unread.Room() == 200);
  }
  SECTION("the estimate is forgotten as others are read") {
    unread.EndReading(At(60'000).now);
    CHECK(unread.Room() == 200);
    unread.OnRead(100);
    unread.EndReading(At(60'000).now);
    CHECK(unread.Room() == 0);
  }
  SECTION("the estimate is bounded") {
    for (int i = 0; i < 2; ++i) unread.OnRead(2 * kMaxBytes);
    unread.EndReading(At(1).now);
    CHECK(unread.Room() == kMaxBytes);
  }
}

TEST_CASE("responses within the process's lateness count as read at once",
          "[fleet]") {
  fleet::unread_responses unread({.max_bytes = kMaxBytes});
  unread.RecordLateness(core::milliseconds(50), At(0).now);
  for (int ms = 10; ms <= 60; ms += 10) {
    unread.OnRead(100);
    unread.EndReading(At(ms).now);
  }
  // Five of them, but for one.
  CHECK(unread.Room() == 400);
}

struct late_leader_options {
  // How much slower than its nominal speed the link is.
  std::int64_t slowness = 1;
  // How long responses wait, one by one.
  std::int64_t queueing_ms = 0;
};

// A link that always has starts to carry, and a leader that looks at responses
// and sends starts at times only.
class late_leader {
 public:
  explicit late_leader(late_leader_options options) : options_(options) {}

  // The leader is late by the next of `pauses_ms` each time.
  void Play(const std::vector<std::int64_t>& pauses_ms) {
    constexpr std::int64_t kLengthMs = 6'000;
    std::int64_t turn_at = 0;
    std::size_t turns = 0;
    for (std::int64_t now = 0; now < kLengthMs; ++now) {
      Carry(now);
      if (now < turn_at) continue;
      turn_at += pauses_ms[turns++ % pauses_ms.size()];
      TakeTurn(now);
    }
    share_carried_ = static_cast<double>(carried_bytes_ * options_.slowness) /
                     static_cast<double>(kLinkBytesPerMs * kLengthMs);
  }

  double ShareCarried() const { return share_carried_; }
  std::int64_t LongestWaitMs() const { return longest_wait_ms_; }

 private:
  struct sent_start {
    fleet::start_order order;
    std::int64_t since;
  };

  void TakeTurn(std::int64_t now) {
    constexpr std::size_t kMaxWaiting = 400;
    queue_.RecordLateness(core::milliseconds(options_.queueing_ms),
                          At(now).now);
    while (!answered_.empty() &&
           answered_.front().since + options_.queueing_ms <= now) {
      queue_.OnResponse(answered_.front().order,
                        fleet::start_outcome::kAccepted, At(now).now);
      answered_.pop_front();
    }
    while (queue_.Levels().waiting < kMaxWaiting) {
      queue_.Add({.run = 1, .payload = std::string(kPayloadBytes, 'x')});
    }
    for (fleet::start_order& order : queue_.Take(At(now).now)) {
      link_.push_back({.order = std::move(order), .since = now});
    }
  }

  void Carry(std::int64_t now) {
    room_ += kLinkBytesPerMs;
    while (!link_.empty() && room_ >= kStartBytes * options_.slowness) {
      room_ -= kStartBytes * options_.slowness;
      carried_bytes_ += kStartBytes;
      longest_wait_ms_ = std::max(longest_wait_ms_, now - link_.front().since);
      answered_.push_back(
          {.order = std::move(link_.front().order), .since = now});
      link_.pop_front();
    }
    if (link_.empty()) room_ = 0;
  }

  late_leader_options options_;
  fleet::start_queue queue_{{.link_mbps = kLinkMbps}};
  std::deque<sent_start> link_;
  std::deque<sent_start> answered_;
  std::int64_t room_ = 0;
  std::int64_t carried_bytes_ = 0;
  double share_carried_ = 0.0;
  std::int64_t longest_wait_ms_ = 0;
};

// Guards against a link that a late leader leaves idle.
TEST_CASE("a leader that is late at everything fills its link",
          "[fleet][overload]") {
  late_leader leader({});
  SECTION("evenly") { leader.Play({300}); }
  SECTION("unevenly") { leader.Play({300, 50, 120}); }
  CHECK(leader.ShareCarried() > 0.8);
}

// Guards against the same with responses that wait in a queue of events.
TEST_CASE("a leader with a long queue of events fills its link",
          "[fleet][overload]") {
  late_leader leader({.queueing_ms = 250});
  SECTION("sends at once") { leader.Play({1}); }
  SECTION("sends in rounds") { leader.Play({40}); }
  CHECK(leader.ShareCarried() > 0.8);
}

// Guards against a slow link that is overfilled because the leader is late.
TEST_CASE("a late leader adds no more than its lateness to the link's",
          "[fleet][overload]") {
  rc::prop("starts wait for the link and the leader", [] {
    const std::int64_t slowness = *rc::gen::inRange(1, 5);
    const std::int64_t queueing_ms = *rc::gen::inRange(0, 300);
    const auto pauses_ms =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::int64_t>>(
            rc::gen::inRange(1, 400)));
    late_leader leader({.slowness = slowness, .queueing_ms = queueing_ms});
    leader.Play(pauses_ms);
    const std::int64_t start_ms = slowness * kStartBytes / kLinkBytesPerMs;
    RC_LOG() << "wait " << leader.LongestWaitMs() << std::endl;
    RC_ASSERT(leader.LongestWaitMs() <= slowness * kMaxLinkMs + queueing_ms +
                                            std::ranges::max(pauses_ms) +
                                            2 * start_ms);
  });
}

}  // namespace
}  // namespace waxwingfront::tests
