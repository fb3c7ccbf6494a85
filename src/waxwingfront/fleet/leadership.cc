#include "waxwingfront/fleet/leadership.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <system_error>
#include <utility>

namespace waxwingfront::fleet {

struct leadership::internal : std::enable_shared_from_this<internal> {
  internal(net::event_loop& event_loop, const store_services& services,
           leadership_options chosen, leadership_hooks callbacks)
      : loop(event_loop),
        store(services),
        options(std::move(chosen)),
        hooks(std::move(callbacks)) {}

  // Starts the value of each claim of this process.
  std::string OwnPrefix() const {
    return options.address + " " + options.nonce + " ";
  }

  // A claim names its lease: one that took effect late must not pass for the
  // claim under the lease that is renewed.
  std::string OwnValue() const {
    return OwnPrefix() + std::to_string(lease.id);
  }

  void SetLeader(const std::string& value, std::int64_t revision) {
    if (revision != 0 && revision < latest_token) return;
    if (revision != 0) latest_token = revision;
    const std::string address = value.substr(0, value.find(' '));
    if (!address.empty()) OnTaken();
    if (address == leader) return;
    leader = address;
    hooks.on_leader(leader);
  }

  // Leadership is not free any more.
  void OnTaken() {
    ++vacancy;
    claim_pending = false;
    waited = false;
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
      self->answered = core::Now();
      const store_item& item = page->items.front();
      if (item.revision == 0) {
        self->OnVacant();
      } else {
        self->OnHeld(item.value, item.revision);
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
    answered = core::Now();
    if (news->changes.empty()) {
      Watch();
      return;
    }
    const store_change& last = news->changes.back();
    if (!last.value) {
      OnVacant();
      return;
    }
    OnHeld(*last.value, last.revision);
  }

  void OnHeld(const std::string& value, std::int64_t revision) {
    if (revision != given_up) {
      if (value == OwnValue() && !resigned) {
        OnClaimed(revision);
        return;
      }
      if (value.starts_with(OwnPrefix())) {
        EndClaim(value);
      } else {
        SetLeader(value, revision);
      }
    }
    // The end of the lease of what was given up is on its way.
    Watch();
  }

  // Nobody leads under the lease of an earlier claim of this process.
  void EndClaim(const std::string& value) {
    OnTaken();
    SetLeader("", 0);
    const char* const end = value.data() + value.size();
    std::int64_t claimed_under = 0;
    const auto read =
        std::from_chars(value.data() + OwnPrefix().size(), end, claimed_under);
    if (read.ec == std::errc() && read.ptr == end) {
      store.end_lease(claimed_under);
    }
  }

  void OnVacant() {
    SetLeader("", 0);
    if (!resigned && !claim_pending) PlanClaim();
    Watch();
  }

  // The key is watched meanwhile, so that no claim is made in vain. What is
  // added to the spread is waited once a vacancy, whatever happens during it.
  void PlanClaim() {
    claim_pending = true;
    core::milliseconds delay(hooks.random(options.claim_spread.count() + 1));
    if (!waited && hooks.claim_wait) delay = hooks.claim_wait(delay);
    loop.After(delay, [self = shared_from_this(), planned = vacancy] {
      if (self->vacancy != planned || !self->claim_pending) return;
      self->claim_pending = false;
      self->waited = true;
      self->Claim();
    });
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
      const bool applied = reply.status == store_write_status::kApplied;
      if (applied && !self->resigned) {
        self->OnClaimed(reply.revision);
        return;
      }
      if (applied) self->store.end_lease(self->lease.id);
      self->Observe();
    });
  }

  void OnClaimed(std::int64_t revision) {
    ++round;
    OnTaken();
    leading = true;
    ++term;
    token = revision;
    latest_token = revision;
    leader = options.address;
    renewals = 0;
    hooks.on_leader(leader);
    hooks.on_elected(token, core::Now());
    Renew();
  }

