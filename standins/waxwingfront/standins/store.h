// Stand-in of the platform's key-value service, with faults that tests switch
// on.
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
  // Every call is refused.
  bool down = false;
  // That many of the next writes take effect and are not answered.
  int lose_write_answers = 0;
  // Each call takes this much longer.
  core::milliseconds delay{0};
  // Calls of each kind in a second; more are refused. 0 means no limit.
  int max_reads_per_second = 0;
  int max_writes_per_second = 0;
};

struct store_counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t refused = 0;
};

// Answers `/v3/...` in the etcd gateway's JSON. `POST /faults` with a JSON
// object of the fields of `store_faults` sets the faults of a store that runs
// as a process.
class store {
 public:
  store();

  http_answer Handle(const http_call& call);

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
    core::monotonic_time ends;
  };

  bool IsRefused(bool write);
  http_answer HandleFaults(const std::string& body);
  http_answer Dispatch(std::string_view path, const std::string& body);
  http_answer Grant(const std::string& body);
  http_answer KeepAlive(const std::string& body);
  http_answer Revoke(const std::string& body);
  void DropEndedLeases();
  void EndLease(std::int64_t id);
  bool Holds(const schema::compare& condition) const;
  schema::range_response Range(const schema::range_request& request) const;
  void Put(const schema::put_request& request);
  schema::delete_range_response Delete(
      const schema::delete_range_request& request);
  // Whether `request` would attach a key to a lease that does not exist.
  bool HasUnknownLease(const schema::txn_request& request) const;
  schema::txn_response Txn(const schema::txn_request& request);

  mutable std::mutex mutex_;
  store_faults faults_;
  store_counts counts_;
  std::map<std::string, entry, std::less<>> entries_;
  std::map<std::int64_t, lease> leases_;
  std::int64_t revision_ = 1;
  core::monotonic_time second_start_;
  int reads_this_second_ = 0;
  int writes_this_second_ = 0;
};

}  // namespace waxwingfront::standins

#endif  // WAXWINGFRONT_STANDINS_STORE_H_
