#include "waxwingfront/fleet/manifest_follower.h"

#include <utility>

namespace waxwingfront::fleet {

struct manifest_follower::internal : std::enable_shared_from_this<internal> {
  internal(net::event_loop& event_loop, const store_services& services,
           manifest_follower_options chosen, logging::event_log& events)
      : loop(event_loop), store(services), options(chosen), log(events) {}

  void Read() {
    store.get(store.manifest_key, [self = shared_from_this()](
                                      const core::result<store_page>& page) {
      if (self->closed) return;
      if (!page) {
        self->OnStoreLost(page.error());
        self->Later(&internal::Read);
        return;
      }
      self->OnStoreResponse();
      const store_item& item = page->items.front();
      if (item.revision != 0) self->Apply(item.value, item.revision);
      self->watched_revision = page->at;
      self->Watch();
    });
  }

  void Watch() {
    store.watch(
        store.manifest_key, watched_revision, options.watch_timeout,
        [self = shared_from_this()](const core::result<store_changes>& update) {
          if (!self->closed) self->OnWatch(update);
        });
  }

  void OnWatch(const core::result<store_changes>& update) {
    if (!update) {
      OnStoreLost(update.error());
      Later(&internal::Read);
      return;
    }
    OnStoreResponse();
    if (update->compacted) {
      Read();
      return;
    }
    watched_revision = update->at;
    for (const store_change& change : update->changes) {
      if (change.key == store.manifest_key && change.value) {
        Apply(*change.value, change.revision);
      }
    }
    Watch();
  }

  void Apply(const std::string& value, std::int64_t revision) {
    core::result<manifest> read = store.read_manifest(value);
    if (!read) {
      log.Write("manifest_ignored",
                {{"revision", revision}, {"cause", read.error().detail}});
      return;
    }
    if (current && read->version <= current->version) return;
    current = std::move(*read);
    log.Write("manifest_in_force",
              {{"version", current->version},
               {"revision", revision},
               {"queues", static_cast<std::int64_t>(current->queues.size())}});
    if (owner->on_change) owner->on_change(*current);
  }

  void OnStoreLost(const core::error& cause) {
    if (lost) return;
    lost = true;
    log.Write("store_lost", {{"for", "manifest"}, {"cause", cause.detail}});
  }

  void OnStoreResponse() {
    last_response = core::Now();
    if (!lost) return;
    lost = false;
    log.Write("store_regained", {{"for", "manifest"}});
  }

  void Later(void (internal::*step)()) {
    loop.After(options.retry, [self = shared_from_this(), step] {
      if (!self->closed) (*self.*step)();
    });
  }

  net::event_loop& loop;
  const store_services& store;
  manifest_follower_options options;
  logging::event_log& log;
  manifest_follower* owner = nullptr;
  std::optional<manifest> current;
  std::int64_t watched_revision = 0;
  std::optional<core::monotonic_time> last_response;
  bool lost = false;
  bool closed = false;
};

manifest_follower::manifest_follower(net::event_loop& loop,
                                     const store_services& store,
                                     manifest_follower_options options,
                                     logging::event_log& log)
    : internal_(std::make_shared<internal>(loop, store, options, log)) {
  internal_->owner = this;
}

manifest_follower::~manifest_follower() { internal_->closed = true; }

void manifest_follower::Start() { internal_->Read(); }

const std::optional<manifest>& manifest_follower::Current() const {
  return internal_->current;
}

std::optional<core::monotonic_time> manifest_follower::LastResponse() const {
  return internal_->last_response;
}

}  // namespace waxwingfront::fleet
