// An in-memory store in place of the platform's, used from one event loop.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_FAKE_STORE_H_
#define WAXWINGFRONT_TESTS_SUPPORT_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <string>

#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::tests {

class fake_store {
 public:
  explicit fake_store(net::event_loop& loop) : loop_(loop) {}

  // Returns the store's interface for one process.
  fleet::store_services Services();

  // While true, calls fail without effect.
  bool down = false;

  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Returns the value of a key; empty if the key does not exist.
  std::string Value(const std::string& key) const;
  bool Holds(const std::string& key) const { return items_.contains(key); }
  // Ends a lease and removes the keys attached to it.
  void EndLease(std::int64_t lease);
  // Returns the lease that `key` is attached to; 0 if there is none.
  std::int64_t LeaseOf(const std::string& key) const;

 private:
  struct item {
    std::string value;
    std::int64_t revision = 0;
    std::int64_t lease = 0;
  };

  fleet::store_page MakePage(std::string_view prefix) const;
  fleet::store_write_reply Write(const fleet::store_write& write);
  void Watch(std::string prefix, std::int64_t after, core::monotonic_time end,
             std::function<void(core::result<fleet::store_changes>)> done);

  net::event_loop& loop_;
  std::map<std::string, item> items_;
  // Revisions at which keys were removed.
  std::map<std::string, std::int64_t> removed_;
  // True for leases that have not ended.
  std::map<std::int64_t, bool> leases_;
  std::int64_t revision_ = 1;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_FAKE_STORE_H_
