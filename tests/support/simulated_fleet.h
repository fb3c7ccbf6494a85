// A small fleet in simulated time: executors, a store and one leader or more,
// with messages that are late, lost or duplicated.
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
#include <vector>

#include "support/fake_executor.h"
#include "support/fake_record_store.h"
#include "support/fleet_invariants.h"
#include "waxwingfront/fleet/fleet_core.h"

namespace waxwingfront::tests {

struct simulated_fleet_options {
  int executors = 3;
  int jobs = 4;
  // Out of 1000 messages.
  int lost_per_mille = 30;
  int late_per_mille = 30;
  // Batches that the store gets a second time, late.
  int duplicated_per_mille = 0;
  // Faults a second, out of 1000: crashes, cuts and new leaders.
  int faults_per_mille = 300;
  // Batches of records on their way at a time, and records in each.
  int max_open_batches = 1;
  std::size_t max_batch_records = 15;
  // No executor crashes and no link is cut: only leaders change.
  bool reliable_executors = false;
  // Executors that begin to drain, out of 1000 a second.
  int drains_per_mille = 0;
  // Stalls of a leader a second, out of 1000, and the longest.
  int stalls_per_mille = 0;
  std::int64_t max_stall_ms = 0;
  // Answers that come during a stall and are given up, out of 1000.
  int dropped_per_mille = 0;
  // Longest wait of a hold at the executor.
  std::int64_t max_hold_wait_ms = 0;
  // One task of each step takes five times as long as the others.
  bool uneven_tasks = false;
  // A new leader asks an executor this late at most.
  std::int64_t max_takeover_delay_ms = 0;
};

class simulated_fleet {
 public:
  simulated_fleet(std::uint32_t seed, simulated_fleet_options options);
  ~simulated_fleet();

  // Runs for `ms` of simulated time; without faults if `calm`.
  void Run(std::int64_t ms, bool calm);

  // What broke; empty while nothing did.
  std::vector<std::string> Violations() const;
  // Whether every job is stored as completed or failed.
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

  bool Chance(int in_thousand);
  std::int64_t Between(std::int64_t low, std::int64_t high);
  void After(std::int64_t ms, std::function<void()> act);
  // One call over a link to an executor.
  struct call {
    std::function<void()> act;
    // What the executor does when it answers, `wait_ms` later; may be empty.
    std::function<void()> reply;
    std::int64_t wait_ms = 0;
    std::function<void(bool answered)> answer;
  };
  // Request and answer may be lost, and the order may be carried out late.
  void Message(int executor, call sent);
  // Runs `act` once the leader comes to read what has arrived.
  void Deliver(const std::shared_ptr<leader>& who, std::function<void()> act);
  // Delivers an answer, which the leader may have given up by then.
  std::function<void(bool)> Reader(const std::shared_ptr<leader>& who,
                                   std::function<void(bool)> read);
  void MaybeStall();
  void Drain();
  // Tells a leader what the store has of executors, at once.
  void ListExecutors(const std::shared_ptr<leader>& who);
  void Watch(const std::shared_ptr<leader>& who);
  void AnswerWatch(const std::shared_ptr<leader>& who, std::int64_t sent_ms,
                   std::int64_t until_ms);
  fleet::moment Now() const;

  void Elect();
  void Pump(const std::shared_ptr<leader>& who);
  void HoldAll(const std::shared_ptr<leader>& who);
  void Send(const std::shared_ptr<leader>& who, const fleet::orders& decided);
  void Write(const std::shared_ptr<leader>& who);
  void SendBatch(const std::shared_ptr<leader>& who,
                 const fleet::write_batch& batch);
  std::optional<schema::fleet_progress> Progress(const std::string& job) const;
  void Fault();
  void Work();

  std::mt19937 random_;
  simulated_fleet_options options_;
  std::int64_t now_ms_ = 1'000'000;
  std::uint64_t orders_ = 0;
  std::vector<event> events_;
  std::vector<fake_executor> executors_;
  std::vector<std::int64_t> cut_until_;
  fake_record_store records_;
  std::shared_ptr<leader> current_;
  std::set<std::string> jobs_;
  // Executors whose entries say that they drain.
  std::set<std::string> draining_;
  int entries_version_ = 0;
  fleet_invariants rules_;
  bool calm_ = false;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_SIMULATED_FLEET_H_
