// Which steps need the adviser's permits now, in which order, and for which
// executors.
#ifndef WAXWINGFRONT_FLEET_STEP_ADVICE_H_
#define WAXWINGFRONT_FLEET_STEP_ADVICE_H_

#include <compare>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/job_deadlines.h"
#include "waxwingfront/fleet/placement.h"

namespace waxwingfront::fleet {

// Order in which advice is requested: lower values go first.
struct advice_rank {
  // Calls for the step that were of no use since a task of it was last placed.
  // Otherwise a step whose permits are of no use would starve those after it.
  int unused_calls = 0;
  int priority = 0;
  deadline_feasibility feasibility = deadline_feasibility::kOnTime;
  core::monotonic_time due{};

  friend auto operator<=>(const advice_rank&, const advice_rank&) = default;
};

// Returns a request for the step of the waiting task on the cheapest executors
// of `service` that fit and that were neither permitted nor refused. It names
// none if the step cannot start now.
advice_request AdviceRequestFor(const fleet_state& state,
                                const task_state& waiting,
                                std::string_view service,
                                core::monotonic_time now,
                                const placement_cost& cost);

class step_advice {
 public:
  step_advice(fleet_state& state, placement_cost cost)
      : state_(state), cost_(std::move(cost)) {}

  // Called with each request whose permits were all void when they came.
  std::function<void(const advice_request&, moment)> on_void;

  advice_rank RankOf(const step_ref& step, core::monotonic_time now) const;

  // Updates the request, which is sent now, to the present state. Returns false
  // if the step cannot start now; the request is then withdrawn.
  bool Prepare(advice_request& request, moment at);

  // Handles the adviser's reply; empty if the request failed.
  void OnReply(const advice_request& request,
               const std::optional<advice_reply>& reply, moment at);

 private:
  // Returns null if the step's job is gone.
  step_state* FindStep(const step_ref& step) const;

  fleet_state& state_;
  placement_cost cost_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_STEP_ADVICE_H_
