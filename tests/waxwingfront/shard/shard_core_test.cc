// Directed tests of the decisions of a shard's owner.
#include "waxwingfront/shard/shard_core.h"

#include <catch2/catch.hpp>
#include <memory>

#include "waxwingfront/shard/shard_model.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

// Arguments of the commands; see `shard_model::Run`.
constexpr int kTwoLongTasks = 9;
constexpr int kHalfASecond = 1;
constexpr int kTwoSeconds = 2;
constexpr int kSevenSeconds = 3;
constexpr int kTwelveSeconds = 4;
constexpr int kThirtyOneSeconds = 5;
constexpr int kFirstWorkerDown = 3;
constexpr int kDown = 1;

void RunAll(shard_model& model, std::initializer_list<command> steps) {
  for (const command& step : steps) model.Run(step);
}

std::string Outcome(const shard_model& model) {
  return model.Violation().value_or("none");
}

// After a worker's restart, the former owner reaches the worker and the new
// owner does not.
void RunRestartBetweenOwners(shard_model& model) {
  RunAll(model, {{command_kind::kTakeOver, 0, 0},
                 {command_kind::kAdvance, kTwoSeconds, 0},
                 {command_kind::kSetLink, 0, kFirstWorkerDown},
                 {command_kind::kSubmit, 0, kTwoLongTasks},
                 {command_kind::kAdvance, kTwoSeconds, 0},
                 {command_kind::kSetStoreLink, 0, kDown},
                 {command_kind::kAdvance, kTwelveSeconds, 0},
                 {command_kind::kTakeOver, 1, 0},
                 {command_kind::kAdvance, kTwoSeconds, 0},
                 {command_kind::kRestartWorker, 0, 0},
                 {command_kind::kSetLink, 1, kFirstWorkerDown},
                 {command_kind::kSetLink, 0, 0},
                 {command_kind::kAdvance, kThirtyOneSeconds, 0},
                 {command_kind::kAdvance, kThirtyOneSeconds, 0}});
}

// Guards against a former owner that starts work on a worker which lost the
// newer owner's epoch in a restart.
TEST_CASE("a former owner starts nothing on a worker that has restarted since",
          "[shard][rules]") {
  shard_model model({});
  RunRestartBetweenOwners(model);
  CHECK(Outcome(model) == "none");
  model.CheckLiveness();
  CHECK(Outcome(model) == "none");
}

// Guards against a model that does not detect that rule 8 is missing.
TEST_CASE("without incarnations a former owner starts work after a restart",
          "[shard][rules]") {
  shard_model model({.workers_report_incarnation = false});
  RunRestartBetweenOwners(model);
  CHECK(Outcome(model) != "none");
}

// One worker is reachable only by the former owner, which can no longer write.
void RunUnreachableWorker(shard_model& model) {
  RunAll(model, {{command_kind::kTakeOver, 0, 0},
                 {command_kind::kSubmit, 0, kTwoLongTasks},
                 {command_kind::kAdvance, kTwoSeconds, 0},
                 {command_kind::kSetStoreLink, 0, kDown},
                 {command_kind::kSetLink, 1, kFirstWorkerDown},
                 {command_kind::kAdvance, kTwelveSeconds, 0},
                 {command_kind::kTakeOver, 1, 0},
                 {command_kind::kAdvance, kThirtyOneSeconds, 0},
                 {command_kind::kAdvance, kThirtyOneSeconds, 0}});
}

// Guards against a new owner that waits too short a time before it binds work
// again, and against a model that does not detect that rule 4 is missing.
TEST_CASE("an owner without a lease stops renewing before work is bound again",
          "[shard][rules]") {
  shard_model model({});
  RunUnreachableWorker(model);
  CHECK(Outcome(model) == "none");
  shard_model endless({.tune = [](int owner, shard::shard_core_options& tuned) {
    constexpr milliseconds kEndlessGrace{10000000};
    if (owner == 0) tuned.grace = kEndlessGrace;
  }});
  RunUnreachableWorker(endless);
  CHECK(Outcome(endless) != "none");
}

// A frozen former owner resumes after a newer one has compacted the log past
// the former owner's next number.
void RunCompactionBeforeThaw(shard_model& model) {
  RunAll(model, {{command_kind::kTakeOver, 0, 0},
                 {command_kind::kAdvance, kTwoSeconds, 0},
                 {command_kind::kSetStoreLink, 0, kDown},
                 {command_kind::kSubmit, 0, kTwoLongTasks},
                 {command_kind::kFreeze, 0, 0},
                 {command_kind::kAdvance, kTwelveSeconds, 0},
                 {command_kind::kTakeOver, 1, 0},
                 {command_kind::kAdvance, kTwoSeconds, 0},
                 {command_kind::kCompact, 0, 0},
                 {command_kind::kSetStoreLink, 0, 0},
                 {command_kind::kThaw, 0, 0},
                 {command_kind::kAdvance, kTwoSeconds, 0}});
}

