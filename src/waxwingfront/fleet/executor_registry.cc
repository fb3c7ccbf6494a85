#include "waxwingfront/fleet/executor_registry.h"

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "waxwingfront/fleet/read_retry.h"

namespace waxwingfront::fleet {
namespace {

// A response with this many changes may be incomplete: the store truncates
// responses at about twice as many.
constexpr std::size_t kMaybeTruncated = 250;
// Longest part of a malformed entry's key that is logged.
constexpr std::size_t kMaxLoggedKeyBytes = 128;

}  // namespace

struct executor_registry::internal : std::enable_shared_from_this<internal> {
  internal(net::event_loop& event_loop, const store_services& services,
           fleet_core& fleet, executor_registry_options chosen,
           executor_registry_hooks callbacks, logging::event_log& events)
      : loop(event_loop),
        store(services),
        core(fleet),
        options(chosen),
        hooks(std::move(callbacks)),
        log(events),
        list_repeats(chosen.retry, events),
        watch_repeats(chosen.retry, events) {}

  void List(const std::string& after, std::int64_t first_revision,
            std::vector<std::string> seen) {
    const core::monotonic_time sent = hooks.now().now;
    store.range(store.executors_prefix, after,
                [self = shared_from_this(), after, first_revision,
                 seen = std::move(seen),
                 sent](const core::result<store_page>& page) mutable {
                  if (self->closed) return;
                  if (after.empty()) self->list_requested_at = sent;
                  self->OnList(after, first_revision, std::move(seen), page);
                });
  }

  void OnList(const std::string& after, std::int64_t first_revision,
              std::vector<std::string> seen,
              const core::result<store_page>& page) {
    if (!page) {
      const std::string_view from =
          after.empty() ? store.executors_prefix : after;
      RunAfter(list_repeats.OnFailure(from, page.error()),
               [this, after, first_revision, seen] {
                 List(after, first_revision, seen);
               });
      return;
    }
    list_repeats.OnSuccess();
    // Those that were known are missing from `seen`, as with malformed entries.
    for (const unreadable_item& item : page->unreadable) {
      LogIgnored(item.key, item.cause);
    }
    if (first_revision == 0) first_revision = page->at;
    for (const store_item& item : page->items) {
      if (const auto id = ReadEntry(item.key, item.value)) {
        seen.push_back(*id);
      }
    }
    if (page->has_more) {
      List(page->LastKey(), first_revision, std::move(seen));
      return;
    }
    std::ranges::sort(seen);
    std::vector<std::string> missing;
    for (const auto& [id, executor] : core.Executors()) {
      if (executor.registered && !std::ranges::binary_search(seen, id)) {
        missing.push_back(id);
      }
    }
    for (const std::string& id : missing) Remove(id);
    core.ConfirmEntries(list_requested_at);
    hooks.on_listed();
    Watch(first_revision);
  }

  // Returns the executor's id. A malformed entry names no executor: one that is
  // known gets no new tasks, as if its entry were gone, while what runs on it
  // is held as long as it answers.
  std::optional<std::string> ReadEntry(const std::string& key,
                                       const std::string& value) {
    core::result<executor_info> info = store.read_executor(key, value);
    if (!info) {
      LogIgnored(key, info.error().detail);
      Remove(key.substr(store.executors_prefix.size()));
      return std::nullopt;
    }
    std::string id = info->id;
    const executor_state* const known = core.FindExecutor(id);
    if (known == nullptr || !known->registered ||
        known->info.draining != info->draining) {
      log.Write("executor_registered",
                {{"executor", id},
                 {"address", info->address},
                 {"service", info->service},
                 {"draining", std::int64_t{info->draining ? 1 : 0}},
                 {"leaves_at_ms", info->leaves_at_ms}});
    }
    core.SetExecutor(std::move(*info));
    return id;
  }

  void LogIgnored(std::string_view key, std::string_view cause) {
    log.Write("executor_entry_ignored",
              {{"key", key.substr(0, kMaxLoggedKeyBytes)}, {"cause", cause}});
  }

  void Remove(const std::string& id) {
    const executor_state* const known = core.FindExecutor(id);
    if (known != nullptr && known->registered) {
      log.Write("executor_removed", {{"executor", id}});
    }
    core.RemoveExecutor(id);
  }

  void Watch(std::int64_t after) {
    store.watch(store.executors_prefix, after, options.watch_timeout,
                [self = shared_from_this(), after, sent = hooks.now().now](
                    const core::result<store_changes>& response) {
                  if (!self->closed) self->OnChanges(after, sent, response);
                });
  }

  void OnChanges(std::int64_t after, core::monotonic_time sent,
                 const core::result<store_changes>& response) {
    if (!response) {
      // The store would send a change that cannot be read again, whereas in a
      // list it hides one entry only.
      const bool unreadable =
          response.error().code == core::error_code::kProtocol;
      RunAfter(
          watch_repeats.OnFailure(store.executors_prefix, response.error()),
          [this, after, unreadable] {
            if (unreadable) {
              List("", 0, {});
            } else {
              Watch(after);
            }
          });
      return;
    }
    watch_repeats.OnSuccess();
    if (response->compacted) {
      List("", 0, {});
      return;
    }
    for (const store_change& change : response->changes) {
      if (change.value) {
        ReadEntry(change.key, *change.value);
      } else {
        Remove(change.key.substr(store.executors_prefix.size()));
      }
    }
    if (response->changes.size() < kMaybeTruncated) core.ConfirmEntries(sent);
    if (!response->changes.empty()) hooks.on_change();
    Watch(response->at);
  }

  void RunAfter(core::milliseconds delay, std::function<void()> action) {
    loop.After(delay, [self = shared_from_this(), action = std::move(action)] {
      if (!self->closed) action();
    });
  }

  net::event_loop& loop;
  const store_services& store;
  fleet_core& core;
  executor_registry_options options;
  executor_registry_hooks hooks;
  logging::event_log& log;
  read_retry list_repeats;
  // Lists in between do not reset it: they take longer than a watch.
  read_retry watch_repeats;
  bool closed = false;
  // When the list that is being read was requested.
  core::monotonic_time list_requested_at{};
};

executor_registry::executor_registry(net::event_loop& loop,
                                     const store_services& store,
                                     fleet_core& core,
                                     executor_registry_options options,
                                     executor_registry_hooks hooks,
                                     logging::event_log& log)
    : internal_(std::make_shared<internal>(loop, store, core, options,
                                           std::move(hooks), log)) {}

executor_registry::~executor_registry() { internal_->closed = true; }

void executor_registry::Start() { internal_->List("", 0, {}); }

}  // namespace waxwingfront::fleet
