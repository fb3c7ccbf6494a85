// Admission of long-running jobs.
//
// A long-running task keeps its room until its caller cancels it. On a service
// that is nearly full of them, each further one takes room from all short jobs
// that arrive later, so that these wait until they are useless. Such a job is
// rejected while it would take room that short jobs have needed lately.
#ifndef WAXWINGFRONT_FLEET_STANDING_ADMISSION_H_
#define WAXWINGFRONT_FLEET_STANDING_ADMISSION_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/resources.h"
#include "waxwingfront/fleet/fleet_state.h"

namespace waxwingfront::fleet {

struct standing_admission_options {
  // Minimum time between two samples of the demand, because each considers all
  // live jobs, which are many on an overloaded leader.
  core::milliseconds sample_period{500};
  // Time constant with which the highest demand of short tasks is forgotten.
  core::milliseconds demand_memory{10'000};
  // Room kept for short tasks, as a multiple of their highest demand.
  double headroom = 1.25;
};

// Room of a service and its demand, counted in typical short tasks.
struct standing_room {
  // Short tasks that fit beside the long-running ones, also beside those that
  // are interrupted and will run again.
  double room = 0.0;
  // Highest number lately of short tasks that ran or waited.
  double demand = 0.0;
  // Number that the job's long-running tasks would displace.
  double displaced = 0.0;
};

class standing_admission {
 public:
  standing_admission(const fleet_state& state,
                     standing_admission_options options)
      : state_(state), options_(options) {}

  // Records the demand of short tasks. Must be called more often than the
  // sample period; acts once per period.
  void Sample(moment at);

  // Returns the figures that decide on the job.
  standing_room RoomFor(const schema::fleet_job& job,
                        std::string_view service) const;
  bool MayAdmit(const standing_room& figures) const;

 private:
  // Demand of one service's short tasks.
  struct short_demand {
    // Sum over the tasks of the latest sample.
    core::resources sum;
    std::int64_t tasks = 0;
    double highest = 0.0;
    // Needs of a typical task; kept while there is none.
    core::resources typical;
  };

  const fleet_state& state_;
  standing_admission_options options_;
  std::map<std::string, short_demand, std::less<>> demands_;
  core::monotonic_time sampled_at_{};
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_STANDING_ADMISSION_H_
