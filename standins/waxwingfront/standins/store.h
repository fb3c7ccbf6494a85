// Stand-in for the platform's key-value service, with faults that tests can
// inject.
#ifndef WAXWINGFRONT_STANDINS_STORE_H_
#define WAXWINGFRONT_STANDINS_STORE_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/schema/gen/store_protocol.pb.h"
#include "waxwingfront/standins/http_service.h"

namespace waxwingfront::standins {

struct store_faults {
  // Rejects every call.
  bool down = false;
  // Number of following writes that take effect without a response.
  int lose_write_responses = 0;
  // Added to the duration of each call.
  core::milliseconds delay{0};
  // Calls of each kind per second; more are rejected. 0 means no limit.
  int max_reads_per_second = 0;
  int max_writes_per_second = 0;
};

struct store_counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t rejected = 0;
};

// Serves `/v3/...` in the etcd gateway's JSON. `POST /faults` sets the faults
// of a store that runs as a process. Its JSON object has the fields `down`,
// `lose_write_answers`, `delay_ms`, `max_reads_per_second` and
// `max_writes_per_second`.
class store {
 public:
  store();

  http_response Handle(const http_call& call);

  void SetFaults(const store_faults& faults);
  store_counts Counts() const;

 private:
  struct entry {
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t mod_revision = 0;
    std::int64_t version = 0;
    std::int64_t lease = 0;
  };
  struct lease {
    core::milliseconds ttl{0};
    core::monotonic_time expiry;
  };

  // Counts a call. Returns true if it exceeds the limit of its kind.
  bool ExceedsRateLimit(bool write);
  http_response HandleFaults(const std::string& body);
  http_response Dispatch(std::string_view path, const std::string& body);
  http_response Grant(const std::string& body);
  http_response KeepAlive(const std::string& body);
  http_response Revoke(const std::string& body);
  void RemoveExpiredLeases();
  void EndLease(std::int64_t id);
  bool IsMet(const schema::compare& condition) const;
  schema::range_response Range(const schema::range_request& request) const;
  void Put(const schema::put_request& request);
  schema::delete_range_response Delete(
      const schema::delete_range_request& request);
  // True if `request` would attach a key to a lease that does not exist.
  bool HasUnknownLease(const schema::txn_request& request) const;
  schema::txn_response Txn(const schema::txn_request& request);

  mutable std::mutex mutex_;
  store_faults faults_;
  store_counts counts_;
  std::map<std::string, entry, std::less<>> entries_;
  std::map<std::int64_t, lease> leases_;
  std::int64_t revision_ = 1;
  core::monotonic_time window_start_;
  int reads_in_window_ = 0;
  int writes_in_window_ = 0;
};

}  // namespace waxwingfront::standins

#endif  // WAXWINGFRONT_STANDINS_STORE_H_
