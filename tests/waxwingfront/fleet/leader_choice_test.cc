#include "waxwingfront/fleet/leader_choice.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace waxwingfront::tests {
namespace {

using core::milliseconds;
using core::monotonic_time;
using fleet::leader_choice;

// Simulated time starts near 0, as a clock that counts from boot may.
monotonic_time At(std::int64_t ms) { return monotonic_time(milliseconds(ms)); }

leader_choice Choice(std::int64_t strength,
                     const std::string& address = "own") {
  return leader_choice({.address = address, .strength = strength});
}

const fleet::leader_choice_options kDefaults;
constexpr milliseconds kJitter(50);

TEST_CASE("strength is limited by the scarcer of processor and link",
          "[fleet]") {
  const auto small = fleet::StrengthOf({.cores = 0.069, .link_mbps = 10});
  const auto medium = fleet::StrengthOf({.cores = 0.12, .link_mbps = 10});
  const auto large = fleet::StrengthOf({.cores = 0.5, .link_mbps = 200});
  CHECK(small < medium);
  CHECK(medium < large);
  CHECK(medium == fleet::StrengthOf({.cores = 0.5, .link_mbps = 10}));
  CHECK(large == fleet::StrengthOf({.cores = 0.5, .link_mbps = 200}));
  CHECK(fleet::StrengthOf({.cores = 0.5}) == 0);
  CHECK(fleet::StrengthOf({.link_mbps = 10}) == 0);
}

TEST_CASE(
    "weaker processes delay their claim longer and the strongest does not",
    "[fleet]") {
  rc::prop("the delay is bounded and decreases with strength", [] {
    const auto strongest = *rc::gen::inRange<std::int64_t>(1, 2'000'000);
    const auto one = *rc::gen::inRange<std::int64_t>(1, 2'000'000);
    const auto two = *rc::gen::inRange<std::int64_t>(one, 2'000'000);
    leader_choice weak = Choice(one);
    leader_choice strong = Choice(two);
    weak.OnStrongest(strongest);
    strong.OnStrongest(strongest);
    const auto weak_delay = weak.ClaimDelay(kJitter, At(0));
    RC_ASSERT(weak_delay >= strong.ClaimDelay(kJitter, At(0)));
    RC_ASSERT(weak_delay <= kJitter + kDefaults.max_claim_delay);
    if (one >= strongest) RC_ASSERT(weak_delay == kJitter);
  });
}

TEST_CASE("the claim delay is bounded whatever a process has been told",
          "[fleet]") {
  rc::prop("records, statuses and hand-overs in any order", [] {
    leader_choice choice = Choice(*rc::gen::inRange<std::int64_t>(0, 1000));
    std::int64_t now = 0;
    const auto events =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6000));
    for (const int event : events) {
      now += event / 3;
      const std::string address = std::to_string(event % 4);
      if (event % 3 == 0) choice.OnStrongest(event);
      if (event % 3 == 1) choice.OnHandover(address, At(now));
      choice.OnMemberStatus(
          address, {.strength = event, .ready = event % 2 == 0}, At(now));
      RC_ASSERT(choice.ClaimDelay(kJitter, At(now)) >= milliseconds(0));
      RC_ASSERT(choice.ClaimDelay(kJitter, At(now)) <=
                kJitter + kDefaults.max_claim_delay);
    }
  });
}

TEST_CASE("a weak process delays its claim longer than the strongest one needs",
          "[fleet]") {
  leader_choice weak =
      Choice(fleet::StrengthOf({.cores = 0.069, .link_mbps = 10}));
  weak.OnStrongest(fleet::StrengthOf({.cores = 0.5, .link_mbps = 200}));
  CHECK(weak.ClaimDelay(kJitter, At(0)) > kJitter + milliseconds(300));
}

