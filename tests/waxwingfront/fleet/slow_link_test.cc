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

constexpr std::int64_t kLinkMbps = 10;
constexpr std::int64_t kBytesPerMsAtOneMbps = 125;
// Size of a start beside the payload.
constexpr std::int64_t kStartBytes = 500;
constexpr std::int64_t kStepMs = 20;
// How long the executors take a start after it was sent.
constexpr std::int64_t kStartLeaseMs = 1900;
// The platform counts a long-running task as lost if it has not run again 9 s
// after its last run.
constexpr std::int64_t kMaxStandstillMs = 9'000;

// A leader whose link carries a third of the starts of the short jobs that
// arrive, and nothing else.
class slow_link_leader {
 public:
  explicit slow_link_leader(std::int64_t link_mbps = kLinkMbps)
      : fixture_({{}},
                 {.starts = {.link_mbps = static_cast<double>(link_mbps)}}),
        bytes_per_ms_(link_mbps * kBytesPerMsAtOneMbps) {
    for (int i = 0; i < kExecutors; ++i) {
      executors_.push_back("e" + std::to_string(i));
      fixture_.AddExecutor(executors_.back(), kCapacity);
    }
    schema::fleet_job lasting = JobOf("lasting", 1, 1000);
    lasting.mutable_steps(0)->set_long_running(true);
    fixture_.Core().Submit(lasting, At(0));
  }

  void Play(std::int64_t ms) {
    for (const std::int64_t until = now_ + ms; now_ < until;) Step();
  }

  bool LastingRuns() const { return lasting_.contains("lasting"); }

  // Returns how long the long-running task stands still after a failure.
  std::int64_t StandstillAfterFailure() {
    constexpr std::int64_t kLongestMs = 20'000;
    const fleet::start_order run = lasting_.at("lasting");
    lasting_.clear();
    ended_[run.executor].push_back(
        {.task = run.task, .run = run.run, .how = fleet::run_end::kFailed});
    const std::int64_t failed = now_;
    while (!LastingRuns() && now_ - failed < kLongestMs) Step();
    return now_ - failed;
  }

  std::size_t ShortStarts() const { return short_starts_; }
  std::size_t LateStarts() const { return late_starts_; }

  std::size_t RejectedJobs() const { return rejected_; }
  // Returns how many of the accepted jobs whose useful time is over have ended
  // in it, and how many have not.
  std::pair<std::size_t, std::size_t> UsefulAndUselessJobs() const {
    std::size_t useful = 0;
    std::size_t useless = 0;
    for (const auto& [accepted, started] : tasks_started_) {
      if (now_ - accepted <= kUsefulMs) continue;
      ++(started == kTasksPerJob ? useful : useless);
    }
    return {useful, useless};
  }

 private:
  static constexpr int kExecutors = 20;
  static constexpr std::int64_t kCapacity = 100'000'000;
  static constexpr std::uint32_t kTasksPerJob = 20;
  static constexpr std::size_t kPayload = 3000;
  static constexpr std::int64_t kHoldMs = 500;
  // Latest time after its acceptance for the last start of a short job: three
  // times its objective, less its own duration.
  static constexpr std::int64_t kUsefulMs = 8'000;

  struct sent_start {
    fleet::start_order order;
    std::int64_t sent;
    std::int64_t bytes_left;
  };

  void Step() {
    now_ += kStepMs;
    schema::fleet_job job = JobOf("j" + std::to_string(now_), kTasksPerJob, 1);
    job.set_payload(std::string(kPayload, 'x'));
    if (fixture_.Core().AdmitStarts(job, At(now_))) {
      ++rejected_;
    } else {
      fixture_.Core().Submit(job, At(now_));
      tasks_started_[now_] = 0;
    }
    if (now_ % kHoldMs == 0) Hold();
    Carry();
    const fleet::orders orders = fixture_.Step(now_);
    for (const fleet::start_order& order : orders.starts) {
      const auto payload = static_cast<std::int64_t>(order.payload.size());
      link_.push_back(
          {.order = order, .sent = now_, .bytes_left = payload + kStartBytes});
    }
  }

  // Short runs are done when their executor is held next.
  void Hold() {
    for (const std::string& executor : executors_) {
      std::vector<fleet::running_report> running;
      for (const auto& [job, run] : lasting_) {
        if (run.executor != executor) continue;
        running.push_back({.task = run.task, .run = run.run, .percent = 100});
      }
      std::vector<fleet::ended_report> ended =
          std::exchange(ended_[executor], {});
      for (fleet::ended_report& end : ended) end.number = ++ends_[executor];
      fixture_.Report(executor, now_, std::move(running), std::move(ended));
    }
  }

