#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

constexpr std::int64_t kExecutorCpu = 8000;
// Only one such task fits on an executor.
constexpr std::int64_t kTaskCpu = 6000;
constexpr std::int64_t kDrainsAtMs = 3000;
constexpr std::int64_t kLeavesAtMs = 10'000;
constexpr std::int64_t kStepMs = 100;

struct service_scene {
  int executors = 1;
  int tasks_per_executor = 1;
  // The stops of one executor leave in turn: time that each takes.
  std::int64_t stop_turn_ms = 0;
};

// A service that is full of long-running tasks.
class full_service {
 public:
  explicit full_service(int executors)
      : full_service(service_scene{.executors = executors}) {}
  explicit full_service(const service_scene& scene) : scene_(scene) {
    for (int i = 0; i < scene.executors; ++i) AddExecutor(i);
    for (int i = 0; i < scene.executors * scene.tasks_per_executor; ++i) {
      schema::fleet_job job = JobOf(Job(i), 1, kTaskCpu);
      job.mutable_steps(0)->set_long_running(true);
      fixture_.Core().Submit(job, At(0));
    }
    PlayUntil(kDrainsAtMs);
  }

  static std::string Job(int index) { return "job" + std::to_string(index); }
  static std::string Executor(int index) { return "e" + std::to_string(index); }

  void AddExecutor(int index) {
    const std::int64_t cpu =
        kExecutorCpu + (scene_.tasks_per_executor - 1) * kTaskCpu;
    fixture_.AddExecutor(Executor(index), cpu, now_ms_);
  }

  // The executor reports that it drains and leaves at `leaves_at_ms`.
  void Drain(const std::string& executor, std::int64_t leaves_at_ms,
             bool other_incarnation = false) {
    fleet::executor_info info = fixture_.Core().FindExecutor(executor)->info;
    info.draining = true;
    info.leaves_at_ms = leaves_at_ms;
    if (other_incarnation) ++info.born_ms;
    fixture_.Core().SetExecutor(info);
  }

  // All executors respond to holds, and orders are carried out at once.
  void PlayUntil(std::int64_t until_ms) {
    for (; now_ms_ < until_ms; now_ms_ += kStepMs) {
      for (const auto& [id, runs] : std::map(running_)) Report(id);
      const fleet::orders orders = fixture_.StepAccepted(now_ms_);
      for (const fleet::stop_order& stop : orders.stops) {
        lines_[stop.executor].waiting.push_back({stop, now_ms_});
      }
      for (const fleet::start_order& start : orders.starts) {
        running_[start.executor].push_back({.task = start.task,
                                            .run = start.run,
                                            .checkpoint = {},
                                            .percent = 100});
        started_at_[start.task.job] = now_ms_;
      }
      for (auto& [id, line] : lines_) Serve(line);
    }
  }

  void Cancel(const std::string& job) {
    fixture_.Core().Cancel(job, At(now_ms_));
  }

  // Returns the executor of the job's task, or nothing if it doesn't run.
  std::string ExecutorOf(const std::string& job) const {
    for (const auto& [id, runs] : running_) {
      for (const fleet::running_report& run : runs) {
        if (run.task.job == job) return id;
      }
    }
    return {};
  }
  // Returns how long the job's task stood still before its latest run, or up to
  // now.
  std::int64_t StoodStill(const std::string& job) const {
    const auto stopped = stopped_at_.find(job);
    if (stopped == stopped_at_.end()) return 0;
    const std::int64_t started = started_at_.at(job);
    return (started > stopped->second ? started : now_ms_) - stopped->second;
  }
  bool Moved(const std::string& job) const { return stopped_at_.contains(job); }
  // Returns the number of runs on the executor whose end the leader has not
  // seen.
  std::size_t OpenRuns(const std::string& executor) {
    return fixture_.Core().FindExecutor(executor)->active.size();
  }

 private:
  struct waiting_stop {
    fleet::stop_order order;
    std::int64_t ordered_ms;
  };
  struct stop_line {
    std::deque<waiting_stop> waiting;
    std::int64_t last_done_ms = 0;
  };

  void Serve(stop_line& line) {
    while (!line.waiting.empty()) {
      const waiting_stop next = line.waiting.front();
      const std::int64_t done_ms =
          std::max(line.last_done_ms, next.ordered_ms) + scene_.stop_turn_ms;
      if (done_ms > now_ms_) return;
      line.last_done_ms = done_ms;
      line.waiting.pop_front();
      Stop(next.order);
      fixture_.Core().Runs().OnStopResponse(next.order, true, At(now_ms_));
    }
  }

  void Report(const std::string& id) {
    fixture_.Report(id, now_ms_, running_[id], ended_[id]);
  }

  void Stop(const fleet::stop_order& stop) {
    std::vector<fleet::running_report>& runs = running_[stop.executor];
    const auto found =
        std::ranges::find(runs, stop.task, &fleet::running_report::task);
    if (found == runs.end()) return;
    runs.erase(found);
    ended_[stop.executor].push_back({.number = ended_[stop.executor].size() + 1,
                                     .task = stop.task,
                                     .run = stop.run,
                                     .how = fleet::run_end::kStopped});
    stopped_at_[stop.task.job] = now_ms_;
  }

