// Stand-in for the platform's store: items, leases, watches and transactions.
#ifndef WAXWINGFRONT_REVIEW_STANDIN_2_STORE_H_
#define WAXWINGFRONT_REVIEW_STANDIN_2_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>

#include "http.h"

namespace waxwingfront::review_2 {

// Thread-safe; never destroyed.
class store {
 public:
  store();

  http_response Handle(const http_request& request);
  // Write and remove items as operators and executors do; `value` is not
  // encoded.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Ends the lease of an item, whose holder isn't told.
  void Revoke(const std::string& key);
  // Returns the decoded value, empty if there is none.
  std::string Get(const std::string& key);

 private:
  using clock = std::chrono::steady_clock;

  struct item {
    // Base64 text.
    std::string value;
    std::int64_t revision = 0;
    std::int64_t created = 0;
    std::int64_t lease = 0;
  };
  struct event {
    std::int64_t revision = 0;
    std::string key;
    // JSON of the event.
    std::string text;
  };
  struct lease {
    std::chrono::milliseconds ttl{0};
    clock::time_point end;
  };

  http_response Key(const http_request& request);
  http_response Range(const http_request& request);
  http_response Watch(const http_request& request);
  http_response Transact(const http_request& request);
  http_response Grant(const http_request& request);
  http_response Renew(std::int64_t id);
  std::string ItemText(const std::string& key, const item& what) const;
  void Write(const std::string& key, const std::string& encoded,
             std::int64_t lease_id);
  void Erase(const std::string& key);
  void EndLease(std::int64_t id);
  void EndOldLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t revision_ = 100;
  std::int64_t last_lease_ = 1000;
  std::map<std::string, item> items_;
  std::map<std::int64_t, lease> leases_;
  std::deque<event> events_;
};

}  // namespace waxwingfront::review_2

#endif  // WAXWINGFRONT_REVIEW_STANDIN_2_STORE_H_