// Guards against a former owner that rewrites a compacted number, and against a
// model that does not detect that the epoch key is missing.
TEST_CASE("a former owner cannot write a compacted record number",
          "[shard][rules]") {
  shard_model model({});
  RunCompactionBeforeThaw(model);
  CHECK(Outcome(model) == "none");
  shard_model unchecked({.log_checks_epoch = false});
  RunCompactionBeforeThaw(unchecked);
  CHECK(Outcome(unchecked) != "none");
}

// Guards against a clean hand-over that hides an earlier owner that may still
// send commands.
TEST_CASE("a clean hand-over keeps the wait for the owner before it",
          "[shard][rules]") {
  shard_model model({});
  RunAll(model, {{command_kind::kTakeOver, 0, 0},
                 {command_kind::kSubmit, 0, kTwoLongTasks},
                 {command_kind::kAdvance, kTwoSeconds, 0},
                 {command_kind::kSetStoreLink, 0, kDown},
                 {command_kind::kSetLink, 1, kFirstWorkerDown},
                 {command_kind::kSetLink, 2, kFirstWorkerDown},
                 {command_kind::kAdvance, kTwelveSeconds, 0},
                 {command_kind::kTakeOver, 1, 0},
                 {command_kind::kAdvance, kTwoSeconds, 0},
                 {command_kind::kResign, 1, 0},
                 {command_kind::kAdvance, kSevenSeconds, 0},
                 {command_kind::kTakeOver, 2, 0},
                 {command_kind::kAdvance, kThirtyOneSeconds, 0},
                 {command_kind::kAdvance, kThirtyOneSeconds, 0}});
  REQUIRE(model.CommittedState().Epoch() == 3);
  CHECK(Outcome(model) == "none");
  model.CheckLiveness();
  CHECK(Outcome(model) == "none");
}

constexpr std::string_view kWorker = "worker-0";
const core::monotonic_time kStart(milliseconds(1000000));

schema::attempt_id FirstAttempt() {
  schema::attempt_id id;
  id.set_job("orders");
  id.set_attempt(1);
  return id;
}

// Returns a shard with one job, whose only task is bound to a worker.
shard::shard_state BoundState() {
  shard::shard_state state;
  // The log of a shard begins with its first owner's epoch.
  schema::decision epoch;
  epoch.mutable_epoch()->set_epoch(1);
  REQUIRE(state.Apply(epoch));
  schema::decision accepted;
  accepted.mutable_accepted()->mutable_spec()->set_id("orders");
  accepted.mutable_accepted()->mutable_spec()->set_task_count(1);
  REQUIRE(state.Apply(accepted));
  schema::decision bound;
  *bound.mutable_bound()->mutable_id() = FirstAttempt();
  bound.mutable_bound()->set_worker(std::string(kWorker));
  REQUIRE(state.Apply(bound));
  return state;
}

// An owner of that shard whose epoch record is in the log.
struct owner_fixture {
  shard::shard_core_options options{
      .shard = "north/0", .owner = "entry-0", .nonce = [] { return 1; }};
  shard::shard_core core{options, {.state = BoundState()}, kStart, kStart};

  owner_fixture() {
    REQUIRE(core.NextAppend(kStart));
    core.OnAppendApplied();
  }

  // Applies the next record and returns the end of an attempt in it, or
  // nothing.
  std::optional<schema::attempt_ended> Append(core::monotonic_time now) {
    const auto append = core.NextAppend(now);
    if (!append.has_value()) return std::nullopt;
    core.OnAppendApplied();
    for (const schema::decision& decision : append->record.decisions()) {
      if (decision.has_ended()) return decision.ended();
    }
    return std::nullopt;
  }

  std::optional<schema::sync_request> NextRequest(core::monotonic_time now) {
    return core.NextSync(std::string(kWorker), now);
  }

  // Responds with the attempt in `state`, or without it if unspecified.
  void Respond(schema::attempt_state state, schema::attempt_outcome outcome,
               core::monotonic_time now) {
    constexpr int kTicketMs = 6000;
    constexpr int kLeaseMs = 20000;
    schema::sync_response response;
    response.set_incarnation("first");
    response.set_ticket("ticket");
    response.set_ticket_ms(kTicketMs);
    response.set_task_lease_ms(kLeaseMs);
    if (state != schema::ATTEMPT_STATE_UNSPECIFIED) {
      schema::attempt_report& report = *response.add_attempts();
      *report.mutable_id() = FirstAttempt();
      report.set_state(state);
      report.set_outcome(outcome);
      if (outcome == schema::ATTEMPT_OUTCOME_EVICTED)
        report.set_checkpoint("half");
    }
    core.OnSyncReply(std::string(kWorker), response, now);
  }

