#include "waxwingfront/fleet/lease_observer.h"

#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::fleet {

struct lease_observer::internal : std::enable_shared_from_this<internal> {
  internal(net::event_loop& event_loop, const store_services& services,
           lease_observer_options chosen)
      : loop(event_loop), store(services), options(chosen) {}

  void Read() {
    store.get(kLeasesKey, [self = shared_from_this()](
                              const core::result<store_page>& page) {
      if (self->closed) return;
      if (!page) {
        self->Later(&internal::Read);
        return;
      }
      self->last_response = core::Now();
      self->See(page->items.front().revision);
      self->watched = page->at;
      self->Watch();
    });
  }

  void Watch() {
    store.watch(
        kLeasesKey, watched, options.watch_timeout,
        [self = shared_from_this()](const core::result<store_changes>& update) {
          if (!self->closed) self->OnWatch(update);
        });
  }

  void OnWatch(const core::result<store_changes>& update) {
    if (!update) {
      Later(&internal::Watch);
      return;
    }
    last_response = core::Now();
    if (update->compacted) {
      Read();
      return;
    }
    for (const store_change& change : update->changes) {
      if (change.key == kLeasesKey) See(change.revision);
    }
    watched = update->at;
    Watch();
  }

  void See(std::int64_t seen_revision) {
    if (seen_revision <= revision) return;
    revision = seen_revision;
    seen = core::Now();
  }

  void Later(void (internal::*step)()) {
    loop.After(options.retry, [self = shared_from_this(), step] {
      if (!self->closed) (*self.*step)();
    });
  }

  net::event_loop& loop;
  const store_services& store;
  lease_observer_options options;
  bool closed = false;
  std::int64_t watched = 0;
  std::int64_t revision = 0;
  core::monotonic_time seen{};
  std::optional<core::monotonic_time> last_response;
};

lease_observer::lease_observer(net::event_loop& loop,
                               const store_services& store,
                               lease_observer_options options)
    : internal_(std::make_shared<internal>(loop, store, options)) {}

lease_observer::~lease_observer() { internal_->closed = true; }

void lease_observer::Start() { internal_->Read(); }

std::optional<core::monotonic_time> lease_observer::FirstSeen(
    std::int64_t revision) const {
  if (revision == 0 || revision != internal_->revision) return std::nullopt;
  return internal_->seen;
}

std::optional<core::monotonic_time> lease_observer::LastResponse() const {
  return internal_->last_response;
}

}  // namespace waxwingfront::fleet
