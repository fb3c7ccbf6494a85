// Submission and lookup of jobs while the store or the entry of the shard's
// owner fails.
#include "waxwingfront/jobs/job_service.h"

#include <atomic>
#include <catch2/catch.hpp>

#include "support/faulty_store.h"
#include "support/owner_options.h"
#include "waxwingfront/shard/shard_owner.h"

namespace waxwingfront::tests {
namespace {

using core::error_code;

constexpr core::milliseconds kLimit{1000};

std::shared_ptr<const bundle::bundle_view> PolicyWithClass(
    const std::string& name, std::int64_t version) {
  schema::bundle content;
  schema::batch_class_policy& batch_class = *content.add_batch_classes();
  batch_class.set_name(name);
  batch_class.set_host_share_percent(100);
  batch_class.set_max_failures(3);
  content.add_customers()->set_name("jihlava");
  return std::make_shared<bundle::bundle_view>(content, version);
}

std::shared_ptr<const hosts::host_view> HostsOf(
    const std::vector<std::string>& shards) {
  auto view = std::make_shared<hosts::host_view>(*MakeHostView(shards));
  for (auto& [id, info] : view->workers) {
    info.failure_domain = "local";
    info.capacity = {.processor_milli = 1000, .memory_mib = 1000};
  }
  return view;
}

// The job service of an entry that owns one shard, `local/0`.
struct job_service_fixture {
  job_service_fixture()
      : owner(std::make_shared<shard::shard_owner>(
            FastOwnerOptions("entry-0"), store.Client(), core::Now())),
        service(Options(), store.Client()) {}

  jobs::job_service_options Options() {
    return {
        .policy = [this] { return policy; },
        .hosts = [this] { return hosts; },
        .local_owner =
            [this](std::string_view shard) {
              return shard == "local/0" && !owned_by_peer ? owner : nullptr;
            },
        .owner_address =
            [this](std::string_view /*shard*/) {
              return owned_by_peer ? std::optional<std::string>("peer")
                                   : std::nullopt;
            },
        .call_peer =
            [this](const std::string& /*address*/,
                   const schema::peer_request& request,
                   core::milliseconds /*limit*/) { return CallPeer(request); },
        .operation_timeout = kLimit};
  }

  // Simulates the peer that owns the shard by calling the same service.
  core::result<schema::peer_response> CallPeer(
      const schema::peer_request& request) {
    if (peer_down)
      return core::Failure(error_code::kUnreachable, "no connection");
    owned_by_peer = false;
    schema::peer_response response = service.HandlePeer(request);
    owned_by_peer = true;
    if (lose_peer_response)
      return core::Failure(error_code::kOutcomeUnknown, "no response");
    if (response.has_failure()) {
      return core::Failure(*core::ErrorFromName(response.failure().code()),
                           response.failure().detail());
    }
    return response;
  }

  std::size_t JobsInLog() {
    const auto snapshot = owner->Status("none", kLimit);
    auto log = shard::shard_log(store.Client(), "local/0").Recover();
    REQUIRE(log.has_value());
    return log->state.Jobs().size();
  }

