#include "waxwingfront/fleet/leadership_check.h"

#include <chrono>
#include <utility>
#include <vector>

#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::fleet {

struct leadership_check::internal : std::enable_shared_from_this<internal> {
  struct waiter {
    // Token of the leader when it asked.
    std::int64_t token = 0;
    callback done;
  };

  internal(net::event_loop& event_loop, const store_services& services,
           leadership_check_options chosen, leadership_check_hooks callbacks)
      : loop(event_loop),
        store(services),
        options(chosen),
        hooks(std::move(callbacks)) {}

  void Confirm(callback done) {
    const std::int64_t token = hooks.token();
    if (token == 0) return done(false);
    waiting.push_back({.token = token, .done = std::move(done)});
    ReadWhenDue();
  }

  bool ConfirmedRecently() const {
    return confirmed_token != 0 && hooks.token() == confirmed_token &&
           hooks.boot_time_ms() - confirmed_ms <= options.max_age.count();
  }

  void ReadWhenDue() {
    if (in_flight || timer_set || waiting.empty()) return;
    const core::monotonic_time due = last_read + options.read_interval;
    const core::monotonic_time now = core::Now();
    if (now >= due) {
      Read();
      return;
    }
    timer_set = true;
    loop.After(std::chrono::ceil<core::milliseconds>(due - now),
               [self = shared_from_this()] {
                 if (self->closed) return;
                 self->timer_set = false;
                 self->ReadWhenDue();
               });
  }

  void Read() {
    in_flight = true;
    last_read = core::Now();
    store.get(kLeaderKey, [self = shared_from_this(), token = hooks.token(),
                           sent_ms = hooks.boot_time_ms(),
                           covered = std::exchange(waiting, {})](
                              const core::result<store_page>& page) {
      if (self->closed) return;
      self->in_flight = false;
      self->OnRead(page, token, sent_ms);
      const std::int64_t held = page ? page->items.front().revision : 0;
      for (const waiter& asked : covered) {
        asked.done(held == asked.token && self->hooks.token() == held);
      }
      self->ReadWhenDue();
    });
  }

  // Handles the response to a read that was sent at `sent_ms` under `token`.
  void OnRead(const core::result<store_page>& page, std::int64_t token,
              std::int64_t sent_ms) {
    if (!page) {
      if (hooks.on_failure) hooks.on_failure(page.error().detail);
      return;
    }
    if (page->items.front().revision == token) {
      confirmed_token = token;
      confirmed_ms = sent_ms;
      return;
    }
    if (hooks.on_failure) hooks.on_failure("the leader key has changed");
    if (token != 0 && hooks.token() == token) hooks.on_lost();
  }

  net::event_loop& loop;
  const store_services& store;
  leadership_check_options options;
  leadership_check_hooks hooks;
  // Wait for the next read.
  std::vector<waiter> waiting;
  core::monotonic_time last_read{};
  bool in_flight = false;
  bool timer_set = false;
  bool closed = false;
  // Token that the last successful read confirmed, and when it was sent.
  std::int64_t confirmed_token = 0;
  std::int64_t confirmed_ms = 0;
};

leadership_check::leadership_check(net::event_loop& loop,
                                   const store_services& store,
                                   leadership_check_options options,
                                   leadership_check_hooks hooks)
    : internal_(
          std::make_shared<internal>(loop, store, options, std::move(hooks))) {}

leadership_check::~leadership_check() { internal_->closed = true; }

void leadership_check::Confirm(callback done) {
  internal_->Confirm(std::move(done));
}

void leadership_check::ConfirmRecent(callback done) {
  if (internal_->ConfirmedRecently()) return done(true);
  internal_->Confirm(std::move(done));
}

}  // namespace waxwingfront::fleet
