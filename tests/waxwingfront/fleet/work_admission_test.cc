#include "waxwingfront/fleet/work_admission.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;
using fleet::work_admission;
using fleet::work_kind;
using fleet::work_level;
using fleet::work_request;
using fleet::work_sample;

constexpr std::int64_t kPeriodMs = 200;
// After the time that makes an overload.
constexpr std::int64_t kStartMs = 3000;

core::monotonic_time Time(std::int64_t ms) { return At(ms).now; }

const work_kind kHeavy{.queue = "q", .image = "heavy"};
const work_kind kLight{.queue = "q", .image = "light"};
const work_kind kOther{.queue = "other", .image = "heavy"};

work_level Level(double working, double standing) {
  return {.jobs = 10, .working = working, .standing = standing};
}

work_request JobOfKind(const work_kind& kind, std::size_t tasks = 5) {
  return {.kind = kind, .first_tasks = tasks, .work = milliseconds(5000)};
}

work_admission Admission() {
  return work_admission({.kind_limit = 0.15, .queue_limit = 0.1});
}

// One that has seen the sample for longer than the time of an overload.
work_admission Observing(const work_sample& sample) {
  work_admission admission = Admission();
  for (std::int64_t ms = 0; ms <= kStartMs; ms += kPeriodMs) {
    admission.SetSample(sample, Time(ms));
  }
  return admission;
}

work_level AnyLevel(bool standing) {
  return Level(*rc::gen::inRange(0, 500),
               standing ? *rc::gen::inRange(0, 500) : 0);
}

// Guards against all jobs of an overloaded queue being late.
TEST_CASE("a job whose kind stands still is rejected", "[fleet]") {
  work_admission admission = Observing({{kHeavy, Level(100.0, 60.0)}});
  const auto refusal = admission.Admit(JobOfKind(kHeavy), Time(kStartMs));
  REQUIRE(refusal);
  CHECK(refusal->kind == kHeavy);
  CHECK(refusal->level.standing == 60.0);
  CHECK(refusal->queue_level.working == 100.0);
}

TEST_CASE("no job is rejected while nothing stands still", "[fleet]") {
  rc::prop("no job is rejected", [] {
    work_admission admission =
        Observing({{kHeavy, AnyLevel(false)}, {kLight, AnyLevel(false)}});
    const int jobs = *rc::gen::inRange(1, 100);
    for (int i = 0; i < jobs; ++i) {
      const std::int64_t ms = kStartMs + *rc::gen::inRange(0, 900);
      RC_ASSERT_FALSE(
          admission.Admit(JobOfKind(kHeavy, 50), Time(ms)).has_value());
    }
  });
}

// Guards against refusals of jobs that have room beside a heavy image.
TEST_CASE("a light job is accepted while a heavy one stands still", "[fleet]") {
  work_admission admission =
      Observing({{kHeavy, Level(100.0, 60.0)}, {kLight, Level(100.0, 1.0)}});
  CHECK(admission.Admit(JobOfKind(kHeavy), Time(kStartMs)));
  CHECK_FALSE(admission.Admit(JobOfKind(kLight), Time(kStartMs)));
  // Of an image without tasks.
  CHECK_FALSE(admission.Admit(JobOfKind({.queue = "q", .image = "new"}),
                              Time(kStartMs)));
}

// Guards against refusals of a burst of one image without overload.
TEST_CASE("no job is rejected while its queue as a whole works", "[fleet]") {
  work_admission admission =
      Observing({{kHeavy, Level(20.0, 10.0)}, {kLight, Level(400.0, 0.0)}});
  CHECK_FALSE(admission.Admit(JobOfKind(kHeavy), Time(kStartMs)));
}

TEST_CASE("a queue that stands still does not hold up another one", "[fleet]") {
  rc::prop("jobs of a queue that works are accepted", [] {
    work_admission admission =
        Observing({{kHeavy, AnyLevel(true)}, {kOther, AnyLevel(false)}});
    RC_ASSERT_FALSE(
        admission.Admit(JobOfKind(kOther, 50), Time(kStartMs)).has_value());
  });
}

// Guards against bursts that are accepted before samples show their tasks.
TEST_CASE("jobs that a congested kind has accepted count until they are seen",
          "[fleet]") {
  work_admission admission = Observing({{kHeavy, Level(100.0, 60.0)}});
  const std::int64_t now = kStartMs + kPeriodMs;
  const work_sample sample{{kHeavy, Level(100.0, 10.0)}};
  admission.SetSample(sample, Time(now));
  CHECK_FALSE(admission.Admit(JobOfKind(kHeavy, 4), Time(now)));
  CHECK_FALSE(admission.Admit(JobOfKind(kHeavy, 4), Time(now)));
  const auto refusal = admission.Admit(JobOfKind(kHeavy, 4), Time(now));
  REQUIRE(refusal);
  CHECK(refusal->accepted_tasks == 8.0);
  // The next sample cannot show what their tasks do.
  const std::int64_t next = now + kPeriodMs;
  admission.SetSample(sample, Time(next));
  CHECK(admission.Admit(JobOfKind(kHeavy, 4), Time(next)));
  admission.SetSample(sample, Time(next + kPeriodMs));
  CHECK_FALSE(admission.Admit(JobOfKind(kHeavy, 4), Time(next + kPeriodMs)));
}

