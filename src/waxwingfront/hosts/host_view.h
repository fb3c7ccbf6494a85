// What the platform's host list says, with hosts that dropped off the list kept
// for a while.
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
  // Name of the shard the worker belongs to.
  std::string shard;
  core::resources capacity;
  bool leaving = false;
  // Executors on this worker: how many of each service.
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

// Immutable picture of the hosts.
struct host_view {
  std::map<std::string, worker_info, std::less<>> workers;
  // Executors by service.
  std::map<std::string, std::vector<executor_info>, std::less<>> executors;
};

// Name of the shard that holds the workers of a rack: "<domain>/<number>".
std::string ShardForRack(std::string_view failure_domain, std::string_view rack,
                         std::int64_t shards_per_domain);

// Builds views from successive lists.
class host_tracker {
 public:
  explicit host_tracker(std::int64_t shards_per_domain);

  // The view after `list` was read at `now`. A worker or executor that the list
  // dropped stays for 30 s as leaving, since the list lags and may be
  // incomplete.
  std::shared_ptr<const host_view> Update(const schema::host_list& list,
                                          core::monotonic_time now);

 private:
  template <typename Info>
  struct tracked {
    Info info;
    core::monotonic_time listed_at;
  };

  std::int64_t shards_per_domain_;
  std::map<std::string, tracked<worker_info>> workers_;
  std::map<std::string, tracked<executor_info>> executors_;
};

}  // namespace waxwingfront::hosts

#endif  // WAXWINGFRONT_HOSTS_HOST_VIEW_H_