TEST_CASE("a process that could not read the strengths claims last",
          "[fleet]") {
  leader_choice choice = Choice(100);
  choice.OnStrengthsUnknown();
  CHECK(choice.ClaimDelay(kJitter, At(0)) ==
        kJitter + kDefaults.max_claim_delay);
  choice.OnStrongest(100);
  CHECK(choice.ClaimDelay(kJitter, At(0)) == kJitter);
}

TEST_CASE(
    "announcements of a weak leader do not let weak processes claim early",
    "[fleet]") {
  leader_choice weak = Choice(100);
  weak.OnStrongest(1000);
  weak.OnStrongest(100);
  weak.OnMemberStatus("weak", {.strength = 100, .ready = true}, At(0));
  CHECK(weak.ClaimDelay(kJitter, At(0)) > kJitter + milliseconds(300));
}

TEST_CASE(
    "processes of equal or unknown strength never delay claims or hand over",
    "[fleet]") {
  rc::prop("whatever they report to each other", [] {
    const auto strength = *rc::gen::element<std::int64_t>(0, 1, 69'000);
    leader_choice choice = Choice(strength);
    std::int64_t now = 0;
    const auto events =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4000));
    for (const int event : events) {
      now += event;
      if (event % 2 == 0) choice.OnStrongest(strength);
      choice.OnMemberStatus(
          std::to_string(event % 5),
          {.strength = event % 3 == 0 ? 0 : strength, .ready = event % 7 != 0},
          At(now));
      RC_ASSERT(choice.ClaimDelay(kJitter, At(now)) == kJitter);
      RC_ASSERT(!choice.Successor(At(now)));
    }
  });
}

TEST_CASE(
    "a leader hands over to the strongest ready process with a recent status",
    "[fleet]") {
  leader_choice choice = Choice(100);
  choice.OnMemberStatus("ending", {.strength = 900, .ready = false}, At(10));
  choice.OnMemberStatus("silent", {.strength = 800, .ready = true}, At(10));
  CHECK(choice.Successor(At(20)) == "silent");
  const std::int64_t later = 20 + kDefaults.max_status_age.count();
  choice.OnMemberStatus("little", {.strength = 149, .ready = true}, At(later));
  CHECK_FALSE(choice.Successor(At(later)));
  choice.OnMemberStatus("more", {.strength = 150, .ready = true}, At(later));
  CHECK(choice.Successor(At(later)) == "more");
  choice.OnMemberStatus("most", {.strength = 500, .ready = true}, At(later));
  CHECK(choice.Successor(At(later)) == "most");
}

TEST_CASE("a late status does not replace a newer one", "[fleet]") {
  leader_choice choice = Choice(100);
  choice.OnMemberStatus("strong", {.strength = 900, .ready = false}, At(2000));
  choice.OnMemberStatus("strong", {.strength = 900, .ready = true}, At(1000));
  CHECK_FALSE(choice.Successor(At(2000)));
}

TEST_CASE(
    "processes of the previous version can lead and follow without strength",
    "[fleet]") {
  leader_choice choice = Choice(100);
  // Their statuses and announcements are empty.
  choice.OnMemberStatus("previous", {}, At(0));
  choice.OnStrongest(0);
  CHECK_FALSE(choice.Successor(At(0)));
  CHECK(choice.ClaimDelay(kJitter, At(0)) == kJitter);
  choice.OnStrongest(200);
  choice.OnStrongest(0);
  CHECK(choice.ClaimDelay(kJitter, At(0)) > kJitter);
}

TEST_CASE(
    "the named successor claims first and others may claim after its timeout",
    "[fleet]") {
  rc::prop("whatever their strengths", [] {
    const auto strength = *rc::gen::inRange<std::int64_t>(0, 1000);
    const auto strongest = *rc::gen::inRange<std::int64_t>(0, 1000);
    leader_choice named = Choice(strength, "named");
    leader_choice other = Choice(strength, "other");
    for (leader_choice* choice : {&named, &other}) {
      choice->OnStrongest(strongest);
      choice->OnHandover("named", At(0));
    }
    RC_ASSERT(named.ClaimDelay(kJitter, At(1)) == milliseconds(0));
    RC_ASSERT(other.ClaimDelay(kJitter, At(1)) ==
              kJitter + kDefaults.max_claim_delay);
    const auto after = At(kDefaults.successor_claim_timeout.count());
    RC_ASSERT(named.ClaimDelay(kJitter, after) ==
              other.ClaimDelay(kJitter, after));
  });
}

