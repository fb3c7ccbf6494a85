// Stand-in for the platform's metadata store.
#ifndef WAXWINGFRONT_REVIEW_STORE_H_
#define WAXWINGFRONT_REVIEW_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"

namespace waxwingfront::review {

class store {
 public:
  http_response Handle(const http_request& request);

  // Writes or removes a key on behalf of the operator or an executor.
  void Put(const std::string& key, const std::string& bytes);
  void Remove(const std::string& key);

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
    std::string key;
    item state;
    bool deleted = false;
    clock::time_point at;
  };
  struct lease_state {
    milliseconds ttl{0};
    clock::time_point end;
  };

  void ExpireLeases();
  void EndLease(std::int64_t lease);
  void Set(const std::string& key, const std::string& value, std::int64_t lease,
           std::int64_t revision);
  void Delete(const std::string& key, std::int64_t revision);
  void Record(event change);
  std::int64_t RevisionOf(const std::string& key) const;

  http_response Get(const std::string& key);
  http_response Range(const http_request& request);
  http_response Watch(const http_request& request,
                      std::unique_lock<std::mutex>& lock);
  http_response Write(const std::string& body);
  http_response Grant(const std::string& body);
  http_response Keep(std::int64_t lease);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::int64_t revision_ = 1;
  std::int64_t last_lease_ = 0;
  std::map<std::string, item> items_;
  std::map<std::int64_t, lease_state> leases_;
  std::deque<event> history_;
  // Events up to this revision are forgotten.
  std::int64_t forgotten_ = 0;
};

}  // namespace waxwingfront::review

#endif  // WAXWINGFRONT_REVIEW_STORE_H_
