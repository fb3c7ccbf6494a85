// View of the platform's host list that retains removed workers and executors
// for a limited time.
#ifndef WAXWINGFRONT_HOSTS_HOST_VIEW_H_
#define WAXWINGFRONT_HOSTS_HOST_VIEW_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/resources.h"
#include "waxwingfront/schema/gen/host_list.pb.h"

namespace waxwingfront::hosts {

struct worker_info {
  std::string id;
  std::string address;
  std::string failure_domain;
  std::string rack;
  // Name of the shard that the worker belongs to.
  std::string shard;
  core::resources capacity;
  bool leaving = false;
  // Number of executors on this worker, by service.
  std::map<std::string, int, std::less<>> executors;
};

struct executor_info {
  std::string id;
  std::string service;
  std::string address;
  std::string failure_domain;
  int slots = 0;
  int connections = 0;
  bool leaving = false;
};

// Immutable snapshot of the hosts.
struct host_view {
  std::map<std::string, worker_info, std::less<>> workers;
  // Executors by service.
  std::map<std::string, std::vector<executor_info>, std::less<>> executors;
};

// Returns the name of the shard that contains the workers of a rack:
// "<domain>/<number>".
std::string ShardForRack(std::string_view failure_domain, std::string_view rack,
                         std::int64_t shards_per_domain);

// Builds views from successive lists.
class host_tracker {
 public:
  explicit host_tracker(std::int64_t shards_per_domain);

  // Updates the view with `list`, read at `now`, and returns it. A worker or
  // executor that is missing from the list is retained for 30 s and marked as
  // leaving, since the list lags and may be incomplete.
  std::shared_ptr<const host_view> Update(const schema::host_list& list,
                                          core::monotonic_time now);

 private:
  template <typename Info>
  struct tracked {
    Info info;
    core::monotonic_time last_listed_at;
  };

  std::int64_t shards_per_domain_;
  std::map<std::string, tracked<worker_info>> workers_;
  std::map<std::string, tracked<executor_info>> executors_;
};

}  // namespace waxwingfront::hosts

#endif  // WAXWINGFRONT_HOSTS_HOST_VIEW_H_
