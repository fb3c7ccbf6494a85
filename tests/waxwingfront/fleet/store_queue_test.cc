#include "waxwingfront/fleet/store_queue.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "support/fleet_fixture.h"

namespace waxwingfront::tests {
namespace {

using fleet::job_state;
using fleet::store_urgency;

constexpr std::size_t kMaxRecords = 15;

// Queued changes of jobs whose job record is already stored.
class queued_jobs {
 public:
  job_state& Add(const std::string& id, store_urgency urgency) {
    jobs_.push_back(std::make_unique<job_state>(JobOf(id, 1, 1000), At(0).now));
    jobs_.back()->job_revision = 1;
    queue.Add(*jobs_.back(), urgency);
    return *jobs_.back();
  }

  std::string Take(std::size_t max_records) {
    std::string ids;
    for (const job_state* const job : queue.Take(max_records)) {
      ids += job->Id() + " ";
    }
    return ids;
  }

  fleet::store_queue queue;

 private:
  std::vector<std::unique_ptr<job_state>> jobs_;
};

TEST_CASE("changes are taken by urgency and then by age", "[fleet]") {
  queued_jobs jobs;
  jobs.Add("end", store_urgency::kEnd);
  jobs.Add("start1", store_urgency::kStart);
  job_state& raised = jobs.Add("raised", store_urgency::kEnd);
  jobs.Add("start2", store_urgency::kStart);
  jobs.queue.Add(raised, store_urgency::kImmediate);
  CHECK(jobs.queue.AnyUrgent());
  CHECK(jobs.Take(1) == "raised ");
  CHECK_FALSE(jobs.queue.AnyUrgent());
  CHECK(jobs.Take(1) == "start1 ");
  CHECK(jobs.Take(1) == "start2 ");
  CHECK(jobs.Take(1) == "end ");
  CHECK(jobs.queue.Size() == 0);
}

// Guards against placements of interrupted tasks that are stored last.
TEST_CASE("an interrupted task is stored before the starts of short ones",
          "[fleet]") {
  constexpr std::int64_t kShortJobs = 700;
  constexpr std::int64_t kCpu = 1000;
  fleet_fixture fixture;
  fixture.AddExecutor("small", kCpu);
  schema::fleet_job lasting = JobOf("lasting", 1, kCpu);
  lasting.mutable_steps(0)->set_long_running(true);
  fixture.Core().Submit(lasting, At(0));
  fixture.Step(0);
  constexpr std::int64_t kPlacedMs = 2000;
  fixture.Report("small", kPlacedMs, {});
  const fleet::orders first = fixture.StepAccepted(kPlacedMs);
  REQUIRE(first.starts.size() == 1);
  for (int i = 0; i < kShortJobs; ++i) {
    fixture.Core().Submit(JobOf("short" + std::to_string(i), 1, kCpu),
                          At(kPlacedMs));
  }
  REQUIRE(fixture.Step(kPlacedMs).starts.empty());
  constexpr std::int64_t kRoomMs = 2500;
  fixture.AddExecutor("large", 2 * kShortJobs * kCpu, kRoomMs);
  fixture.Core().Plan(At(kRoomMs));
  fixture.Report("small", kRoomMs, {},
                 {{.number = 1,
                   .task = first.starts[0].task,
                   .run = 1,
                   .how = fleet::run_end::kFailed}});
  constexpr std::int64_t kRestartMs = 4500;
  fixture.Report("large", kRestartMs, {});
  fixture.Core().Plan(At(kRestartMs));
  REQUIRE(fixture.Core().FindExecutor("large")->long_running_count == 1);
  const fleet::write_batch batch =
      fixture.Core().Journal().NextBatch(kMaxRecords);
  CHECK(std::ranges::any_of(batch.records, [](const auto& record) {
    return record.id == "lasting";
  }));
}

TEST_CASE("less urgent changes do not starve", "[fleet]") {
  queued_jobs jobs;
  jobs.Add("start", store_urgency::kStart);
  jobs.Add("end", store_urgency::kEnd);
  for (int i = 0; i < 100; ++i) {
    jobs.Add("urgent", store_urgency::kImmediate);
  }
  const std::string first = jobs.Take(kMaxRecords);
  CHECK(first.find("start ") != std::string::npos);
  CHECK(first.find("end ") != std::string::npos);
}

TEST_CASE("a new job is not stored before it has been planned for", "[fleet]") {
  queued_jobs jobs;
  for (int i = 0; i < 20; ++i) jobs.Add("start", store_urgency::kStart);
  job_state& fresh = jobs.Add("new", store_urgency::kAfterPlanning);
  CHECK(jobs.queue.ReadySize() == 20);
  CHECK(jobs.Take(kMaxRecords).find("new") == std::string::npos);
  // The job has been planned for.
  jobs.queue.Add(fresh, store_urgency::kImmediate);
  CHECK(jobs.Take(1) == "new ");
}

TEST_CASE("a job whose batch failed keeps its position in the queue",
          "[fleet]") {
  queued_jobs jobs;
  job_state& failed = jobs.Add("failed", store_urgency::kStart);
  CHECK(jobs.Take(1) == "failed ");
  jobs.Add("later", store_urgency::kStart);
  jobs.queue.Add(failed, store_urgency::kEnd);
  // The job is still in a batch, so it is not taken.
  CHECK(jobs.Take(1) == "later ");
  jobs.Add("last", store_urgency::kStart);
  jobs.queue.Requeue(failed);
  CHECK(jobs.Take(1) == "failed ");
  jobs.queue.OnBatchStored(failed);
  CHECK(jobs.Take(kMaxRecords) == "last ");
}

TEST_CASE(
    "changes made while a batch is in flight are queued once it is stored",
    "[fleet]") {
  queued_jobs jobs;
  job_state& job = jobs.Add("job", store_urgency::kStart);
  CHECK(jobs.Take(kMaxRecords) == "job ");
  jobs.queue.Add(job, store_urgency::kEnd);
  CHECK(jobs.queue.Size() == 0);
  jobs.queue.OnBatchStored(job);
  CHECK(jobs.Take(kMaxRecords) == "job ");
}

}  // namespace
}  // namespace waxwingfront::tests
