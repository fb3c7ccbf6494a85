// Model of one shard and its environment for property tests: a store with a
// log, owners and workers with separate clocks, and links that lose, delay and
// duplicate messages. Commands advance the time and inject faults.
#ifndef WAXWINGFRONT_TESTS_SHARD_SHARD_MODEL_H_
#define WAXWINGFRONT_TESTS_SHARD_SHARD_MODEL_H_

#include <array>
#include <cstdint>
#include <functional>
#include <iosfwd>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/hosts/host_view.h"
#include "waxwingfront/shard/shard_core.h"
#include "waxwingfront/standins/worker.h"

namespace waxwingfront::tests {

inline constexpr int kOwnerSlots = 3;
inline constexpr int kWorkers = 3;

enum class command_kind {
  kAdvance,
  kTakeOver,
  kFreeze,
  kFreezeWithRequests,
  kThaw,
  kKill,
  kSetLink,
  kSetWorkerLinks,
  kRelease,
  kSetStoreLink,
  kLoseStoreResponse,
  kRestartWorker,
  kRestartWorkerKeepingTasks,
  kSubmit,
  kCancel,
  kEvict,
  kSetLeaving,
  kOverstateCapacity,
  kResign,
  kCompact,
};
inline constexpr int kCommandKinds = 20;

// `a` and `b` are selectors whose meaning depends on the kind; see
// `shard_model::Run`.
struct command {
  command_kind kind = command_kind::kAdvance;
  int a = 0;
  int b = 0;
};

std::ostream& operator<<(std::ostream& out, const command& shown);

// Behaviour of the link between one owner and one worker.
enum class link_mode {
  kUp,
  kDown,
  kHoldRequests,
  kLoseReplies,
  kHoldReplies,
  kDuplicate,
};
inline constexpr int kLinkModes = 6;

// Each flag that is false removes one rule of section 5.2 of the design from
// the model's store or workers. `tune` changes the options of the owner with a
// number; numbers start at 0.
struct model_options {
  bool log_checks_absent = true;
  bool log_checks_epoch = true;
  // Rule 1: a record is confirmed to its owner only if it is in the log.
  bool log_confirms_written_only = true;
  bool tickets_expire = true;
  bool workers_check_epoch = true;
  bool workers_report_incarnation = true;
  bool workers_check_capacity = true;
  // Rule 6 for the same owner: the worker reports its actual task lease.
  bool workers_report_lease = true;
  std::function<void(int owner, shard::shard_core_options& options)> tune;
  // Clock rates; any two differ by less than 5 %.
  std::array<double, kOwnerSlots> owner_rates{1, 1, 1};
  std::array<double, kWorkers> worker_rates{1, 1, 1};
};

class shard_model {
 public:
  explicit shard_model(model_options options);

  void Run(const command& step);
  // Ends all faults and checks that every accepted job is closed within a
  // bounded time.
  void CheckLiveness();
  // Returns the first violation of an invariant, or nothing.
  const std::optional<std::string>& Violation() const { return violation_; }
  const shard::shard_state& CommittedState() const { return committed_state_; }
  shard::shard_core* CurrentOwner();

 private:
  using task_key = std::pair<std::string, std::int64_t>;
  using attempt_key = std::tuple<std::string, std::int64_t, std::int32_t>;

