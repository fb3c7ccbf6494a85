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
  schema::fleet_reply answer;
  if (!reply || reply->status != net::kHttpOk ||
      !answer.ParseFromString(reply->body)) {
    return std::nullopt;
  }
  return answer;
}

}  // namespace

struct job_gateway::attempt_state {
  schema::fleet_request request;
  core::monotonic_time deadline;
  // Until then a leader is looked for.
  core::monotonic_time patient_until;
  // Null once it was called.
  callback done;
  // A leader may have taken the call without an answer.
  bool may_have_arrived = false;
  // Addresses of the attempts that can still be answered.
  std::vector<std::weak_ptr<const std::string>> open;
  core::monotonic_time doubted;
  // Before then the call is not sent again.
  core::monotonic_time paused_until;

  void End(core::result<schema::fleet_reply> result) {
    if (const callback called = std::exchange(done, nullptr)) {
      called(std::move(result));
    }
  }

  std::size_t Unanswered(const std::string& address) {
    std::erase_if(open, [](const auto& at) { return at.expired(); });
    return static_cast<std::size_t>(
        std::ranges::count_if(open, [&address](const auto& at) {
          const auto opened = at.lock();
          return opened != nullptr && *opened == address;
        }));
  }
};

job_gateway::job_gateway(net::event_loop& loop, net::async_http_client& client,
                         job_gateway_options options, job_gateway_hooks hooks)
    : loop_(loop),
      client_(client),
      options_(options),
      hooks_(std::move(hooks)),
      unstored_(std::make_shared<unstored_calls>(options.unstored)) {}

void job_gateway::Call(schema::fleet_request request,
                       core::monotonic_time deadline, callback done) {
  auto attempt = std::make_shared<attempt_state>();
  attempt->request = std::move(request);
  attempt->deadline = deadline;
  attempt->patient_until = std::min(deadline, core::Now() + options_.patience);
  attempt->done = std::move(done);
  Try(std::move(attempt));
}

void job_gateway::Try(std::shared_ptr<attempt_state> attempt) {
  if (!attempt->done) return;
  const core::monotonic_time now = core::Now();
  if (attempt->may_have_arrived && now >= attempt->deadline) {
    attempt->End(core::Failure(core::error_code::kOutcomeUnknown,
                               "the leader did not answer in time"));
    return;
  }
  if (!attempt->may_have_arrived && now >= attempt->patient_until) {
    attempt->End(core::Failure(core::error_code::kNoOwner,
                               "no leader could be reached in time"));
    return;
  }
  const auto left =
      std::chrono::ceil<core::milliseconds>(attempt->deadline - now);
  attempt->request.set_left_ms(static_cast<std::uint32_t>(left.count()));
  if (hooks_.local() != nullptr) {
    Answer(attempt->request, [this, attempt](const schema::fleet_reply& reply) {
      OnReply(attempt, reply);
    });
    return;
  }
  const std::string address = hooks_.leader();
  if (address.empty()) {
    Retry(std::move(attempt), options_.retry);
    return;
  }
  if (attempt->Unanswered(address) >= options_.max_unanswered) {
    if (now - attempt->doubted >= options_.attempt) Doubt(*attempt);
    Retry(std::move(attempt), options_.retry);
    return;
  }
  if (now < attempt->paused_until) {
    Retry(std::move(attempt), options_.retry);
    return;
  }
  TryRemote(std::move(attempt), address);
}

void job_gateway::TryRemote(std::shared_ptr<attempt_state> attempt,
                            const std::string& address) {
  const core::milliseconds left(attempt->request.left_ms());
  const core::milliseconds timeout = std::min(left, options_.attempt);
  // The connection drops its hook, and `open` with it, when no answer can come
  // on it any more.
  auto open = std::make_shared<const std::string>(address);
  attempt->open.push_back(open);
  net::http_call call{
      .address = address,
      .method = "POST",
      .target = std::string(kFleetCallPath),
      .body = attempt->request.SerializeAsString(),
      .timeout = timeout,
      .total_timeout = left,
      .late_response_timeout = left - timeout,
      .on_late_response = [this, attempt, open = std::move(open)](
                              const net::http_reply& reply) {
        if (attempt->done) OnLateReply(*attempt, *open, reply);
      }};
  client_.Send(
      std::move(call),
      [this, attempt](const core::result<net::http_reply>& reply) {
        if (!attempt->done) return;
        if (const auto answer = Parse(reply)) {
          OnReply(attempt, *answer);
          return;
        }
        if (reply || reply.error().code != core::error_code::kUnreachable) {
          attempt->may_have_arrived = true;
        }
        Doubt(*attempt);
        Retry(attempt, options_.retry);
      });
}

