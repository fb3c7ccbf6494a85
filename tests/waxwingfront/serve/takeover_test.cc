// Batch work while processes die, freeze and lose contact with the store. The
// workers' journals record where and when each attempt ran, on one machine's
// monotonic clock: no task may run on two workers at once, and each must finish
// once.
#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "support/journal.h"
#include "support/process_site.h"
#include "waxwingfront/core/json.h"
#include "waxwingfront/schema/gen/shard_log.pb.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::tests {
namespace {

std::string JobJson(int tasks, int run_ms) {
  return R"({"id": "orders", "customer": "jihlava", "batch_class": "orders",
    "task_size": {"processor_milli": 1000, "memory_mib": 100}, "task_count": )" +
         std::to_string(tasks) + R"(, "command": "sleep:)" +
         std::to_string(run_ms) + R"("})";
}

// Waits until the journals show `count` attempts.
bool AwaitStarts(const process_site& site, std::size_t count) {
  return AwaitCondition([&site, count] {
    return RunsOf("orders", site.Journals()).size() >= count;
  });
}

schema::job_status StatusOf(const process_site& site, int entry) {
  schema::job_status status;
  const auto reply =
      site.Call(site.EntryAddress(entry), "GET", "/v1/jobs/orders");
  REQUIRE(reply.has_value());
  REQUIRE(core::FromJson(reply->body, core::unknown_fields::kIgnore, status)
              .has_value());
  return status;
}

int OtherEntry(int entry) { return entry == 0 ? 1 : 0; }

// Waits until the job is reported finished, then checks the journals.
void RequireEachTaskFinishedOnce(const process_site& site, int entry,
                                 int tasks) {
  REQUIRE(site.AwaitState(entry, "orders", schema::JOB_STATE_FINISHED));
  CHECK(FindFaults(RunsOf("orders", site.Journals()), tasks).empty());
  CHECK(StatusOf(site, entry).tasks_finished() == tasks);
}

void Sleep(int ms) { std::this_thread::sleep_for(core::milliseconds(ms)); }

// Guards against a new owner that starts running tasks a second time.
TEST_CASE("a job survives the death of its owner", "[process][takeover]") {
  constexpr int kTasks = 12;
  process_site site({.entries = 2, .workers = 2, .executors = 0});
  REQUIRE(site.AwaitReady());
  REQUIRE(site.AwaitAccepted(0, JobJson(kTasks, 2500)));
  REQUIRE(AwaitStarts(site, 8));
  const int owner = site.AwaitOwner();
  site.Entry(owner).Signal(SIGKILL);
  RequireEachTaskFinishedOnce(site, OtherEntry(owner), kTasks);
}

// Guards against a new owner that binds a task elsewhere while a worker that it
// cannot reach still runs it.
TEST_CASE("a job survives the loss of its owner and of a worker at once",
          "[process][takeover]") {
  constexpr int kTasks = 8;
  constexpr int kTaskLeaseMs = 4000;
  process_site site(
      {.entries = 2,
       .workers = 3,
       .executors = 0,
       .more_settings =
           "[batch]\nentry_lease_s = 1\ngrace_ms = 1000\nticket_ms = 600\n"
           "task_lease_ms = 4000\nsync_ms = 100\nappends_per_s = 50\n"
           "append_burst = 50\n",
       .task_lease_ms = kTaskLeaseMs});
  REQUIRE(site.AwaitReady());
  // Longer than the task lease, so that no attempt ends unreported.
  REQUIRE(site.AwaitAccepted(0, JobJson(kTasks, kTaskLeaseMs + 1000)));
  REQUIRE(AwaitStarts(site, kTasks));
  int lost = 0;
  while (RunsOf("orders", {site.Journal(site.WorkerAddress(lost))}).empty())
    ++lost;
  const int owner = site.AwaitOwner();
  site.Entry(owner).Signal(SIGKILL);
  const std::string address = site.WorkerAddress(lost);
  site.ChangeHosts([lost](schema::host_list& hosts) {
    hosts.mutable_workers(lost)->set_address(FreeAddress());
  });
  REQUIRE(
      site.AwaitState(OtherEntry(owner), "orders", schema::JOB_STATE_FINISHED));
  site.ChangeHosts([lost, &address](schema::host_list& hosts) {
    hosts.mutable_workers(lost)->set_address(address);
  });
  RequireEachTaskFinishedOnce(site, OtherEntry(owner), kTasks);
}

// Guards against acknowledged work that is held only in the entries' memory.
TEST_CASE("a job survives the death of all entries", "[process][takeover]") {
  constexpr int kTasks = 12;
  process_site site({.entries = 2, .workers = 2, .executors = 0});
  REQUIRE(site.AwaitReady());
  REQUIRE(site.AwaitAccepted(0, JobJson(kTasks, 2500)));
  SECTION("right after it is accepted") {}
  SECTION("while its tasks run") { REQUIRE(AwaitStarts(site, 8)); }
  for (int entry : {0, 1}) site.Entry(entry).Signal(SIGKILL);
  for (int entry : {0, 1}) site.RestartEntry(entry);
  RequireEachTaskFinishedOnce(site, 0, kTasks);
}