  void RespondRunning(core::monotonic_time now) {
    Respond(schema::ATTEMPT_STATE_RUNNING, schema::ATTEMPT_OUTCOME_UNSPECIFIED,
            now);
  }
  void RespondEmpty(core::monotonic_time now) {
    Respond(schema::ATTEMPT_STATE_UNSPECIFIED,
            schema::ATTEMPT_OUTCOME_UNSPECIFIED, now);
  }
};

// Guards against a record that is larger than the store's limit for a value,
// after which the shard could not write any more.
TEST_CASE("submissions beyond the size limit of a record are rejected",
          "[shard][sync]") {
  owner_fixture owner;
  constexpr std::size_t kStoreValueBytes = 1048576;
  constexpr int kSubmissions = 1000;
  schema::job_spec spec;
  spec.set_command(std::string(4096, 'x'));
  int rejected = 0;
  for (int job = 0; job < kSubmissions; ++job) {
    spec.set_id("job-" + std::to_string(job));
    const auto queued = owner.core.Submit(spec);
    if (queued) continue;
    ++rejected;
    CHECK(queued.error().code == core::error_code::kOverloaded);
  }
  CHECK(rejected > 0);
  const auto append = owner.core.NextAppend(kStart);
  REQUIRE(append.has_value());
  CHECK(append->record.ByteSizeLong() < kStoreValueBytes * 3 / 4);
  owner.core.OnAppendApplied();
  CHECK(owner.core.Submit(spec).has_value());
}

// Guards against a new owner whose wait ignores the drift of the store's clock:
// due to it, the former owner's time starts up to 5 % of a lease later.
TEST_CASE("the wait of a new owner covers the drift of the store's clock",
          "[shard][rules]") {
  owner_fixture owner;
  const shard::shard_core_options& options = owner.options;
  const milliseconds whole =
      options.lease_ttl + options.grace + options.ticket + options.task_lease;
  const core::monotonic_time end =
      kStart + whole + whole / 20 - options.lease_ttl;
  CHECK_FALSE(owner.Append(end - milliseconds(1)).has_value());
  constexpr milliseconds kSlack{100};
  CHECK(owner.Append(end + kSlack).has_value());
}

// Guards against an owner that sends requests in a loop while the worker does
// not carry out a start.
TEST_CASE("a start that is not carried out is requested once per sync period",
          "[shard][sync]") {
  owner_fixture owner;
  REQUIRE(owner.NextRequest(kStart));
  owner.RespondEmpty(kStart);
  int requests = 0;
  constexpr int kTickMs = 20;
  constexpr int kPeriodMs = 2000;
  for (int ms = 0; ms < kPeriodMs; ms += kTickMs) {
    const core::monotonic_time now = kStart + milliseconds(ms);
    if (!owner.NextRequest(now)) continue;
    ++requests;
    owner.RespondEmpty(now);
  }
  CHECK(requests == 1);
}

// Guards against a loop of calls to a worker whose calls fail immediately.
TEST_CASE("an unreachable worker is called with pauses", "[shard][sync]") {
  owner_fixture owner;
  REQUIRE(owner.NextRequest(kStart));
  owner.RespondEmpty(kStart);
  int requests = 0;
  constexpr int kTickMs = 20;
  constexpr int kPeriodMs = 2000;
  for (int ms = 0; ms < kPeriodMs; ms += kTickMs) {
    const core::monotonic_time now = kStart + milliseconds(ms);
    if (!owner.NextRequest(now)) continue;
    ++requests;
    owner.core.OnSyncFailed(std::string(kWorker), now);
  }
  CHECK(requests <= 5);
}

// Guards against a task that stays bound forever to a worker without capacity
// for it, for example after the worker's capacity has shrunk.
TEST_CASE("a start that a worker rejects repeatedly is withdrawn",
          "[shard][sync]") {
  owner_fixture owner;
  core::monotonic_time now = kStart;
  bool stopped = false;
  constexpr int kTries = 6;
  for (int requests = 0; requests < kTries && !stopped; ++requests) {
    const auto request = owner.NextRequest(now);
    REQUIRE(request);
    stopped = request->stop_size() == 1;
    if (!stopped) owner.RespondEmpty(now);
    now += owner.options.sync_period;
  }
  CHECK(stopped);
}

