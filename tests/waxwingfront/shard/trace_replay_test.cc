// Replays recorded traces with the decision logic, an in-memory log, stand-in
// workers and simulated time, and checks the outcome that each trace states.
//
// A trace is a text file with one event per line in chronological order:
// "<ms> <event> <arguments>". `#` starts a comment line. Events:
//
// - `worker <id> <rack> <processors>`: adds a worker.
// - `option <name> <ms>`: sets grace, ticket, task_lease or sync_period.
// - `claim <entry>`: the entry takes over the shard.
// - `resign <entry>`: the entry hands over the shard.
// - `die <entry>`, `freeze <entry>`, `thaw <entry>`
// - `store down|up`: store calls are rejected, or succeed again.
// - `store lose <count>`: the responses to the next <count> writes are lost.
// - `rack <rack> unreachable|reachable`: messages to the workers of the rack
//   are lost, while their tasks continue.
// - `submit <job> <tasks> <command>`: each task needs one processor.
// - `expect <job> <field> <op> <number>`: compares a field of `job_status`,
//   named without its prefix `tasks_` or `attempts_`; <op> is `=` or `<=`.
// - `expect starts <job> <op> <number>`: compares the number of attempts that
//   the workers started.
//
// At the end of each trace, no task may have run twice at the same time, and
// none may have finished twice.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <set>
#include <sstream>

#include "support/journal.h"
#include "waxwingfront/shard/shard_core.h"
#include "waxwingfront/standins/worker.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;
using core::monotonic_time;

constexpr milliseconds kStep{50};
constexpr milliseconds kLeaseTtl{9000};
constexpr milliseconds kRenewPeriod{3000};
constexpr std::int64_t kProcessorMilli = 1000;
constexpr std::string_view kShard = "local/0";

// In-memory log of one shard that simulates faults of the store.
class memory_log {
 public:
  enum class append_response { kApplied, kConflict, kNoResponse };

  append_response Append(const shard::log_append& append) {
    if (down) return append_response::kNoResponse;
    const std::size_t index = append.number - 1;
    if (index < records_.size()) {
      const bool mine = records_[index].nonce() == append.record.nonce();
      return mine ? append_response::kApplied : append_response::kConflict;
    }
    REQUIRE(index == records_.size());
    records_.push_back(append.record);
    if (lost_responses > 0) {
      --lost_responses;
      return append_response::kNoResponse;
    }
    return append_response::kApplied;
  }

  shard::recovered_shard Recover() const {
    shard::recovered_shard recovered;
    for (const schema::log_record& record : records_) {
      for (const schema::decision& decision : record.decisions())
        REQUIRE(recovered.state.Apply(decision).has_value());
      ++recovered.next_number;
    }
    return recovered;
  }

  bool down = false;
  int lost_responses = 0;

 private:
  std::vector<schema::log_record> records_;
};

struct traced_worker {
  std::unique_ptr<standins::worker> agent;
  bool reachable = true;
};

struct traced_entry {
  std::unique_ptr<shard::shard_core> core;
  // A record whose outcome is unknown.
  std::optional<shard::log_append> unconfirmed;
  monotonic_time renewed_at;
  bool frozen = false;
};

class trace_replay {
 public:
  trace_replay() {
    schema::bundle content;
    schema::batch_class_policy& orders = *content.add_batch_classes();
    orders.set_name("orders");
    orders.set_host_share_percent(100);
    orders.set_max_failures(3);
    content.add_customers()->set_name("jihlava");
    policy_ = std::make_shared<bundle::bundle_view>(content, 1);
    options_.shard = std::string(kShard);
    options_.nonce = [this] { return ++nonce_; };
  }

  void Run(const std::filesystem::path& path) {
    std::ifstream file(path);
    REQUIRE(file.good());
    std::string line;
    while (std::getline(file, line)) {
      if (line.empty() || line.front() == '#') continue;
      INFO(path.filename().string() + ": " + line);
      std::istringstream words(line);
      std::int64_t at_ms = -1;
      std::string event;
      REQUIRE(words >> at_ms >> event);
      REQUIRE(Time(at_ms) >= now_);
      AdvanceTo(Time(at_ms));
      HandleEvent(event, words);
    }
    CheckJournals();
  }

