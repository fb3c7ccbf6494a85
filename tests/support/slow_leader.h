// A leader on a slow machine, in virtual time: its clock advances by a cost for
// each piece of work that it does, counted by public functions of `fleet_core`.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_SLOW_LEADER_H_
#define WAXWINGFRONT_TESTS_SUPPORT_SLOW_LEADER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "support/fake_executor.h"
#include "support/fleet_fixture.h"
#include "waxwingfront/fleet/fleet_core.h"
#include "waxwingfront/fleet/hold_pace.h"
#include "waxwingfront/fleet/write_pacer.h"

namespace waxwingfront::tests {

// Time that each piece of work takes on the machine, in microseconds.
struct work_costs {
  // Of a round of planning, and for each executor and each examined job in it.
  std::int64_t round = 0;
  std::int64_t round_executor = 0;
  std::int64_t examined_job = 0;
  // Of an executor compared for a task.
  std::int64_t evaluation = 0;
  std::int64_t placement = 0;
  // Of an order sent, and of its response.
  std::int64_t order = 0;
  std::int64_t order_response = 0;
  // Of a hold and its report, and of each run in it.
  std::int64_t report = 0;
  std::int64_t report_row = 0;
  // Of a store transaction, and of each record in it.
  std::int64_t batch = 0;
  std::int64_t record = 0;
  std::int64_t submission = 0;
  std::int64_t tick = 0;
};

// Those of an entry machine with 0.069 of a core.
inline constexpr work_costs kSmallMachineCosts{.round = 500,
                                               .round_executor = 8,
                                               .examined_job = 20,
                                               .evaluation = 3,
                                               .placement = 150,
                                               .order = 700,
                                               .order_response = 500,
                                               .report = 800,
                                               .report_row = 10,
                                               .batch = 1000,
                                               .record = 60,
                                               .submission = 800,
                                               .tick = 3000};

struct slow_leader_options {
  int executors = 300;
  std::int64_t executor_millis = 32'000;
  std::vector<queue_options> queues = {{}};
  // As in `fleet_leader_options`.
  core::milliseconds plan_interval{15};
  core::milliseconds plan_budget{20};
};

// Sums since the start.
struct slow_leader_counts {
  std::size_t rounds = 0;
  std::size_t starts = 0;
  std::size_t refused_jobs = 0;
  std::int64_t planning_us = 0;
  std::int64_t busy_us = 0;
};

class slow_leader {
 public:
  // The work costs nothing until `SetCosts` is called.
  explicit slow_leader(slow_leader_options options);

  // Called with a long-running task that an executor has ended.
  std::function<void(const fleet::task_ref&, std::int64_t now_ms)> on_failed;
  std::function<void(const fleet::task_state&, std::int64_t now_ms)> on_placed;
  // Called with a run that an executor has begun.
  std::function<void(const fleet::task_ref&, std::int64_t now_ms)> on_begun;
  std::function<void(const std::string& job, std::int64_t now_ms)> on_refused;

  void SetCosts(const work_costs& costs) { costs_ = costs; }
  fleet::fleet_core& Core() { return core_; }
  const slow_leader_counts& Counts() const { return counts_; }
  std::int64_t NowMs() const { return now_us_ / kMicros; }

  // Submits the job at `at_ms`. The leader may reject it.
  void Submit(schema::fleet_job job, std::int64_t at_ms);
  // The executor leaves at `at_ms`: it begins to drain and its tasks fail.
  void Leave(int executor, std::int64_t at_ms);
  void RunUntil(std::int64_t ms);

 private:
  static constexpr std::int64_t kMicros = 1000;

  struct event {
    std::int64_t due_us;
    std::uint64_t order;
    // Handled by the leader, once it has handled all earlier events.
    bool for_leader;
    std::function<void()> act;

    friend bool operator>(const event& left, const event& right) {
      return std::tie(left.due_us, left.order) >
             std::tie(right.due_us, right.order);
    }
  };
  struct hold_request {
    std::int64_t sent_us = 0;
    std::int64_t wait_us = 0;
    std::int64_t deadline_ms = 0;
    std::uint64_t acknowledged = 0;
  };
  struct machine {
    fake_executor executor;
    bool leaving = false;
    // The hold that waits for an end; its number tells it from later ones.
    bool waits = false;
    std::uint64_t hold_number = 0;
    hold_request hold;
    // The leader's view of its holds.
    bool in_flight = false;
    bool scheduled = false;
    std::int64_t not_before_us = 0;
  };

  fleet::moment Moment(std::int64_t us) const;
  // The leader's time within its present work.
  fleet::moment LeaderTime() const { return Moment(leader_us_); }
  void Schedule(std::int64_t due_us, bool for_leader,
                std::function<void()> act);
  void HandleInbox();
  void Charge(std::int64_t us) { leader_us_ += us; }
  // Charges the work of planning that was counted since the last call.
  void ChargePlanning();

  void Tick();
  void Accept(const schema::fleet_job& job);
  void ScheduleRound();
  void PlanAndSend();
  void SendOrders();
  // Returns false if the start is held back.
  bool SendStart(const fleet::start_order& order);
  void SendStop(const fleet::stop_order& order);
  void WriteBatches();
  void Pump(machine& target);
  void SendHold(machine& target);
  void OnReport(machine& from, const hold_request& hold,
                const fleet::hold_report& report);

  // At the executors.
  machine& Machine(const std::string& id) { return machines_.at(id); }
  void ReceiveHold(machine& at, const hold_request& hold);
  void Respond(machine& from);
  void ReceiveStart(machine& at, const fleet::start_order& order,
                    std::int64_t deadline_ms);
  void End(machine& at, const fleet::task_ref& task, fleet::run_end how);

  slow_leader_options options_;
  work_costs costs_;
  fleet::fleet_core core_;
  fleet::hold_pace pace_{{}};
  fleet::write_pacer pacer_{{}};
  slow_leader_counts counts_;
  std::map<std::string, machine> machines_;
  // Run times of the tasks of short jobs.
  std::map<std::string, std::int64_t> run_ms_;
  std::priority_queue<event, std::vector<event>, std::greater<>> events_;
  std::deque<std::function<void()>> inbox_;
  std::uint64_t event_order_ = 0;
  std::int64_t now_us_ = 0;
  std::int64_t leader_us_ = 0;
  std::int64_t busy_until_us_ = 0;
  std::int64_t next_plan_us_ = 0;
  bool round_scheduled_ = false;
  bool write_scheduled_ = false;
  std::set<std::string> placed_on_;
  std::size_t placements_ = 0;
  std::size_t charged_placements_ = 0;
  std::uint64_t charged_evaluations_ = 0;
  std::uint64_t charged_examined_ = 0;
  std::int64_t store_revision_ = 1;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_SLOW_LEADER_H_
