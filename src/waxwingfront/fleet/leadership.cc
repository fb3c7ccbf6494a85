#include "waxwingfront/fleet/leadership.h"

#include <algorithm>
#include <utility>

#include "waxwingfront/fleet/former_claim.h"
#include "waxwingfront/fleet/leader_record.h"
#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::fleet {

struct leadership::internal : std::enable_shared_from_this<internal> {
  internal(net::event_loop& event_loop, const store_services& services,
           leadership_options chosen, leadership_hooks callbacks)
      : loop(event_loop),
        store(services),
        options(std::move(chosen)),
        hooks(std::move(callbacks)),
        follower(
            event_loop, services, options.follower,
            {.on_vacant = [this](std::int64_t revision) { OnVacant(revision); },
             .on_held = [this](
                            const std::string& value,
                            std::int64_t revision) { OnHeld(value, revision); },
             .on_past =
                 [this](const std::string& value, std::int64_t revision) {
                   const leader_record record = ParseLeaderRecord(value);
                   if (record.reserved) NoteReservation(record, revision);
                 },
             .on_response = [this] { last_response = core::Now(); }}),
        renewal(event_loop, services, options.renewal,
                {.on_renewed = [this] { last_response = core::Now(); },
                 .on_ended = [this] { StepDown("lease ended"); },
                 .boot_time_ms = hooks.boot_time_ms,
                 .on_stage = hooks.on_stage}) {}

  // Contains the lease, so that a claim that takes effect late is not mistaken
  // for the claim under the lease that is being renewed.
  std::string OwnValue() const {
    return FormatLeaderRecord({.address = options.address,
                               .nonce = options.nonce,
                               .lease = lease.id,
                               .strength = options.strength});
  }

  void SetLeader(const std::string& address, std::int64_t strength,
                 std::int64_t revision) {
    if (revision < latest_token) return;
    latest_token = revision;
    OnVacancyEnded();
    leaderless_since.reset();
    leader_strength = strength;
    ChangeLeader(address);
  }

  // Nobody leads as of `revision` of the store.
  void SetLeaderless(std::int64_t revision) {
    // Announcements of leaders that were elected before may still arrive.
    latest_token = std::max(latest_token, revision);
    if (!leaderless_since) leaderless_since = core::Now();
    ChangeLeader("");
  }

  void ChangeLeader(const std::string& address) {
    if (address == leader) return;
    leader = address;
    hooks.on_leader_change(leader);
  }

  void OnVacancyEnded() {
    ++vacancy;
    claim_pending = false;
    claim_delay_over = false;
  }

  void OnHeld(const std::string& value, std::int64_t revision) {
    if (leading && revision == token) return follower.Watch();
    if (leading) return StepDown("the leader key was taken away");
    const leader_record record = ParseLeaderRecord(value);
    if (record.reserved) {
      OnReserved(record, revision);
      return;
    }
    if (revision != former.Token()) {
      if (value == OwnValue() && !resigned) {
        OnClaimed(revision);
        return;
      }
      if (record.address == options.address && record.nonce == options.nonce) {
        EndStaleClaim(record.lease);
      } else {
        SetLeader(record.address, record.strength, revision);
      }
    }
    Follow(record, revision);
  }

  void Follow(const leader_record& record, std::int64_t revision) {
    if (former.EndAgain(record, revision)) {
      follower.ReadLater();
    } else {
      follower.Watch();
    }
  }

  // Only the process that the key is reserved for claims it. The reservation
  // ends with the lease of the leader that made it.
  void OnReserved(const leader_record& record, std::int64_t revision) {
    NoteReservation(record, revision);
    if (record.address == options.address) {
      if (!resigned) {
        if (hooks.on_claim) hooks.on_claim(core::milliseconds(0));
        Claim(revision);
        return;
      }
      store_write decline;
      decline.expect.push_back(
          {.key = std::string(kLeaderKey), .revision = revision});
      decline.remove.emplace_back(kLeaderKey);
      store.write(decline, [](const store_write_reply&) {});
    }
    Follow(record, revision);
  }

  void NoteReservation(const leader_record& record, std::int64_t revision) {
    if (revision <= latest_token) return;
    OnVacancyEnded();
    leaderless_since = core::Now() - record.leaderless;
    SetLeaderless(revision);
    if (record.reserved_by != former.Token() && hooks.on_reserved) {
      hooks.on_reserved(record.address);
    }
  }

