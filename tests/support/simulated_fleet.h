// Simulation of a small fleet in virtual time: executors, a store and one or
// more leaders, with messages that are late, lost or duplicated.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_SIMULATED_FLEET_H_
#define WAXWINGFRONT_TESTS_SUPPORT_SIMULATED_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "support/fake_executor.h"
#include "support/fake_record_store.h"
#include "support/fleet_invariants.h"
#include "waxwingfront/fleet/fleet_core.h"

namespace waxwingfront::tests {

struct simulated_fleet_options {
  int executors = 3;
  int jobs = 4;
  // Probabilities out of 1000 messages.
  int lost_per_mille = 30;
  int late_per_mille = 30;
  // Probability out of 1000 that the store gets a batch a second time, late.
  int duplicated_per_mille = 0;
  // Faults per second, out of 1000: crashes, network partitions, new leaders.
  int faults_per_mille = 300;
  // Batches of records in flight at a time, and records in each.
  int max_open_batches = 1;
  std::size_t max_batch_records = 15;
  // No executor crashes and no link fails: only leaders change.
  bool reliable_executors = false;
  // Executors that begin to drain per second, out of 1000.
  int drains_per_mille = 0;
  // Executors whose store entries lapse per second, out of 1000, and the
  // longest time until an entry is back.
  int lapses_per_mille = 0;
  std::int64_t max_lapse_ms = 0;
  // Time from the crash of an executor until it is back. 0: it loses its state
  // but answers at once, also what was sent before.
  std::int64_t crash_downtime_ms = 0;
  // Stalls of a leader per second, out of 1000, and the longest duration.
  int stalls_per_mille = 0;
  std::int64_t max_stall_ms = 0;
  // Responses dropped because they arrive during a stall, out of 1000.
  int dropped_per_mille = 0;
  // Longest time that a hold waits at the executor.
  std::int64_t max_hold_wait_ms = 0;
  // One task of each step runs five times as long as the others.
  bool uneven_tasks = false;
  // The second step of each job is a gang.
  bool gangs = false;
  // Longest delay until a new leader sends its first hold to an executor.
  std::int64_t max_takeover_delay_ms = 0;
};

class simulated_fleet {
 public:
  simulated_fleet(std::uint32_t seed, simulated_fleet_options options);
  ~simulated_fleet();

  // Runs for `ms` of simulated time, without faults if `fault_free`.
  void Run(std::int64_t ms, bool fault_free);

  // Returns the invariants that were violated.
  std::vector<std::string> Violations() const;
  // True if every job is stored as completed, failed or cancelled.
  bool AllFinal() const;

 private:
  struct leader;
  struct event {
    std::int64_t at_ms;
    std::uint64_t order;
    std::function<void()> act;

    friend bool operator>(const event& left, const event& right) {
      return std::tie(left.at_ms, left.order) >
             std::tie(right.at_ms, right.order);
    }
  };

  bool ChancePerMille(int in_thousand);
  std::int64_t Between(std::int64_t low, std::int64_t high);
  void After(std::int64_t ms, std::function<void()> act);
  // A job and a run.
  using gang_key = std::pair<std::string, std::uint32_t>;
  struct gang {
    std::set<std::uint32_t> joined;
    // How the members that are left end, once the first has ended.
    std::optional<fleet::run_end> end;
  };
  // A call to an executor.
  struct call {
    std::function<void()> act;
    // Action of the executor when it responds, `wait_ms` later. Optional.
    std::function<void()> reply;
    std::int64_t wait_ms = 0;
    std::function<void(bool responded)> on_response;
  };
  // Sends a call. Request and response may be lost, and the order may be
  // executed late.
  void SendCall(int executor, call sent);
  // Runs `act` once the leader is not stalled.
  void Deliver(const std::shared_ptr<leader>& instance,
               std::function<void()> act);
  // Returns a callback that delivers a response, which the leader may drop if
  // it arrives during a stall.
  std::function<void(bool)> ReceiveResponse(
      const std::shared_ptr<leader>& instance, std::function<void(bool)> read);
  void Stall();
  void Drain();
  void LapseEntry();
  // Returns the executor's entry, but the state.
  static fleet::executor_info EntryOf(const fake_executor& executor);
  // Passes the store's entries of all executors to a leader immediately.
  void ListExecutors(const std::shared_ptr<leader>& instance);
  void Watch(const std::shared_ptr<leader>& instance);
  void RespondToWatch(const std::shared_ptr<leader>& instance,
                      std::int64_t sent_ms, std::int64_t until_ms);
  fleet::moment Now() const;

  void Elect();
  void RunLeaderRound(const std::shared_ptr<leader>& instance);
  void HoldAll(const std::shared_ptr<leader>& instance);
  // Delivers a hold that was meant for the incarnation `born_ms`; returns false
  // if the token is outdated.
  bool Hold(fake_executor& executor, std::int64_t born_ms, std::int64_t token,
            std::uint64_t acknowledged, std::int64_t until_ms,
            fleet::hold_report& report);
  void Send(const std::shared_ptr<leader>& instance,
            const fleet::orders& decided);
  void Write(const std::shared_ptr<leader>& instance);
  void WriteLeases(const std::shared_ptr<leader>& instance);
  void SendBatch(const std::shared_ptr<leader>& instance,
                 const fleet::write_batch& batch);
  std::optional<schema::fleet_progress> Progress(const std::string& job) const;
  void InjectFault();
  void RunTasks();
  bool IsMember(const fleet::task_ref& task) const;
  // Ends members of gangs; the others run in `RunTasks`.
  void RunGangs();

  std::mt19937 random_;
  simulated_fleet_options options_;
  std::int64_t now_ms_ = 1'000'000;
  std::uint64_t orders_ = 0;
  std::vector<event> events_;
  std::vector<fake_executor> executors_;
  std::vector<std::int64_t> unreachable_until_;
  fake_record_store records_;
  // The stored lease record, its revision and the time of its writing.
  std::optional<schema::fleet_leases> leases_;
  std::int64_t leases_revision_ = 0;
  std::int64_t leases_written_ms_ = 0;
  std::shared_ptr<leader> current_;
  std::set<std::string> jobs_;
  // Executors whose store entries are marked as draining.
  std::set<std::string> draining_;
  // Executors that have no store entry.
  std::set<std::string> lapsed_;
  int entries_version_ = 0;
  std::map<gang_key, gang> gangs_;
  fleet_invariants invariants_;
  bool fault_free_ = false;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_SIMULATED_FLEET_H_