  void Carry() {
    std::int64_t bytes = kStepMs * bytes_per_ms_;
    while (!link_.empty() && bytes > 0) {
      sent_start& first = link_.front();
      const std::int64_t part = std::min(bytes, first.bytes_left);
      bytes -= part;
      first.bytes_left -= part;
      if (first.bytes_left > 0) return;
      const sent_start arrived = std::move(first);
      link_.pop_front();
      Arrive(arrived);
    }
  }

  void Arrive(const sent_start& start) {
    const bool late = now_ - start.sent > kStartLeaseMs;
    fixture_.Core().OnStartResponse(start.order,
                                    late ? fleet::start_outcome::kDeadlinePassed
                                         : fleet::start_outcome::kAccepted,
                                    At(now_));
    if (late) {
      ++late_starts_;
    } else if (start.order.task.job == "lasting") {
      lasting_["lasting"] = start.order;
    } else {
      ++short_starts_;
      const std::int64_t accepted = std::stoll(start.order.task.job.substr(1));
      if (now_ - accepted <= kUsefulMs) ++tasks_started_[accepted];
      ended_[start.order.executor].push_back({.task = start.order.task,
                                              .run = start.order.run,
                                              .how = fleet::run_end::kDone});
    }
  }

  fleet_fixture fixture_;
  std::int64_t bytes_per_ms_;
  std::int64_t now_ = 0;
  std::vector<std::string> executors_;
  std::deque<sent_start> link_;
  // Long-running tasks at work, by job.
  std::map<std::string, fleet::start_order> lasting_;
  // Ends that the executors report at their next hold, and numbers of the last.
  std::map<std::string, std::vector<fleet::ended_report>> ended_;
  std::map<std::string, std::uint64_t> ends_;
  std::size_t short_starts_ = 0;
  std::size_t late_starts_ = 0;
  std::size_t rejected_ = 0;
  // Tasks of accepted short jobs that started while that was useful, by the
  // time of acceptance.
  std::map<std::int64_t, std::uint32_t> tasks_started_;
};

// Guards against urgent starts that wait for all others on a full link.
TEST_CASE("a full link does not delay the start of an interrupted task",
          "[fleet][overload]") {
  constexpr std::int64_t kOverloadMs = 8'000;
  slow_link_leader leader;
  leader.Play(kOverloadMs);
  REQUIRE(leader.LastingRuns());
  CHECK(leader.StandstillAfterFailure() < kMaxStandstillMs);
}

// Guards against starts that are sent although they arrive too late.
TEST_CASE("a full link carries no starts that arrive after their deadline",
          "[fleet][overload]") {
  constexpr std::int64_t kOverloadMs = 8'000;
  slow_link_leader leader;
  leader.Play(kOverloadMs);
  CHECK(leader.LateStarts() == 0);
  // Half of what the link carries in that time.
  CHECK(leader.ShortStarts() > 1400);
}

// Guards against callers that wait until their jobs are useless.
TEST_CASE("a full link does not make accepted jobs useless",
          "[fleet][overload]") {
  constexpr std::int64_t kOverloadMs = 40'000;
  slow_link_leader leader;
  leader.Play(kOverloadMs);
  const auto [useful, useless] = leader.UsefulAndUselessJobs();
  INFO(useful << " useful, " << useless << " useless, " << leader.RejectedJobs()
              << " rejected");
  // One in ten of those that the link can carry.
  CHECK(useless * 10 <= useful);
  // Two thirds of the jobs cannot be carried.
  CHECK(leader.RejectedJobs() > 800);
  CHECK(useful > 400);
}

// Guards against tasks that wait although executors have room: a search that
// the full link cut off has candidates left.
TEST_CASE("a step that a full link cut off is placed on the other executors",
          "[fleet][overload]") {
  constexpr int kTasks = 40;
  // Fills the link with fewer starts than the step has tasks.
  constexpr std::size_t kLargePayload = 9'500;
  constexpr std::int64_t kPlayMs = 2'000;
  fleet_fixture fixture({{}}, {.starts = {.link_mbps = kLinkMbps}});
  for (int i = 0; i < kTasks; ++i) {
    fixture.AddExecutor("e" + std::to_string(i), 1000);
  }
  schema::fleet_job job = JobOf("j", kTasks, 1000);
  job.set_payload(std::string(kLargePayload, 'x'));
  fixture.Core().Submit(job, At(0));
  std::size_t starts = 0;
  for (std::int64_t now = kStepMs; now <= kPlayMs; now += kStepMs) {
    starts += fixture.StepAccepted(now).starts.size();
  }
  CHECK(starts == kTasks);
}

TEST_CASE("a link with room rejects no jobs", "[fleet][overload]") {
  constexpr std::int64_t kPlayMs = 20'000;
  constexpr std::int64_t kFastMbps = 200;
  slow_link_leader leader(kFastMbps);
  leader.Play(kPlayMs);
  CHECK(leader.RejectedJobs() == 0);
}

}  // namespace
}  // namespace waxwingfront::tests
