#include "waxwingfront/fleet/leader_candidacy.h"

#include <utility>

#include "waxwingfront/fleet/record_keys.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::fleet {

struct leader_candidacy::internal : std::enable_shared_from_this<internal> {
  internal(net::event_loop& event_loop, const store_services& services,
           std::string own_address, std::int64_t own_strength,
           leader_candidacy_options chosen, leader_candidacy_hooks callbacks)
      : loop(event_loop),
        store(services),
        address(std::move(own_address)),
        strength(own_strength),
        options(chosen),
        hooks(std::move(callbacks)) {}

  void Check() {
    if (closed) return;
    loop.After(options.check_interval,
               [self = shared_from_this()] { self->Check(); });
    const std::optional<bool> weak = hooks.under_weak_leader();
    if (!weak) return;
    if (!*weak) {
      waiting_since.reset();
      return;
    }
    const core::monotonic_time now = core::Now();
    if (!waiting_since) waiting_since = now;
    if (now - *waiting_since < options.patience || !hooks.ready()) return;
    waiting_since = now;
    Ask();
  }

  // The next request replaces one that is lost.
  void Ask() {
    schema::fleet_strength record;
    record.set_strength(strength);
    store_write request;
    request.put.push_back({.key = std::string(kCandidatesPrefix) + address,
                           .value = record.SerializeAsString(),
                           .lease = 0});
    store.write(request, [](const store_write_reply&) {});
  }

  // Requests that are older than `after` were meant for an earlier leader.
  void Watch(int current, std::int64_t after) {
    store.watch(kCandidatesPrefix, after, options.watch_timeout,
                [self = shared_from_this(), current,
                 after](const core::result<store_changes>& update) {
                  if (self->closed || self->generation != current) return;
                  self->OnWatch(update, after);
                });
  }

  void OnWatch(const core::result<store_changes>& update, std::int64_t after) {
    const int current = generation;
    if (!update) {
      Later(current, [this, current, after] { Watch(current, after); });
      return;
    }
    if (update->compacted) {
      ReadRequests(current, after, {.key = "", .at = std::nullopt});
      return;
    }
    for (const store_change& change : update->changes) {
      if (change.value) OnRequest(change.key, *change.value);
      if (closed || generation != current) return;
    }
    Watch(current, update->at);
  }

  void OnRequest(const std::string& key, const std::string& value) {
    schema::fleet_strength record;
    if (!record.ParseFromString(value)) return;
    hooks.on_candidate(key.substr(kCandidatesPrefix.size()), record.strength());
  }

  struct read_position {
    // Last key that was read.
    std::string key;
    // Store revision of the first page; later ones may be newer.
    std::optional<std::int64_t> at;
  };

  void ReadRequests(int current, std::int64_t after,
                    const read_position& position) {
    store.range(kCandidatesPrefix, position.key,
                [self = shared_from_this(), current, after,
                 position](const core::result<store_page>& page) {
                  if (self->closed || self->generation != current) return;
                  if (!page) {
                    self->Later(current, [self, current, after, position] {
                      self->ReadRequests(current, after, position);
                    });
                    return;
                  }
                  for (const store_item& item : page->items) {
                    if (item.revision > after)
                      self->OnRequest(item.key, item.value);
                    if (self->closed || self->generation != current) return;
                  }
                  const std::int64_t at = position.at.value_or(page->at);
                  if (page->has_more) {
                    self->ReadRequests(current, after,
                                       {.key = page->LastKey(), .at = at});
                    return;
                  }
                  self->Watch(current, at);
                });
  }

  void Later(int current, std::function<void()> action) {
    loop.After(options.retry, [self = shared_from_this(), current,
                               action = std::move(action)] {
      if (!self->closed && self->generation == current) action();
    });
  }

  net::event_loop& loop;
  const store_services& store;
  std::string address;
  std::int64_t strength;
  leader_candidacy_options options;
  leader_candidacy_hooks hooks;
  // Since when weak processes lead, or the last request.
  std::optional<core::monotonic_time> waiting_since;
  // Responses to watches of an earlier term are ignored.
  int generation = 0;
  bool closed = false;
};

leader_candidacy::leader_candidacy(net::event_loop& loop,
                                   const store_services& store,
                                   std::string address, std::int64_t strength,
                                   leader_candidacy_options options,
                                   leader_candidacy_hooks hooks)
    : internal_(std::make_shared<internal>(loop, store, std::move(address),
                                           strength, options,
                                           std::move(hooks))) {}

leader_candidacy::~leader_candidacy() { internal_->closed = true; }

void leader_candidacy::Start() { internal_->Check(); }

void leader_candidacy::OnElected(std::int64_t token) {
  internal_->Watch(++internal_->generation, token);
}

void leader_candidacy::OnDeposed() { ++internal_->generation; }

}  // namespace waxwingfront::fleet
