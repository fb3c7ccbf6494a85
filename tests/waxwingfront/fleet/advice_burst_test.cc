// A burst of jobs on an advised queue, with an adviser as the platform
// describes it: one call at a time, in turn, each in a stated time.
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "support/fleet_fixture.h"
#include "waxwingfront/fleet/advice_driver.h"

namespace waxwingfront::tests {
namespace {

using advice_callback = std::function<void(core::result<fleet::advice_reply>)>;

constexpr std::int64_t kLinkMs = 20;
constexpr std::int64_t kRoundMs = 15;
constexpr std::int64_t kHoldMs = 500;
constexpr std::int64_t kExecutorMillis = 1'000'000;
constexpr std::size_t kMaxWaitingCalls = 32;
constexpr std::size_t kMaxExecutorsPerCall = 100;

struct adviser_figures {
  std::int64_t decision_ms = 150;
  std::int64_t per_executor_ms = 1;
  std::int64_t valid_ms = 3000;
  // One executor in this many is permitted; which ones differs by step.
  std::size_t permitted_one_in = 2;
};

// Handles calls in turn on simulated time. A ticket is its time of issue, the
// begin of its call's handling or its end.
class simulated_adviser {
 public:
  simulated_adviser(adviser_figures figures, bool issued_at_begin,
                    const std::int64_t& now_ms)
      : services{.advise =
                     [this](const fleet::advice_request& request,
                            advice_callback done) {
                       Take(request, std::move(done));
                     }},
        figures_(figures),
        issued_at_begin_(issued_at_begin),
        now_ms_(now_ms) {}

  // Returns when the next response arrives, at most `latest_ms`.
  std::int64_t NextResponse(std::int64_t latest_ms) const {
    for (const call& one : calls_) {
      latest_ms = std::min(latest_ms, one.arrives_ms);
    }
    return latest_ms;
  }

  // Responds to all calls whose responses have arrived by now.
  void Run() {
    while (!calls_.empty() && calls_.front().arrives_ms <= now_ms_) {
      const call first = std::move(calls_.front());
      calls_.pop_front();
      if (first.rejected) {
        first.done(core::Failure(core::error_code::kProtocol, "429"));
      } else {
        first.done(first.reply);
      }
    }
  }

  bool Valid(const std::string& ticket) const {
    return now_ms_ <= std::stoll(ticket) + figures_.valid_ms;
  }
  bool Permits(const std::string& job, std::size_t executor) const {
    return (std::hash<std::string>()(job) + executor) %
               figures_.permitted_one_in ==
           0;
  }

  fleet::executor_services services;
  std::map<std::string, int> calls_of;
  std::size_t rejected = 0;
  // Sum of all handling times.
  std::int64_t busy_ms = 0;

 private:
  struct call {
    std::int64_t arrives_ms = 0;
    bool rejected = false;
    fleet::advice_reply reply;
    advice_callback done;
  };

  void Take(const fleet::advice_request& request, advice_callback done) {
    RC_ASSERT(request.executors.size() <= kMaxExecutorsPerCall);
    const std::int64_t arrival_ms = now_ms_ + kLinkMs;
    const auto waiting = std::ranges::count_if(calls_, [&](const call& one) {
      return one.arrives_ms > arrival_ms + kLinkMs;
    });
    if (static_cast<std::size_t>(waiting) > kMaxWaitingCalls) {
      ++rejected;
      calls_.push_back({.arrives_ms = arrival_ms + kLinkMs,
                        .rejected = true,
                        .reply = {},
                        .done = std::move(done)});
      return;
    }
    ++calls_of[request.step.job];
    const std::int64_t begin_ms = std::max(arrival_ms, free_at_ms_);
    const std::int64_t service_ms =
        figures_.decision_ms +
        figures_.per_executor_ms *
            static_cast<std::int64_t>(request.executors.size());
    free_at_ms_ = begin_ms + service_ms;
    busy_ms += service_ms;
    fleet::advice_reply reply{.permits = {},
                              .valid = core::milliseconds(figures_.valid_ms)};
    for (const std::string& id : request.executors) {
      if (!Permits(request.step.job, std::stoul(id))) continue;
      reply.permits.push_back({.executor = id,
                               .ticket = std::to_string(
                                   issued_at_begin_ ? begin_ms : free_at_ms_)});
    }
    calls_.push_back({.arrives_ms = free_at_ms_ + kLinkMs,
                      .rejected = false,
                      .reply = std::move(reply),
                      .done = std::move(done)});
  }

