#include "waxwingfront/fleet/advice_driver.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace waxwingfront::fleet {

struct advice_driver::internal : std::enable_shared_from_this<internal> {
  internal(const executor_services& services, fleet_core& fleet,
           advice_pacer_options options, advice_driver_hooks callbacks,
           logging::event_log& events)
      : executors(services),
        core(fleet),
        pacer(options),
        hooks(std::move(callbacks)),
        log(events) {}

  void Pump() {
    while (!waiting.empty()) {
      const moment at = hooks.now();
      // Saves comparing the requests while none can be sent.
      if (!pacer.HasRoom(at.now)) return;
      const auto next = First(at.now);
      if (!pacer.MaySend(*next, at.now)) return;
      advice_request request = std::move(*next);
      waiting.erase(next);
      if (core.Advice().Prepare(request, at)) SendNow(std::move(request), at);
    }
  }

  std::vector<advice_request>::iterator First(core::monotonic_time now) {
    auto first = waiting.begin();
    advice_rank lowest = core.Advice().RankOf(first->step, now);
    for (auto it = std::next(first); it != waiting.end(); ++it) {
      const advice_rank rank = core.Advice().RankOf(it->step, now);
      if (rank < lowest) {
        first = it;
        lowest = rank;
      }
    }
    return first;
  }

  void SendNow(advice_request request, moment at) {
    const advice_pacer::sent_call call = pacer.Sent(request, at.now);
    request.timeout = call.timeout;
    executors.advise(request,
                     [self = shared_from_this(), request, number = call.number,
                      sent = at.now](core::result<advice_reply> reply) {
                       if (!self->closed) {
                         self->OnReply(request, number, sent, std::move(reply));
                       }
                     });
  }

  void OnReply(const advice_request& request, std::uint64_t number,
               core::monotonic_time sent, core::result<advice_reply> reply) {
    const moment at = hooks.now();
    if (reply) {
      reply->valid_from = pacer.Answered(number, at.now);
      if (reply->valid.count() == 0) reply->valid = request.figures.valid;
    } else {
      pacer.Failed(number, at.now);
    }
    const auto took =
        std::chrono::duration_cast<core::milliseconds>(at.now - sent);
    log.Write(
        "advice",
        {{"job", request.step.job},
         {"step", std::int64_t{request.step.step}},
         {"asked", static_cast<std::int64_t>(request.executors.size())},
         {"permitted", reply ? static_cast<std::int64_t>(reply->permits.size())
                             : std::int64_t{0}},
         {"took_ms", static_cast<std::int64_t>(took.count())},
         {"waiting", static_cast<std::int64_t>(waiting.size())},
         {"cause", reply ? std::string_view()
                         : std::string_view(reply.error().detail)}});
    core.OnAdvice(request, reply ? std::optional(*reply) : std::nullopt, at);
    Pump();
    hooks.on_progress();
  }

  const executor_services& executors;
  fleet_core& core;
  advice_pacer pacer;
  advice_driver_hooks hooks;
  logging::event_log& log;
  std::vector<advice_request> waiting;
  bool closed = false;
};

advice_driver::advice_driver(const executor_services& executors,
                             fleet_core& core, advice_pacer_options options,
                             advice_driver_hooks hooks, logging::event_log& log)
    : internal_(std::make_shared<internal>(executors, core, options,
                                           std::move(hooks), log)) {}

advice_driver::~advice_driver() { internal_->closed = true; }

void advice_driver::Send(std::span<const advice_request> requests) {
  internal_->waiting.insert(internal_->waiting.end(), requests.begin(),
                            requests.end());
  internal_->Pump();
}

}  // namespace waxwingfront::fleet