// Guards against messages of a frozen owner that take effect after the tasks
// were bound elsewhere: the frozen worker's socket buffers hold the owner's
// start commands.
TEST_CASE("commands of a frozen owner have no effect when they arrive late",
          "[process][takeover]") {
  constexpr int kTasks = 8;
  process_site site({.entries = 2, .workers = 2, .executors = 0});
  REQUIRE(site.AwaitReady());
  const int owner = site.AwaitOwner();
  const int other = OtherEntry(owner);
  // Lets the owner contact both workers.
  REQUIRE(site.AwaitAccepted(other, R"({"id": "first", "customer": "jihlava",
        "batch_class": "orders", "command": "sleep:1", "task_count": 8,
        "task_size": {"processor_milli": 1000, "memory_mib": 100}})"));
  REQUIRE(site.AwaitState(other, "first", schema::JOB_STATE_FINISHED));
  site.Worker(0).Signal(SIGSTOP);
  REQUIRE(site.AwaitAccepted(other, JobJson(kTasks, 2500)));
  Sleep(100);
  site.Entry(owner).Signal(SIGSTOP);
  // The owner's lease (1 s) expires, and then the time that the next owner
  // waits before it rebinds the frozen worker's tasks: grace + ticket + task
  // lease (G + T + TL) plus 5 % (3.3 s).
  REQUIRE(AwaitCondition([&site] {
    const auto runs = RunsOf("orders", {site.Journal(site.WorkerAddress(1))});
    return std::any_of(runs.begin(), runs.end(),
                       [](const attempt_run& run) { return run.attempt > 1; });
  }));
  site.Worker(0).Signal(SIGCONT);
  site.Entry(owner).Signal(SIGCONT);
  RequireEachTaskFinishedOnce(site, other, kTasks);
}

// Guards against a resumed owner that continues although it lost its shard.
TEST_CASE("an owner frozen past lease and grace does no harm when it resumes",
          "[process][takeover]") {
  constexpr int kTasks = 40;
  process_site site({.entries = 2, .workers = 2, .executors = 0});
  REQUIRE(site.AwaitReady());
  REQUIRE(site.AwaitAccepted(0, JobJson(kTasks, 700)));
  REQUIRE(AwaitStarts(site, 8));
  const int owner = site.AwaitOwner();
  site.Entry(owner).Signal(SIGSTOP);
  // Lease 1 s, grace 1 s.
  Sleep(2500);
  site.Entry(owner).Signal(SIGCONT);
  RequireEachTaskFinishedOnce(site, OtherEntry(owner), kTasks);
  CHECK(site.AwaitState(owner, "orders", schema::JOB_STATE_FINISHED));
  // The log is complete: restarted entries read the same state from it.
  for (int entry : {0, 1}) site.Entry(entry).Signal(SIGKILL);
  for (int entry : {0, 1}) site.RestartEntry(entry);
  CHECK(site.AwaitState(owner, "orders", schema::JOB_STATE_FINISHED));
}

// Guards against attempts that start before their binding is in the log, and
// against a job that does not continue after an outage.
TEST_CASE("a job survives a store outage during its placement",
          "[process][takeover]") {
  constexpr int kTasks = 40;
  process_site site({.entries = 2, .workers = 2, .executors = 0});
  REQUIRE(site.AwaitReady());
  REQUIRE(site.AwaitAccepted(0, JobJson(kTasks, 300)));
  REQUIRE(AwaitStarts(site, 12));
  SECTION("in which the store hangs") {
    site.Store().Signal(SIGSTOP);
    Sleep(4000);
    site.Store().Signal(SIGCONT);
  }
  site.SetStoreFaults(R"({"down": true})");
  SECTION("shorter than lease and grace") { Sleep(800); }
  SECTION("longer than lease, grace and task lease") { Sleep(5000); }
  SECTION("in which the owner dies") {
    const int owner = site.AwaitOwner();
    Sleep(300);
    site.Entry(owner).Signal(SIGKILL);
    site.RestartEntry(owner);
    Sleep(300);
  }
  site.SetStoreFaults("{}");
  RequireEachTaskFinishedOnce(site, 0, kTasks);
}

// Guards against records that are written twice, or abandoned, because the
// response to their write was lost.
TEST_CASE("a job survives lost responses of the store", "[process][takeover]") {
  constexpr int kTasks = 40;
  process_site site({.entries = 2, .workers = 2, .executors = 0});
  REQUIRE(site.AwaitReady());
  REQUIRE(site.AwaitAccepted(0, JobJson(kTasks, 200)));
  for (std::size_t starts = 8; starts <= 32; starts += 8) {
    REQUIRE(AwaitStarts(site, starts));
    site.SetStoreFaults(R"({"lose_write_answers": 4})");
  }
  RequireEachTaskFinishedOnce(site, 0, kTasks);
}