  // Ends the lease of an earlier claim of this process, under which nobody
  // leads.
  void EndStaleClaim(std::int64_t claimed_under) {
    OnVacancyEnded();
    SetLeaderless(0);
    if (claimed_under != 0) store.end_lease(claimed_under);
  }

  void OnVacant(std::int64_t revision) {
    if (leading) return StepDown("the leader key is gone");
    SetLeaderless(revision);
    if (!resigned && !claim_pending) ScheduleClaim();
    follower.Watch();
  }

  // The key is watched during the delay, so that no claim is made once another
  // process leads. `hooks.claim_delay` applies once per vacancy; further claims
  // during it wait for the jitter only.
  void ScheduleClaim() {
    claim_pending = true;
    core::milliseconds delay(hooks.random(options.claim_jitter.count() + 1));
    if (!claim_delay_over && hooks.claim_delay)
      delay = hooks.claim_delay(delay);
    loop.After(delay, [self = shared_from_this(), planned = vacancy, delay] {
      if (self->vacancy != planned || !self->claim_pending) return;
      self->claim_pending = false;
      self->claim_delay_over = true;
      if (self->hooks.on_claim) self->hooks.on_claim(delay);
      self->Claim(0);
    });
  }

  // Claims the key if its revision is `expected`, which is 0 if it is vacant.
  void Claim(std::int64_t expected) {
    if (resigned || leading) return;
    follower.Pause();
    claiming = true;
    const int current = ++claim;
    const std::int64_t sent_ms = hooks.boot_time_ms();
    store.grant_lease(options.lease,
                      [self = shared_from_this(), current, sent_ms,
                       expected](core::result<store_lease> granted) {
                        if (self->claim != current) return;
                        if (!granted) {
                          self->claiming = false;
                          self->follower.ReadLater();
                          return;
                        }
                        self->lease = *granted;
                        self->lease_requested_ms = sent_ms;
                        self->WriteClaim(expected);
                      });
  }

  void WriteClaim(std::int64_t expected) {
    store_write write;
    write.expect.push_back(
        {.key = std::string(kLeaderKey), .revision = expected});
    write.put.push_back({.key = std::string(kLeaderKey),
                         .value = OwnValue(),
                         .lease = lease.id});
    store.write(write, [self = shared_from_this(),
                        current = claim](const store_write_reply& reply) {
      if (self->claim != current) return;
      self->claiming = false;
      const bool applied = reply.status == store_write_status::kApplied;
      if (applied && !self->resigned) {
        self->OnClaimed(reply.revision);
        return;
      }
      if (applied) self->store.end_lease(self->lease.id);
      // Nothing else paces claims of a reserved key.
      if (reply.status == store_write_status::kNotApplied ||
          reply.status == store_write_status::kLeaseEnded) {
        self->follower.ReadLater();
      } else {
        self->follower.Read();
      }
    });
  }

  void OnClaimed(std::int64_t revision) {
    // The key may be taken away although its lease lasts.
    follower.WatchAfter(revision);
    OnVacancyEnded();
    leading = true;
    token = revision;
    latest_token = revision;
    renewal.Start(lease, lease_requested_ms);
    ChangeLeader(options.address);
    hooks.on_elected(token, core::Now());
  }

  void StepDown(std::string_view reason) {
    if (!leading) return;
    leading = false;
    former.Set(token, lease.id);
    renewal.Stop();
    // The cause may be this process's own connection to the store.
    last_response.reset();
    hooks.on_deposed(reason);
    ChangeLeader("");
    follower.Read();
  }

  void HandOver(const std::string& successor) {
    if (!leading) return;
    store_write reservation;
    reservation.expect.push_back(
        {.key = std::string(kLeaderKey), .revision = token});
    reservation.put.push_back(
        {.key = std::string(kLeaderKey),
         .value = FormatLeaderRecord({.address = successor,
                                      .reserved = true,
                                      .reserved_by = token,
                                      .leaderless = LeaderlessTime()}),
         .lease = lease.id});
    StepDown("handed over");
    const auto release = [self = shared_from_this(), of = lease.id] {
      if (!self->closed) self->EndReservation(of);
    };
    store.write(reservation, [release](const store_write_reply& reply) {
      if (reply.status != store_write_status::kApplied) release();
    });
    // A renewal that takes effect late would extend the reservation.
    loop.After(options.lease, release);
  }

