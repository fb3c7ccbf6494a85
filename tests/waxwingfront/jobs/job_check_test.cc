#include "waxwingfront/jobs/job_check.h"

#include <catch2/catch.hpp>

namespace waxwingfront::jobs {
namespace {

bundle::bundle_view Policy() {
  schema::bundle content;
  content.add_batch_classes()->set_name("orders");
  content.mutable_batch_classes(0)->set_host_share_percent(50);
  content.add_customers()->set_name("jihlava");
  content.mutable_customers(0)->mutable_quota()->set_processor_milli(8000);
  content.mutable_customers(0)->mutable_quota()->set_memory_mib(8000);
  return {content, 1};
}

schema::job_spec Job() {
  schema::job_spec spec;
  spec.set_id("orders-1");
  spec.set_customer("jihlava");
  spec.set_batch_class("orders");
  spec.set_task_count(3);
  spec.mutable_task_size()->set_processor_milli(1000);
  return spec;
}

// Guards against accepting jobs that can never run, or whose id is invalid.
TEST_CASE("an invalid job is rejected with the matching error code", "[jobs]") {
  const bundle::bundle_view policy = Policy();
  schema::job_spec spec = Job();
  auto expected = core::error_code::kInvalidRequest;
  REQUIRE(CheckJob(spec, policy).has_value());
  SECTION("an id with other characters") { spec.set_id("a/b"); }
  SECTION("an id that is too long") { spec.set_id(std::string(129, 'a')); }
  SECTION("no tasks") { spec.set_task_count(0); }
  SECTION("too many tasks") { spec.set_task_count(1000001); }
  SECTION("a long command") { spec.set_command(std::string(4097, 'a')); }
  SECTION("a negative size") { spec.mutable_task_size()->set_memory_mib(-1); }
  SECTION("no size") { spec.clear_task_size(); }
  SECTION("an unknown customer") {
    spec.set_customer("nobody");
    expected = core::error_code::kUnknownCustomer;
  }
  SECTION("an unknown batch class") {
    spec.set_batch_class("nothing");
    expected = core::error_code::kUnknownBatchClass;
  }
  SECTION("a task above the quota") {
    spec.mutable_task_size()->set_processor_milli(8001);
    expected = core::error_code::kUnplaceable;
  }
  const auto checked = CheckJob(spec, policy);
  REQUIRE_FALSE(checked.has_value());
  CHECK(checked.error().code == expected);
  CHECK_FALSE(checked.error().detail.empty());
}

TEST_CASE("a job that no host can hold is unplaceable", "[jobs]") {
  const bundle::bundle_view policy = Policy();
  hosts::host_view view;
  hosts::worker_info& worker = view.workers["worker-1"];
  worker.capacity = {.processor_milli = 4000, .memory_mib = 4000};
  worker.shard = "trebic/0";
  schema::job_spec spec = Job();
  spec.mutable_task_size()->set_processor_milli(2000);
  REQUIRE(PlaceableShards(spec, policy, view).has_value());
  // One above the batch class's share of the only host.
  spec.mutable_task_size()->set_processor_milli(2001);
  const auto shards = PlaceableShards(spec, policy, view);
  REQUIRE_FALSE(shards.has_value());
  CHECK(shards.error().code == core::error_code::kUnplaceable);
}

}  // namespace
}  // namespace waxwingfront::jobs