// Guards against a task that is counted or run twice because it finishes while
// it is being stopped.
TEST_CASE("a task that finishes while it is evicted counts as finished once",
          "[shard][eviction]") {
  owner_fixture owner;
  REQUIRE(owner.NextRequest(kStart));
  owner.RespondRunning(kStart);
  owner.core.Evict(FirstAttempt());
  const core::monotonic_time later = kStart + milliseconds(1000);
  const auto request = owner.NextRequest(later);
  REQUIRE(request);
  CHECK(request->stop_size() == 1);
  owner.Respond(schema::ATTEMPT_STATE_ENDED, schema::ATTEMPT_OUTCOME_FINISHED,
                later);
  const auto ended = owner.Append(later);
  REQUIRE(ended);
  CHECK(ended->outcome() == schema::ATTEMPT_OUTCOME_FINISHED);
  owner.core.Evict(FirstAttempt());
  owner.Respond(schema::ATTEMPT_STATE_ENDED, schema::ATTEMPT_OUTCOME_FINISHED,
                later);
  CHECK_FALSE(owner.Append(later + milliseconds(1000)));
  const auto status = owner.core.State().Status("orders");
  CHECK(status.tasks_finished() == 1);
  CHECK(status.attempts_evicted() == 0);
}

// Guards against resuming evicted work of a cancelled job.
TEST_CASE("a job that is cancelled while its task is evicted is not resumed",
          "[shard][eviction]") {
  owner_fixture owner;
  REQUIRE(owner.NextRequest(kStart));
  owner.RespondRunning(kStart);
  owner.core.Evict(FirstAttempt());
  REQUIRE(owner.core.Cancel("orders"));
  const core::monotonic_time later = kStart + milliseconds(1000);
  REQUIRE(owner.NextRequest(later));
  owner.Respond(schema::ATTEMPT_STATE_ENDED, schema::ATTEMPT_OUTCOME_EVICTED,
                later);
  REQUIRE(owner.Append(later));
  const schema::job_state state = owner.core.State().Status("orders").state();
  CHECK(state == schema::JOB_STATE_CANCELLED);
  CHECK_FALSE(owner.core.State().FindJob("orders")->HasUnboundTask());
}

// Guards against a worker that carries out a delayed start of an attempt whose
// end is already in the log (rule 5).
TEST_CASE("a start that arrives after its eviction is rejected",
          "[shard][eviction]") {
  constexpr int kFirstWorkerHoldsRequests = 6;
  shard_model model({});
  RunAll(model, {{command_kind::kTakeOver, 0, 0},
                 {command_kind::kAdvance, kTwoSeconds, 0},
                 {command_kind::kAdvance, kHalfASecond, 0},
                 {command_kind::kSetLink, 0, kFirstWorkerHoldsRequests},
                 {command_kind::kSubmit, 0, kTwoLongTasks},
                 {command_kind::kSetLink, 0, 0},
                 {command_kind::kEvict, 0, 0},
                 {command_kind::kAdvance, kTwoSeconds, 0},
                 {command_kind::kAdvance, kTwoSeconds, 0},
                 {command_kind::kRelease, 0, 0},
                 {command_kind::kAdvance, kTwoSeconds, 0}});
  CHECK(model.CommittedState().FindJob("job-0")->evicted_attempts == 1);
  CHECK(Outcome(model) == "none");
}

// Guards against an eviction that was requested by the former owner and that
// the new owner records twice or without its checkpoint.
TEST_CASE("an eviction during a change of owner is recorded once",
          "[shard][eviction]") {
  owner_fixture owner;
  REQUIRE(owner.NextRequest(kStart));
  owner.Respond(schema::ATTEMPT_STATE_ENDED, schema::ATTEMPT_OUTCOME_EVICTED,
                kStart);
  const auto append = owner.core.NextAppend(kStart);
  REQUIRE(append);
  // The worker repeats the end while the record is in flight, and must keep it
  // until the record is in the log.
  const auto repeat_at = [&owner](core::monotonic_time now) {
    const auto request = owner.NextRequest(now);
    REQUIRE(request);
    owner.Respond(schema::ATTEMPT_STATE_ENDED, schema::ATTEMPT_OUTCOME_EVICTED,
                  now);
    return request->forget_size();
  };
  constexpr milliseconds kPeriod{2000};
  CHECK(repeat_at(kStart + kPeriod) == 0);
  CHECK(repeat_at(kStart + 2 * kPeriod) == 0);
  owner.core.OnAppendApplied();
  CHECK_FALSE(owner.Append(kStart + 2 * kPeriod));
  CHECK(repeat_at(kStart + 3 * kPeriod) == 0);
  CHECK(repeat_at(kStart + 4 * kPeriod) == 1);
  const shard::job_record& job = *owner.core.State().FindJob("orders");
  CHECK(job.evicted_attempts == 1);
  REQUIRE(job.waiting.size() == 1);
  CHECK(job.waiting.begin()->second.checkpoint == "half");
}

}  // namespace
}  // namespace waxwingfront::tests