// Guards against a restart that interrupts batch work: a clean handover keeps
// every attempt running.
TEST_CASE("a job survives a rolling restart of all entries",
          "[process][takeover]") {
  constexpr int kTasks = 120;
  process_site site(
      {.entries = 3,
       .workers = 2,
       .executors = 0,
       .more_settings = QuickBatchSettings() + "[front]\nunready_ms = 1500\n"});
  REQUIRE(site.AwaitReady());
  REQUIRE(site.AwaitAccepted(0, JobJson(kTasks, 500)));
  REQUIRE(AwaitStarts(site, 8));
  for (int entry : {0, 1, 2}) {
    site.Entry(entry).Signal(SIGTERM);
    CHECK(site.Entry(entry).Wait() == 0);
    site.RestartEntry(entry);
    REQUIRE(site.AwaitReady(entry));
  }
  RequireEachTaskFinishedOnce(site, 0, kTasks);
  const schema::job_status status = StatusOf(site, 0);
  CHECK(status.attempts_lost() == 0);
  CHECK(status.attempts_evicted() == 0);
}

// Guards against an entry whose lease expires while it drains: the next owner
// would then have to wait for the grace period.
TEST_CASE("an entry that drains for longer than its lease hands over cleanly",
          "[process][takeover]") {
  process_site site(
      {.entries = 2,
       .workers = 1,
       .executors = 0,
       .more_settings = QuickBatchSettings() + "[front]\nunready_ms = 2500\n"});
  REQUIRE(site.AwaitReady());
  const int owner = site.AwaitOwner();
  site.Entry(owner).Signal(SIGTERM);
  site.Entry(owner).Wait();
  net::http_client http({.address = site.StoreAddress()});
  const store::store_client client(
      {.post = [&http](std::string_view path, std::string_view body) {
        return http.Send("POST", path, body);
      }});
  const auto records = client.List("shards/local/0/log/");
  REQUIRE(records.has_value());
  schema::log_record second;
  REQUIRE(records->size() >= 2);
  REQUIRE(second.ParseFromString((*records)[1].value));
  CHECK(second.decisions(0).has_resigned());
}

// Guards against tasks that stay bound to a dead worker.
TEST_CASE("a job survives the death of a worker", "[process][takeover]") {
  constexpr int kTasks = 8;
  process_site site({.entries = 2, .workers = 2, .executors = 0});
  REQUIRE(site.AwaitReady());
  REQUIRE(site.AwaitAccepted(0, JobJson(kTasks, 2500)));
  REQUIRE(AwaitStarts(site, kTasks));
  std::vector<attempt_run> former =
      RunsOf("orders", {site.Journal(site.WorkerAddress(0))});
  REQUIRE_FALSE(former.empty());
  site.Worker(0).Signal(SIGKILL);
  site.Worker(0).Wait();
  const auto died_ms = std::chrono::duration_cast<core::milliseconds>(
                           core::Now().time_since_epoch())
                           .count();
  SECTION("that does not come back") {}
  SECTION("that comes back without memory") { site.RestartWorker(0); }
  REQUIRE(site.AwaitState(0, "orders", schema::JOB_STATE_FINISHED));
  std::vector<attempt_run> runs = RunsOf("orders", site.Journals());
  for (attempt_run& run : former) {
    run.end_ms = std::min(run.end_ms, died_ms);
    runs.push_back(run);
  }
  CHECK(FindFaults(runs, kTasks).empty());
  CHECK(StatusOf(site, 0).tasks_finished() == kTasks);
}

// Guards against tasks that keep running on an unreachable worker while they
// are bound elsewhere, and against their late reports.
TEST_CASE("a job survives a worker that is reachable again later",
          "[process][takeover]") {
  constexpr int kTasks = 8;
  process_site site({.entries = 2, .workers = 2, .executors = 0});
  REQUIRE(site.AwaitReady());
  REQUIRE(site.AwaitAccepted(0, JobJson(kTasks, 4000)));
  REQUIRE(AwaitStarts(site, kTasks));
  const std::string address = site.WorkerAddress(0);
  site.ChangeHosts([](schema::host_list& hosts) {
    hosts.mutable_workers(0)->set_address(FreeAddress());
  });
  SECTION("after its tasks were bound elsewhere") {
    REQUIRE(AwaitCondition([&site] {
      const auto runs = RunsOf("orders", {site.Journal(site.WorkerAddress(1))});
      return std::any_of(runs.begin(), runs.end(), [](const attempt_run& run) {
        return run.attempt > 1;
      });
    }));
  }
  SECTION("before its task leases end") { Sleep(300); }
  site.ChangeHosts([&address](schema::host_list& hosts) {
    hosts.mutable_workers(0)->set_address(address);
  });
  RequireEachTaskFinishedOnce(site, 0, kTasks);
}

}  // namespace
}  // namespace waxwingfront::tests
