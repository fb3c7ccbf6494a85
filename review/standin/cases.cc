// Plays one case of the review: `small_site CASE TROUBLE RECORD`. Exits with 1
// if the rule was broken, 0 if it held, and 2 if the case could not run. If
// TROUBLE is 0, the disruption is left out.
#include <cstdlib>
#include <iostream>
#include <map>
#include <string>
#include <thread>

#include "deployment.h"

namespace waxwingfront::review {
namespace {

constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// From an executor's restart until its first status report, in
// `RouteAfterRestart`.
constexpr milliseconds kFirstReport{100};

void Wait(int ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// False if the disruption is left out.
bool trouble = true;

bool Trouble() { return trouble; }

// Waits until the task has begun `count` times; false after `limit_ms`.
bool AwaitBegun(const record& log, const std::string& task, int count,
                int limit_ms) {
  constexpr int kStepMs = 10;
  for (int waited = 0; waited < limit_ms; waited += kStepMs) {
    if (log.Count("begun", task) >= count) return true;
    Wait(kStepMs);
  }
  return false;
}

route Kept() {
  return {.name = "r-kept",
          .host = "kept.example",
          .prefix = "/kept/",
          .service = "serve1"};
}

// A queue's route is removed while one of its jobs fails again and again.
int BudgetAfterRouteRemoved(record& log) {
  route queue{.name = "r-going",
              .host = "going.example",
              .prefix = "/going/",
              .service = "serve1",
              .max_attempts = 3};
  deployment& site =
      deployment::Start(log, {.executors = {{.id = "i-1", .service = "serve1"},
                                            {.id = "i-2", .service = "serve1"},
                                            {.id = "i-3", .service = "serve1"},
                                            {.id = "i-4", .service = "serve1"}},
                              .routes = {Kept(), queue}});
  const std::string id = "5c0e7a21d94b36f8";
  const std::string task = id + ".0.0.0";
  if (!site.Submit(queue, id,
                   R"({"spec":"ms=800 end=failed","steps":[{"count":1,)"
                   R"("cpu":1000,"memory_request_mb":256,)"
                   R"("estimated_ms":800}]})") ||
      !AwaitBegun(log, task, 1, 5000)) {
    return kNotRun;
  }
  if (Trouble()) site.Configure({Kept()});
  Wait(30'000);
  int failed = 0;
  int late = 0;
  for (const run_event& event :
       log.Runs([&](const run_event& one) { return one.task == task; })) {
    if (event.what == "begun" && failed >= queue.max_attempts) ++late;
    if (event.what == "failed") ++failed;
  }
  log.Write(std::to_string(late) + " starts after " +
            std::to_string(queue.max_attempts) + " failed runs; " +
            std::to_string(log.Count("seen", task)) + " ends taken note of");
  if (!Trouble()) site.Ask(queue, id);
  return late > 0 && log.Count("seen", task) >= queue.max_attempts ? kBroken
                                                                   : kHeld;
}

// The route of a queue with an adviser is removed between two steps of a job.
int LostAfterRouteRemoved(record& log) {
  route queue{.name = "r-going",
              .host = "going.example",
              .prefix = "/going/",
              .service = "serve2",
              .advised = true};
  const auto advised = [](const std::string& id) {
    return executor_options{
        .id = id, .service = "serve2", .needs_ticket = true};
  };
  deployment& site =
      deployment::Start(log, {.executors = {{.id = "i-1", .service = "serve1"},
                                            advised("i-2"),
                                            advised("i-3"),
                                            advised("i-4"),
                                            advised("i-5")},
                              .routes = {Kept(), queue}});
  const std::string id = "5c0e7a21d94b36f8";
  if (!site.Submit(queue, id,
                   R"({"spec":"ms=1500 end=done","steps":[{"count":2,)"
                   R"("cpu":1000,"memory_request_mb":256,)"
                   R"("estimated_ms":1500},{"count":2,"cpu":1000,)"
                   R"("memory_request_mb":256,"estimated_ms":1500,)"
                   R"("after":[0]}]})") ||
      !AwaitBegun(log, id + ".0.0.", 2, 5000)) {
    return kNotRun;
  }
  if (Trouble()) site.Configure({Kept()});
  constexpr int kFinishMs = 14'000;
  Wait(kFinishMs + 3000);
  const int done = log.Count("done", id);
  const int begun = log.Count("begun", id + ".0.1.");
  log.Write("tasks done: " + std::to_string(done) +
            " of 4; starts of the second step: " + std::to_string(begun) +
            "; starts rejected: " + std::to_string(log.Count("refused", id)));
  if (!Trouble()) site.Ask(queue, id);
  return done == 2 && begun == 0 ? kBroken : kHeld;
}

// The rack that holds a job's data is lost for good.
int LostWithRack(record& log) {
  const route queue{.name = "r-near",
                    .host = "near.example",
                    .prefix = "/near/",
                    .service = "serve1"};
  const auto in_rack = [](const std::string& id, const std::string& rack) {
    return executor_options{.id = id, .service = "serve1", .rack = rack};
  };
  deployment& site = deployment::Start(
      log, {.executors = {in_rack("i-1", "r1"), in_rack("i-2", "r1"),
                          in_rack("i-3", "r2"), in_rack("i-4", "r2"),
                          in_rack("i-5", "r3"), in_rack("i-6", "r3")},
            .routes = {queue}});
  Wait(2000);
  const std::string id = "5c0e7a21d94b36f8";
  if (!site.Submit(queue, id,
                   R"({"spec":"ms=90000 end=done","steps":[{"count":2,)"
                   R"("cpu":4000,"memory_request_mb":256,)"
                   R"("estimated_ms":90000,"affinity":"r1"}]})") ||
      !AwaitBegun(log, id, 2, 5000)) {
    return kNotRun;
  }
  Wait(1000);
  if (Trouble()) {
    log.Write("the executors of rack r1 are lost for good");
    site.Executor("i-1").Crash();
    site.Executor("i-2").Crash();
  }
  // The traffic has ended; the job is asked for `finish_s` later.
  constexpr int kFinishMs = 14'000;
  constexpr int kIdleMs = 3000;
  Wait(kFinishMs);
  const auto running = [&log, &id] {
    return log.Count("begun", id) - log.Count("gone", id) -
           log.Count("lapsed", id) - log.Count("done", id);
  };
  bool idle = true;
  for (int waited = 0; waited < kIdleMs; waited += 100) {
    idle = idle && running() == 0;
    Wait(100);
  }
  const std::string state = site.Ask(queue, id);
  log.Write("at " + std::to_string(kFinishMs / 1000) +
            " s after the end of the traffic the job has " +
            std::to_string(running()) + " tasks running; answer: " + state);
  // How long the job goes on waiting.
  if (idle) {
    const bool begun = AwaitBegun(log, id, 3, 60'000);
    log.Write(begun ? "the job runs again" : "the job still does not run");
  }
  return idle ? kBroken : kHeld;
}

// An executor crashes and starts again under its id as another kind.
int RouteAfterRestart(record& log) {
  const route queue{.name = "r-labels",
                    .host = "labels.example",
                    .prefix = "/labels/",
                    .service = "serve1"};
  const auto of_kind = [](const std::string& id, const std::string& kind) {
    return executor_options{.id = id,
                            .service = "serve1",
                            .kind = kind,
                            .first_report = kFirstReport};
  };
  deployment& site = deployment::Start(
      log, {.executors = {of_kind("i-1", "a"), of_kind("i-2", "a"),
                          of_kind("i-3", "b")},
            .routes = {queue}});
  Wait(2000);
  std::thread([&] {
    constexpr int kJobs = 60;
    constexpr int kPauseMs = 150;
    for (int i = 0; i < kJobs; ++i) {
      const std::string number = std::to_string(1000 + i);
      site.Submit(queue, "5c0e7a21d94b" + number,
                  R"({"spec":"ms=300 end=done","steps":[{"count":4,)"
                  R"("cpu":8000,"memory_request_mb":256,)"
                  R"("estimated_ms":300,"requirements":"a"}]})");
      Wait(kPauseMs);
    }
  }).detach();
  Wait(2000);
  if (Trouble()) {
    log.Write("i-2 crashes");
    site.Executor("i-2").Crash();
    Wait(2500);
    log.Write("i-2 starts again as kind b");
    site.Executor("i-2").Restart("b");
  }
  Wait(10000);
  const auto wrong = log.Runs([](const run_event& event) {
    return event.what == "begun" && event.kind != "a";
  });
  log.Write(std::to_string(wrong.size()) +
            " starts on an executor without the label");
  return wrong.empty() ? kHeld : kBroken;
}

}  // namespace

int Play(const std::string& name, bool with_trouble, record& log) {
  trouble = with_trouble;
  const std::map<std::string, int (*)(record&)> cases = {
      {"budget-after-route-removed", BudgetAfterRouteRemoved},
      {"lost-after-route-removed", LostAfterRouteRemoved},
      {"lost-with-rack", LostWithRack},
      {"route-after-restart", RouteAfterRestart}};
  const auto found = cases.find(name);
  return found == cases.end() ? kNotRun : found->second(log);
}

}  // namespace waxwingfront::review

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  // Not destroyed, see `deployment`.
  auto& log = *new waxwingfront::review::record(argv[3]);
  const int outcome =
      waxwingfront::review::Play(argv[1], std::string(argv[2]) != "0", log);
  waxwingfront::review::deployment::Stop();
  log.Write(outcome == 1   ? "the rule was broken"
            : outcome == 0 ? "the rule held"
                           : "the case could not run");
  std::cout << argv[1] << ": exit " << outcome << std::endl;
  std::_Exit(outcome);
}
