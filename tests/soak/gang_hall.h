// Where the members of gangs meet across stand-ins for executors.
#ifndef WAXWINGFRONT_TESTS_SOAK_GANG_HALL_H_
#define WAXWINGFRONT_TESTS_SOAK_GANG_HALL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace waxwingfront::soak {

// Thread-safe.
class gang_hall {
 public:
  using clock = std::chrono::steady_clock;

  struct gang_state {
    // When all members were present; the gang works from then on.
    std::optional<clock::time_point> complete;
    // One member has ended `done`, which ends all.
    bool done = false;
    // One member has ended otherwise.
    bool broken = false;
  };

  void Join(const std::string& task, std::int64_t run, std::int64_t size);
  void Leave(const std::string& task, std::int64_t run, bool done);
  gang_state Look(const std::string& task, std::int64_t run) const;

 private:
  struct gang {
    std::set<std::string> members;
    gang_state state;
  };
  // Step and run.
  using gang_key = std::pair<std::string, std::int64_t>;

  static gang_key KeyOf(const std::string& task, std::int64_t run);

  mutable std::mutex mutex_;
  std::map<gang_key, gang> gangs_;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_GANG_HALL_H_
