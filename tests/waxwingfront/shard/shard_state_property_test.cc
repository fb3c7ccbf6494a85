// Properties of the state replayed from a log: snapshots and the index of bound
// attempts.
#include <google/protobuf/util/message_differencer.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "waxwingfront/shard/shard_state.h"

namespace waxwingfront::tests {
namespace {

// Generates decisions about few jobs, tasks and workers, so that many of them
// are consistent with one another.
rc::Gen<schema::decision> AnyDecision() {
  return rc::gen::exec([] {
    const auto kind = *rc::gen::inRange(0, 14);
    const std::string job = "job-" + std::to_string(*rc::gen::inRange(0, 3));
    const std::string worker =
        "worker-" + std::to_string(*rc::gen::inRange(0, 3));
    schema::attempt_id id;
    id.set_job(job);
    id.set_task(*rc::gen::inRange(0, 3));
    id.set_attempt(*rc::gen::inRange(1, 4));
    schema::decision decision;
    if (kind == 0) {
      decision.mutable_epoch()->set_epoch(*rc::gen::inRange(1, 20));
    } else if (kind == 1) {
      decision.mutable_resigned()->set_former_grace_ms(*rc::gen::inRange(0, 9));
    } else if (kind <= 3) {
      schema::job_spec& spec = *decision.mutable_accepted()->mutable_spec();
      spec.set_id(job);
      spec.set_customer("customer-" + std::to_string(*rc::gen::inRange(0, 2)));
      spec.set_task_count(*rc::gen::inRange(1, 4));
      spec.mutable_task_size()->set_memory_mib(*rc::gen::inRange(1, 9));
    } else if (kind == 4) {
      decision.mutable_cancelled()->set_job(job);
    } else if (kind == 5) {
      decision.mutable_quarantined()->set_worker(worker);
    } else if (kind == 6) {
      decision.mutable_released()->set_worker(worker);
    } else if (kind <= 10) {
      *decision.mutable_bound()->mutable_id() = id;
      decision.mutable_bound()->set_worker(worker);
    } else {
      schema::attempt_ended& ended = *decision.mutable_ended();
      *ended.mutable_id() = id;
      ended.set_outcome(
          static_cast<schema::attempt_outcome>(*rc::gen::inRange(1, 6)));
      ended.set_checkpoint(*rc::gen::element<std::string>("", "7", "20"));
      ended.set_fails_job(*rc::gen::inRange(0, 5) == 0);
    }
    return decision;
  });
}

bool IsEqual(const shard::shard_state& left, const shard::shard_state& right) {
  const auto shown = left.ToSnapshot(1);
  return google::protobuf::util::MessageDifferencer::Equals(
             shown, right.ToSnapshot(1)) &&
         left.OpenJobs() == right.OpenJobs() &&
         left.BoundByWorker() == right.BoundByWorker();
}

// Guards against state that is missing from snapshots.
TEST_CASE("a state restored from its snapshot behaves like the original",
          "[shard][property]") {
  constexpr int kLongLog = 300;
  rc::prop("both states accept and reject the same decisions", [] {
    const auto decisions = rc::gen::resize(
        kLongLog,
        rc::gen::container<std::vector<schema::decision>>(AnyDecision()));
    const auto before = *decisions;
    const auto after = *decisions;
    shard::shard_state state;
    for (const schema::decision& decision : before)
      static_cast<void>(state.Apply(decision));
    schema::shard_snapshot snapshot;
    RC_ASSERT(
        snapshot.ParseFromString(state.ToSnapshot(1).SerializeAsString()));
    shard::shard_state read = shard::shard_state::FromSnapshot(snapshot);
    RC_ASSERT(IsEqual(state, read));
    for (const schema::decision& decision : after) {
      RC_ASSERT(state.Apply(decision).has_value() ==
                read.Apply(decision).has_value());
    }
    RC_ASSERT(IsEqual(state, read));
  });
}

// Guards against an attempt that is missing from the index and would therefore
// never be started, stopped or ended.
TEST_CASE("the index of bound attempts equals a scan of all jobs",
          "[shard][property]") {
  constexpr int kLongLog = 300;
  rc::prop("index and committed sizes follow every decision", [] {
    const auto decisions = *rc::gen::resize(
        kLongLog,
        rc::gen::container<std::vector<schema::decision>>(AnyDecision()));
    shard::shard_state state;
    for (const schema::decision& decision : decisions) {
      static_cast<void>(state.Apply(decision));
      std::map<std::string, shard::shard_state::task_set, std::less<>> scanned;
      std::map<std::string, core::resources> sizes;
      for (const auto& [id, job] : state.Jobs()) {
        for (const auto& [task, bound] : job.active) {
          scanned[bound.worker].emplace(id, task);
          sizes[bound.worker] += job.task_size;
        }
      }
      RC_ASSERT(scanned == state.BoundByWorker());
      for (const auto& [worker, size] : sizes)
        RC_ASSERT(state.CommittedToWorker(worker) == size);
    }
  });
}

}  // namespace
}  // namespace waxwingfront::tests
