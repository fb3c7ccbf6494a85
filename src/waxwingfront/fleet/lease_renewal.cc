#include "waxwingfront/fleet/lease_renewal.h"

#include <algorithm>
#include <utility>

namespace waxwingfront::fleet {

struct lease_renewal::internal : std::enable_shared_from_this<internal> {
  internal(net::event_loop& event_loop, const store_services& services,
           lease_renewal_options chosen, lease_renewal_hooks callbacks)
      : loop(event_loop),
        store(services),
        options(chosen),
        hooks(std::move(callbacks)) {}

  // Sends a renewal, and the next one once this one is complete or late, since
  // a lost or delayed response must not use up the time of the next renewal.
  void Renew() {
    const std::int64_t sent_ms = hooks.boot_time_ms();
    ++in_flight;
    store.renew_lease(lease.id, [self = shared_from_this(), of = term, sent_ms,
                                 sent = core::Now()](lease_status status) {
      if (!self->active || self->term != of) return;
      if (self->hooks.on_stage) {
        self->hooks.on_stage(load_stage::kRenewal, core::Now() - sent);
      }
      self->OnResponse(status, sent_ms);
    });
    Later(options.hedge_delay, &internal::Hedge);
  }

  void Hedge() {
    if (in_flight == 0) return;
    if (in_flight < options.max_in_flight) {
      Renew();
      return;
    }
    Later(options.hedge_delay, &internal::Hedge);
  }

  void OnResponse(lease_status status, std::int64_t sent_ms) {
    --in_flight;
    if (status == lease_status::kEnded) {
      hooks.on_ended();
      return;
    }
    if (status != lease_status::kAlive) {
      if (in_flight > 0) return;
      ++timer;
      Later(options.retry, &internal::Renew);
      return;
    }
    valid_until_ms = std::max(valid_until_ms, sent_ms + lease.ttl.count());
    hooks.on_renewed();
    ++timer;
    Later(options.interval, &internal::Renew);
  }

  // Calls `step` after `delay`, unless stopped or another timer was set
  // instead.
  void Later(core::milliseconds delay, void (internal::*step)()) {
    loop.After(delay, [self = shared_from_this(), step, current = timer] {
      if (self->active && self->timer == current) (*self.*step)();
    });
  }

  net::event_loop& loop;
  const store_services& store;
  lease_renewal_options options;
  lease_renewal_hooks hooks;
  store_lease lease;
  std::int64_t valid_until_ms = 0;
  bool active = false;
  // Number of leases that were renewed, including this one.
  int term = 0;
  int in_flight = 0;
  // Timers of an earlier number are ignored.
  int timer = 0;
};

lease_renewal::lease_renewal(net::event_loop& loop, const store_services& store,
                             lease_renewal_options options,
                             lease_renewal_hooks hooks)
    : internal_(
          std::make_shared<internal>(loop, store, options, std::move(hooks))) {}

lease_renewal::~lease_renewal() { Stop(); }

void lease_renewal::Start(const store_lease& lease, std::int64_t granted_ms) {
  internal_->lease = lease;
  internal_->valid_until_ms = granted_ms + lease.ttl.count();
  internal_->active = true;
  ++internal_->term;
  ++internal_->timer;
  internal_->in_flight = 0;
  internal_->Renew();
}

void lease_renewal::Stop() {
  internal_->active = false;
  ++internal_->timer;
}

bool lease_renewal::Valid() const {
  return internal_->active &&
         internal_->hooks.boot_time_ms() + internal_->options.margin.count() <
             internal_->valid_until_ms;
}

}  // namespace waxwingfront::fleet
