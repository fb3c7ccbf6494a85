#include "support/fake_store.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace waxwingfront::tests {
namespace {

constexpr core::milliseconds kCallDelay{1};
constexpr core::milliseconds kWatchPollInterval{5};

tl::unexpected<core::error> StoreDown() {
  return core::Failure(core::error_code::kStoreUnavailable,
                       "the store is down");
}

}  // namespace

fleet::store_services fake_store::Services() {
  return {
      .get =
          [this](std::string_view key, auto done) {
            loop_.After(kCallDelay, [this, key = std::string(key), done] {
              if (down) return done(StoreDown());
              fleet::store_page page{.at = revision_};
              const auto found = items_.find(key);
              page.items.push_back({.key = key});
              if (found != items_.end()) {
                page.items[0].value = found->second.value;
                page.items[0].revision = found->second.revision;
              }
              done(std::move(page));
            });
          },
      .range =
          [this](std::string_view prefix, std::string_view, auto done) {
            loop_.After(kCallDelay, [this, prefix = std::string(prefix), done] {
              if (down) return done(StoreDown());
              done(MakePage(prefix));
            });
          },
      .watch =
          [this](std::string_view prefix, std::int64_t after,
                 core::milliseconds wait, auto done) {
            Watch(std::string(prefix), after, core::Now() + wait, done);
          },
      .write =
          [this](const fleet::store_write& write, auto done) {
            loop_.After(kCallDelay,
                        [this, write, done] { done(Write(write)); });
          },
      .grant_lease =
          [this](core::milliseconds ttl, auto done) {
            loop_.After(kCallDelay, [this, ttl, done] {
              if (down) return done(StoreDown());
              leases_[++revision_] = true;
              done(fleet::store_lease{.id = revision_, .ttl = ttl});
            });
          },
      .renew_lease =
          [this](std::int64_t lease, auto done) {
            loop_.After(kCallDelay, [this, lease, done] {
              if (down) return done(fleet::lease_status::kUnknown);
              done(leases_[lease] ? fleet::lease_status::kAlive
                                  : fleet::lease_status::kEnded);
            });
          },
      .end_lease = [this](std::int64_t lease) { EndLease(lease); },
      .manifest_key = "manifest",
      .executors_prefix = "executors/",
      .read_manifest =
          [](std::string_view value) -> core::result<fleet::manifest> {
        if (value.empty()) {
          return core::Failure(core::error_code::kProtocol, "empty");
        }
        fleet::manifest content;
        content.version = std::stoll(std::string(value));
        return content;
      },
      .read_executor = [](std::string_view key, std::string_view value)
          -> core::result<fleet::executor_info> {
        return fleet::executor_info{.id = std::string(key.substr(10)),
                                    .address = std::string(value),
                                    .service = "s"};
      },
  };
}

fleet::store_page fake_store::MakePage(std::string_view prefix) const {
  fleet::store_page page{.at = revision_};
  for (const auto& [key, entry] : items_) {
    if (!key.starts_with(prefix)) continue;
    page.items.push_back(
        {.key = key, .value = entry.value, .revision = entry.revision});
  }
  return page;
}

fleet::store_write_reply fake_store::Write(const fleet::store_write& write) {
  using fleet::store_write_status;
  if (down) return {.status = store_write_status::kNotApplied};
  fleet::store_write_reply reply{.status = store_write_status::kConflict};
  bool all_met = true;
  for (const auto& condition : write.expect) {
    const auto found = items_.find(condition.key);
    const std::int64_t revision =
        found == items_.end() ? 0 : found->second.revision;
    all_met &= revision == condition.revision;
    reply.actual.push_back({.key = condition.key, .revision = revision});
  }
  if (!all_met) return reply;
  for (const auto& entry : write.put) {
    if (entry.lease != 0 && !leases_[entry.lease]) {
      return {.status = store_write_status::kLeaseEnded};
    }
  }
  ++revision_;
  for (const auto& entry : write.put) {
    items_[entry.key] = {
        .value = entry.value, .revision = revision_, .lease = entry.lease};
  }
  for (const std::string& key : write.remove) Remove(key);
  return {.status = store_write_status::kApplied, .revision = revision_};
}

void fake_store::Watch(
    std::string prefix, std::int64_t after, core::monotonic_time end,
    std::function<void(core::result<fleet::store_changes>)> done) {
  if (down) {
    loop_.After(kCallDelay, [done] { done(StoreDown()); });
    return;
  }
  fleet::store_changes reply{.at = revision_};
  for (const auto& [key, entry] : items_) {
    if (key.starts_with(prefix) && entry.revision > after) {
      reply.changes.push_back(
          {.key = key, .value = entry.value, .revision = entry.revision});
    }
  }
  for (const auto& [key, revision] : removed_) {
    if (key.starts_with(prefix) && revision > after && !items_.contains(key)) {
      reply.changes.push_back({.key = key, .revision = revision});
    }
  }
  if (!reply.changes.empty() || core::Now() >= end) {
    loop_.After(kCallDelay, [done, reply] { done(reply); });
    return;
  }
  loop_.After(kWatchPollInterval, [this, prefix, after, end, done] {
    Watch(prefix, after, end, done);
  });
}

void fake_store::Put(const std::string& key, const std::string& value) {
  items_[key] = {.value = value, .revision = ++revision_};
}

void fake_store::Remove(const std::string& key) {
  items_.erase(key);
  removed_[key] = ++revision_;
}

std::string fake_store::Value(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? std::string() : found->second.value;
}

std::int64_t fake_store::LeaseOf(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? 0 : found->second.lease;
}

void fake_store::EndLease(std::int64_t lease) {
  leases_[lease] = false;
  std::vector<std::string> keys;
  for (const auto& [key, entry] : items_) {
    if (entry.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Remove(key);
}

}  // namespace waxwingfront::tests