  struct open_call {
    std::uint64_t id = 0;
    core::monotonic_time sent_at;
    std::optional<schema::sync_response> reply;
  };
  struct owner_slot {
    std::unique_ptr<shard::shard_core> core;
    std::uint64_t number = 0;
    bool frozen = false;
    bool store_up = true;
    bool lose_response = false;
    core::monotonic_time next_renewal;
    std::array<link_mode, kWorkers> links{};
    std::array<std::optional<open_call>, kWorkers> calls;
    // Record numbers and ids of the jobs submitted to this owner.
    std::vector<std::pair<std::uint64_t, std::string>> submitted;
    // Records not yet confirmed, in order.
    std::vector<shard::log_append> appends;
  };
  struct held_request {
    int slot = 0;
    int worker = 0;
    std::uint64_t call = 0;
    schema::sync_request request;
  };
  struct run {
    attempt_key attempt;
    int worker = 0;
    // True time in ms; no end while it runs.
    std::int64_t start = 0;
    std::optional<std::int64_t> end;
    std::int64_t resumed_from = 0;
    // Set for a task that outlived its worker's process: the end of its lease,
    // which is not renewed any more.
    std::optional<std::int64_t> lease_end;
    core::resources size;
  };
  struct worker_slot {
    std::unique_ptr<standins::worker> agent;
    std::size_t journal_read = 0;
    // Indices into `runs_` by the attempt id in the journal.
    std::map<attempt_key, std::size_t> running;
    // True time in ms of the last successful renewal.
    std::int64_t renewed_ms = 0;
  };

  void Fail(std::string what);
  std::unique_ptr<standins::worker> NewAgent() const;
  core::monotonic_time OwnerNow(int slot) const;
  core::monotonic_time WorkerNow(int worker) const;
  static std::string WorkerId(int worker);
  void Advance(std::int64_t ms);
  void Step(std::int64_t ms);
  void StepOwner(int slot);
  void RenewLease(int slot);
  void Append(int slot);
  enum class append_result { kApplied, kDeposed, kUnknown };
  append_result Write(owner_slot& owner, const shard::log_append& append);
  void StoreRecord(const shard::log_append& append);
  void CheckRecord(const schema::log_record& record);
  void Exchange(int slot, int worker);
  void Send(int slot, int worker, const schema::sync_request& request);
  schema::sync_response Deliver(int worker, schema::sync_request request);
  bool TakeOver(int slot);
  std::optional<shard::recovered_shard> Recover();
  void Compact();
  void Restart(int worker, bool keep_tasks);
  void StartOrphan(int worker, const run& kept);
  void Submit(int slot, int variant);
  void PublishHosts();
  void ReadJournals();
  void ReadLine(int worker, const std::string& line);
  void BeginRun(int worker, const attempt_key& listed, std::int64_t at,
                std::int64_t resumed_from);
  void EndRun(int worker, const attempt_key& listed, std::int64_t at);
  void CheckOverlap(const run& begun);
  void CheckCapacity(int worker);
  void CheckAccepted();
  std::int64_t TaskDurationMs(const std::string& job) const;
  void SetAllLinks(int worker, link_mode mode);

  model_options options_;
  std::optional<std::string> violation_;
  std::int64_t now_ms_ = 0;
  int owners_made_ = 0;
  int jobs_made_ = 0;
  std::uint64_t calls_made_ = 0;
  std::uint64_t nonces_made_ = 0;
  std::uint64_t orphans_made_ = 0;
  std::array<owner_slot, kOwnerSlots> owners_;
  std::array<worker_slot, kWorkers> workers_;
  std::array<bool, kWorkers> overstated_{};
  std::vector<held_request> held_;
  std::shared_ptr<const hosts::host_view> hosts_;
  std::shared_ptr<const bundle::bundle_view> policy_;

  // State of the store.
  std::map<std::uint64_t, schema::log_record> log_;
  std::optional<std::string> snapshot_;
  std::uint64_t epoch_in_store_ = 0;
  int lease_holder_ = -1;
  std::int64_t lease_end_ms_ = 0;

  // State as of the log, and what the workers have run, for the checks.
  shard::shard_state committed_state_;
  std::uint64_t committed_through_ = 0;
  std::vector<run> runs_;
  std::map<std::string, schema::job_spec> specs_;
  std::set<attempt_key> ran_to_end_;
  std::set<task_key> finished_;
  std::map<task_key, std::string> last_checkpoint_;
  std::map<attempt_key, std::string> expected_checkpoint_;
  // Actual runs of tasks that outlived their worker's process, by the job id
  // under which the restarted worker reports them.
  std::map<std::string, run> orphans_;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SHARD_SHARD_MODEL_H_
