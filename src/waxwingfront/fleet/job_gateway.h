// Forwards callers' job requests to the leader, in this or another process.
#ifndef WAXWINGFRONT_FLEET_JOB_GATEWAY_H_
#define WAXWINGFRONT_FLEET_JOB_GATEWAY_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/fleet/fleet_leader.h"
#include "waxwingfront/fleet/leadership_check.h"
#include "waxwingfront/fleet/pending_calls.h"
#include "waxwingfront/net/async_http_client.h"
#include "waxwingfront/net/event_loop.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::fleet {

// Path of calls between processes.
inline constexpr std::string_view kFleetCallPath = "/fleet/call";

struct job_gateway_options {
  // Delay before an unsuccessful call is retried.
  core::milliseconds retry{40};
  // Delay after the leader rejected as overloaded a call that it may have from
  // an earlier attempt.
  core::milliseconds overloaded_retry{250};
  // Timeout of one attempt, so that a silent connection is given up while there
  // is time for another.
  core::milliseconds attempt_timeout{1000};
  // Attempts of one call that may be in flight to one leader.
  std::size_t max_in_flight = 2;
  // When the caller of a long-running job without room should try again. Room
  // is freed by cancels, which arrive over tens of seconds.
  core::milliseconds no_room_retry{5000};
  // A call that has reached no leader for this long is rejected while its
  // caller has time to retry: about half of a takeover, after which a caller of
  // this process is better off at another.
  core::milliseconds leader_search_timeout{1000};
  pending_calls_options pending;
};

struct job_gateway_hooks {
  // Returns this process's leader, or null while another process leads.
  std::function<fleet_leader*()> local;
  // Returns the internal address of the leader, empty if unknown.
  std::function<std::string()> leader;
  // Called when a call to the leader has failed.
  std::function<void()> recheck_leader;
  // Asks the store whether this process still leads, see `leadership_check`:
  // now, or up to `max_age` ago.
  std::function<void(leadership_check::callback)> confirm_leadership;
  std::function<void(leadership_check::callback)> confirm_recent_leadership;
  std::function<moment()> now;
  // Called when this process, as the leader, rejects a job without room.
  std::function<void(const std::string& job, const standing_room&)> on_no_room;
  // The same for a job whose starts would wait for the link until it is
  // useless.
  std::function<void(const std::string& job, const start_refusal&)>
      on_link_full;
  // The same for a best-effort job whose kind stands still.
  std::function<void(const std::string& job, const work_refusal&)>
      on_work_refused;
  // The same for a job that would cost too much memory.
  std::function<void(const std::string& job, const memory_refusal&)>
      on_memory_full;
};

class job_gateway {
 public:
  using callback = std::function<void(core::result<schema::fleet_reply>)>;

  job_gateway(net::event_loop& loop, net::async_http_client& client,
              job_gateway_options options, job_gateway_hooks hooks);

  // Calls the leader until it responds or `deadline` passes. Calls `done` once,
  // with the first final response to any attempt. Fails with `kNoOwner` if no
  // leader was reached within `leader_search_timeout`, so that nothing was
  // done; with `kOverloaded` if the leader's backlog is too long for the
  // remaining time, so that nothing was done either; and with `kOutcomeUnknown`
  // if a leader may have received the call. A job without room, or one that
  // would be useless, is a reply with the outcome `FLEET_OVERLOADED`.
  void Call(schema::fleet_request request, core::monotonic_time deadline,
            callback done);

  using reply_callback = std::function<void(schema::fleet_reply)>;

  // Handles a call as the leader if this process leads. What a later leader
  // could contradict, that there is no such job and how many wait, is answered
  // once the store has confirmed that this process leads. A job's state is
  // answered from memory, since it was stored and later leaders continue it.
  void Handle(const schema::fleet_request& request, reply_callback done) {
    Answer(request, std::move(done), false);
  }

 private:
  struct call_state;

  // Handles a call. `confirmed` says whether the store has confirmed since it
  // arrived that this process leads.
  void Answer(const schema::fleet_request& request, reply_callback done,
              bool confirmed);
  // Returns the continuation of a call that waits for the confirmation.
  leadership_check::callback OnceConfirmed(const schema::fleet_request& request,
                                           reply_callback done);

  void Try(std::shared_ptr<call_state> call);
  void TryRemote(std::shared_ptr<call_state> call, const std::string& address);
  void Retry(std::shared_ptr<call_state> call, core::milliseconds delay);
  void OnReply(std::shared_ptr<call_state> call,
               const schema::fleet_reply& reply);
  // Handles the response to an attempt that timed out while others continue.
  void OnLateReply(call_state& call, const std::string& address,
                   const net::http_reply& reply);
  void RecheckLeader(call_state& call);
  // True if the job is new and there is no room for it.
  bool RejectsForRoom(const fleet_core& core,
                      const schema::fleet_job& job) const;
  // Returns when the caller should return if the job is new and would be
  // useless, would stand still with the others of its kind, or would cost too
  // much memory.
  std::optional<core::milliseconds> RejectsForLoad(
      fleet_core& core, const schema::fleet_job& job) const;

  net::event_loop& loop_;
  net::async_http_client& client_;
  job_gateway_options options_;
  job_gateway_hooks hooks_;
  // Shared with callbacks that a leader may call after the gateway's
  // destruction.
  std::shared_ptr<pending_calls> pending_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_JOB_GATEWAY_H_
