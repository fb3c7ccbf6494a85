// Reserves executors' capacity for interrupted long-running tasks.
//
// On a service that is full, short tasks take each gap as it opens, so that a
// larger long-running task finds no room for long. While its lease on a lost
// executor lapses, it is known which capacity it will need and when. That
// amount is withheld from other long-running tasks at once, and from short
// tasks only when they would not end in time.
#ifndef WAXWINGFRONT_FLEET_CAPACITY_RESERVE_H_
#define WAXWINGFRONT_FLEET_CAPACITY_RESERVE_H_

#include <cstddef>
#include <functional>
#include <limits>
#include <optional>
#include <span>
#include <string_view>
#include <utility>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/resources.h"
#include "waxwingfront/fleet/fleet_state.h"
#include "waxwingfront/fleet/interrupted_tasks.h"
#include "waxwingfront/fleet/lease_expiry.h"
#include "waxwingfront/fleet/placement.h"

namespace waxwingfront::fleet {

struct capacity_reserve_options {
  // How long before a task's restart its capacity may be reserved at most.
  core::milliseconds max_lead{5000};
  // Added to the expected time until the capacity is free.
  core::milliseconds lead_margin{1000};
  // Reservations are renewed at most this often, less often for many tasks that
  // have them, and at once when fewer tasks are about to lose their lease than
  // before.
  core::milliseconds refresh_period{200};
  // Costs are those after this time, for which a task that has just begun to
  // wait is held back so that it is placed together with others.
  core::milliseconds held_back = kBatchingWindow;
  lease_expiry_options expiry;
};

// Numbers of interrupted tasks.
struct reserve_summary {
  // Those that may be placed within the longest lead.
  std::size_t interrupted = 0;
  // Those that still run, on draining executors.
  std::size_t leaving = 0;
  // Those with capacity that is reserved from short tasks, too.
  std::size_t reserved = 0;
  // Those that no executor would take now, even without its short tasks.
  std::size_t without_executor = 0;

  friend bool operator==(const reserve_summary&,
                         const reserve_summary&) = default;
};

class capacity_reserve {
 public:
  capacity_reserve(fleet_state& state, placement_cost cost,
                   capacity_reserve_options options)
      : state_(state), cost_(std::move(cost)), options_(options) {}

  // Called when the numbers have changed.
  std::function<void(const reserve_summary&)> on_change;

  // Sets the reservations of all executors. Must be called at the start of each
  // planning round. Returns the interrupted tasks, in an order that depends on
  // the state only.
  std::vector<interrupted_task> Update(core::monotonic_time now);

 private:
  // An executor's capacity over time, if no further task starts there.
  struct outlook {
    executor_state* executor;
    // Free now and not assigned yet.
    core::resources free;
    // Amounts that become free, by the time from now.
    std::vector<std::pair<core::milliseconds, core::resources>> releases;
    // One for each task that was assigned to it.
    std::vector<capacity_reservation> reservations;

    // Returns how long it takes until the amount is free; nothing if it never
    // is.
    std::optional<core::milliseconds> TimeUntilFree(
        const core::resources& amount) const;
  };
  struct choice {
    outlook* where = nullptr;
    core::milliseconds wait{0};
    // In milliseconds; infinite if the task cannot or should not run there.
    double penalty = std::numeric_limits<double>::infinity();
  };

  // Returns how many tasks of the latest assignment still have a reservation on
  // an available executor, or had no executor.
  std::size_t CountAssigned(core::monotonic_time now) const;
  // Assigns executors to all interrupted tasks.
  std::vector<outlook> AssignAll(core::monotonic_time now);
  void Apply(std::vector<outlook> outlooks);
  static outlook MakeOutlook(executor_state& executor,
                             core::monotonic_time now);
  // Assigns executors to tasks of one step, ordered by `restartable_at`.
  void AssignStep(std::span<const interrupted_task> tasks,
                  std::vector<outlook>& outlooks, core::monotonic_time now);
  choice Evaluate(outlook& where, const interrupted_task& what,
                  std::string_view service, core::monotonic_time now) const;

  fleet_state& state_;
  placement_cost cost_;
  capacity_reserve_options options_;
  // Tasks of the latest assignment, which may no longer exist.
  std::vector<interrupted_task> interrupted_;
  // Number of interrupted tasks whose lease has not lapsed.
  std::ptrdiff_t leased_ = 0;
  core::monotonic_time updated_at_{};
  reserve_summary summary_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_CAPACITY_RESERVE_H_