  faulty_store store;
  std::shared_ptr<const bundle::bundle_view> policy =
      PolicyWithClass("orders", 1);
  std::shared_ptr<const hosts::host_view> hosts = HostsOf({"local/0"});
  bool owned_by_peer = false;
  bool peer_down = false;
  bool lose_peer_response = false;
  std::shared_ptr<shard::shard_owner> owner;
  jobs::job_service service;
};

// Guards against a repeated submission that creates a second job, or none.
TEST_CASE("job service creates one job for a repeated submission", "[jobs]") {
  job_service_fixture fixture;
  REQUIRE(AwaitActive(*fixture.owner));
  const schema::job_spec job = ShortJob("a");
  SECTION("after success") { REQUIRE(fixture.service.Submit(job).has_value()); }
  SECTION("after the response to the write of the location was lost") {
    int calls = 0;
    fixture.store.SetOutcome([&calls](std::string_view /*path*/) {
      return ++calls <= 2 ? call_outcome::kLostAfter : call_outcome::kAnswered;
    });
    CHECK(fixture.service.Submit(job).error().code ==
          error_code::kStoreUnavailable);
    CHECK(fixture.JobsInLog() == 0);
  }
  SECTION("after the store rejected the write of the location") {
    int calls = 0;
    fixture.store.SetOutcome([&calls](std::string_view /*path*/) {
      return ++calls <= 1 ? call_outcome::kRefused : call_outcome::kAnswered;
    });
    // Not `unknown_job`: the caller did not query an existing job.
    CHECK(fixture.service.Submit(job).error().code ==
          error_code::kStoreUnavailable);
  }
  SECTION("after the owner's entry could not be reached") {
    fixture.owned_by_peer = fixture.peer_down = true;
    CHECK(fixture.service.Submit(job).error().code == error_code::kUnreachable);
    CHECK(fixture.JobsInLog() == 0);
    fixture.owned_by_peer = false;
  }
  SECTION("after the response of the owner's entry was lost") {
    fixture.owned_by_peer = fixture.lose_peer_response = true;
    CHECK(fixture.service.Submit(job).error().code ==
          error_code::kOutcomeUnknown);
    fixture.lose_peer_response = false;
  }
  SECTION("after the owner's record was not confirmed in time") {
    std::atomic<int> writes{0};
    fixture.store.SetOutcome([&writes](std::string_view path) {
      const bool location = path == kTxnPath && writes++ == 0;
      return location ? call_outcome::kAnswered : call_outcome::kLostAfter;
    });
    CHECK(fixture.service.Submit(job).error().code ==
          error_code::kOutcomeUnknown);
    fixture.store.SetOutcome(call_outcome::kAnswered);
  }
  fixture.store.SetOutcome(call_outcome::kAnswered);
  REQUIRE(fixture.service.Submit(job).has_value());
  CHECK(fixture.JobsInLog() == 1);
}

// Guards against a job whose repeated submission goes to another shard.
TEST_CASE("job service keeps a job's shard when the hosts change", "[jobs]") {
  job_service_fixture fixture;
  REQUIRE(AwaitActive(*fixture.owner));
  fixture.owned_by_peer = fixture.peer_down = true;
  CHECK_FALSE(fixture.service.Submit(ShortJob("a")).has_value());
  fixture.owned_by_peer = false;
  fixture.hosts = HostsOf({"local/1", "local/2", "local/3"});
  REQUIRE(fixture.service.Submit(ShortJob("a")).has_value());
  CHECK(fixture.JobsInLog() == 1);
}

// Guards against rejecting a job that was accepted under an earlier bundle: the
// caller would submit the work again.
TEST_CASE("job service accepts a resubmission that the current bundle rejects",
          "[jobs]") {
  job_service_fixture fixture;
  REQUIRE(AwaitActive(*fixture.owner));
  REQUIRE(fixture.service.Submit(ShortJob("a")).has_value());
  SECTION("its batch class was removed") {
    fixture.policy = PolicyWithClass("other", 2);
  }
  SECTION("its hosts were removed") { fixture.hosts = HostsOf({}); }
  CHECK(fixture.service.Submit(ShortJob("a")).has_value());
  const auto fresh = fixture.service.Submit(ShortJob("b"));
  REQUIRE_FALSE(fresh.has_value());
  const bool is_rejected =
      fresh.error().code == error_code::kUnknownBatchClass ||
      fresh.error().code == error_code::kUnplaceable;
  CHECK(is_rejected);
  CHECK(fixture.JobsInLog() == 1);
}

// Guards against two different jobs under one id.
TEST_CASE("job service rejects another specification under an existing id",
          "[jobs]") {
  job_service_fixture fixture;
  REQUIRE(AwaitActive(*fixture.owner));
  REQUIRE(fixture.service.Submit(ShortJob("a")).has_value());
  schema::job_spec other = ShortJob("a");
  other.set_task_count(2);
  CHECK(fixture.service.Submit(other).error().code == error_code::kJobConflict);
}

}  // namespace
}  // namespace waxwingfront::tests
