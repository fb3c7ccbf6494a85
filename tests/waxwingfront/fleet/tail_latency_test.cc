// Guards against best-effort tasks that keep serving tasks at or above their
// latency target.
#include "waxwingfront/fleet/tail_latency.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCapacity = 32'000;
constexpr std::int64_t kTargetMs = 18;
constexpr std::int64_t kFarAboveTargetMs = 60;
constexpr std::int64_t kFarBelowTargetMs = 8;
constexpr std::int64_t kReportMs = 500;
constexpr int kFullPace = 100;

// One serving task, and best-effort tasks whose interference is too small to
// slow down each of them.
class shared_executor {
 public:
  shared_executor()
      : fixture_({{.name = "serve", .priority = 0},
                  {.name = "fill", .priority = 2}}) {
    fixture_.AddExecutor("e", kCapacity);
    schema::fleet_job serving = JobOf("serving", 1, 6000, "serve");
    serving.mutable_steps(0)->set_image("s");
    serving.mutable_steps(0)->set_long_running(true);
    serving.mutable_steps(0)->set_target_ms(kTargetMs);
    fixture_.Core().Submit(serving, At(now_));
    Report(0);
    Submit("first");
    Report(kFarBelowTargetMs);
  }

  void Submit(const std::string& id) {
    schema::fleet_job job = JobOf(id, 4, 500, "fill");
    job.mutable_steps(0)->set_image("f");
    job.mutable_steps(0)->set_fills(true);
    job.mutable_steps(0)->set_checkpointing(true);
    fixture_.Core().Submit(job, At(now_));
  }

  // Reports the tail latency of the serving task and carries out the orders
  // that follow.
  void Report(std::int64_t tail_ms) {
    now_ += kReportMs;
    std::vector<fleet::running_report> rows;
    for (const fleet::start_order& task : running_) {
      const bool serves = task.task.job == "serving";
      rows.push_back({.task = task.task,
                      .run = task.run,
                      .checkpoint = {},
                      .percent = 100,
                      .reported_load = serves ? tail_ms : 500});
    }
    fixture_.Report("e", now_, std::move(rows));
    const fleet::orders decided = fixture_.StepAccepted(now_);
    for (const fleet::start_order& start : decided.starts) {
      running_.push_back(start);
      if (start.task.job != "serving")
        paces_.push_back({start.task, kFullPace});
    }
    for (const fleet::pace_order& order : decided.paces) {
      std::ranges::find(paces_, order.task, &pace::task)->percent =
          order.percent;
    }
  }

  void ReportFor(std::int64_t duration_ms, std::int64_t tail_ms) {
    for (std::int64_t i = 0; i < duration_ms; i += kReportMs) Report(tail_ms);
  }

  std::size_t BestEffortTasks() const { return paces_.size(); }
  bool AllAtPace(int percent) const {
    return std::ranges::all_of(
        paces_, [percent](const pace& one) { return one.percent == percent; });
  }

 private:
  struct pace {
    fleet::task_ref task;
    int percent = 0;
  };

  fleet_fixture fixture_;
  std::int64_t now_ = 0;
  std::vector<fleet::start_order> running_;
  std::vector<pace> paces_;
};

TEST_CASE("best-effort tasks do not hold a tail latency at its target",
          "[fleet]") {
  shared_executor executor;
  REQUIRE(executor.BestEffortTasks() == 4);
  REQUIRE(executor.AllAtPace(kFullPace));
  executor.ReportFor(2500, kTargetMs);
  CHECK(executor.AllAtPace(0));
}

TEST_CASE("best-effort tasks stay stopped until tail latencies have recovered",
          "[fleet]") {
  shared_executor executor;
  REQUIRE(executor.BestEffortTasks() == 4);
  executor.ReportFor(2500, kFarAboveTargetMs);
  REQUIRE(executor.AllAtPace(0));
  executor.Report(kTargetMs);
  CHECK(executor.AllAtPace(0));
  executor.Report(kTargetMs - 1);
  CHECK(executor.AllAtPace(0));
  executor.Report(kFarBelowTargetMs);
  CHECK(executor.AllAtPace(kFullPace));
}

TEST_CASE("best-effort tasks are resumed beside tasks whose own load is high",
          "[fleet]") {
  shared_executor executor;
  executor.ReportFor(2500, kFarAboveTargetMs);
  REQUIRE(executor.AllAtPace(0));
  executor.ReportFor(5000, kTargetMs - 1);
  CHECK_FALSE(executor.AllAtPace(0));
}

TEST_CASE("no best-effort task is started beside others that are stopped",
          "[fleet]") {
  shared_executor executor;
  executor.ReportFor(2500, kFarAboveTargetMs);
  REQUIRE(executor.AllAtPace(0));
  executor.Submit("second");
  executor.Report(kFarAboveTargetMs);
  CHECK(executor.BestEffortTasks() == 4);
  executor.ReportFor(1000, kFarBelowTargetMs);
  CHECK(executor.BestEffortTasks() == 8);
}

}  // namespace
}  // namespace waxwingfront::tests
