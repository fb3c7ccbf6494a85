#include "waxwingfront/fleet/job_gateway.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "waxwingfront/net/http_status.h"

namespace waxwingfront::fleet {
namespace {

std::optional<schema::fleet_reply> Parse(
    const core::result<net::http_reply>& reply) {
  schema::fleet_reply parsed;
  if (!reply || reply->status != net::kHttpOk ||
      !parsed.ParseFromString(reply->body)) {
    return std::nullopt;
  }
  return parsed;
}

tl::unexpected<core::error> DamagedRecord() {
  return core::Failure(core::error_code::kRecordDamaged,
                       "the job's record in the store cannot be read");
}

// Returns the id of the job that `request` is about; empty if it is about none.
const std::string& JobOf(const schema::fleet_request& request) {
  switch (request.call_case()) {
    case schema::fleet_request::kCancel:
      return request.cancel();
    case schema::fleet_request::kShow:
      return request.show();
    default:
      return request.submit().id();
  }
}

}  // namespace

struct job_gateway::call_state {
  schema::fleet_request request;
  core::monotonic_time deadline;
  // End of the search for a leader.
  core::monotonic_time leader_search_deadline;
  // Null once called.
  callback done;
  // A leader may have received the call without a response.
  bool may_have_arrived = false;
  // Addresses of the attempts that may still get a response.
  std::vector<std::weak_ptr<const std::string>> in_flight;
  core::monotonic_time last_recheck;
  // Earliest time of the next attempt.
  core::monotonic_time retry_at;

  void End(core::result<schema::fleet_reply> result) {
    if (const callback called = std::exchange(done, nullptr)) {
      called(std::move(result));
    }
  }