 private:
  static monotonic_time Time(std::int64_t ms) {
    // Not zero, which the code may interpret as "never".
    constexpr milliseconds kStart{1000000};
    return monotonic_time(kStart + milliseconds(ms));
  }

  static std::string ReadWord(std::istringstream& words) {
    std::string word;
    REQUIRE(words >> word);
    return word;
  }

  static std::int64_t ReadNumber(std::istringstream& words) {
    std::int64_t number = 0;
    REQUIRE(words >> number);
    return number;
  }

  void HandleEvent(const std::string& event, std::istringstream& words) {
    if (event == "worker") return AddWorker(words);
    if (event == "option") return SetOption(words);
    if (event == "store") return ChangeStore(words);
    if (event == "rack") return ChangeRack(words);
    if (event == "submit") return Submit(words);
    if (event == "expect") return Expect(words);
    const std::string entry = ReadWord(words);
    if (event == "claim") return Claim(entry);
    REQUIRE(entries_.contains(entry));
    if (event == "resign") return entries_[entry].core->Resign();
    if (event == "die") return static_cast<void>(entries_.erase(entry));
    REQUIRE((event == "freeze" || event == "thaw"));
    entries_[entry].frozen = event == "freeze";
  }

  void AddWorker(std::istringstream& words) {
    const std::string id = ReadWord(words);
    const std::string rack = ReadWord(words);
    const core::resources capacity{.processor_milli =
                                       ReadNumber(words) * kProcessorMilli};
    traced_worker& worker = workers_[id];
    worker.agent = std::make_unique<standins::worker>(
        standins::worker_options{.capacity = capacity,
                                 .ticket = options_.ticket,
                                 .task_lease = options_.task_lease});
    hosts_.workers.emplace(id, hosts::worker_info{.id = id,
                                                  .address = id,
                                                  .failure_domain = "local",
                                                  .rack = rack,
                                                  .shard = std::string(kShard),
                                                  .capacity = capacity});
    view_ = std::make_shared<hosts::host_view>(hosts_);
  }

  void SetOption(std::istringstream& words) {
    const std::string name = ReadWord(words);
    const milliseconds value(ReadNumber(words));
    const std::map<std::string, milliseconds*> known = {
        {"grace", &options_.grace},
        {"ticket", &options_.ticket},
        {"task_lease", &options_.task_lease},
        {"sync_period", &options_.sync_period}};
    REQUIRE(known.contains(name));
    *known.at(name) = value;
  }

  void ChangeStore(std::istringstream& words) {
    const std::string change = ReadWord(words);
    if (change == "lose") {
      log_.lost_responses = static_cast<int>(ReadNumber(words));
      return;
    }
    REQUIRE((change == "down" || change == "up"));
    log_.down = change == "down";
  }

  void ChangeRack(std::istringstream& words) {
    const std::string rack = ReadWord(words);
    const std::string change = ReadWord(words);
    REQUIRE((change == "unreachable" || change == "reachable"));
    for (auto& [id, worker] : workers_) {
      if (hosts_.workers.at(id).rack == rack)
        worker.reachable = change == "reachable";
    }
  }

  void Claim(const std::string& entry) {
    REQUIRE_FALSE(log_.down);
    shard::shard_core_options options = options_;
    options.owner = entry;
    entries_[entry] = {.core = std::make_unique<shard::shard_core>(
                           options, log_.Recover(), now_, now_),
                       .unconfirmed = std::nullopt,
                       .renewed_at = now_};
    last_claimant_ = entry;
  }

  void Submit(std::istringstream& words) {
    schema::job_spec spec;
    spec.set_id(ReadWord(words));
    spec.set_task_count(ReadNumber(words));
    spec.set_command(ReadWord(words));
    spec.set_customer("jihlava");
    spec.set_batch_class("orders");
    spec.mutable_task_size()->set_processor_milli(kProcessorMilli);
    REQUIRE(entries_.at(last_claimant_).core->Submit(spec).has_value());
    task_counts_[spec.id()] = spec.task_count();
  }

