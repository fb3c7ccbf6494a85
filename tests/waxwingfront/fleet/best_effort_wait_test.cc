// Guards against best-effort tasks that wait without end where every executor
// serves, and against starting more of them there than necessary.
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kCapacity = 32'000;
constexpr std::int64_t kServingCpu = 6400;
constexpr std::int64_t kRoundMs = 100;
constexpr std::int64_t kReportMs = 500;
constexpr double kBaseMs = 4.0;
// The platform's limit is 3 s, and a start takes some of it.
constexpr std::int64_t kMaxStandstillMs = 2500;

struct service_options {
  int executors = 7;
  std::int64_t target_ms = 18;
  // Tail latency of the serving tasks from their own load.
  std::int64_t tail_ms = 10;
  // Utilisation that one core of a best-effort task adds.
  double interference = 0.1;
};

// A service each of whose executors runs a serving task. The interference is
// known from an earlier leader.
class serving_fleet {
 public:
  explicit serving_fleet(const service_options& options)
      : options_(options),
        fixture_({{.name = "serve", .priority = 0},
                  {.name = "fill", .priority = 2}}) {
    schema::fleet_sharing known;
    known.add_filling_images("batch");
    schema::fleet_sharing::serving_image& web = *known.add_serving_images();
    web.set_image("web");
    web.set_base_ms(kBaseMs);
    web.add_pressures(options.interference);
    fixture_.Core().RestoreSharing(known);
    for (int i = 0; i < options.executors; ++i) {
      fixture_.AddExecutor(Executor(i), kCapacity);
    }
    schema::fleet_job job =
        JobOf("serving", static_cast<std::uint32_t>(options.executors),
              kServingCpu, "serve");
    schema::fleet_step& step = *job.mutable_steps(0);
    step.set_long_running(true);
    step.set_image("web");
    step.set_target_ms(options.target_ms);
    step.set_max_per_executor(1);
    fixture_.Core().Submit(job, At(0));
    constexpr std::int64_t kSettledMs = 3000;
    RunFor(kSettledMs);
  }

  void SubmitBestEffort(const std::string& id, std::uint32_t tasks,
                        std::int64_t cpu_millis, bool gang = false) {
    schema::fleet_job job = JobOf(id, tasks, cpu_millis, "fill");
    schema::fleet_step& step = *job.mutable_steps(0);
    step.set_fills(true);
    step.set_gang(gang);
    step.set_image("batch");
    fixture_.Core().Submit(job, At(now_));
  }

  void RunFor(std::int64_t duration_ms) {
    for (const std::int64_t end = now_ + duration_ms; now_ < end;) {
      now_ += kRoundMs;
      if (now_ % kReportMs == 0) Report();
      const fleet::orders orders = fixture_.StepAccepted(now_);
      for (const fleet::start_order& start : orders.starts) {
        running_[start.task] = start;
        paces_[start.task] = 100;
      }
      for (const fleet::pace_order& pace : orders.paces) {
        paces_[pace.task] = pace.percent;
      }
    }
  }

  void End(const fleet::task_ref& task) {
    const fleet::start_order start = running_.at(task);
    running_.erase(task);
    ended_[start.executor].push_back({.number = ++end_numbers_[start.executor],
                                      .task = task,
                                      .run = start.run,
                                      .how = fleet::run_end::kDone});
  }

  std::vector<fleet::task_ref> Running(const std::string& job) const {
    std::vector<fleet::task_ref> tasks;
    for (const auto& [task, start] : running_) {
      if (task.job == job) tasks.push_back(task);
    }
    return tasks;
  }

  std::size_t ExecutorsUsedBy(const std::string& job) const {
    std::set<std::string> executors;
    for (const auto& [task, start] : running_) {
      if (task.job == job) executors.insert(start.executor);
    }
    return executors.size();
  }

  int PaceOf(const fleet::task_ref& task) const { return paces_.at(task); }

 private:
  static std::string Executor(int index) { return "e" + std::to_string(index); }

