// Brings callers' requests about jobs to the leader, wherever it is.
#ifndef WAXWINGFRONT_FLEET_JOB_GATEWAY_H_
#define WAXWINGFRONT_FLEET_JOB_GATEWAY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/fleet/fleet_leader.h"
#include "waxwingfront/fleet/unstored_calls.h"
#include "waxwingfront/net/async_http_client.h"
#include "waxwingfront/net/event_loop.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::fleet {

// Path of calls between processes.
inline constexpr std::string_view kFleetCallPath = "/fleet/call";

struct job_gateway_options {
  // Pause before a call without success is tried again.
  core::milliseconds retry{40};
  // The same after the leader has refused a call that it may have from an
  // earlier attempt.
  core::milliseconds overloaded_retry{250};
  // Longest wait for one answer of the leader: a silent connection is given up
  // while there is time for another.
  core::milliseconds attempt{1000};
  // Attempts of one call that one leader may have without an answer.
  std::size_t max_unanswered = 2;
  // A call that has reached no leader for this long is refused while its caller
  // has time to come back: about half a take-over, after which a caller at this
  // process is better off at another.
  core::milliseconds patience{1000};
  unstored_calls_options unstored;
};

struct job_gateway_hooks {
  // This process's leader object; null while another process leads.
  std::function<fleet_leader*()> local;
  // Internal address of the leader; empty if it is not known.
  std::function<std::string()> leader;
  // A call to the leader failed.
  std::function<void()> doubt;
  std::function<moment()> now;
};

class job_gateway {
 public:
  using callback = std::function<void(core::result<schema::fleet_reply>)>;

  job_gateway(net::event_loop& loop, net::async_http_client& client,
              job_gateway_options options, job_gateway_hooks hooks);

  // Calls the leader until it has answered or `deadline` is over; `done` is
  // called once, with the first final answer to any attempt. Fails with
  // `kNoOwner` if no leader was reached within the patience, so that nothing
  // was done, with `kOverloaded` if the leader is too far behind for the time
  // left, so that nothing was done either, and with `kOutcomeUnknown` if a
  // leader may have taken the call.
  void Call(schema::fleet_request request, core::monotonic_time deadline,
            callback done);

  // Answers a call as the leader, if this process leads.
  void Answer(const schema::fleet_request& request,
              std::function<void(schema::fleet_reply)> done);

 private:
  struct attempt_state;

  void Try(std::shared_ptr<attempt_state> attempt);
  void TryRemote(std::shared_ptr<attempt_state> attempt,
                 const std::string& address);
  void Retry(std::shared_ptr<attempt_state> attempt, core::milliseconds pause);
  void OnReply(std::shared_ptr<attempt_state> attempt,
               const schema::fleet_reply& reply);
  // Takes the answer to an attempt that was given up; others go on.
  void OnLateReply(attempt_state& attempt, const std::string& address,
                   const net::http_reply& reply);
  void Doubt(attempt_state& attempt);

  net::event_loop& loop_;
  net::async_http_client& client_;
  job_gateway_options options_;
  job_gateway_hooks hooks_;
  // Shared with callbacks, which a leader may call after the gateway's end.
  std::shared_ptr<unstored_calls> unstored_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_JOB_GATEWAY_H_
