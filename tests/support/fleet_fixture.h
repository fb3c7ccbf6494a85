// Fixture for tests of single scheduling decisions.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_FLEET_FIXTURE_H_
#define WAXWINGFRONT_TESTS_SUPPORT_FLEET_FIXTURE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/fleet/fleet_core.h"

namespace waxwingfront::tests {

// Simulated time, in milliseconds from an arbitrary start.
fleet::moment At(std::int64_t ms);

struct queue_options {
  std::string name = "q";
  int priority = 0;
  int max_attempts = 3;
  double stretch = 2.0;
  std::int64_t target_duration_ms = 1000;
  bool advised = false;
  fleet::advice_figures advice = {};
};

fleet::manifest ManifestOf(const std::vector<queue_options>& queues);

// Returns a job with one step of equal tasks, which the caller may modify.
schema::fleet_job JobOf(std::string_view id, std::uint32_t tasks,
                        std::int64_t cpu_millis, std::string_view queue = "q");

// Stores the bounds on leases, so that the core gives leases from `now` on.
void RecordLeases(fleet::fleet_core& core, core::monotonic_time now);

// A core whose executors respond to holds, and whose changes are stored
// immediately.
class fleet_fixture {
 public:
  explicit fleet_fixture(const std::vector<queue_options>& queues = {{}},
                         fleet::fleet_options options = {});

  fleet::fleet_core& Core() { return core_; }

  // Adds an executor that has responded to its first hold.
  void AddExecutor(const std::string& id, std::int64_t cpu_millis,
                   std::int64_t at_ms = 0);
  // Responds to a hold of the executor, sent and received at `at_ms`.
  void Report(const std::string& id, std::int64_t at_ms,
              std::vector<fleet::running_report> running,
              std::vector<fleet::ended_report> ended = {});
  // Stores the bounds on leases, sent and stored at `at_ms`. `Report` and
  // `Step` do the same.
  void RecordLeases(std::int64_t at_ms);
  // Runs a planning round, stores the changes and returns the orders.
  fleet::orders Step(std::int64_t at_ms);
  // The same, with all starts accepted.
  fleet::orders StepAccepted(std::int64_t at_ms);
  // Stores pending changes without planning.
  void Store(std::int64_t at_ms);

 private:
  // Responds to the holds that placements on executors need which were not
  // held recently.
  void AnswerHolds(std::int64_t at_ms);

  fleet::fleet_core core_;
  std::int64_t revision_ = 1;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_FLEET_FIXTURE_H_
