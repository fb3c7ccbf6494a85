// Effect of a new bundle on work that is bound or running when it comes into
// force.
#include "waxwingfront/shard/policy_violations.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "waxwingfront/shard/planner.h"
#include "waxwingfront/shard/shard_core.h"

namespace waxwingfront::shard {
namespace {

constexpr std::string_view kShard = "d/0";
constexpr core::milliseconds kRoundPeriod{2000};
// Rounds that a worker needs to receive a stop, report it and discard it.
constexpr int kSettleRounds = 6;

using attempt_key = std::tuple<std::string, std::int64_t, std::int32_t>;

attempt_key KeyOf(const schema::attempt_id& id) {
  return {id.job(), id.task(), id.attempt()};
}

int RandomBelow(int end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

std::shared_ptr<const hosts::host_view> ThreeWorkers() {
  auto view = std::make_shared<hosts::host_view>();
  for (const std::string id : {"w0", "w1", "w2"}) {
    view->workers[id] = {
        .id = id,
        .failure_domain = "d",
        .shard = std::string(kShard),
        .capacity = {.processor_milli = 4000, .memory_mib = 8000}};
  }
  view->workers["w1"].executors["dispatch"] = 1;
  view->workers["w2"].executors["desk"] = 1;
  return view;
}

schema::bundle BaseBundle() {
  schema::bundle content;
  content.set_site("s");
  content.add_services()->set_name("dispatch");
  content.add_services()->set_name("desk");
  for (const char* name : {"orders", "stock"}) {
    schema::batch_class_policy& item = *content.add_batch_classes();
    item.set_name(name);
    item.set_host_share_percent(100);
    item.set_max_failures(3);
  }
  schema::customer_policy& customer = *content.add_customers();
  customer.set_name("town");
  customer.set_weight(1);
  return content;
}

// Returns a random bundle that differs from the base one in its permissions.
schema::bundle RandomBundle() {
  schema::bundle content = BaseBundle();
  for (auto& service : *content.mutable_services()) {
    service.mutable_reserve_per_executor()->set_processor_milli(
        std::int64_t{1000} * RandomBelow(4));
  }
  for (auto& item : *content.mutable_batch_classes()) {
    item.set_priority(RandomBelow(3));
    item.set_preemptible(RandomBelow(2) == 0);
    item.set_host_share_percent(RandomBelow(100) + 1);
    if (RandomBelow(4) == 0) item.add_failure_domains("elsewhere");
    if (RandomBelow(3) == 0) item.add_shares_hosts_with("dispatch");
  }
  if (RandomBelow(5) == 0) content.mutable_batch_classes()->RemoveLast();
  if (RandomBelow(8) == 0) content.clear_customers();
  return content;
}

// A shard's owner with workers that carry out all commands. Tasks run until
// they are stopped.
class simulated_shard {
 public:
  simulated_shard() : view_(ThreeWorkers()) {
    core_.OnHosts(view_);
    SetBundle(BaseBundle());
  }

  void SetBundle(const schema::bundle& content) {
    policy_ = std::make_shared<bundle::bundle_view>(content, ++version_);
    core_.OnBundle(policy_);
  }

  void Submit(const std::string& id, const std::string& batch_class,
              std::int64_t processor_milli, int tasks) {
    schema::job_spec spec;
    spec.set_id(id);
    spec.set_customer("town");
    spec.set_batch_class(batch_class);
    spec.mutable_task_size()->set_processor_milli(processor_milli);
    spec.set_task_count(tasks);
    static_cast<void>(core_.Submit(spec));
  }

  // Makes the appends that are due and one exchange with each worker.
  void Round() {
    now_ += kRoundPeriod;
    core_.OnLeaseRenewed(now_);
    Append();
    for (const auto& [id, info] : view_->workers) Exchange(id);
  }

  void Append() {
    while (const auto append = core_.NextAppend(now_)) {
      for (const schema::decision& decision : append->record.decisions())
        ApplyDecision(decision);
      core_.OnAppendApplied();
    }
  }

  // Checks that each bound attempt is permitted on its worker and within the
  // shares of its class, and that only bound attempts are running.
  void CheckAllPermitted() const {
    for (const auto& [key, worker] : bound_) {
      RC_ASSERT(IsPermittedAt(key, worker));
      RC_ASSERT(IsWithinShares(key, worker));
    }
    for (const auto& [id, attempts] : running_) {
      for (const attempt_key& key : attempts) RC_ASSERT(bound_.contains(key));
    }
  }

  std::size_t BoundCount() const { return bound_.size(); }
  // Checkpoints that attempts were started with.
  const std::multiset<std::string>& Checkpoints() const { return checkpoints_; }
  const shard_core& Core() const { return core_; }

 private:
  const job_record& JobOf(const attempt_key& key) const {
    return *core_.State().FindJob(std::get<0>(key));
  }

  bool IsPermittedAt(const attempt_key& key, const std::string& worker) const {
    const auto* item = policy_->FindBatchClass(JobOf(key).spec.batch_class());
    return item != nullptr && policy_->FindCustomer("town") != nullptr &&
           IsPermitted(view_->workers.at(worker), *item);
  }

  bool IsWithinShares(const attempt_key& key, const std::string& worker) const {
    const std::string& batch_class = JobOf(key).spec.batch_class();
    core::resources total;
    core::resources of_class;
    for (const auto& [other, bound_worker] : bound_) {
      if (bound_worker != worker) continue;
      total += JobOf(other).task_size;
      if (JobOf(other).spec.batch_class() == batch_class)
        of_class += JobOf(other).task_size;
    }
    const hosts::worker_info& info = view_->workers.at(worker);
    const int share =
        policy_->FindBatchClass(batch_class)->host_share_percent();
    return BatchCapacity(info, *policy_).Holds(total) &&
           info.capacity.Percent(share).Holds(of_class);
  }

  void ApplyDecision(const schema::decision& decision) {
    if (decision.has_ended()) bound_.erase(KeyOf(decision.ended().id()));
    if (!decision.has_bound()) return;
    const attempt_key key = KeyOf(decision.bound().id());
    bound_[key] = decision.bound().worker();
    RC_ASSERT(decision.bound().bundle_version() == version_);
    RC_ASSERT(IsPermittedAt(key, decision.bound().worker()));
    RC_ASSERT(IsWithinShares(key, decision.bound().worker()));
  }

  void Exchange(const std::string& worker) {
    const auto request = core_.NextSync(worker, now_);
    if (!request) return;
    std::set<attempt_key>& running = running_[worker];
    std::set<attempt_key>& ended = ended_[worker];
    for (const auto& id : request->forget()) ended.erase(KeyOf(id));
    for (const auto& start : request->start()) {
      const attempt_key key = KeyOf(start.id());
      RC_ASSERT(IsPermittedAt(key, worker));
      if (ended.contains(key)) continue;
      running.insert(key);
      if (!start.checkpoint().empty()) checkpoints_.insert(start.checkpoint());
    }
    for (const auto& id : request->stop()) {
      running.erase(KeyOf(id));
      ended.insert(KeyOf(id));
    }
    schema::sync_response response;
    response.set_incarnation("1");
    response.set_ticket("t");
    response.set_ticket_ms(6000);
    response.set_task_lease_ms(20000);
    *response.mutable_capacity() =
        core::ToSchema(view_->workers.at(worker).capacity);
    for (const attempt_key& key : running)
      AddReport(key, schema::ATTEMPT_STATE_RUNNING, response);
    for (const attempt_key& key : ended)
      AddReport(key, schema::ATTEMPT_STATE_ENDED, response);
    core_.OnSyncReply(worker, response, now_);
  }

  static void AddReport(const attempt_key& key, schema::attempt_state state,
                        schema::sync_response& response) {
    schema::attempt_report& report = *response.add_attempts();
    report.mutable_id()->set_job(std::get<0>(key));
    report.mutable_id()->set_task(std::get<1>(key));
    report.mutable_id()->set_attempt(std::get<2>(key));
    report.set_state(state);
    if (state != schema::ATTEMPT_STATE_ENDED) return;
    report.set_outcome(schema::ATTEMPT_OUTCOME_EVICTED);
    report.set_checkpoint("position of " + std::get<0>(key) + "/" +
                          std::to_string(std::get<1>(key)));
  }

  std::shared_ptr<const hosts::host_view> view_;
  std::shared_ptr<const bundle::bundle_view> policy_;
  std::int64_t version_ = 0;
  std::uint64_t nonce_ = 0;
  core::monotonic_time now_{core::milliseconds(1000000)};
  shard_core core_{{.shard = std::string(kShard),
                    .owner = "e",
                    .nonce = [this] { return ++nonce_; }},
                   recovered_shard{},
                   now_,
                   now_};
  std::map<attempt_key, std::string> bound_;
  std::map<std::string, std::set<attempt_key>> running_;
  std::map<std::string, std::set<attempt_key>> ended_;
  std::multiset<std::string> checkpoints_;
};

// Guards against bindings and starts under a superseded bundle, and against
// tasks that keep running where the current bundle does not permit them.
TEST_CASE("all batch work complies with the bundle in force",
          "[bundle][shard][property]") {
  rc::prop("bindings, starts and tasks comply with the latest bundle", [] {
    simulated_shard shard;
    const int changes = RandomBelow(6);
    for (int change = 0; change <= changes; ++change) {
      shard.Submit("job" + std::to_string(change),
                   RandomBelow(2) == 0 ? "orders" : "stock",
                   500 + RandomBelow(4) * 500, 1 + RandomBelow(8));
      const int rounds = RandomBelow(4);
      for (int round = 0; round < rounds; ++round) shard.Round();
      // Leaves tasks that are bound but not started when the bundle changes.
      if (RandomBelow(2) == 0) shard.Append();
      shard.SetBundle(RandomBundle());
    }
    for (int round = 0; round < kSettleRounds; ++round) shard.Round();
    shard.CheckAllPermitted();
    RC_CLASSIFY(shard.BoundCount() > 0, "some tasks run at the end");
    RC_CLASSIFY(!shard.Checkpoints().empty(), "some tasks resumed");
  });
}

// Guards against evicted work that restarts from the beginning or is lost.
TEST_CASE("work evicted by a bundle resumes from its checkpoint once permitted",
          "[bundle][shard]") {
  simulated_shard shard;
  shard.Submit("job", "orders", 1000, 3);
  for (int round = 0; round < kSettleRounds; ++round) shard.Round();
  REQUIRE(shard.BoundCount() == 3U);

  schema::bundle restricted = BaseBundle();
  restricted.mutable_batch_classes(0)->add_failure_domains("elsewhere");
  shard.SetBundle(restricted);
  for (int round = 0; round < kSettleRounds; ++round) shard.Round();
  CHECK(shard.BoundCount() == 0U);
  CHECK(shard.Core().State().FindJob("job")->waiting.size() == 3U);

  shard.SetBundle(BaseBundle());
  for (int round = 0; round < kSettleRounds; ++round) shard.Round();
  CHECK(shard.BoundCount() == 3U);
  CHECK(shard.Checkpoints() == std::multiset<std::string>{"position of job/0",
                                                          "position of job/1",
                                                          "position of job/2"});
}

// Guards against a lower share that evicts all tasks of a class, or the older
// tasks instead of the newer ones.
TEST_CASE("a lower share evicts no more tasks than needed", "[bundle][shard]") {
  simulated_shard shard;
  shard.Submit("older", "orders", 1000, 6);
  for (int round = 0; round < kSettleRounds; ++round) shard.Round();
  shard.Submit("newer", "orders", 1000, 6);
  for (int round = 0; round < kSettleRounds; ++round) shard.Round();
  REQUIRE(shard.BoundCount() == 12U);

  schema::bundle lower = BaseBundle();
  lower.mutable_batch_classes(0)->set_host_share_percent(50);
  shard.SetBundle(lower);
  for (int round = 0; round < kSettleRounds; ++round) shard.Round();
  CHECK(shard.Core().State().FindJob("older")->active.size() == 6U);
  CHECK(shard.Core().State().FindJob("newer")->active.empty());
}

}  // namespace
}  // namespace waxwingfront::shard