TEST_CASE("hand-overs to a process that keeps losing leadership back off",
          "[fleet]") {
  rc::prop("hand-overs do not flap", [] {
    const auto failing = *rc::gen::inRange(1, 4);
    const auto step = *rc::gen::inRange(20, 400);
    leader_choice choice = Choice(100);
    constexpr std::int64_t kTenMinutes = 600'000;
    int handovers = 0;
    for (std::int64_t now = 0; now < kTenMinutes; now += step) {
      for (int i = 0; i < failing; ++i) {
        choice.OnMemberStatus(std::to_string(i),
                              {.strength = 500, .ready = true}, At(now));
      }
      const auto successor = choice.Successor(At(now));
      if (!successor) continue;
      ++handovers;
      choice.OnHandover(*successor, At(now));
      RC_ASSERT(!choice.Successor(At(now + 1)));
    }
    // Backoffs of 5, 10, 20, 40 and then 80 s each add up to ten minutes.
    RC_ASSERT(handovers <= failing * 12);
    RC_ASSERT(handovers >= failing * 5);
  });
}

TEST_CASE("the hand-over backoff resets after a long time without hand-overs",
          "[fleet]") {
  leader_choice choice = Choice(100);
  const auto ready = [&](std::int64_t now) {
    choice.OnMemberStatus("strong", {.strength = 500, .ready = true}, At(now));
    return choice.Successor(At(now)).has_value();
  };
  choice.OnHandover("strong", At(0));
  choice.OnHandover("strong", At(1000));
  CHECK_FALSE(ready(10'000));
  CHECK(ready(11'001));
  choice.OnHandover("strong", At(200'000));
  CHECK_FALSE(ready(204'999));
  CHECK(ready(205'000));
}

TEST_CASE("hand-overs on request back off for a bounded time", "[fleet]") {
  constexpr milliseconds kPatience(5000);
  constexpr std::int64_t kTenMinutes = 600'000;
  leader_choice choice = Choice(100);
  std::vector<std::int64_t> handovers = {0};
  std::int64_t longest = 0;
  std::int64_t shortest = kTenMinutes;
  choice.OnHandover("strong", At(0));
  for (std::int64_t now = 0; now < kTenMinutes; now += kPatience.count()) {
    choice.OnRequest("strong", 500, At(now));
    if (!choice.Successor(At(now))) continue;
    choice.OnHandover("strong", At(now));
    longest = std::max(longest, now - handovers.back());
    shortest = std::min(shortest, now - handovers.back());
    handovers.push_back(now);
  }
  CHECK(longest == 10'000);
  CHECK(shortest == 5000);
  CHECK(handovers.size() <= 62);
  // Statuses alone still back off.
  constexpr std::int64_t kLater = kTenMinutes + 20'000;
  choice.OnMemberStatus("strong", {.strength = 500, .ready = true}, At(kLater));
  CHECK_FALSE(choice.Successor(At(kLater)));
}

TEST_CASE("a request that came before the last hand-over does not count again",
          "[fleet]") {
  leader_choice choice = Choice(100);
  for (const std::int64_t now : {0, 5000, 15'000}) {
    choice.OnHandover("strong", At(now));
  }
  choice.OnRequest("strong", 500, At(25'001));
  REQUIRE(choice.Successor(At(25'001)));
  choice.OnHandover("strong", At(25'001));
  choice.OnMemberStatus("strong", {.strength = 500, .ready = true}, At(35'001));
  CHECK_FALSE(choice.Successor(At(35'001)));
}

TEST_CASE("only leading for the whole backoff resets it", "[fleet]") {
  leader_choice choice = Choice(100);
  const auto ready = [&](std::int64_t now) {
    choice.OnMemberStatus("strong", {.strength = 500, .ready = true}, At(now));
    return choice.Successor(At(now)).has_value();
  };
  choice.OnHandover("strong", At(0));
  choice.OnHandover("strong", At(5000));
  choice.OnLeading("other", At(15'000));
  choice.OnLeading("strong", At(14'999));
  choice.OnHandover("strong", At(15'000));
  CHECK_FALSE(ready(34'999));
  CHECK(ready(35'000));
  choice.OnLeading("strong", At(35'000));
  choice.OnHandover("strong", At(35'001));
  CHECK_FALSE(ready(40'000));
  CHECK(ready(40'001));
}

TEST_CASE("after a successor that has led and left, claims go by strength",
          "[fleet]") {
  constexpr std::int64_t kWeakest = 69'000;
  constexpr std::int64_t kStrongest = 500'000;
  leader_choice weak = Choice(kWeakest, "weak");
  leader_choice strong = Choice(kStrongest, "strong");
  leader_choice named = Choice(kWeakest, "named");
  for (leader_choice* choice : {&weak, &strong, &named}) {
    choice->OnStrongest(kStrongest);
    choice->OnOtherHandover("named", At(0));
    choice->OnLeading("other", At(30));
  }
  CHECK(strong.ClaimDelay(kJitter, At(40)) > kJitter);
  for (leader_choice* choice : {&weak, &strong, &named}) {
    choice->OnLeading("named", At(40));
  }
  CHECK(strong.ClaimDelay(kJitter, At(800)) == kJitter);
  CHECK(weak.ClaimDelay(kJitter, At(800)) > kJitter + milliseconds(300));
  CHECK(named.ClaimDelay(kJitter, At(800)) > kJitter + milliseconds(300));
}

TEST_CASE("a hand-over of another leader that succeeded delays no other",
          "[fleet]") {
  leader_choice choice = Choice(100);
  const auto ready = [&](std::int64_t now) {
    choice.OnMemberStatus("strong", {.strength = 500, .ready = true}, At(now));
    return choice.Successor(At(now)).has_value();
  };
  choice.OnOtherHandover("named", At(0));
  CHECK_FALSE(ready(500));
  choice.OnLeading("named", At(600));
  CHECK(ready(700));
  choice.OnHandover("named", At(10'000));
  choice.OnLeading("named", At(10'100));
  CHECK_FALSE(ready(12'999));
  CHECK(ready(13'000));
}

TEST_CASE("strong processes that ask and never claim do not take turns",
          "[fleet]") {
  constexpr std::int64_t kTenMinutes = 600'000;
  constexpr std::int64_t kPatience = 5000;
  constexpr std::int64_t kStep = 100;
  constexpr std::int64_t kProcesses = 6;
  leader_choice choice = Choice(100);
  std::vector<std::int64_t> handovers;
  for (std::int64_t now = 0; now < kTenMinutes; now += kStep) {
    for (std::int64_t i = 0; i < kProcesses; ++i) {
      if ((now + i * kStep) % kPatience != 0) continue;
      choice.OnRequest(std::to_string(i), 500, At(now));
    }
    const auto successor = choice.Successor(At(now));
    if (!successor) continue;
    choice.OnHandover(*successor, At(now));
    handovers.push_back(now);
  }
  // One each 10 s, as for a single process that asks.
  CHECK(handovers.size() <= 62);
  CHECK(handovers.size() >= 55);
  for (std::int64_t i = 0; i < kProcesses; ++i) {
    choice.OnLeading(std::to_string(i), At(kTenMinutes));
  }
  choice.OnHandover("0", At(kTenMinutes));
  choice.OnRequest("new", 900, At(kTenMinutes + 3000));
  CHECK(choice.Successor(At(kTenMinutes + 3000)) == "new");
}

}  // namespace
}  // namespace waxwingfront::tests