  core::milliseconds LeaderlessTime() const {
    if (!leaderless_since) return core::milliseconds(0);
    return std::chrono::duration_cast<core::milliseconds>(core::Now() -
                                                          *leaderless_since);
  }

  void EndReservation(std::int64_t of) {
    former.End(of);
    // Shows whether the request was lost.
    if (!leading && !claiming && !follower.Reading()) follower.ReadLater();
  }

  net::event_loop& loop;
  const store_services& store;
  leadership_options options;
  leadership_hooks hooks;
  std::string leader;
  // 0 if unknown.
  std::int64_t leader_strength = 0;
  leader_key_follower follower;
  store_lease lease;
  std::int64_t lease_requested_ms = 0;
  lease_renewal renewal;
  std::int64_t token = 0;
  // Nobody leads under it any more, even while the key names this process.
  former_claim former{store};
  // Token of the latest known leader.
  std::int64_t latest_token = 0;
  bool leading = false;
  bool resigned = false;
  bool closed = false;
  // Number of times that this process saw a vacancy end.
  int vacancy = 0;
  bool claim_pending = false;
  // The claim delay of this vacancy has elapsed.
  bool claim_delay_over = false;
  // When this process saw that there was no leader that is ready.
  std::optional<core::monotonic_time> leaderless_since;
  // Time of the last successful store response about the key or its lease.
  std::optional<core::monotonic_time> last_response;
  // Time of the last read on request, which limits the rate of store calls.
  core::monotonic_time last_recheck{};
  // A claim is in flight.
  bool claiming = false;
  // Number of claims; responses to calls of an earlier one are ignored.
  int claim = 0;
};

leadership::leadership(net::event_loop& loop, const store_services& store,
                       leadership_options options, leadership_hooks hooks)
    : internal_(std::make_shared<internal>(loop, store, std::move(options),
                                           std::move(hooks))) {}

leadership::~leadership() {
  internal_->closed = true;
  internal_->leading = false;
  internal_->renewal.Stop();
  internal_->follower.Pause();
  ++internal_->claim;
  ++internal_->vacancy;
}

void leadership::Start() { internal_->follower.Read(); }

bool leadership::MayOrder() const { return internal_->renewal.Valid(); }

bool leadership::Leading() const { return internal_->leading; }

std::int64_t leadership::Token() const { return internal_->token; }

std::optional<std::chrono::steady_clock::duration> leadership::OnReady() {
  const auto since = std::exchange(internal_->leaderless_since, std::nullopt);
  if (!since) return std::nullopt;
  return core::Now() - *since;
}

const std::string& leadership::Leader() const { return internal_->leader; }

std::int64_t leadership::LatestToken() const { return internal_->latest_token; }

std::int64_t leadership::LeaderStrength() const {
  return internal_->leader.empty() ? 0 : internal_->leader_strength;
}

void leadership::OnSuperseded(std::string_view reason) {
  internal_->StepDown(reason);
}

void leadership::OnAnnouncement(std::int64_t token,
                                const std::string& address) {
  if (token <= internal_->latest_token) return;
  internal_->StepDown("another process announced a larger token");
  internal_->SetLeader(address, 0, token);
}

void leadership::RecheckLeader() {
  const core::monotonic_time now = core::Now();
  // A read or claim in flight tells as much, and one that is repeated before
  // the store responds never would.
  if (internal_->leading || internal_->claiming ||
      internal_->follower.Reading() ||
      now - internal_->last_recheck < internal_->options.recheck_interval) {
    return;
  }
  internal_->last_recheck = now;
  internal_->follower.Read();
}

void leadership::Resign() {
  internal_->resigned = true;
  if (!internal_->leading) return;
  internal_->StepDown("resigned");
  internal_->former.End(internal_->lease.id);
}

void leadership::HandOver(const std::string& successor) {
  internal_->HandOver(successor);
}

bool leadership::EligibleToLead() const {
  return !internal_->resigned && internal_->last_response &&
         core::Now() - *internal_->last_response <=
             internal_->options.follower.watch_timeout +
                 internal_->options.watch_slack;
}

}  // namespace waxwingfront::fleet
