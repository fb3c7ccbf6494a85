#include "waxwingfront/shard/shard_model.h"

#include <algorithm>
#include <ostream>
#include <sstream>
#include <utility>

namespace waxwingfront::tests {
namespace {

constexpr std::string_view kShard = "north/0";
constexpr std::int64_t kStepMs = 250;
constexpr std::int64_t kRenewalMs = 3000;
constexpr std::int64_t kCallTimeoutMs = 1000;
constexpr std::int64_t kLeaseMs = 9000;
constexpr std::int64_t kGraceMs = 30000;
constexpr std::int64_t kTaskLeaseMs = 20000;
// Tolerance for rounding: journals contain whole milliseconds of clocks with
// different rates.
constexpr std::int64_t kRoundingMs = 5;
// Covers the wait of a new owner and the longest jobs one after another.
constexpr std::int64_t kLivenessLimitMs = 900000;
constexpr core::resources kCapacity{
    .processor_milli = 2000, .memory_mib = 2000, .accelerators = 1};
constexpr std::array<std::int64_t, 6> kAdvances{50,   500,   2000,
                                                7000, 12000, 31000};
constexpr std::array<int, 4> kTaskMs{3000, 9000, 26000, 90000};

constexpr std::array<std::string_view, kCommandKinds> kCommandNames{
    "Advance",        "TakeOver",
    "Freeze",         "FreezeWithRequests",
    "Thaw",           "Kill",
    "SetLink",        "SetWorkerLinks",
    "Release",        "SetStoreLink",
    "LoseResponse",   "RestartWorker",
    "RestartKeeping", "Submit",
    "Cancel",         "Evict",
    "SetLeaving",     "OverstateCapacity",
    "Resign",         "Compact"};

core::monotonic_time At(std::int64_t ms) {
  return core::monotonic_time(core::milliseconds(ms));
}

std::shared_ptr<const bundle::bundle_view> Policy() {
  schema::bundle content;
  schema::batch_class_policy& orders = *content.add_batch_classes();
  orders.set_name("orders");
  orders.set_host_share_percent(100);
  orders.set_max_failures(2);
  schema::customer_policy& customer = *content.add_customers();
  customer.set_name("jihlava");
  customer.set_weight(1);
  return std::make_shared<const bundle::bundle_view>(content, 1);
}

std::int64_t ClockOffsetMs(int index) {
  return std::int64_t{1000000} * (index + 1);
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const command& shown) {
  return out << kCommandNames[static_cast<std::size_t>(shown.kind)] << "("
             << shown.a << "," << shown.b << ")";
}

shard_model::shard_model(model_options options)
    : options_(std::move(options)), policy_(Policy()) {
  for (worker_slot& slot : workers_) slot.agent = NewAgent();
  PublishHosts();
}

std::unique_ptr<standins::worker> shard_model::NewAgent() const {
  standins::worker_options options{
      .capacity = kCapacity, .task_lease = core::milliseconds(kTaskLeaseMs)};
  constexpr core::milliseconds kEndlessTicket{10000000};
  if (!options_.tickets_expire) options.ticket = kEndlessTicket;
  if (!options_.workers_check_capacity)
    options.capacity += kCapacity + kCapacity;
  return std::make_unique<standins::worker>(options);
}

void shard_model::PublishHosts() {
  auto view = std::make_shared<hosts::host_view>();
  for (int worker = 0; worker < kWorkers; ++worker) {
    hosts::worker_info info{.id = WorkerId(worker),
                            .failure_domain = "north",
                            .shard = std::string(kShard),
                            .capacity = kCapacity};
    if (overstated_[worker]) info.capacity += kCapacity;
    view->workers.emplace(info.id, info);
  }
  hosts_ = view;
}

void shard_model::Fail(std::string what) {
  if (!violation_.has_value())
    violation_ = std::to_string(now_ms_) + " ms: " + std::move(what);
}

std::string shard_model::WorkerId(int worker) {
  return "worker-" + std::to_string(worker);
}

core::monotonic_time shard_model::OwnerNow(int slot) const {
  const double local =
      options_.owner_rates[slot] * static_cast<double>(now_ms_);
  return At(ClockOffsetMs(slot) + static_cast<std::int64_t>(local));
}

core::monotonic_time shard_model::WorkerNow(int worker) const {
  const double local =
      options_.worker_rates[worker] * static_cast<double>(now_ms_);
  return At(ClockOffsetMs(worker) + static_cast<std::int64_t>(local));
}

shard::shard_core* shard_model::CurrentOwner() {
  return lease_holder_ < 0 ? nullptr : owners_[lease_holder_].core.get();
}

void shard_model::SetAllLinks(int worker, link_mode mode) {
  for (owner_slot& owner : owners_) owner.links[worker] = mode;
}

void shard_model::Run(const command& step) {
  if (violation_.has_value()) return;
  const int slot = step.a % kOwnerSlots;
  const int worker = step.b % kWorkers;
  owner_slot& owner = owners_[slot];
  switch (step.kind) {
    case command_kind::kAdvance:
      Advance(kAdvances[step.a % kAdvances.size()]);
      break;
    case command_kind::kTakeOver:
      TakeOver(slot);
      break;
    case command_kind::kFreeze:
      owner.frozen = true;
      break;
    case command_kind::kFreezeWithRequests:
      if (owner.core == nullptr || owner.frozen) break;
      for (int other = 0; other < kWorkers; ++other) {
        if (owner.calls[other].has_value()) continue;
        const link_mode former =
            std::exchange(owner.links[other], link_mode::kHoldRequests);
        Exchange(slot, other);
        owner.links[other] = former;
      }
      owner.frozen = true;
      break;
    case command_kind::kThaw:
      owner.frozen = false;
      // The owner acts again before it checks whether its lease is still valid.
      owner.next_renewal = OwnerNow(slot) + core::milliseconds(kRenewalMs);
      break;
    case command_kind::kKill:
      owner.core.reset();
      break;
    case command_kind::kSetLink:
      owner.links[worker] =
          static_cast<link_mode>(step.b / kWorkers % kLinkModes);
      break;
    case command_kind::kSetWorkerLinks:
      SetAllLinks(worker, step.a % 2 == 0 ? link_mode::kUp : link_mode::kDown);
      break;
    case command_kind::kRelease:
      if (held_.empty()) break;
      {
        const auto chosen =
            held_.begin() + step.a % static_cast<int>(held_.size());
        const held_request message = *chosen;
        held_.erase(chosen);
        const schema::sync_response reply =
            Deliver(message.worker, message.request);
        auto& call = owners_[message.slot].calls[message.worker];
        if (call.has_value() && call->id == message.call) call->reply = reply;
      }
      break;
    case command_kind::kSetStoreLink:
      owner.store_up = step.b % 2 == 0;
      owner.next_renewal = OwnerNow(slot) + core::milliseconds(kRenewalMs);
      break;
    case command_kind::kLoseStoreResponse:
      owner.lose_response = true;
      break;
    case command_kind::kRestartWorker:
      Restart(worker, false);
      break;
    case command_kind::kRestartWorkerKeepingTasks:
      Restart(worker, true);
      break;
    case command_kind::kSubmit:
      Submit(slot, step.b);
      break;
    case command_kind::kCancel:
      if (owner.core != nullptr && jobs_made_ > 0) {
        static_cast<void>(
            owner.core->Cancel("job-" + std::to_string(step.b % jobs_made_)));
      }
      break;
    case command_kind::kEvict:
      if (owner.core == nullptr || owner.frozen) break;
      for (const auto& [id, job] : owner.core->State().Jobs()) {
        if (job.active.empty()) continue;
        schema::attempt_id attempt;
        attempt.set_job(id);
        attempt.set_task(job.active.begin()->first);
        attempt.set_attempt(job.active.begin()->second.attempt);
        owner.core->Evict(attempt);
        if (step.b % 2 == 0) break;
      }
      break;
    case command_kind::kSetLeaving:
      workers_[worker].agent->SetLeaving(step.a % 2 == 0);
      break;
    case command_kind::kOverstateCapacity:
      overstated_[worker] = step.a % 2 == 0;
      PublishHosts();
      break;
    case command_kind::kResign:
      if (owner.core != nullptr && !owner.frozen) owner.core->Resign();
      break;
    case command_kind::kCompact:
      Compact();
      break;
  }
  Step(0);
}

void shard_model::Advance(std::int64_t ms) {
  for (std::int64_t left = ms; left > 0 && !violation_; left -= kStepMs)
    Step(std::min(left, kStepMs));
}

void shard_model::Step(std::int64_t ms) {
  now_ms_ += ms;
  for (int slot = 0; slot < kOwnerSlots; ++slot) StepOwner(slot);
  ReadJournals();
  CheckAccepted();
}

void shard_model::StepOwner(int slot) {
  owner_slot& owner = owners_[slot];
  if (owner.core == nullptr || owner.frozen) return;
  owner.core->OnBundle(policy_);
  owner.core->OnHosts(hosts_);
  for (int worker = 0; worker < kWorkers; ++worker) Exchange(slot, worker);
  Append(slot);
  for (int worker = 0; worker < kWorkers; ++worker) Exchange(slot, worker);
  RenewLease(slot);
}

void shard_model::RenewLease(int slot) {
  owner_slot& owner = owners_[slot];
  const core::monotonic_time now = OwnerNow(slot);
  if (now < owner.next_renewal || !owner.store_up) return;
  owner.next_renewal = now + core::milliseconds(kRenewalMs);
  if (lease_holder_ != slot || lease_end_ms_ <= now_ms_) {
    owner.core.reset();
    return;
  }
  // An owner that has resigned releases its key.
  if (owner.core->HasResigned() || owner.core->IsDeposed()) {
    lease_holder_ = -1;
    owner.core.reset();
    return;
  }
  lease_end_ms_ = now_ms_ + kLeaseMs;
  if (!std::exchange(owner.lose_response, false))
    owner.core->OnLeaseRenewed(now);
}

void shard_model::Append(int slot) {
  owner_slot& owner = owners_[slot];
  if (owner.appends.empty() || !options_.log_confirms_written_only) {
    auto next = owner.core->NextAppend(OwnerNow(slot));
    if (next.has_value()) {
      owner.appends.push_back(std::move(*next));
      if (!options_.log_confirms_written_only) {
        owner.core->OnAppendApplied();
        return;
      }
    }
  }
  if (owner.appends.empty()) return;
  switch (Write(owner, owner.appends.front())) {
    case append_result::kApplied:
      owner.appends.erase(owner.appends.begin());
      if (options_.log_confirms_written_only) owner.core->OnAppendApplied();
      break;
    case append_result::kDeposed:
      owner.appends.clear();
      owner.core->OnDeposed();
      break;
    case append_result::kUnknown:
      break;
  }
}

shard_model::append_result shard_model::Write(owner_slot& owner,
                                              const shard::log_append& append) {
  if (!owner.store_up) return append_result::kUnknown;
  const schema::log_record& record = append.record;
  const bool first =
      record.decisions_size() > 0 && record.decisions(0).has_epoch();
  const auto found = log_.find(append.number);
  const bool mine =
      found != log_.end() && found->second.nonce() == record.nonce();
  const bool absent = found == log_.end() || !options_.log_checks_absent;
  const bool epoch_holds =
      !options_.log_checks_epoch ||
      epoch_in_store_ == (first ? record.epoch() - 1 : record.epoch());
  if (mine) return append_result::kApplied;
  if (!absent || !epoch_holds) return append_result::kDeposed;
  StoreRecord(append);
  if (first) epoch_in_store_ = record.epoch();
  return std::exchange(owner.lose_response, false) ? append_result::kUnknown
                                                   : append_result::kApplied;
}

void shard_model::StoreRecord(const shard::log_append& append) {
  log_[append.number] = append.record;
  if (append.number != committed_through_ + 1) return;
  committed_through_ = append.number;
  ReadJournals();
  CheckRecord(append.record);
}

void shard_model::CheckRecord(const schema::log_record& record) {
  for (const schema::decision& decision : record.decisions()) {
    const auto applied = committed_state_.Apply(decision);
    if (!applied)
      return Fail("the log contradicts itself: " + applied.error().detail);
    if (decision.has_bound()) {
      const schema::attempt_id& id = decision.bound().id();
      expected_checkpoint_[{id.job(), id.task(), id.attempt()}] =
          last_checkpoint_[{id.job(), id.task()}];
    }
    if (!decision.has_ended()) continue;
    const schema::attempt_ended& ended = decision.ended();
    const task_key task{ended.id().job(), ended.id().task()};
    if (!ended.checkpoint().empty())
      last_checkpoint_[task] = ended.checkpoint();
    if (ended.outcome() != schema::ATTEMPT_OUTCOME_FINISHED) continue;
    if (!ran_to_end_.contains({task.first, task.second, ended.id().attempt()}))
      Fail("job " + task.first + " counts a task that did not run to its end");
    if (!finished_.insert(task).second)
      Fail("job " + task.first + " counts a task as finished twice");
  }
  for (int worker = 0; worker < kWorkers; ++worker) {
    if (!kCapacity.Holds(committed_state_.CommittedToWorker(WorkerId(worker))))
      Fail(WorkerId(worker) + " is committed beyond its capacity");
  }
}

void shard_model::Exchange(int slot, int worker) {
  owner_slot& owner = owners_[slot];
  const core::monotonic_time now = OwnerNow(slot);
  auto& call = owner.calls[worker];
  if (call.has_value()) {
    const bool held = owner.links[worker] == link_mode::kHoldReplies;
    if (call->reply.has_value() && !held) {
      const schema::sync_response reply = std::move(*call->reply);
      call.reset();
      owner.core->OnSyncReply(WorkerId(worker), reply, now);
    } else if (now - call->sent_at > core::milliseconds(kCallTimeoutMs)) {
      call.reset();
      owner.core->OnSyncFailed(WorkerId(worker), now);
    } else {
      return;
    }
  }
  const auto request = owner.core->NextSync(WorkerId(worker), now);
  if (!request.has_value()) return;
  call = open_call{.id = ++calls_made_, .sent_at = now};
  Send(slot, worker, *request);
}

void shard_model::Send(int slot, int worker,
                       const schema::sync_request& request) {
  owner_slot& owner = owners_[slot];
  open_call& call = *owner.calls[worker];
  const held_request copy{
      .slot = slot, .worker = worker, .call = call.id, .request = request};
  switch (owner.links[worker]) {
    case link_mode::kDown:
      break;
    case link_mode::kHoldRequests:
      held_.push_back(copy);
      break;
    case link_mode::kLoseReplies:
      Deliver(worker, request);
      break;
    case link_mode::kDuplicate:
      held_.push_back(copy);
      [[fallthrough]];
    case link_mode::kUp:
    case link_mode::kHoldReplies:
      call.reply = Deliver(worker, request);
      break;
  }
}

schema::sync_response shard_model::Deliver(int worker,
                                           schema::sync_request request) {
  worker_slot& slot = workers_[worker];
  if (!options_.workers_check_epoch) request.set_epoch(1);
  schema::sync_response response = slot.agent->Sync(request, WorkerNow(worker));
  constexpr int kTicketMs = 6000;
  response.set_ticket_ms(kTicketMs);
  *response.mutable_capacity() = core::ToSchema(kCapacity);
  if (!options_.workers_report_lease) response.set_task_lease_ms(0);
  if (!options_.workers_report_incarnation) response.set_incarnation("same");
  const bool refused = response.refusal() != schema::SYNC_REFUSAL_NONE;
  if (request.renew() && !refused) slot.renewed_ms = now_ms_;
  return response;
}

std::optional<shard::recovered_shard> shard_model::Recover() {
  shard::recovered_shard recovered;
  if (snapshot_.has_value()) {
    schema::shard_snapshot snapshot;
    snapshot.ParseFromString(*snapshot_);
    recovered.state = shard::shard_state::FromSnapshot(snapshot);
    recovered.next_number = snapshot.through() + 1;
  }
  for (const auto& [number, record] : log_) {
    if (number < recovered.next_number) continue;
    for (const schema::decision& decision : record.decisions()) {
      if (const auto applied = recovered.state.Apply(decision); !applied) {
        Fail("the log is damaged: " + applied.error().detail);
        return std::nullopt;
      }
    }
    recovered.next_number = number + 1;
  }
  return recovered;
}

bool shard_model::TakeOver(int slot) {
  owner_slot& owner = owners_[slot];
  const bool free = lease_holder_ < 0 || lease_end_ms_ <= now_ms_;
  if (!free || owner.core != nullptr) return false;
  owner.frozen = false;
  owner.store_up = true;
  owner.calls = {};
  owner.submitted.clear();
  owner.appends.clear();
  owner.lose_response = false;
  lease_holder_ = slot;
  lease_end_ms_ = now_ms_ + kLeaseMs;
  shard::shard_core_options options{.shard = std::string(kShard),
                                    .owner = "entry-" + std::to_string(slot),
                                    .grace = core::milliseconds(kGraceMs),
                                    .nonce = [this] { return ++nonces_made_; }};
  if (options_.tune) options_.tune(owners_made_, options);
  ++owners_made_;
  auto recovered = Recover();
  if (!recovered.has_value()) return false;
  const core::monotonic_time now = OwnerNow(slot);
  owner.core = std::make_unique<shard::shard_core>(
      options, std::move(*recovered), now, now);
  owner.next_renewal = now + core::milliseconds(kRenewalMs);
  return true;
}

void shard_model::Compact() {
  if (CurrentOwner() == nullptr) return;
  const auto snapshot = CurrentOwner()->Snapshot();
  if (!snapshot.has_value()) return;
  snapshot_ = snapshot->SerializeAsString();
  log_.erase(log_.begin(), log_.upper_bound(snapshot->through()));
}

void shard_model::Restart(int worker, bool keep_tasks) {
  ReadJournals();
  worker_slot& slot = workers_[worker];
  std::vector<run> kept;
  for (const auto& [listed, index] : slot.running) {
    runs_[index].end = now_ms_;
    kept.push_back(runs_[index]);
  }
  const std::int64_t renewed_ms = slot.renewed_ms;
  slot = worker_slot{.agent = NewAgent(), .renewed_ms = renewed_ms};
  if (!keep_tasks) return;
  for (const run& task : kept) StartOrphan(worker, task);
}

// Starts a stand-in for a task that outlives its worker's process; it still
// ends with its lease.
void shard_model::StartOrphan(int worker, const run& kept) {
  run task = kept;
  task.lease_end = kept.lease_end.value_or(
      std::max(kept.start, workers_[worker].renewed_ms) + kTaskLeaseMs);
  task.resumed_from += now_ms_ - kept.start;
  const std::int64_t lease_left = *task.lease_end - now_ms_;
  const std::int64_t work_left =
      TaskDurationMs(std::get<0>(task.attempt)) - task.resumed_from;
  const std::int64_t left = std::min(lease_left, work_left);
  if (left <= 0) return;
  schema::sync_request request;
  standins::worker& agent = *workers_[worker].agent;
  request.set_ticket(agent.Sync(request, WorkerNow(worker)).ticket());
  schema::start_task& start = *request.add_start();
  start.mutable_id()->set_job("orphan-" + std::to_string(++orphans_made_));
  *start.mutable_size() = core::ToSchema(kept.size);
  start.set_command("sleep:" + std::to_string(left));
  orphans_[start.id().job()] = task;
  agent.Sync(request, WorkerNow(worker));
}

void shard_model::Submit(int slot, int variant) {
  owner_slot& owner = owners_[slot];
  if (owner.core == nullptr || owner.frozen) return;
  schema::job_spec spec;
  spec.set_id("job-" + std::to_string(jobs_made_++));
  spec.set_customer("jihlava");
  spec.set_batch_class("orders");
  spec.mutable_task_size()->set_processor_milli(variant % 2 == 0 ? 1000 : 600);
  spec.mutable_task_size()->set_memory_mib(700);
  spec.mutable_task_size()->set_accelerators(variant % 5 == 0 ? 1 : 0);
  spec.set_task_count(1 + variant / 2 % 3);
  const bool fails = variant % 11 == 10;
  spec.set_command((fails ? "fail:" : "sleep:") +
                   std::to_string(kTaskMs[variant / 3 % kTaskMs.size()]));
  specs_[spec.id()] = spec;
  const auto number = owner.core->Submit(spec);
  if (number) owner.submitted.emplace_back(*number, spec.id());
}

std::int64_t shard_model::TaskDurationMs(const std::string& job) const {
  const std::string& command = specs_.at(job).command();
  return std::stoll(command.substr(command.find(':') + 1));
}

void shard_model::ReadJournals() {
  const std::size_t known = runs_.size();
  for (int worker = 0; worker < kWorkers; ++worker) {
    worker_slot& slot = workers_[worker];
    // A request with epoch 0 has no effect except that the worker ends the
    // attempts that are due.
    slot.agent->Sync({}, WorkerNow(worker));
    const std::string journal = slot.agent->Journal();
    std::istringstream lines(journal.substr(slot.journal_read));
    slot.journal_read = journal.size();
    for (std::string line; std::getline(lines, line);) ReadLine(worker, line);
    CheckCapacity(worker);
  }
  for (std::size_t index = known; index < runs_.size(); ++index)
    CheckOverlap(runs_[index]);
}

void shard_model::ReadLine(int worker, const std::string& line) {
  std::istringstream words(line);
  std::string event;
  std::string job;
  std::int64_t task = 0;
  std::int32_t attempt = 0;
  std::int64_t at = 0;
  std::string checkpoint;
  words >> event >> job >> task >> attempt >> at >> checkpoint;
  const double true_ms = static_cast<double>(at - ClockOffsetMs(worker)) /
                         options_.worker_rates[worker];
  const attempt_key listed{job, task, attempt};
  if (event == "end")
    return EndRun(worker, listed, static_cast<std::int64_t>(true_ms));
  BeginRun(worker, listed, static_cast<std::int64_t>(true_ms),
           checkpoint == "-" ? 0 : std::stoll(checkpoint));
  const auto expected = expected_checkpoint_.find(listed);
  if (expected == expected_checkpoint_.end()) {
    if (!orphans_.contains(job)) Fail(line + ": not bound in the log");
    return;
  }
  const std::string& recorded =
      expected->second.empty() ? "-" : expected->second;
  if (checkpoint != recorded)
    Fail(line + ": resumed from another checkpoint than the recorded " +
         recorded);
}

void shard_model::BeginRun(int worker, const attempt_key& listed,
                           std::int64_t at, std::int64_t resumed_from) {
  const auto orphan = orphans_.find(std::get<0>(listed));
  run begun{.attempt = listed, .resumed_from = resumed_from};
  if (orphan != orphans_.end()) begun = orphan->second;
  begun.worker = worker;
  begun.start = at;
  begun.end.reset();
  begun.size =
      core::FromSchema(specs_.at(std::get<0>(begun.attempt)).task_size());
  workers_[worker].running[listed] = runs_.size();
  runs_.push_back(begun);
}

void shard_model::EndRun(int worker, const attempt_key& listed,
                         std::int64_t at) {
  auto& running = workers_[worker].running;
  const auto found = running.find(listed);
  run& ended = runs_[found->second];
  ended.end = at;
  running.erase(found);
  const double ran =
      static_cast<double>(at - ended.start) * options_.worker_rates[worker];
  const std::int64_t done =
      ended.resumed_from + static_cast<std::int64_t>(ran) + kRoundingMs;
  const bool known = !orphans_.contains(std::get<0>(listed));
  if (known && done >= TaskDurationMs(std::get<0>(listed)))
    ran_to_end_.insert(listed);
}

void shard_model::CheckOverlap(const run& begun) {
  for (const run& other : runs_) {
    if (&other == &begun) continue;
    if (std::get<0>(other.attempt) != std::get<0>(begun.attempt) ||
        std::get<1>(other.attempt) != std::get<1>(begun.attempt)) {
      continue;
    }
    const bool after = other.end && *other.end <= begun.start + kRoundingMs;
    const bool before = begun.end && *begun.end <= other.start + kRoundingMs;
    if (after || before) continue;
    Fail("task " + std::to_string(std::get<1>(begun.attempt)) + " of " +
         std::get<0>(begun.attempt) + " runs as attempt " +
         std::to_string(std::get<2>(other.attempt)) + " on " +
         WorkerId(other.worker) + " and as attempt " +
         std::to_string(std::get<2>(begun.attempt)) + " on " +
         WorkerId(begun.worker));
  }
}

void shard_model::CheckCapacity(int worker) {
  core::resources used;
  for (const auto& [listed, index] : workers_[worker].running)
    used += runs_[index].size;
  if (!kCapacity.Holds(used))
    Fail(WorkerId(worker) + " runs more than its capacity");
}

void shard_model::CheckAccepted() {
  for (const owner_slot& owner : owners_) {
    if (owner.core == nullptr) continue;
    for (const auto& [number, job] : owner.submitted) {
      if (owner.core->IsApplied(number) &&
          committed_state_.FindJob(job) == nullptr)
        Fail(job + " was accepted and is not in the log");
    }
  }
}

void shard_model::CheckLiveness() {
  for (owner_slot& owner : owners_) {
    owner.frozen = false;
    owner.store_up = true;
    owner.links.fill(link_mode::kUp);
  }
  for (worker_slot& worker : workers_) worker.agent->SetLeaving(false);
  overstated_.fill(false);
  PublishHosts();
  const std::int64_t end_ms = now_ms_ + kLivenessLimitMs;
  while (now_ms_ < end_ms && !violation_.has_value()) {
    if (committed_state_.OpenJobs().empty() && committed_through_ > 0) return;
    for (int slot = 0; slot < kOwnerSlots; ++slot) TakeOver(slot);
    Step(kStepMs);
  }
  if (!violation_.has_value() && !committed_state_.OpenJobs().empty())
    Fail(*committed_state_.OpenJobs().begin() +
         " does not end after all faults have ended");
}

}  // namespace waxwingfront::tests
