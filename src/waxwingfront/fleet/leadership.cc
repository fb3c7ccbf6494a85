#include "waxwingfront/fleet/leadership.h"

#include <utility>

namespace waxwingfront::fleet {

struct leadership::internal : std::enable_shared_from_this<internal> {
  internal(net::event_loop& event_loop, const store_services& services,
           leadership_options chosen, leadership_hooks callbacks)
      : loop(event_loop),
        store(services),
        options(std::move(chosen)),
        hooks(std::move(callbacks)) {}

  std::string OwnValue() const { return options.address + " " + options.nonce; }

  void SetLeader(const std::string& value, std::int64_t revision) {
    if (revision != 0 && revision < latest_token) return;
    if (revision != 0) latest_token = revision;
    const std::string address = value.substr(0, value.find(' '));
    if (address == leader) return;
    leader = address;
    hooks.on_leader(leader);
  }

  // Calls `step` later, unless something else has taken its place.
  void Later(core::milliseconds delay, void (internal::*step)()) {
    loop.After(delay, [self = shared_from_this(), step, round = round] {
      if (self->round == round) (*self.*step)();
    });
  }

  void Observe() {
    if (leading) return;
    const int started = ++round;
    store.get(kLeaderKey, [self = shared_from_this(),
                           started](core::result<store_page> page) {
      if (self->round != started) return;
      if (!page) {
        self->Later(self->options.retry, &internal::Observe);
        return;
      }
      self->watched = page->at;
      const store_item& item = page->items.front();
      if (item.revision == 0) {
        self->OnVacant();
      } else if (item.value == self->OwnValue()) {
        self->OnClaimed(item.revision);
      } else {
        self->SetLeader(item.value, item.revision);
        self->Watch();
      }
    });
  }

  void Watch() {
    if (leading) return;
    const int started = ++round;
    store.watch(
        kLeaderKey, watched, options.watch,
        [self = shared_from_this(), started](core::result<store_changes> news) {
          if (self->round == started) self->OnWatch(news);
        });
  }

  void OnWatch(const core::result<store_changes>& news) {
    if (!news) {
      Later(options.retry, &internal::Observe);
      return;
    }
    if (news->compacted) {
      Observe();
      return;
    }
    watched = news->at;
    if (news->changes.empty()) {
      Watch();
      return;
    }
    const store_change& last = news->changes.back();
    if (!last.value) {
      OnVacant();
      return;
    }
    SetLeader(*last.value, last.revision);
    Watch();
  }

  void OnVacant() {
    SetLeader("", 0);
    if (resigned) {
      Watch();
      return;
    }
    const core::milliseconds delay(
        hooks.random(options.claim_spread.count() + 1));
    Later(delay, &internal::Claim);
  }

  void Claim() {
    if (resigned || leading) return;
    const int started = ++round;
    const std::int64_t asked_ms = hooks.boot_time_ms();
    store.grant_lease(options.lease,
                      [self = shared_from_this(), started,
                       asked_ms](core::result<store_lease> granted) {
                        if (self->round != started) return;
                        if (!granted) {
                          self->Later(self->options.retry, &internal::Observe);
                          return;
                        }
                        self->lease = *granted;
                        self->valid_until_ms = asked_ms + granted->ttl.count();
                        self->WriteClaim();
                      });
  }

  void WriteClaim() {
    const int started = ++round;
    store_write claim;
    claim.expect.push_back({.key = std::string(kLeaderKey), .revision = 0});
    claim.put.push_back({.key = std::string(kLeaderKey),
                         .value = OwnValue(),
                         .lease = lease.id});
    store.write(claim, [self = shared_from_this(),
                        started](const store_write_reply& reply) {
      if (self->round != started) return;
      if (reply.status == store_write_status::kApplied) {
        self->OnClaimed(reply.revision);
      } else {
        self->Observe();
      }
    });
  }

  void OnClaimed(std::int64_t revision) {
    ++round;
    leading = true;
    token = revision;
    latest_token = revision;
    leader = options.address;
    hooks.on_leader(leader);
    hooks.on_elected(token, core::Now());
    Renew();
  }

  void Renew() {
    if (!leading) return;
    const int started = ++round;
    const std::int64_t asked_ms = hooks.boot_time_ms();
    store.renew_lease(lease.id, [self = shared_from_this(), started, asked_ms,
                                 asked = core::Now()](lease_status status) {
      if (self->round != started) return;
      if (self->hooks.on_stage) {
        self->hooks.on_stage(load_stage::kRenewal, core::Now() - asked);
      }
      if (status == lease_status::kEnded) {
        self->StepDown("lease ended");
        return;
      }
      if (status == lease_status::kAlive) {
        self->valid_until_ms = asked_ms + self->lease.ttl.count();
      }
      const bool alive = status == lease_status::kAlive;
      self->Later(alive ? self->options.renew_every : self->options.retry,
                  &internal::Renew);
    });
  }

  bool MayOrder() const {
    return leading &&
           hooks.boot_time_ms() + options.lease_margin.count() < valid_until_ms;
  }

  void StepDown(std::string_view reason) {
    if (!leading) return;
    leading = false;
    ++round;
    leader.clear();
    hooks.on_deposed(reason);
    hooks.on_leader(leader);
    Observe();
  }

  net::event_loop& loop;
  const store_services& store;
  leadership_options options;
  leadership_hooks hooks;
  std::string leader;
  // Store revision up to which the key was followed.
  std::int64_t watched = 0;
  store_lease lease;
  std::int64_t valid_until_ms = 0;
  std::int64_t token = 0;
  // Token of the latest leader known.
  std::int64_t latest_token = 0;
  bool leading = false;
  bool resigned = false;
  // Last look at the key on request, to bound the calls to the store.
  core::monotonic_time doubted{};
  // Answers to calls of an earlier round are ignored.
  int round = 0;
};

leadership::leadership(net::event_loop& loop, const store_services& store,
                       leadership_options options, leadership_hooks hooks)
    : internal_(std::make_shared<internal>(loop, store, std::move(options),
                                           std::move(hooks))) {}

leadership::~leadership() { ++internal_->round; }

void leadership::Start() { internal_->Observe(); }

bool leadership::MayOrder() const { return internal_->MayOrder(); }

bool leadership::Leading() const { return internal_->leading; }

std::int64_t leadership::Token() const { return internal_->token; }

const std::string& leadership::Leader() const { return internal_->leader; }

void leadership::Deposed(std::string_view reason) {
  internal_->StepDown(reason);
}

void leadership::Hear(std::int64_t token, const std::string& address) {
  if (token <= internal_->latest_token) return;
  internal_->StepDown("another process announced a larger token");
  internal_->SetLeader(address, token);
}

void leadership::Doubt() {
  const core::monotonic_time now = core::Now();
  if (internal_->leading ||
      now - internal_->doubted < internal_->options.retry) {
    return;
  }
  internal_->doubted = now;
  internal_->Observe();
}

void leadership::Resign() {
  const bool led = internal_->leading;
  internal_->resigned = true;
  if (!led) return;
  internal_->StepDown("resigned");
  internal_->store.end_lease(internal_->lease.id);
}

}  // namespace waxwingfront::fleet
