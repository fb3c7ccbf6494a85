#include "waxwingfront/fleet/advice_driver.h"

#include <deque>
#include <optional>
#include <utility>

namespace waxwingfront::fleet {

struct advice_driver::internal : std::enable_shared_from_this<internal> {
  internal(const executor_services& services, fleet_core& fleet,
           advice_driver_options chosen, advice_driver_hooks callbacks,
           logging::event_log& events)
      : executors(services),
        core(fleet),
        options(chosen),
        hooks(std::move(callbacks)),
        log(events) {}

  void Pump() {
    while (!waiting.empty() && in_flight < options.max_in_flight) {
      const advice_request request = std::move(waiting.front());
      waiting.pop_front();
      ++in_flight;
      core.OnAdviceSent(request, hooks.now().now);
      executors.advise(request, [self = shared_from_this(), request](
                                    const core::result<advice_reply>& reply) {
        if (!self->closed) self->OnReply(request, reply);
      });
    }
  }

  void OnReply(const advice_request& request,
               const core::result<advice_reply>& reply) {
    --in_flight;
    log.Write(
        "advice",
        {{"job", request.step.job},
         {"step", std::int64_t{request.step.step}},
         {"asked", static_cast<std::int64_t>(request.executors.size())},
         {"permitted", reply ? static_cast<std::int64_t>(reply->permits.size())
                             : std::int64_t{0}},
         {"cause", reply ? std::string_view()
                         : std::string_view(reply.error().detail)}});
    core.OnAdvice(request, reply ? std::optional(*reply) : std::nullopt,
                  hooks.now());
    Pump();
    hooks.on_progress();
  }

  const executor_services& executors;
  fleet_core& core;
  advice_driver_options options;
  advice_driver_hooks hooks;
  logging::event_log& log;
  std::deque<advice_request> waiting;
  std::size_t in_flight = 0;
  bool closed = false;
};

advice_driver::advice_driver(const executor_services& executors,
                             fleet_core& core, advice_driver_options options,
                             advice_driver_hooks hooks, logging::event_log& log)
    : internal_(std::make_shared<internal>(executors, core, options,
                                           std::move(hooks), log)) {}

advice_driver::~advice_driver() { internal_->closed = true; }

void advice_driver::Send(std::span<const advice_request> requests) {
  for (const advice_request& request : requests) {
    internal_->waiting.push_back(request);
  }
  internal_->Pump();
}

}  // namespace waxwingfront::fleet