void job_gateway::OnLateReply(attempt_state& attempt,
                              const std::string& address,
                              const net::http_reply& reply) {
  const auto answer = Parse(reply);
  if (!answer) return;
  switch (answer->outcome()) {
    case schema::FLEET_OK:
      attempt.End(*answer);
      break;
    case schema::FLEET_UNKNOWN_JOB:
      // A later leader may know the job.
      if (address == hooks_.leader()) attempt.End(*answer);
      break;
    case schema::FLEET_OVERLOADED:
      attempt.paused_until = core::Now() + options_.overloaded_retry;
      break;
    default:
      break;
  }
}

void job_gateway::Doubt(attempt_state& attempt) {
  attempt.doubted = core::Now();
  hooks_.doubt();
}

void job_gateway::Retry(std::shared_ptr<attempt_state> attempt,
                        core::milliseconds pause) {
  loop_.After(pause, [this, attempt = std::move(attempt)] { Try(attempt); });
}

void job_gateway::OnReply(std::shared_ptr<attempt_state> attempt,
                          const schema::fleet_reply& reply) {
  if (!attempt->done) return;
  if (reply.outcome() == schema::FLEET_NOT_LEADING ||
      reply.outcome() == schema::FLEET_OUTCOME_UNKNOWN) {
    attempt->may_have_arrived |=
        reply.outcome() == schema::FLEET_OUTCOME_UNKNOWN;
    Retry(std::move(attempt), options_.retry);
    return;
  }
  if (reply.outcome() == schema::FLEET_OVERLOADED) {
    if (attempt->may_have_arrived) {
      Retry(std::move(attempt), options_.overloaded_retry);
      return;
    }
    attempt->End(core::Failure(core::error_code::kOverloaded,
                               "the leader is behind with its records"));
    return;
  }
  attempt->End(reply);
}

void job_gateway::Answer(const schema::fleet_request& request,
                         std::function<void(schema::fleet_reply)> done) {
  fleet_leader* const leader = hooks_.local();
  schema::fleet_reply reply;
  if (leader == nullptr || !leader->Loaded()) {
    reply.set_outcome(schema::FLEET_NOT_LEADING);
    done(reply);
    return;
  }
  fleet_core& core = leader->Core();
  const core::monotonic_time now = core::Now();
  const auto once_stored = [unstored = unstored_, &core, leader, &done,
                            now](const std::string& id) {
    unstored->Add(now);
    core.OnceStored(id, [unstored, now, done](bool stored) {
      unstored->Remove(now);
      schema::fleet_reply outcome;
      outcome.set_outcome(stored ? schema::FLEET_OK
                                 : schema::FLEET_OUTCOME_UNKNOWN);
      done(outcome);
    });
    leader->Progress();
  };
  switch (request.call_case()) {
    case schema::fleet_request::kSubmit:
      // A job that was taken in before is not refused: it will run.
      if (request.left_ms() > 0 && !core.HasJob(request.submit().id()) &&
          unstored_->Hopeless(core::milliseconds(request.left_ms()), now)) {
        reply.set_outcome(schema::FLEET_OVERLOADED);
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
      reply.set_outcome(schema::FLEET_UNKNOWN_JOB);
      break;
    case schema::fleet_request::kShow:
      if (const auto state = core.StoredState(request.show())) {
        reply.set_outcome(schema::FLEET_OK);
        reply.set_state(*state);
      } else {
        reply.set_outcome(schema::FLEET_UNKNOWN_JOB);
      }
      break;
    case schema::fleet_request::kCountWaiting:
      reply.set_outcome(schema::FLEET_OK);
      reply.set_waiting(core.CountUnstartedJobs(request.count_waiting()));
      break;
    case schema::fleet_request::CALL_NOT_SET:
      break;
  }
  done(reply);
}

}  // namespace waxwingfront::fleet
