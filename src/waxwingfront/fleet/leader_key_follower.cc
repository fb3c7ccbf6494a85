#include "waxwingfront/fleet/leader_key_follower.h"

#include <utility>

#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::fleet {

struct leader_key_follower::internal : std::enable_shared_from_this<internal> {
  internal(net::event_loop& event_loop, const store_services& services,
           leader_key_follower_options chosen,
           leader_key_follower_hooks callbacks)
      : loop(event_loop),
        store(services),
        options(chosen),
        hooks(std::move(callbacks)) {}

  void Read() {
    const int current = Begin();
    reading = true;
    store.get(kLeaderKey, [self = shared_from_this(),
                           current](const core::result<store_page>& page) {
      if (self->generation == current) self->OnRead(page);
    });
  }

  // Ends the call in flight. Returns the generation of the next one.
  int Begin() {
    reading = false;
    return ++generation;
  }

  void OnRead(const core::result<store_page>& page) {
    reading = false;
    if (!page) {
      ReadLater();
      return;
    }
    revision = page->at;
    hooks.on_response();
    const store_item& item = page->items.front();
    if (item.revision == 0) {
      hooks.on_vacant(revision);
    } else {
      hooks.on_held(item.value, item.revision);
    }
  }

  void ReadLater() {
    loop.After(options.retry, [self = shared_from_this(), current = Begin()] {
      if (self->generation == current) self->Read();
    });
  }

  void Watch() {
    const int current = Begin();
    store.watch(kLeaderKey, revision, options.watch_timeout,
                [self = shared_from_this(),
                 current](const core::result<store_changes>& update) {
                  if (self->generation == current) self->OnWatch(update);
                });
  }

  void OnWatch(const core::result<store_changes>& update) {
    if (!update) {
      ReadLater();
      return;
    }
    if (update->compacted) {
      Read();
      return;
    }
    revision = update->at;
    hooks.on_response();
    if (update->changes.empty()) {
      Watch();
      return;
    }
    const store_change& last = update->changes.back();
    for (const store_change& change : update->changes) {
      if (&change != &last && change.value && hooks.on_past) {
        hooks.on_past(*change.value, change.revision);
      }
    }
    if (last.value) {
      hooks.on_held(*last.value, last.revision);
    } else {
      hooks.on_vacant(revision);
    }
  }

  net::event_loop& loop;
  const store_services& store;
  leader_key_follower_options options;
  leader_key_follower_hooks hooks;
  // Store revision up to which changes of the key were processed.
  std::int64_t revision = 0;
  bool reading = false;
  // Responses to calls of an earlier generation are ignored.
  int generation = 0;
};

leader_key_follower::leader_key_follower(net::event_loop& loop,
                                         const store_services& store,
                                         leader_key_follower_options options,
                                         leader_key_follower_hooks hooks)
    : internal_(
          std::make_shared<internal>(loop, store, options, std::move(hooks))) {}

leader_key_follower::~leader_key_follower() { Pause(); }

void leader_key_follower::Read() { internal_->Read(); }

void leader_key_follower::ReadLater() { internal_->ReadLater(); }

void leader_key_follower::Watch() { internal_->Watch(); }

void leader_key_follower::WatchAfter(std::int64_t revision) {
  internal_->revision = revision;
  internal_->Watch();
}

void leader_key_follower::Pause() { internal_->Begin(); }

bool leader_key_follower::Reading() const { return internal_->reading; }

}  // namespace waxwingfront::fleet