  void Report() {
    for (int i = 0; i < options_.executors; ++i) {
      std::vector<fleet::running_report> rows;
      for (const auto& [task, start] : running_) {
        if (start.executor != Executor(i)) continue;
        const bool serves = task.job == "serving";
        rows.push_back({.task = task,
                        .run = start.run,
                        .checkpoint = "",
                        .percent = serves ? 100 : 0,
                        .reported_load = serves ? options_.tail_ms : 0});
      }
      fixture_.Report(Executor(i), now_, std::move(rows),
                      std::exchange(ended_[Executor(i)], {}));
    }
  }

  service_options options_;
  fleet_fixture fixture_;
  std::int64_t now_ = 0;
  std::map<fleet::task_ref, fleet::start_order> running_;
  std::map<fleet::task_ref, int> paces_;
  std::map<std::string, std::vector<fleet::ended_report>> ended_;
  std::map<std::string, std::uint64_t> end_numbers_;
};

rc::Gen<service_options> AnyService() {
  return rc::gen::map(
      rc::gen::tuple(rc::gen::inRange(1, 9), rc::gen::inRange(5, 60),
                     rc::gen::inRange(5, 60), rc::gen::inRange(0, 50)),
      [](const auto& drawn) {
        const auto [executors, target_ms, tail_ms, percent] = drawn;
        return service_options{.executors = executors,
                               .target_ms = target_ms,
                               .tail_ms = tail_ms,
                               .interference = percent / 100.0};
      });
}

TEST_CASE("best-effort steps do not stand still where every executor serves",
          "[fleet]") {
  rc::prop("whatever the budgets bear, something of each step runs", [] {
    serving_fleet fleet(*AnyService());
    const int jobs = *rc::gen::inRange(1, 9);
    for (int i = 0; i < jobs; ++i) {
      fleet.SubmitBestEffort(
          std::to_string(i),
          static_cast<std::uint32_t>(*rc::gen::inRange(1, 7)),
          *rc::gen::inRange(500, 9000), *rc::gen::arbitrary<bool>());
    }
    fleet.RunFor(kMaxStandstillMs);
    for (int i = 0; i < jobs; ++i) {
      RC_ASSERT(!fleet.Running(std::to_string(i)).empty());
    }
  });
}

TEST_CASE("best-effort tasks beyond the budgets work at the pace these bear",
          "[fleet]") {
  // Of 0.18 up to the target each task would use 0.7 at full pace.
  serving_fleet fleet({});
  fleet.SubmitBestEffort("one", 4, 7000);
  fleet.RunFor(kMaxStandstillMs);
  CHECK(fleet.ExecutorsUsedBy("one") == 4);
  for (const fleet::task_ref& task : fleet.Running("one")) {
    CHECK(fleet.PaceOf(task) <= 25);
    CHECK(fleet.PaceOf(task) > 0);
  }
}

TEST_CASE("a small budget is not rounded down to a standstill", "[fleet]") {
  // Of 0.04 up to the target the task would use 0.8 at full pace.
  serving_fleet fleet({.target_ms = 11});
  fleet.SubmitBestEffort("one", 1, 8000);
  fleet.RunFor(kMaxStandstillMs);
  const std::vector<fleet::task_ref> running = fleet.Running("one");
  REQUIRE(running.size() == 1);
  CHECK(fleet.PaceOf(running[0]) <= 5);
  CHECK(fleet.PaceOf(running[0]) > 0);
}

TEST_CASE("one task of a best-effort step at a time runs without a budget",
          "[fleet]") {
  serving_fleet fleet({.target_ms = 9});
  fleet.SubmitBestEffort("one", 4, 7000);
  fleet.SubmitBestEffort("other", 4, 7000);
  for (int ended = 0; ended < 4; ++ended) {
    fleet.RunFor(2 * kMaxStandstillMs);
    const std::vector<fleet::task_ref> running = fleet.Running("one");
    REQUIRE(running.size() == 1);
    CHECK(fleet.Running("other").size() == 1);
    CHECK(fleet.PaceOf(running[0]) == 0);
    fleet.End(running[0]);
  }
}

}  // namespace
}  // namespace waxwingfront::tests
