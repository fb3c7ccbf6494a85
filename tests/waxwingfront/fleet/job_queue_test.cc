#include "waxwingfront/fleet/job_queue.h"

#include <catch2/catch.hpp>

namespace waxwingfront::tests {
namespace {

TEST_CASE("a job records all settings of its queue that decide about it",
          "[fleet]") {
  const fleet::queue_spec queue{.name = "q",
                                .service = "s",
                                .priority = 2,
                                .max_attempts = 4,
                                .stretch = 1.5,
                                .target_duration = core::milliseconds(700),
                                .advised = true};
  schema::fleet_job job;
  fleet::SetQueue(queue, job);
  CHECK(job.queue() == "q");
  CHECK(job.service() == "s");
  const auto recorded = fleet::RecordedQueue(job);
  REQUIRE(recorded);
  CHECK(recorded->name == "q");
  CHECK(recorded->service == "s");
  CHECK(recorded->priority == 2);
  CHECK(recorded->max_attempts == 4);
  CHECK(recorded->stretch == 1.5);
  CHECK(recorded->target_duration == core::milliseconds(700));
  CHECK(recorded->advised);
}

TEST_CASE("a job of an earlier version has recorded no settings", "[fleet]") {
  schema::fleet_job job;
  job.set_queue("q");
  job.set_service("s");
  CHECK_FALSE(fleet::RecordedQueue(job));
}

}  // namespace
}  // namespace waxwingfront::tests