  service_scene scene_;
  fleet_fixture fixture_;
  std::int64_t now_ms_ = kStepMs;
  std::map<std::string, stop_line> lines_;
  std::map<std::string, std::vector<fleet::running_report>> running_;
  std::map<std::string, std::vector<fleet::ended_report>> ended_;
  std::map<std::string, std::int64_t> started_at_;
  std::map<std::string, std::int64_t> stopped_at_;
};

// Guards against long-running tasks that stand still although their executor
// would have served them for seconds more.
TEST_CASE("a task on a draining executor runs on until another has room",
          "[fleet]") {
  full_service service(2);
  const std::string job = full_service::Job(0);
  service.Drain(service.ExecutorOf(job), kLeavesAtMs);
  service.PlayUntil(6000);
  CHECK_FALSE(service.Moved(job));
  service.Cancel(full_service::Job(1));
  service.PlayUntil(8000);
  CHECK(service.Moved(job));
  constexpr std::int64_t kMaxMoveMs = 1000;
  CHECK(service.StoodStill(job) <= kMaxMoveMs);
  CHECK_FALSE(service.ExecutorOf(job).empty());
}

// Guards against runs whose end is not known until their lease has lapsed.
TEST_CASE("a task without another place is stopped before its executor leaves",
          "[fleet]") {
  full_service service(2);
  const std::string job = full_service::Job(0);
  service.Drain(service.ExecutorOf(job), kLeavesAtMs);
  service.PlayUntil(kLeavesAtMs - 2000);
  CHECK_FALSE(service.Moved(job));
  service.PlayUntil(kLeavesAtMs - 1000);
  CHECK(service.Moved(job));
}

// Guards against ends that are known only when the lease has lapsed because
// the last stops leave when their executor has left.
TEST_CASE("stops that take longer the more there are begin earlier",
          "[fleet]") {
  constexpr int kTasks = 8;
  full_service service(service_scene{
      .executors = 2, .tasks_per_executor = kTasks, .stop_turn_ms = 400});
  service.AddExecutor(2);
  service.Drain(full_service::Executor(0), 2 * kLeavesAtMs);
  service.PlayUntil(kLeavesAtMs);
  REQUIRE(service.OpenRuns(full_service::Executor(0)) == 0);
  constexpr std::int64_t kNextLeavesAtMs = 2 * kLeavesAtMs;
  service.Drain(full_service::Executor(1), kNextLeavesAtMs);
  service.PlayUntil(kNextLeavesAtMs - 6000);
  CHECK(service.OpenRuns(full_service::Executor(1)) == kTasks);
  service.PlayUntil(kNextLeavesAtMs);
  CHECK(service.OpenRuns(full_service::Executor(1)) == 0);
}

// Guards against stops of all runs on an executor whose clock and time to leave
// are not known yet.
TEST_CASE("the entry of another incarnation stops no run", "[fleet]") {
  full_service service(2);
  const std::string job = full_service::Job(0);
  const std::string executor = service.ExecutorOf(job);
  constexpr bool kOtherIncarnation = true;
  service.Drain(executor, 3 * kLeavesAtMs, kOtherIncarnation);
  service.PlayUntil(6000);
  CHECK_FALSE(service.Moved(job));
}

TEST_CASE("tasks of the executor that leaves first move first", "[fleet]") {
  full_service service(3);
  const std::string later = full_service::Job(0);
  const std::string first = full_service::Job(1);
  service.Drain(service.ExecutorOf(later), 2 * kLeavesAtMs);
  service.Drain(service.ExecutorOf(first), kLeavesAtMs);
  service.PlayUntil(5000);
  service.Cancel(full_service::Job(2));
  service.PlayUntil(7000);
  CHECK(service.Moved(first));
  CHECK_FALSE(service.Moved(later));
}

TEST_CASE("only as many tasks of a step move as have a place", "[fleet]") {
  fleet_fixture fixture;
  fixture.AddExecutor("old", 4 * kTaskCpu);
  schema::fleet_job job = JobOf("wide", 4, kTaskCpu);
  job.mutable_steps(0)->set_long_running(true);
  fixture.Core().Submit(job, At(0));
  fixture.Step(100);
  REQUIRE(fixture.StepAccepted(2000).starts.size() == 4);
  fixture.AddExecutor("new", 3 * kTaskCpu, 2100);
  fleet::executor_info leaving = fixture.Core().FindExecutor("old")->info;
  leaving.draining = true;
  leaving.leaves_at_ms = kLeavesAtMs;
  fixture.Core().SetExecutor(leaving);
  std::size_t stops = 0;
  for (std::int64_t now = 2200; now < 4000; now += kStepMs) {
    fixture.RecordLeases(now);
    stops += fixture.Step(now).stops.size();
  }
  CHECK(stops == 3);
}

}  // namespace
}  // namespace waxwingfront::tests
