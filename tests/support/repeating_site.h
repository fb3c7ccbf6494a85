// A leader with one job, and one executor that ends each task within a step.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_REPEATING_SITE_H_
#define WAXWINGFRONT_TESTS_SUPPORT_REPEATING_SITE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "support/fleet_fixture.h"
#include "waxwingfront/fleet/fleet_core.h"

namespace waxwingfront::tests {

class repeating_site {
 public:
  struct task_starts {
    int count = 0;
    std::int64_t first_unix_ms = 0;
  };

  explicit repeating_site(schema::fleet_job job,
                          fleet::fleet_options options = {});

  // A new leader loads what was stored.
  void TakeOver(std::int64_t at_ms);
  // Ends the tasks that were started, plans, and starts what is placed.
  void Step(std::int64_t at_ms);
  // True if the stored state is that of a completed job.
  bool Ended() const;
  const std::map<fleet::task_ref, task_starts>& Starts() const {
    return starts_;
  }

 private:
  void Hold(std::int64_t at_ms);
  void Store(std::int64_t at_ms);

  schema::fleet_job job_;
  fleet::fleet_options options_;
  std::optional<schema::fleet_progress> progress_;
  std::int64_t revision_ = 1;
  std::unique_ptr<fleet::fleet_core> core_;
  std::vector<fleet::running_report> running_;
  std::vector<fleet::ended_report> ended_;
  // Number of the last end.
  std::uint64_t ends_ = 0;
  std::map<fleet::task_ref, task_starts> starts_;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_REPEATING_SITE_H_
