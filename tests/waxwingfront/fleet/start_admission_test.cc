#include "waxwingfront/fleet/start_admission.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;
using fleet::pending_starts;
using fleet::start_admission;

// 1,250 bytes per millisecond.
constexpr double kLinkMbps = 10.0;
constexpr std::size_t kBytesPerMs = 1250;
constexpr int kRoundMs = 20;

core::monotonic_time Time(std::int64_t ms) { return At(ms).now; }

// Starts of `ms` of the link.
pending_starts StartsOf(std::size_t ms, std::int64_t due_ms,
                        std::int64_t latest_useful_ms, int priority = 0) {
  return {.priority = priority,
          .due = Time(due_ms),
          .latest_timely = Time(due_ms),
          .latest_useful = Time(latest_useful_ms),
          .bytes = ms * kBytesPerMs};
}

start_admission Congested(std::vector<pending_starts> backlog) {
  start_admission admission({.link_mbps = kLinkMbps});
  admission.Observe(true, Time(0));
  admission.SetBacklog(std::move(backlog), Time(0));
  return admission;
}

pending_starts AnyStarts() {
  const int due = *rc::gen::inRange(-3'000, 6'000);
  return StartsOf(*rc::gen::inRange<std::size_t>(0, 3'000), due,
                  due + *rc::gen::inRange(0, 6'000), *rc::gen::inRange(0, 3));
}

std::vector<pending_starts> AnyBacklog() {
  std::vector<pending_starts> backlog(*rc::gen::inRange<std::size_t>(0, 20));
  for (pending_starts& one : backlog) one = AnyStarts();
  return backlog;
}

std::size_t Sum(const std::vector<pending_starts>& backlog) {
  std::size_t bytes = 0;
  for (const pending_starts& one : backlog) bytes += one.bytes;
  return bytes;
}

// Guards against callers that wait for a job which cannot be served.
TEST_CASE("a job that would start when it is useless is rejected", "[fleet]") {
  const std::vector<pending_starts> backlog{StartsOf(4'000, 1'000, 6'000)};
  start_admission admission = Congested(backlog);
  const auto refusal = admission.Admit(StartsOf(100, 2'000, 4'000), Time(0));
  REQUIRE(refusal);
  CHECK(refusal->bytes_ahead == Sum(backlog));
  CHECK(refusal->wait == milliseconds(4'100));
  CHECK(refusal->max_wait == milliseconds(4'000));
  CHECK(refusal->retry_after >= milliseconds(4'000));
  // Part of the backlog has been sent.
  CHECK_FALSE(admission.Admit(StartsOf(100, 2'500, 4'500), Time(500)));
}

TEST_CASE("late jobs do not count against one that can be on time", "[fleet]") {
  start_admission admission = Congested({StartsOf(9'000, -1'000, 30'000)});
  CHECK_FALSE(admission.Admit(StartsOf(100, 2'000, 4'000), Time(0)));
}

TEST_CASE("the measured rate of starts limits the link's", "[fleet]") {
  start_admission admission = Congested({StartsOf(2'000, 1'000, 9'000)});
  const pending_starts job = StartsOf(100, 1'000, 6'000);
  constexpr int kMeasuredMs = 3'000;
  // A quarter of what the link carries.
  for (int ms = kRoundMs; ms <= kMeasuredMs; ms += kRoundMs) {
    admission.OnPlaced({.priority = 0, .late = true},
                       kRoundMs * kBytesPerMs / 4);
    admission.Observe(true, Time(ms));
  }
  admission.SetBacklog({StartsOf(2'000, 1'000, 30'000)}, Time(kMeasuredMs));
  const auto refusal = admission.Admit(job, Time(kMeasuredMs));
  REQUIRE(refusal);
  CHECK(refusal->bytes_per_ms == Approx(kBytesPerMs / 4.0).epsilon(0.01));
}

TEST_CASE("nothing is rejected while the link has room", "[fleet]") {
  rc::prop("no job is rejected", [] {
    const std::vector<pending_starts> backlog = AnyBacklog();
    start_admission unknown({});
    start_admission never_full({.link_mbps = kLinkMbps});
    start_admission long_ago({.link_mbps = kLinkMbps});
    unknown.Observe(true, Time(0));
    never_full.Observe(false, Time(0));
    long_ago.Observe(true, Time(-5'000));
    long_ago.Observe(false, Time(0));
    for (start_admission* const one : {&unknown, &never_full, &long_ago}) {
      one->SetBacklog(backlog, Time(0));
      RC_ASSERT_FALSE(one->Admit(AnyStarts(), Time(0)).has_value());
    }
  });
}

TEST_CASE("a job is rejected only if the backlog outlasts its useful time",
          "[fleet]") {
  rc::prop("rejections match the backlog", [] {
    const std::vector<pending_starts> backlog = AnyBacklog();
    const pending_starts job = AnyStarts();
    start_admission admission = Congested(backlog);
    const auto refusal = admission.Admit(job, Time(0));
    const milliseconds all((Sum(backlog) + job.bytes) / kBytesPerMs);
    const bool certainly_useful = Time(0) + all <= job.latest_useful;
    RC_ASSERT_FALSE(certainly_useful && refusal.has_value());
    const milliseconds own(job.bytes / kBytesPerMs);
    const bool certainly_useless = Time(0) + own > job.latest_useful;
    RC_ASSERT(!certainly_useless || refusal.has_value());
    if (refusal) RC_ASSERT(refusal->wait > refusal->max_wait);
  });
}

TEST_CASE("useless jobs and those that go later do not count against a new one",
          "[fleet]") {
  rc::prop("the decision does not change", [] {
    std::vector<pending_starts> backlog = AnyBacklog();
    const pending_starts job = AnyStarts();
    const bool rejected = Congested(backlog).Admit(job, Time(0)).has_value();
    const auto others = *rc::gen::inRange(0, 10);
    for (int i = 0; i < others; ++i) {
      pending_starts other = AnyStarts();
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          other.priority = job.priority;
          other.due = std::min(other.due, Time(0));
          other.latest_timely = other.latest_useful = Time(-1);
          break;
        case 1:
          other.priority = job.priority + 1;
          break;
        case 2:
          other.priority = job.priority;
          other.due = job.due + milliseconds(1);
          break;
        default:
          other.earliest =
              std::max(job.latest_timely, job.latest_useful) + milliseconds(1);
          break;
      }
      backlog.push_back(other);
    }
    const bool still = Congested(backlog).Admit(job, Time(0)).has_value();
    RC_ASSERT(still == rejected);
  });
}

TEST_CASE("rejected callers return one after the other within the bounds",
          "[fleet]") {
  rc::prop("times to return are bounded and in order", [] {
    start_admission admission = Congested(AnyBacklog());
    const fleet::start_admission_options bounds;
    milliseconds last{0};
    for (int i = 0; i < 20; ++i) {
      const auto refusal = admission.Admit(AnyStarts(), Time(0));
      if (!refusal) continue;
      RC_ASSERT(refusal->retry_after >= bounds.min_retry);
      RC_ASSERT(refusal->retry_after <= bounds.max_retry);
      RC_ASSERT(refusal->retry_after >= last);
      last = refusal->retry_after;
    }
  });
}

}  // namespace
}  // namespace waxwingfront::tests