// Guards against refusals after the overload.
TEST_CASE("a kind that stood still long ago accepts any number of jobs",
          "[fleet]") {
  work_admission admission = Observing({{kHeavy, Level(100.0, 60.0)}});
  const std::int64_t later = kStartMs + 3000;
  for (std::int64_t ms = kStartMs + kPeriodMs; ms <= later; ms += kPeriodMs) {
    admission.SetSample({{kHeavy, Level(100.0, 0.0)}}, Time(ms));
  }
  for (int i = 0; i < 50; ++i) {
    CHECK_FALSE(admission.Admit(JobOfKind(kHeavy), Time(later)));
  }
}

// Guards against refusals of jobs that would have been on time.
TEST_CASE("a queue that stands still for a moment rejects no job", "[fleet]") {
  work_admission admission = Admission();
  CHECK_FALSE(admission.Admit(JobOfKind(kHeavy), Time(0)));
  const work_sample above{{kHeavy, Level(100.0, 60.0)}};
  const work_sample below{{kHeavy, Level(100.0, 1.0)}};
  // One sample in the middle shows it below the limit.
  for (std::int64_t ms = 0; ms < 3000; ms += kPeriodMs) {
    admission.SetSample(ms == 1600 ? below : above, Time(ms));
    CHECK_FALSE(admission.Admit(JobOfKind(kHeavy), Time(ms)));
  }
  // Nothing is known of the time between these samples.
  admission.SetSample(above, Time(9000));
  CHECK_FALSE(admission.Admit(JobOfKind(kHeavy), Time(9000)));
}

// Guards against a queue that is filled up whenever its work has moved on.
TEST_CASE("an overloaded queue stays so until it has recovered", "[fleet]") {
  work_admission admission = Observing({{kHeavy, Level(100.0, 60.0)}});
  const work_sample recovering{{kHeavy, Level(100.0, 20.0)},
                               {kLight, Level(400.0, 0.0)}};
  std::int64_t ms = kStartMs;
  while (ms < kStartMs + 3000) {
    ms += kPeriodMs;
    admission.SetSample(recovering, Time(ms));
    CHECK(admission.Admit(JobOfKind(kHeavy), Time(ms)));
  }
  admission.SetSample(recovering, Time(ms + kPeriodMs));
  CHECK_FALSE(admission.Admit(JobOfKind(kHeavy), Time(ms + kPeriodMs)));
}

// Returns the time after which the last of `jobs` rejected callers returns, if
// `done` of task time is completed in each period.
milliseconds LastRetryAfter(int jobs, milliseconds done) {
  work_admission admission = Admission();
  const work_sample sample{{kHeavy, Level(100.0, 60.0)}};
  for (std::int64_t ms = 0; ms <= kStartMs; ms += kPeriodMs) {
    admission.SetSample(sample, Time(ms));
    admission.OnDone(kHeavy, done, Time(ms));
  }
  milliseconds last{0};
  for (int i = 0; i < jobs; ++i) {
    const auto refusal = admission.Admit(JobOfKind(kHeavy), Time(kStartMs));
    REQUIRE(refusal);
    last = refusal->retry_after;
  }
  return last;
}

// Guards against rejected callers that all return at once.
TEST_CASE("rejected callers return at the rate of completed work", "[fleet]") {
  // A job is 5 s of task time, and its kind completes 20 s of it per second.
  constexpr milliseconds kDone{20 * kPeriodMs};
  CHECK(LastRetryAfter(1, kDone) == milliseconds(1000));
  const milliseconds sixth = LastRetryAfter(6, kDone);
  CHECK(sixth > milliseconds(1200));
  CHECK(sixth < milliseconds(1800));
  CHECK(LastRetryAfter(6, kDone * 2) < sixth);
  CHECK(LastRetryAfter(100, kDone) == milliseconds(2000));
  CHECK(LastRetryAfter(2, milliseconds(0)) == milliseconds(2000));
}

TEST_CASE("the time to return grows with the refused work and is bounded",
          "[fleet]") {
  rc::prop("times to return are in order", [] {
    work_admission admission = Observing({{kHeavy, Level(100.0, 60.0)}});
    admission.OnDone(kHeavy, milliseconds(*rc::gen::inRange(0, 500'000)),
                     Time(kStartMs));
    milliseconds previous{0};
    for (int i = 0; i < 30; ++i) {
      const auto refusal = admission.Admit(JobOfKind(kHeavy), Time(kStartMs));
      RC_ASSERT(refusal.has_value());
      RC_ASSERT(refusal->retry_after >= previous);
      RC_ASSERT(refusal->retry_after >= milliseconds(1000));
      RC_ASSERT(refusal->retry_after <= milliseconds(2000));
      previous = refusal->retry_after;
    }
  });
}

}  // namespace
}  // namespace waxwingfront::tests