  void Expect(std::istringstream& words) {
    const std::string job = ReadWord(words);
    if (job == "starts") {
      const std::string of_job = ReadWord(words);
      return Compare(static_cast<std::int64_t>(Runs(of_job).size()), words);
    }
    const schema::job_status status = log_.Recover().state.Status(job);
    const std::map<std::string, std::int64_t> values = {
        {"active", status.tasks_active()},
        {"finished", status.tasks_finished()},
        {"failed", status.attempts_failed()},
        {"evicted", status.attempts_evicted()},
        {"lost", status.attempts_lost()}};
    const std::string field = ReadWord(words);
    REQUIRE(values.contains(field));
    Compare(values.at(field), words);
  }

  static void Compare(std::int64_t value, std::istringstream& words) {
    const std::string relation = ReadWord(words);
    REQUIRE((relation == "=" || relation == "<="));
    const std::int64_t expected = ReadNumber(words);
    if (relation == "=") CHECK(value == expected);
    if (relation == "<=") CHECK(value <= expected);
  }

  void AdvanceTo(monotonic_time end) {
    while (now_ < end) {
      now_ = std::min(now_ + kStep, end);
      for (auto& [id, entry] : entries_) {
        if (!entry.frozen) StepEntry(entry);
      }
    }
  }

  void StepEntry(traced_entry& entry) {
    entry.core->OnBundle(policy_);
    entry.core->OnHosts(view_);
    if (!log_.down && now_ - entry.renewed_at >= kRenewPeriod) {
      // The store lease of a frozen entry may have ended when the entry
      // resumes.
      if (now_ - entry.renewed_at < kLeaseTtl) {
        entry.renewed_at = now_;
        entry.core->OnLeaseRenewed(now_);
      }
    }
    StepLog(entry);
    for (const std::string& id : entry.core->Workers()) StepWorker(entry, id);
  }

  void StepLog(traced_entry& entry) {
    if (!entry.unconfirmed.has_value())
      entry.unconfirmed = entry.core->NextAppend(now_);
    if (!entry.unconfirmed.has_value()) return;
    switch (log_.Append(*entry.unconfirmed)) {
      case memory_log::append_response::kApplied:
        entry.core->OnAppendApplied();
        entry.unconfirmed.reset();
        break;
      case memory_log::append_response::kConflict:
        entry.core->OnDeposed();
        entry.unconfirmed.reset();
        break;
      case memory_log::append_response::kNoResponse:
        break;
    }
  }

  void StepWorker(traced_entry& entry, const std::string& id) {
    const auto request = entry.core->NextSync(id, now_);
    if (!request.has_value()) return;
    traced_worker& worker = workers_.at(id);
    if (!worker.reachable) return entry.core->OnSyncFailed(id, now_);
    entry.core->OnSyncReply(id, worker.agent->Sync(*request, now_), now_);
  }

  // Returns the attempts of a job so far. Workers first end the attempts that
  // are due.
  std::vector<attempt_run> Runs(const std::string& job) {
    std::vector<std::string> journals;
    for (auto& [id, worker] : workers_) {
      worker.agent->Advance(now_);
      journals.push_back(worker.agent->Journal());
    }
    return RunsOf(job, journals);
  }

  void CheckJournals() {
    for (const auto& [job, count] : task_counts_) {
      INFO("job " + job);
      CHECK(FindFaults(Runs(job), count).empty());
    }
  }

  shard::shard_core_options options_;
  std::uint64_t nonce_ = 0;
  memory_log log_;
  std::shared_ptr<const bundle::bundle_view> policy_;
  hosts::host_view hosts_;
  std::shared_ptr<const hosts::host_view> view_;
  std::map<std::string, traced_worker> workers_;
  std::map<std::string, traced_entry> entries_;
  std::string last_claimant_;
  std::map<std::string, std::int64_t> task_counts_;
  monotonic_time now_ = Time(0);
};

// Guards against changes of the decision logic that alter the outcome of a
// known sequence of events.
TEST_CASE("recorded traces have their stated outcomes", "[shard][trace]") {
  std::vector<std::filesystem::path> traces;
  for (const auto& file :
       std::filesystem::directory_iterator(WAXWINGFRONT_TRACES)) {
    if (file.path().extension() == ".trace") traces.push_back(file.path());
  }
  std::sort(traces.begin(), traces.end());
  REQUIRE(traces.size() >= 3);
  for (const std::filesystem::path& trace : traces) {
    DYNAMIC_SECTION(trace.stem().string()) { trace_replay().Run(trace); }
  }
}

}  // namespace
}  // namespace waxwingfront::tests