  adviser_figures figures_;
  bool issued_at_begin_;
  const std::int64_t& now_ms_;
  std::int64_t free_at_ms_ = 0;
  std::deque<call> calls_;
};

struct burst {
  adviser_figures figures;
  bool issued_at_begin = false;
  int executors = 30;
  int jobs = 40;
  std::uint32_t tasks = 4;
  std::int64_t pause_ms = 0;
};

struct burst_result {
  std::set<std::string> begun;
  std::size_t rejected_starts = 0;
  std::size_t rejected_calls = 0;
  std::int64_t busy_ms = 0;
  std::int64_t last_start_ms = 0;
  int most_calls = 0;
};

std::string JobId(int job) { return "job-" + std::to_string(job); }

// Plays the burst until all steps have begun, at most until `end_ms`.
burst_result Play(const burst& played, std::int64_t end_ms) {
  fleet_fixture fixture(std::vector<queue_options>{
      {.advised = true,
       .advice = {
           .decision = core::milliseconds(played.figures.decision_ms),
           .per_executor = core::milliseconds(played.figures.per_executor_ms),
           .valid = core::milliseconds(played.figures.valid_ms)}}});
  for (int i = 0; i < played.executors; ++i) {
    fixture.AddExecutor(std::to_string(i), kExecutorMillis);
  }
  std::int64_t now_ms = 0;
  simulated_adviser adviser(played.figures, played.issued_at_begin, now_ms);
  logging::event_log log({.descriptor = -1});
  fleet::advice_driver driver(
      adviser.services, fixture.Core(), {},
      {.on_progress = [] {}, .now = [&now_ms] { return At(now_ms); }}, log);
  burst_result result;
  int submitted = 0;
  const auto jobs = static_cast<std::size_t>(played.jobs);
  while (now_ms < end_ms && result.begun.size() < jobs) {
    while (submitted < played.jobs && submitted * played.pause_ms <= now_ms) {
      fixture.Core().Submit(JobOf(JobId(submitted), played.tasks, 100),
                            At(now_ms));
      ++submitted;
    }
    adviser.Run();
    const fleet::orders decided = fixture.Step(now_ms);
    for (const fleet::start_order& start : decided.starts) {
      const bool valid = adviser.Valid(start.permit);
      fixture.Core().OnStartResponse(start,
                                     valid
                                         ? fleet::start_outcome::kAccepted
                                         : fleet::start_outcome::kNotPermitted,
                                     At(now_ms));
      if (!valid) {
        ++result.rejected_starts;
        continue;
      }
      result.begun.insert(start.task.job);
      result.last_start_ms = now_ms;
    }
    driver.Send(decided.advice);
    // Nothing changes between two events, and rounds have a minimum distance.
    std::int64_t next_ms = now_ms + kHoldMs;
    if (submitted < played.jobs) {
      next_ms = std::min(next_ms, submitted * played.pause_ms);
    }
    if (!decided.starts.empty()) next_ms = now_ms;
    now_ms = std::max(now_ms + kRoundMs, adviser.NextResponse(next_ms));
  }
  result.rejected_calls = adviser.rejected;
  result.busy_ms = adviser.busy_ms;
  for (const auto& [job, calls] : adviser.calls_of) {
    result.most_calls = std::max(result.most_calls, calls);
  }
  return result;
}

// Returns the most calls that one step needs: until each executor was named,
// as many in one call as its tickets' validity allows.
std::int64_t CallsNeeded(const burst& played) {
  const adviser_figures& figures = played.figures;
  constexpr std::int64_t kNamed = 30;
  constexpr std::int64_t kMarginsMs = 800;
  const std::int64_t left_ms =
      figures.valid_ms - kMarginsMs - figures.decision_ms;
  std::int64_t named = kNamed;
  if (left_ms > 0 && figures.per_executor_ms > 0) {
    named =
        std::clamp<std::int64_t>(left_ms / figures.per_executor_ms, 1, kNamed);
  }
  return (played.executors + named - 1) / named;
}

}  // namespace

// Guards against tickets that are void when they come because their calls have
// waited for each other (review/9).
TEST_CASE("every step of a burst starts when the adviser has advised on it",
          "[fleet]") {
  const burst played{.figures = {.decision_ms = 150, .per_executor_ms = 1},
                     .executors = 30,
                     .jobs = 40,
                     .pause_ms = 60};
  const burst_result result = Play(played, 20'000);
  CHECK(result.begun.size() == 40);
  CHECK(result.rejected_starts == 0);
  CHECK(result.rejected_calls == 0);
  CHECK(result.most_calls == 1);
  // 40 calls of 180 ms and one round trip.
  constexpr std::int64_t kAllCallsMs = 7200;
  CHECK(result.last_start_ms <= kAllCallsMs + 4 * kLinkMs + 4 * kRoundMs);
}

TEST_CASE("no burst on an advised queue leaves a step without a usable ticket",
          "[fleet]") {
  rc::prop("each step starts once the adviser could have advised on all", [] {
    burst played{
        .figures = {.decision_ms = *rc::gen::inRange<std::int64_t>(1, 2001),
                    .per_executor_ms = *rc::gen::inRange<std::int64_t>(0, 21),
                    .valid_ms = 3000,
                    .permitted_one_in = *rc::gen::inRange<std::size_t>(1, 5)},
        .issued_at_begin = *rc::gen::arbitrary<bool>(),
        .executors =
            *rc::gen::element(1, 4, 30, 31, 100, *rc::gen::inRange(1, 501)),
        .jobs = 1,
        .tasks = *rc::gen::inRange<std::uint32_t>(1, 9),
        .pause_ms = *rc::gen::element<std::int64_t>(0, 0, 60, 500)};
    // A policy that permits no executor lets nobody start.
    RC_PRE(static_cast<std::size_t>(played.executors) >=
           played.figures.permitted_one_in);
    // Keeps the play short.
    constexpr int kMaxCalls = 60;
    const int jobs = *rc::gen::inRange(1, 41);
    played.jobs =
        std::clamp(kMaxCalls / static_cast<int>(CallsNeeded(played)), 1, jobs);
    const std::int64_t call_ms =
        played.figures.decision_ms +
        played.figures.per_executor_ms *
            std::min<std::int64_t>(played.executors, 30);
    constexpr std::int64_t kIdleMs = 2 * kLinkMs + 4 * kRoundMs;
    const std::int64_t end_ms =
        played.jobs * played.pause_ms +
        played.jobs * CallsNeeded(played) * (call_ms + kIdleMs) + kHoldMs;
    const burst_result result = Play(played, end_ms);
    RC_ASSERT(result.begun.size() == static_cast<std::size_t>(played.jobs));
    RC_ASSERT(result.rejected_starts == 0U);
    RC_ASSERT(result.rejected_calls == 0U);
    RC_ASSERT(result.most_calls <= CallsNeeded(played));
  });
}

}  // namespace waxwingfront::tests
