// Interfaces to the platform's services that the fleet uses. The adapter in
// `platform/` implements them; tests use fakes. All callbacks run on the event
// loop.
#ifndef WAXWINGFRONT_FLEET_PLATFORM_SERVICES_H_
#define WAXWINGFRONT_FLEET_PLATFORM_SERVICES_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/fleet/types.h"

namespace waxwingfront::fleet {

struct store_item {
  std::string key;
  std::string value;
  // Store revision of the item's last change; 0 if it does not exist.
  std::int64_t revision = 0;
};

// An item whose value cannot be read.
struct unreadable_item {
  std::string key;
  std::string cause;
};

struct store_page {
  std::vector<store_item> items;
  std::vector<unreadable_item> unreadable;
  bool has_more = false;
  // Store revision at which the page was read.
  std::int64_t at = 0;

  // Returns the key after which the next page begins. Fails on empty pages.
  const std::string& LastKey() const {
    if (unreadable.empty()) return items.back().key;
    if (items.empty()) return unreadable.back().key;
    return std::max(items.back().key, unreadable.back().key);
  }
};

struct store_change {
  std::string key;
  // Empty if the item was deleted.
  std::optional<std::string> value;
  std::int64_t revision = 0;
};

struct store_changes {
  std::vector<store_change> changes;
  // Revision to continue the watch from.
  std::int64_t at = 0;
  // The history since the requested revision is gone; the range has to be read
  // again.
  bool compacted = false;
};

struct store_write {
  struct condition {
    std::string key;
    // 0: the key does not exist.
    std::int64_t revision = 0;
  };
  struct assignment {
    std::string key;
    std::string value;
    // Store lease with which the key expires; 0 for none.
    std::int64_t lease = 0;
  };
  std::vector<condition> expect;
  std::vector<assignment> put;
  std::vector<std::string> remove;
};

enum class store_write_status {
  kApplied,
  // A condition does not hold; nothing was written.
  kConflict,
  // The lease of an assignment has ended; nothing was written.
  kLeaseEnded,
  // Nothing was written; the write may be retried.
  kNotApplied,
  // No response: the write may be applied now or later, if its conditions hold
  // then.
  kUnknown,
};

struct store_write_reply {
  store_write_status status = store_write_status::kUnknown;
  std::int64_t revision = 0;
  // On a conflict, the present items of the conditions' keys.
  std::vector<store_item> actual;
};

enum class lease_status { kAlive, kEnded, kUnknown };

struct store_lease {
  std::int64_t id = 0;
  core::milliseconds ttl{0};
};

struct store_services {
  template <typename Result>
  using callback = std::function<void(Result)>;

  // Reads one item into a page of its own; its revision is 0 if it does not
  // exist.
  std::function<void(std::string_view key, callback<core::result<store_page>>)>
      get;
  // Reads a page of the items under `prefix` after the key `after`.
  std::function<void(std::string_view prefix, std::string_view after,
                     callback<core::result<store_page>>)>
      range;
  std::function<void(std::string_view prefix, std::int64_t after,
                     core::milliseconds wait,
                     callback<core::result<store_changes>>)>
      watch;
  std::function<void(const store_write&, callback<store_write_reply>)> write;
  std::function<void(core::milliseconds ttl,
                     callback<core::result<store_lease>>)>
      grant_lease;
  std::function<void(std::int64_t lease, callback<lease_status>)> renew_lease;
  std::function<void(std::int64_t lease)> end_lease;

  // Keys that operators and executors write, and parsers of their values.
  std::string manifest_key;
  std::string executors_prefix;
  std::function<core::result<manifest>(std::string_view value)> read_manifest;
  std::function<core::result<executor_info>(std::string_view key,
                                            std::string_view value)>
      read_executor;
};

struct hold_request {
  std::string address;
  std::string executor;
  std::int64_t token = 0;
  // The executor may forget ends up to this number.
  std::uint64_t acknowledged = 0;
  // On the executor's clock; 0 leaves the lease unchanged.
  std::int64_t deadline_ms = 0;
  // How long the executor may wait for a run to end before it responds.
  core::milliseconds wait{0};
};

enum class order_status { kDone, kFenced, kFailed };

// After an unknown outcome a callback may be called a second time, with a
// response that arrived late.
struct executor_services {
  std::function<void(const hold_request&,
                     std::function<void(core::result<hold_report>)>)>
      hold;
  std::function<void(std::string_view address, const start_order&,
                     std::int64_t token, std::int64_t deadline_ms,
                     std::function<void(start_outcome)>)>
      start;
  std::function<void(std::string_view address, const stop_order&,
                     std::int64_t token, std::function<void(order_status)>)>
      stop;
  std::function<void(std::string_view address, const pace_order&,
                     std::int64_t token, std::function<void(order_status)>)>
      pace;
  std::function<void(const advice_request&,
                     std::function<void(core::result<advice_reply>)>)>
      advise;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_PLATFORM_SERVICES_H_