  std::size_t InFlight(const std::string& address) {
    std::erase_if(in_flight, [](const auto& at) { return at.expired(); });
    return static_cast<std::size_t>(
        std::ranges::count_if(in_flight, [&address](const auto& at) {
          const auto destination = at.lock();
          return destination != nullptr && *destination == address;
        }));
  }
};

job_gateway::job_gateway(net::event_loop& loop, net::async_http_client& client,
                         job_gateway_options options, job_gateway_hooks hooks)
    : loop_(loop),
      client_(client),
      options_(options),
      hooks_(std::move(hooks)),
      pending_(std::make_shared<pending_calls>(options.pending)) {}

void job_gateway::Call(schema::fleet_request request,
                       core::monotonic_time deadline, callback done) {
  auto call = std::make_shared<call_state>();
  call->request = std::move(request);
  call->deadline = deadline;
  call->leader_search_deadline =
      std::min(deadline, core::Now() + options_.leader_search_timeout);
  call->done = std::move(done);
  Try(std::move(call));
}

void job_gateway::Try(std::shared_ptr<call_state> call) {
  if (!call->done) return;
  const core::monotonic_time now = core::Now();
  if (call->may_have_arrived && now >= call->deadline) {
    call->End(core::Failure(core::error_code::kOutcomeUnknown,
                            "the leader did not answer in time"));
    return;
  }
  if (!call->may_have_arrived && now >= call->leader_search_deadline) {
    call->End(core::Failure(core::error_code::kNoOwner,
                            "no leader could be reached in time"));
    return;
  }
  const auto left = std::chrono::ceil<core::milliseconds>(call->deadline - now);
  call->request.set_left_ms(static_cast<std::uint32_t>(left.count()));
  if (hooks_.local() != nullptr) {
    Handle(call->request, [this, call](const schema::fleet_reply& reply) {
      OnReply(call, reply);
    });
    return;
  }
  const std::string address = hooks_.leader();
  if (address.empty()) {
    Retry(std::move(call), options_.retry);
    return;
  }
  if (call->InFlight(address) >= options_.max_in_flight) {
    if (now - call->last_recheck >= options_.attempt_timeout)
      RecheckLeader(*call);
    Retry(std::move(call), options_.retry);
    return;
  }
  if (now < call->retry_at) {
    Retry(std::move(call), options_.retry);
    return;
  }
  TryRemote(std::move(call), address);
}

void job_gateway::TryRemote(std::shared_ptr<call_state> call,
                            const std::string& address) {
  const core::milliseconds left(call->request.left_ms());
  const core::milliseconds timeout = std::min(left, options_.attempt_timeout);
  // The connection destroys its hook, and `tracked_address` with it, when it
  // can no longer receive a response.
  auto tracked_address = std::make_shared<const std::string>(address);
  call->in_flight.push_back(tracked_address);
  net::http_call post{
      .address = address,
      .method = "POST",
      .target = std::string(kFleetCallPath),
      .body = call->request.SerializeAsString(),
      .timeout = timeout,
      .total_timeout = left,
      .late_response_timeout = left - timeout,
      .on_late_response = [this, call,
                           tracked_address = std::move(tracked_address)](
                              const net::http_reply& reply) {
        if (call->done) OnLateReply(*call, *tracked_address, reply);
      }};
  client_.Send(
      std::move(post),
      [this, call](const core::result<net::http_reply>& reply) {
        if (!call->done) return;
        if (const auto parsed = Parse(reply)) {
          OnReply(call, *parsed);
          return;
        }
        if (reply || reply.error().code != core::error_code::kUnreachable) {
          call->may_have_arrived = true;
        }
        RecheckLeader(*call);
        Retry(call, options_.retry);
      });
}

void job_gateway::OnLateReply(call_state& call, const std::string& address,
                              const net::http_reply& reply) {
  const auto parsed = Parse(reply);
  if (!parsed) return;
  switch (parsed->outcome()) {
    case schema::FLEET_OK:
      call.End(*parsed);
      break;
    case schema::FLEET_OUTCOME_UNKNOWN:
      if (parsed->record_damaged()) call.End(DamagedRecord());
      break;
    case schema::FLEET_UNKNOWN_JOB:
      // A newer leader may know the job.
      if (address == hooks_.leader()) call.End(*parsed);
      break;
    case schema::FLEET_OVERLOADED:
      call.retry_at = core::Now() + options_.overloaded_retry;
      break;
    default:
      break;
  }
}

void job_gateway::RecheckLeader(call_state& call) {
  call.last_recheck = core::Now();
  hooks_.recheck_leader();
}

void job_gateway::Retry(std::shared_ptr<call_state> call,
                        core::milliseconds delay) {
  loop_.After(delay, [this, call = std::move(call)] { Try(call); });
}

void job_gateway::OnReply(std::shared_ptr<call_state> call,
                          const schema::fleet_reply& reply) {
  if (!call->done) return;
  if (reply.record_damaged()) {
    call->End(DamagedRecord());
    return;
  }
  if (reply.outcome() == schema::FLEET_NOT_LEADING ||
      reply.outcome() == schema::FLEET_OUTCOME_UNKNOWN) {
    call->may_have_arrived |= reply.outcome() == schema::FLEET_OUTCOME_UNKNOWN;
    // The leader that loads holds the key.
    if (!reply.loading()) RecheckLeader(*call);
    Retry(std::move(call), options_.retry);
    return;
  }
  if (reply.outcome() == schema::FLEET_OVERLOADED) {
    if (call->may_have_arrived) {
      Retry(std::move(call), options_.overloaded_retry);
      return;
    }
    if (reply.retry_after_ms() > 0) {
      call->End(reply);
      return;
    }
    call->End(core::Failure(core::error_code::kOverloaded,
                            "the leader is behind with its records"));
    return;
  }
  call->End(reply);
}

bool job_gateway::RejectsForRoom(const fleet_core& core,
                                 const schema::fleet_job& job) const {
  if (core.HasJob(job.id())) return false;
  const std::optional<standing_room> missing = core.MissingRoom(job);
  if (missing && hooks_.on_no_room) hooks_.on_no_room(job.id(), *missing);
  return missing.has_value();
}

std::optional<core::milliseconds> job_gateway::RejectsForLoad(
    fleet_core& core, const schema::fleet_job& job) const {
  if (core.HasJob(job.id())) return std::nullopt;
  if (const auto refusal = core.AdmitMemory(job)) {
    if (hooks_.on_memory_full) hooks_.on_memory_full(job.id(), *refusal);
    return refusal->retry_after;
  }
  const moment now = hooks_.now();
  if (const auto refusal = core.AdmitStarts(job, now)) {
    if (hooks_.on_link_full) hooks_.on_link_full(job.id(), *refusal);
    return refusal->retry_after;
  }
  if (const auto refusal = core.AdmitWork(job, now)) {
    if (hooks_.on_work_refused) hooks_.on_work_refused(job.id(), *refusal);
    return refusal->retry_after;
  }
  return std::nullopt;
}

leadership_check::callback job_gateway::OnceConfirmed(
    const schema::fleet_request& request, reply_callback done) {
  return [this, request, done = std::move(done)](bool leads) {
    if (leads) {
      Answer(request, done, true);
      return;
    }
    schema::fleet_reply reply;
    reply.set_outcome(schema::FLEET_NOT_LEADING);
    done(reply);
  };
}

void job_gateway::Answer(const schema::fleet_request& request,
                         reply_callback done, bool confirmed) {
  fleet_leader* const leader = hooks_.local();
  schema::fleet_reply reply;
  if (leader == nullptr || !leader->Loaded()) {
    reply.set_outcome(schema::FLEET_NOT_LEADING);
    reply.set_loading(leader != nullptr);
    done(reply);
    return;
  }
  fleet_core& core = leader->Core();
  if (core.IsDamaged(JobOf(request))) {
    // Processes of earlier versions know this outcome and repeat the call.
    reply.set_outcome(schema::FLEET_OUTCOME_UNKNOWN);
    reply.set_record_damaged(true);
    done(reply);
    return;
  }
  const core::monotonic_time now = core::Now();
  const auto once_stored = [pending = pending_, &core, leader, &done,
                            now](const std::string& id) {
    pending->Add(now);
    core.OnceStored(id, [pending, now, done](bool stored) {
      pending->Remove(now);
      schema::fleet_reply outcome;
      outcome.set_outcome(stored ? schema::FLEET_OK
                                 : schema::FLEET_OUTCOME_UNKNOWN);
      done(outcome);
    });
    leader->ScheduleRound();
  };
  switch (request.call_case()) {
    case schema::fleet_request::kSubmit:
      // A job that was already accepted is not rejected, since it will run.
      if (request.left_ms() > 0 && !core.HasJob(request.submit().id()) &&
          pending_->CannotMeetDeadline(core::milliseconds(request.left_ms()),
                                       now)) {
        reply.set_outcome(schema::FLEET_OVERLOADED);
        break;
      }
      if (RejectsForRoom(core, request.submit())) {
        reply.set_outcome(schema::FLEET_OVERLOADED);
        reply.set_retry_after_ms(
            static_cast<std::uint32_t>(options_.no_room_retry.count()));
        break;
      }
      if (const auto retry_after = RejectsForLoad(core, request.submit())) {
        reply.set_outcome(schema::FLEET_OVERLOADED);
        reply.set_retry_after_ms(
            static_cast<std::uint32_t>(retry_after->count()));
        break;
      }
      core.Submit(request.submit(), hooks_.now());
      once_stored(request.submit().id());
      return;
    case schema::fleet_request::kCancel:
      if (core.Cancel(request.cancel(), hooks_.now())) {
        once_stored(request.cancel());
        return;
      }
      if (!confirmed) {
        hooks_.confirm_leadership(OnceConfirmed(request, std::move(done)));
        return;
      }
      reply.set_outcome(schema::FLEET_UNKNOWN_JOB);
      break;
    case schema::fleet_request::kShow:
      if (const auto state = core.StoredState(request.show())) {
        reply.set_outcome(schema::FLEET_OK);
        reply.set_state(*state);
        break;
      }
      if (!confirmed) {
        hooks_.confirm_leadership(OnceConfirmed(request, std::move(done)));
        return;
      }
      reply.set_outcome(schema::FLEET_UNKNOWN_JOB);
      break;
    case schema::fleet_request::kCountWaiting:
      if (!confirmed) {
        hooks_.confirm_recent_leadership(
            OnceConfirmed(request, std::move(done)));
        return;
      }
      reply.set_outcome(schema::FLEET_OK);
      reply.set_waiting(core.CountUnstartedJobs(request.count_waiting()));
      break;
    case schema::fleet_request::CALL_NOT_SET:
      break;
  }
  done(reply);
}

}  // namespace waxwingfront::fleet