  // Sends a renewal, and the next one when this one is answered or late: an
  // answer that is lost or waits must not take the time of the next.
  void Renew() {
    if (!leading) return;
    const std::int64_t asked_ms = hooks.boot_time_ms();
    ++renewals;
    store.renew_lease(lease.id, [self = shared_from_this(), of = term, asked_ms,
                                 asked = core::Now()](lease_status status) {
      if (!self->leading || self->term != of) return;
      if (self->hooks.on_stage) {
        self->hooks.on_stage(load_stage::kRenewal, core::Now() - asked);
      }
      self->OnRenewal(status, asked_ms);
    });
    Later(options.renewal_late, &internal::RenewBesides);
  }

  void RenewBesides() {
    if (renewals == 0) return;
    if (renewals < options.max_renewals) {
      Renew();
      return;
    }
    Later(options.renewal_late, &internal::RenewBesides);
  }

  void OnRenewal(lease_status status, std::int64_t asked_ms) {
    --renewals;
    if (status == lease_status::kEnded) {
      StepDown("lease ended");
      return;
    }
    if (status != lease_status::kAlive) {
      if (renewals > 0) return;
      ++round;
      Later(options.retry, &internal::Renew);
      return;
    }
    answered = core::Now();
    valid_until_ms = std::max(valid_until_ms, asked_ms + lease.ttl.count());
    ++round;
    Later(options.renew_every, &internal::Renew);
  }

  bool MayOrder() const {
    return leading &&
           hooks.boot_time_ms() + options.lease_margin.count() < valid_until_ms;
  }

  void StepDown(std::string_view reason) {
    if (!leading) return;
    leading = false;
    // What deposed this process may have been its own way to the store.
    answered.reset();
    ++round;
    leader.clear();
    hooks.on_deposed(reason);
    hooks.on_leader(leader);
    Observe();
  }

  // Leads no more under this token, whatever the key says until `Release`.
  void GiveUp(std::string_view reason) {
    if (!leading) return;
    given_up = token;
    given_up_lease = lease.id;
    StepDown(reason);
  }

  void Release() {
    if (given_up_lease == 0) return;
    store.end_lease(given_up_lease);
    given_up_lease = 0;
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
  // Counts the times that this process came to lead.
  int term = 0;
  // Renewals of this term that are on their way.
  int renewals = 0;
  std::int64_t token = 0;
  // Token under which this process leads no more, whatever the key says.
  std::int64_t given_up = 0;
  // Its lease; 0 once its end was sent.
  std::int64_t given_up_lease = 0;
  // Token of the latest leader known.
  std::int64_t latest_token = 0;
  bool leading = false;
  bool resigned = false;
  // Counts the times that leadership was taken, as far as this process saw.
  int vacancy = 0;
  bool claim_pending = false;
  // The added wait of this vacancy is over.
  bool waited = false;
  // Last answer of the store about the key or its lease.
  std::optional<core::monotonic_time> answered;
  // Last look at the key on request, to bound the calls to the store.
  core::monotonic_time doubted{};
  // Answers to calls of an earlier round are ignored.
  int round = 0;
};

leadership::leadership(net::event_loop& loop, const store_services& store,
                       leadership_options options, leadership_hooks hooks)
    : internal_(std::make_shared<internal>(loop, store, std::move(options),
                                           std::move(hooks))) {}

leadership::~leadership() {
  internal_->leading = false;
  ++internal_->round;
  ++internal_->vacancy;
}

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
  internal_->resigned = true;
  internal_->GiveUp("resigned");
  internal_->Release();
}

void leadership::HandOver() { internal_->GiveUp("handed over"); }

void leadership::Release() { internal_->Release(); }

bool leadership::FollowsStore() const {
  return !internal_->resigned && internal_->answered &&
         core::Now() - *internal_->answered <=
             internal_->options.watch + internal_->options.watch_slack;
}

}  // namespace waxwingfront::fleet
