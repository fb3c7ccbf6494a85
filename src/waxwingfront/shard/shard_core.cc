#include "waxwingfront/shard/shard_core.h"

#include <algorithm>
#include <utility>

#include "waxwingfront/shard/placement_reason.h"
#include "waxwingfront/shard/planner.h"
#include "waxwingfront/shard/policy_violations.h"
#include "waxwingfront/shard/preemption.h"

namespace waxwingfront::shard {
namespace {

// Assumed bound on the difference in rate of two hosts' monotonic clocks.
constexpr int kDriftPercent = 5;
constexpr int kFullPercent = 100;
// Limits the size of one record to about 32 KB.
constexpr std::size_t kMaxBindingsPerRecord = 512;
// Limits the specifications in one record; a value in the store can be 1 MB, of
// which base64 encoding takes a quarter.
constexpr std::size_t kMaxQueuedBytes = 524288;
constexpr std::size_t kMaxStartsPerSync = 64;
// Minimum time between two messages to a worker, so that a worker that does not
// carry out a start is not sent messages in a loop.
constexpr core::milliseconds kMinSyncGap{50};
// Delay after a failed call, so that a worker that is down is not called in a
// loop, but urgent work still starts within one second of a lost message.
constexpr core::milliseconds kFailedSyncGap{500};
// Number of requests after which a start that the worker does not carry out is
// withdrawn.
constexpr int kMaxRejectedStarts = 3;
// Interval of planning passes when no input has changed, needed for retries and
// probes that become due.
constexpr core::milliseconds kPlanPeriod{500};
// Limits the deletions in the store per scan for expired jobs.
constexpr std::size_t kMaxDropsAtOnce = 64;
// Limits the preemptions per planning pass.
constexpr std::size_t kMaxPreemptions = 64;
// Time within which a worker must free capacity for an urgent task. A worker
// that takes longer counts as unresponsive, and the task is placed on another
// one.
constexpr core::milliseconds kPreemptionLimit{5000};

}  // namespace

shard_core::shard_core(shard_core_options options, recovered_shard recovered,
                       core::monotonic_time lease_requested_at,
                       core::monotonic_time now)
    : options_(std::move(options)),
      state_(std::move(recovered.state)),
      epoch_(state_.Epoch() + 1),
      next_number_(recovered.next_number),
      applied_through_(recovered.next_number - 1),
      lease_requested_at_(lease_requested_at),
      append_tokens_(options_.appends_per_second, options_.append_burst, now) {
  inherited_work_end_ = now + WithDrift(FormerOwnerGrace() + options_.ticket +
                                        options_.task_lease);
  for (const auto& [id, job] : state_.Jobs()) RecordIfClosed(id, now);
}

core::milliseconds shard_core::FormerOwnerGrace() const {
  // No owner commands workers before its epoch record is in the log.
  const bool first_owner = state_.Epoch() == 0;
  if (first_owner) return core::milliseconds(0);
  // After a clean hand-over the former owner sends nothing. An owner before it
  // may still do so, since it has not been contacted.
  if (state_.Resigned()) return state_.FormerOwnerGrace();
  // The former owner counts the lease and its grace from the same instant. Due
  // to clock drift, the store may have ended the lease earlier.
  const core::milliseconds drift_allowance =
      WithDrift(options_.lease_ttl) - options_.lease_ttl;
  return options_.grace + drift_allowance;
}

schema::decision shard_core::ResignDecision(core::monotonic_time now) const {
  const core::monotonic_time former_owner_end =
      inherited_work_end_ - options_.ticket - options_.task_lease;
  const auto left =
      std::chrono::duration_cast<core::milliseconds>(former_owner_end - now);
  schema::decision decision;
  decision.mutable_resigned()->set_former_grace_ms(
      std::max(left, core::milliseconds(0)).count());
  return decision;
}

shard_core::attempt_key shard_core::KeyOf(const schema::attempt_id& id) {
  return {id.job(), id.task(), id.attempt()};
}

schema::attempt_id shard_core::IdOf(const attempt_key& key) {
  schema::attempt_id id;
  id.set_job(std::get<0>(key));
  id.set_task(std::get<1>(key));
  id.set_attempt(std::get<2>(key));
  return id;
}

core::milliseconds shard_core::WithDrift(core::milliseconds duration) const {
  return duration + duration * kDriftPercent / kFullPercent;
}

bool shard_core::MayCommand(core::monotonic_time now) const {
  if (deposed_ || resigned_) return false;
  return now < lease_requested_at_ + options_.lease_ttl + options_.grace;
}

bool shard_core::IsTrusted(const worker_contact& contact) const {
  const core::milliseconds drift =
      WithDrift(options_.lease_ttl) - options_.lease_ttl;
  return contact.has_responded &&
         contact.incarnation_seen_at <
             lease_requested_at_ + options_.lease_ttl - drift;
}

shard_core::worker_contact& shard_core::Contact(const std::string& worker) {
  const auto [found, added] = contacts_.try_emplace(worker);
  if (added) found->second.all_ended_by = inherited_work_end_;
  return found->second;
}

void shard_core::OnLeaseRenewed(core::monotonic_time requested_at) {
  lease_requested_at_ = std::max(lease_requested_at_, requested_at);
}

void shard_core::OnHosts(std::shared_ptr<const hosts::host_view> view) {
  if (hosts_ == view) return;
  plan_changed_ = true;
  hosts_ = std::move(view);
  EvictViolations();
}

void shard_core::OnBundle(std::shared_ptr<const bundle::bundle_view> policy) {
  if (policy_ == policy) return;
  plan_changed_ = true;
  policy_ = std::move(policy);
  EvictViolations();
}

void shard_core::EvictViolations() {
  if (hosts_ == nullptr || policy_ == nullptr) return;
  for (const schema::attempt_id& id : FindViolations(state_, *hosts_, *policy_))
    Evict(id);
}

core::result<std::uint64_t> shard_core::Submit(const schema::job_spec& spec) {
  if (deposed_ || resigning_) {
    return core::Failure(core::error_code::kNoOwner,
                         "shard " + options_.shard + " changes owner");
  }
  const auto conflict = [&spec] {
    return core::Failure(
        core::error_code::kJobConflict,
        "job " + spec.id() + " was submitted with another specification");
  };
  const std::string specification = spec.SerializeAsString();
  const auto queued = queued_jobs_.find(spec.id());
  if (queued != queued_jobs_.end()) {
    if (queued->second.SerializeAsString() != specification) return conflict();
    return next_number_;
  }
  if (const job_record* known = state_.FindJob(spec.id())) {
    if (known->spec.SerializeAsString() != specification) return conflict();
    return unconfirmed_jobs_.contains(spec.id()) ? next_number_ - 1
                                                 : applied_through_;
  }
  if (queued_bytes_ + specification.size() > kMaxQueuedBytes) {
    return core::Failure(core::error_code::kOverloaded,
                         "too many jobs wait for the next record");
  }
  queued_bytes_ += specification.size();
  schema::decision decision;
  *decision.mutable_accepted()->mutable_spec() = spec;
  queued_.push_back(std::move(decision));
  queued_jobs_.emplace(spec.id(), spec);
  return next_number_;
}

core::result<std::uint64_t> shard_core::Cancel(std::string_view job) {
  if (deposed_ || resigning_) {
    return core::Failure(core::error_code::kNoOwner,
                         "shard " + options_.shard + " changes owner");
  }
  const job_record* known = state_.FindJob(job);
  if (known == nullptr && !queued_jobs_.contains(job)) {
    return core::Failure(core::error_code::kUnknownJob,
                         "no job " + std::string(job));
  }
  schema::decision decision;
  decision.mutable_cancelled()->set_job(std::string(job));
  queued_.push_back(std::move(decision));
  return next_number_;
}

std::vector<std::string> shard_core::ExpiredJobs(
    core::monotonic_time now) const {
  std::vector<std::string> expired;
  for (const auto& [id, closed_at] : closed_at_) {
    if (expired.size() >= kMaxDropsAtOnce) break;
    if (now >= closed_at + options_.job_retention) expired.push_back(id);
  }
  return expired;
}

void shard_core::Drop(std::string_view job) {
  if (deposed_ || resigning_ || !closed_at_.contains(job)) return;
  schema::decision decision;
  decision.mutable_dropped()->set_job(std::string(job));
  queued_.push_back(std::move(decision));
}

void shard_core::Evict(const schema::attempt_id& id) {
  if (state_.IsBound(id)) evictions_.insert(KeyOf(id));
}

void shard_core::Resign() { resigning_ = true; }

void shard_core::QueueAttemptEnd(const schema::attempt_id& id,
                                 schema::attempt_outcome outcome,
                                 std::string_view checkpoint) {
  if (!pending_ends_.insert(KeyOf(id)).second) return;
  schema::decision decision;
  schema::attempt_ended& ended = *decision.mutable_ended();
  *ended.mutable_id() = id;
  ended.set_outcome(outcome);
  ended.set_checkpoint(std::string(checkpoint));
  queued_.push_back(std::move(decision));
}

void shard_core::QueueLostAttempts(core::monotonic_time now) {
  for (const auto& [worker, tasks] : state_.BoundByWorker()) {
    if (now < Contact(worker).all_ended_by) continue;
    for (const auto& [key, job] : BoundTo(worker)) {
      if (!IsConfirmed(key)) continue;
      QueueAttemptEnd(IdOf(key), schema::ATTEMPT_OUTCOME_LOST, "");
    }
  }
}

bool shard_core::ApplyTo(schema::log_record& record,
                         const schema::decision& decision) {
  // A queued decision that no longer fits the state is dropped, for example one
  // for a job that was dropped in the meantime.
  if (!state_.Apply(decision)) return false;
  *record.add_decisions() = decision;
  return true;
}

void shard_core::AttributeOutcome(schema::attempt_ended& ended,
                                  schema::log_record& record,
                                  core::monotonic_time now) {
  if (!state_.IsBound(ended.id())) return;
  const std::string& job_id = ended.id().job();
  const job_record& job = *state_.FindJob(job_id);
  const std::string worker = job.active.at(ended.id().task()).worker;
  const bool quarantined = state_.Quarantined().contains(worker);
  schema::decision change;
  if (ended.outcome() == schema::ATTEMPT_OUTCOME_FINISHED) {
    health_.OnSuccess(worker, job_id);
    if (quarantined) change.mutable_released()->set_worker(worker);
  }
  if (ended.outcome() == schema::ATTEMPT_OUTCOME_FAILED) {
    const std::size_t workers = hosts_ == nullptr ? 0 : Workers().size();
    const quarantine_status quarantine{
        .this_worker = quarantined,
        .quarantined = state_.Quarantined().size(),
        .workers = workers};
    const auto attribution = health_.OnFailure(worker, job_id, quarantine, now);
    if (attribution == failure_attribution::kQuarantine)
      change.mutable_quarantined()->set_worker(worker);
    if (attribution != failure_attribution::kJob)
      ended.set_outcome(schema::ATTEMPT_OUTCOME_WORKER_FAULT);
  }
  if (change.kind_case() != schema::decision::KIND_NOT_SET)
    ApplyTo(record, change);
  if (ended.outcome() == schema::ATTEMPT_OUTCOME_FAILED && policy_ != nullptr) {
    const auto* batch_class = policy_->FindBatchClass(job.spec.batch_class());
    const auto failures = job.failures.find(ended.id().task());
    const int failed_before =
        failures == job.failures.end() ? 0 : failures->second;
    ended.set_fails_job(batch_class != nullptr &&
                        failed_before + 1 >= batch_class->max_failures());
  }
  retries_.OnEnded(ended.id(), ended.outcome(), now);
}

void shard_core::MoveQueuedDecisions(schema::log_record& record,
                                     core::monotonic_time now) {
  plan_changed_ = plan_changed_ || !queued_.empty();
  for (schema::decision& decision : queued_) {
    if (decision.has_ended())
      AttributeOutcome(*decision.mutable_ended(), record, now);
    if (!ApplyTo(record, decision)) continue;
    if (decision.has_accepted())
      unconfirmed_jobs_.insert(decision.accepted().spec().id());
    if (decision.has_ended()) RecordIfClosed(decision.ended().id().job(), now);
    if (decision.has_cancelled())
      RecordIfClosed(decision.cancelled().job(), now);
    if (decision.has_dropped()) closed_at_.erase(decision.dropped().job());
  }
  queued_.clear();
  queued_jobs_.clear();
  queued_bytes_ = 0;
}

bool shard_core::IsUrgent(const schema::job_spec& spec) const {
  const auto* batch_class = policy_->FindBatchClass(spec.batch_class());
  return batch_class != nullptr && batch_class->urgent();
}

bool shard_core::HasUrgentDecision() const {
  if (policy_ == nullptr) return false;
  return std::any_of(
      queued_.begin(), queued_.end(), [this](const schema::decision& decision) {
        if (decision.has_accepted())
          return IsUrgent(decision.accepted().spec());
        const auto& id = decision.ended().id();
        return decision.has_ended() && state_.IsBound(id) &&
               holds_.HasHoldOn(
                   state_.FindJob(id.job())->active.at(id.task()).worker);
      });
}

void shard_core::RecordIfClosed(const std::string& job,
                                core::monotonic_time now) {
  if (!state_.FindJob(job)->IsClosed()) return;
  health_.OnJobClosed(job);
  closed_at_.try_emplace(job, now);
}

bool shard_core::IsPlanDue(core::monotonic_time now) const {
  return plan_changed_ || now >= planned_at_ + kPlanPeriod;
}

schema::job_status shard_core::Status(std::string_view job) const {
  schema::job_status status = state_.Status(job);
  const job_record* record = state_.FindJob(job);
  const bool waits = record != nullptr && record->HasUnboundTask();
  if (waits && policy_ != nullptr && hosts_ != nullptr) {
    status.set_waiting_reason(
        UnplaceableReason(record->spec, *policy_, *hosts_, options_.shard));
  }
  return status;
}

bool shard_core::IsCandidate(const hosts::worker_info& info,
                             core::monotonic_time now) const {
  if (info.shard != options_.shard || info.leaving) return false;
  const auto contact = contacts_.find(info.id);
  if (contact == contacts_.end() || !IsTrusted(contact->second)) return false;
  if (contact->second.leaving || !contact->second.unknown_attempts.empty())
    return false;
  return now < contact->second.ticket_end;
}

core::resources shard_core::UnavailableCapacity(const hosts::worker_info& info,
                                                const worker_contact& contact) {
  const core::resources shortfall = info.capacity - contact.capacity;
  return contact.unaccounted +
         core::resources{
             .processor_milli =
                 std::max(shortfall.processor_milli, std::int64_t{0}),
             .memory_mib = std::max(shortfall.memory_mib, std::int64_t{0}),
             .accelerators = std::max(shortfall.accelerators, std::int64_t{0})};
}

void shard_core::PlanInto(schema::log_record& record,
                          core::monotonic_time now) {
  if (hosts_ == nullptr || policy_ == nullptr || !MayCommand(now)) return;
  if (!IsPlanDue(now)) return;
  planned_at_ = now;
  plan_changed_ = false;
  std::vector<candidate_worker> candidates;
  for (const auto& [id, info] : hosts_->workers) {
    if (!IsCandidate(info, now)) continue;
    candidates.push_back(
        {.info = &info,
         .unaccounted = UnavailableCapacity(info, contacts_[id]),
         .probe = health_.MayProbe(id, now)});
  }
  const auto can_hold = [this, now](std::string_view worker) {
    const auto info = hosts_->workers.find(worker);
    return info != hosts_->workers.end() && IsCandidate(info->second, now) &&
           !state_.Quarantined().contains(info->first);
  };
  holds_.Prune(state_, can_hold, now);
  retries_.Prune(now);
  const auto is_due = [this, now](std::string_view job, std::int64_t task) {
    return retries_.IsDue(job, task, now);
  };
  for (schema::attempt_bound& binding :
       PlanBindings(state_, candidates, *policy_, kMaxBindingsPerRecord,
                    {.held = holds_.All(), .is_due = is_due})) {
    holds_.OnBound(binding.id().job(), binding.worker());
    aging_.OnBound(binding.id().job(), now);
    schema::decision decision;
    *decision.mutable_bound() = std::move(binding);
    if (!state_.Apply(decision)) continue;
    unconfirmed_bindings_.insert(KeyOf(decision.bound().id()));
    *record.add_decisions() = std::move(decision);
  }
  Preempt(candidates, now);
  const auto aged =
      aging_.ChooseReservation(state_, candidates, *policy_, holds_.All(), now);
  if (aged.has_value()) holds_.Add(*aged, core::monotonic_time::max());
}

void shard_core::Preempt(const std::vector<candidate_worker>& candidates,
                         core::monotonic_time now) {
  const auto is_ending = [this](const schema::attempt_id& id) {
    const job_record& job = *state_.FindJob(id.job());
    return job.cancelled || job.failed || evictions_.contains(KeyOf(id)) ||
           pending_ends_.contains(KeyOf(id));
  };
  const auto planned =
      PlanPreemptions(state_, candidates, *policy_, kMaxPreemptions,
                      {.held = holds_.All(), .is_ending = is_ending});
  for (const preemption& item : planned) {
    holds_.Add(item.held, now + kPreemptionLimit);
    for (const schema::attempt_id& victim : item.victims) Evict(victim);
  }
}

std::optional<log_append> shard_core::NextAppend(core::monotonic_time now) {
  if (deposed_ || resigned_ || in_flight_.has_value()) return std::nullopt;
  schema::log_record record;
  if (!epoch_applied_) {
    schema::epoch_started& epoch = *record.add_decisions()->mutable_epoch();
    epoch.set_epoch(epoch_);
    epoch.set_owner(options_.owner);
    static_cast<void>(state_.Apply(record.decisions(0)));
  } else {
    // Half of the burst is reserved for urgent tasks, since a busy shard would
    // otherwise have no token when one arrives.
    const int reserved_tokens =
        HasUrgentDecision() ? 0 : options_.append_burst / 2;
    if (!append_tokens_.TryTake(now, reserved_tokens)) return std::nullopt;
    QueueLostAttempts(now);
    MoveQueuedDecisions(record, now);
    if (resigning_) {
      *record.add_decisions() = ResignDecision(now);
      static_cast<void>(
          state_.Apply(record.decisions(record.decisions_size() - 1)));
      resigned_ = true;
    } else {
      PlanInto(record, now);
    }
  }
  if (record.decisions().empty()) {
    append_tokens_.Return();
    return std::nullopt;
  }
  record.set_epoch(epoch_);
  record.set_nonce(options_.nonce());
  in_flight_ = log_append{.number = next_number_, .record = std::move(record)};
  ++next_number_;
  return in_flight_;
}

void shard_core::OnAppendApplied() {
  if (!in_flight_.has_value()) return;
  applied_through_ = in_flight_->number;
  epoch_applied_ = true;
  for (const schema::decision& decision : in_flight_->record.decisions()) {
    if (!decision.has_ended()) continue;
    const attempt_key key = KeyOf(decision.ended().id());
    pending_ends_.erase(key);
    evictions_.erase(key);
  }
  unconfirmed_bindings_.clear();
  unconfirmed_jobs_.clear();
  in_flight_.reset();
}

void shard_core::OnDeposed() {
  deposed_ = true;
  in_flight_.reset();
}

std::optional<schema::shard_snapshot> shard_core::Snapshot() const {
  if (in_flight_.has_value() || deposed_) return std::nullopt;
  return state_.ToSnapshot(applied_through_);
}

std::vector<std::string> shard_core::Workers() const {
  std::set<std::string> ids;
  if (hosts_ != nullptr) {
    for (const auto& [id, info] : hosts_->workers) {
      if (info.shard == options_.shard) ids.insert(id);
    }
  }
  for (const auto& [worker, tasks] : state_.BoundByWorker()) ids.insert(worker);
  return {ids.begin(), ids.end()};
}

std::vector<std::pair<shard_core::attempt_key, const job_record*>>
shard_core::BoundTo(std::string_view worker) const {
  std::vector<std::pair<attempt_key, const job_record*>> bound_attempts;
  const auto tasks = state_.BoundByWorker().find(worker);
  if (tasks == state_.BoundByWorker().end()) return bound_attempts;
  for (const auto& [id, task] : tasks->second) {
    const job_record* job = state_.FindJob(id);
    const std::int32_t attempt = job->active.at(task).attempt;
    bound_attempts.emplace_back(attempt_key{id, task, attempt}, job);
  }
  return bound_attempts;
}

bool shard_core::ShouldStop(const attempt_key& key, const job_record& job,
                            const worker_contact& contact) const {
  return job.cancelled || job.failed || contact.leaving ||
         evictions_.contains(key);
}

bool shard_core::HasUrgentMessage(const std::string& worker,
                                  const worker_contact& contact,
                                  core::monotonic_time now) const {
  const bool may_act = IsTrusted(contact) && now >= contact.next_urgent &&
                       now < contact.ticket_end;
  if (!may_act) return false;
  for (const auto& [key, job] : BoundTo(worker)) {
    if (!IsConfirmed(key) || pending_ends_.contains(key)) continue;
    const bool running = contact.running.contains(key);
    const bool due = running == ShouldStop(key, *job, contact);
    if (due && !contact.last_commands.contains(key)) return true;
  }
  return !std::includes(
      contact.last_commands.begin(), contact.last_commands.end(),
      contact.unknown_attempts.begin(), contact.unknown_attempts.end());
}

void shard_core::AddCommands(const std::string& worker,
                             const worker_contact& contact,
                             schema::sync_request& request) const {
  request.set_renew(!contact.ticket.empty());
  for (const auto& [key, job] : BoundTo(worker)) {
    if (!IsConfirmed(key) || pending_ends_.contains(key)) continue;
    if (ShouldStop(key, *job, contact)) {
      *request.add_stop() = IdOf(key);
      continue;
    }
    // An unknown task on the worker may be this task, started by an earlier
    // incarnation.
    if (contact.running.contains(key) || !contact.unknown_attempts.empty())
      continue;
    if (static_cast<std::size_t>(request.start_size()) >= kMaxStartsPerSync)
      continue;
    schema::start_task& start = *request.add_start();
    *start.mutable_id() = IdOf(key);
    *start.mutable_size() = job->spec.task_size();
    start.set_command(job->spec.command());
    start.set_checkpoint(job->active.at(std::get<1>(key)).checkpoint);
  }
  for (const attempt_key& key : contact.unknown_attempts)
    *request.add_stop() = IdOf(key);
  for (const attempt_key& key : contact.to_forget)
    *request.add_forget() = IdOf(key);
}

std::optional<schema::sync_request> shard_core::NextSync(
    const std::string& worker, core::monotonic_time now) {
  // An owner whose epoch record is not yet in the log may already have been
  // replaced.
  if (!MayCommand(now) || !epoch_applied_) return std::nullopt;
  worker_contact& contact = Contact(worker);
  if (contact.in_flight) return std::nullopt;
  if (now < contact.next_sync && !HasUrgentMessage(worker, contact, now))
    return std::nullopt;
  schema::sync_request request;
  request.set_owner(options_.owner);
  request.set_shard(options_.shard);
  request.set_epoch(epoch_);
  request.set_ticket(contact.ticket);
  if (IsTrusted(contact)) AddCommands(worker, contact, request);
  contact.last_commands.clear();
  contact.last_starts.clear();
  for (const schema::start_task& start : request.start())
    contact.last_starts.insert(KeyOf(start.id()));
  for (const schema::attempt_id& id : request.stop())
    contact.last_commands.insert(KeyOf(id));
  contact.last_commands.insert(contact.last_starts.begin(),
                               contact.last_starts.end());
  contact.in_flight = true;
  return request;
}

void shard_core::ApplyReport(const schema::attempt_report& report,
                             const std::string& worker,
                             worker_contact& contact) {
  const attempt_key key = KeyOf(report.id());
  const job_record* job = state_.FindJob(report.id().job());
  const bool bound_here = state_.IsBound(report.id()) &&
                          job->active.at(report.id().task()).worker == worker;
  const bool running = report.state() == schema::ATTEMPT_STATE_RUNNING;
  if (running) contact.running.insert(key);
  if (bound_here) {
    // A restarted worker reports "evicted" for a stop of an attempt that it
    // does not remember, although the attempt may still run as one of the
    // unknown tasks.
    const bool in_doubt = report.outcome() == schema::ATTEMPT_OUTCOME_EVICTED &&
                          !contact.unknown_attempts.empty();
    if (!running && !in_doubt)
      QueueAttemptEnd(report.id(), report.outcome(), report.checkpoint());
    return;
  }
  if (running) {
    contact.unknown_attempts.insert(key);
    contact.unaccounted += core::FromSchema(report.size());
    return;
  }
  // An end that is queued or in flight is not yet in the log, so the worker
  // must keep it.
  if (!pending_ends_.contains(key)) contact.to_forget.insert(key);
}

void shard_core::CountRejectedStarts(const schema::sync_response& response,
                                     worker_contact& contact) {
  std::map<attempt_key, int> rejected;
  for (const attempt_key& key : contact.last_starts)
    rejected[key] = contact.rejected_starts[key] + 1;
  for (const schema::attempt_report& report : response.attempts())
    rejected.erase(KeyOf(report.id()));
  for (const auto& [key, count] : rejected) {
    if (count >= kMaxRejectedStarts) Evict(IdOf(key));
  }
  contact.rejected_starts = std::move(rejected);
}

void shard_core::EndMissingAttempts(const std::string& worker,
                                    worker_contact& contact) {
  if (contact.missing_attempts.empty() || !contact.unknown_attempts.empty())
    return;
  for (const auto& [key, job] : BoundTo(worker)) {
    if (!contact.missing_attempts.contains(key) ||
        contact.running.contains(key))
      continue;
    QueueAttemptEnd(IdOf(key), schema::ATTEMPT_OUTCOME_LOST, "");
  }
  contact.missing_attempts.clear();
}

void shard_core::OnSyncReply(const std::string& worker,
                             const schema::sync_response& response,
                             core::monotonic_time now) {
  worker_contact& contact = Contact(worker);
  contact.in_flight = false;
  contact.next_sync = now + options_.sync_period;
  contact.next_urgent = now + kMinSyncGap;
  // A newer owner has contacted the worker. This owner is deposed by its next
  // append.
  if (response.refusal() == schema::SYNC_REFUSAL_STALE_EPOCH) return;
  const bool restarted =
      contact.has_responded && contact.incarnation != response.incarnation();
  const core::milliseconds ticket(response.ticket_ms());
  if (restarted || !contact.has_responded) contact.incarnation_seen_at = now;
  const core::resources unaccounted_before = contact.unaccounted;
  plan_changed_ = plan_changed_ || !contact.has_responded ||
                  now >= contact.ticket_end ||
                  contact.leaving != response.leaving();
  contact.has_responded = true;
  contact.incarnation = response.incarnation();
  contact.leaving = response.leaving();
  contact.capacity = core::FromSchema(response.capacity());
  contact.ticket = response.ticket();
  contact.ticket_end = now + ticket;
  contact.all_ended_by =
      now + WithDrift(ticket + core::milliseconds(response.task_lease_ms()));
  const std::set<attempt_key> ran_before = std::exchange(contact.running, {});
  contact.unknown_attempts.clear();
  contact.to_forget.clear();
  contact.unaccounted = {};
  // Running attempts are processed first, since the unknown ones among them
  // determine which ends are accepted.
  for (const auto state :
       {schema::ATTEMPT_STATE_RUNNING, schema::ATTEMPT_STATE_ENDED}) {
    for (const schema::attempt_report& report : response.attempts()) {
      if (report.state() == state) ApplyReport(report, worker, contact);
    }
  }
  plan_changed_ = plan_changed_ || contact.unaccounted != unaccounted_before;
  if (response.refusal() == schema::SYNC_REFUSAL_NONE) {
    CountRejectedStarts(response, contact);
  } else {
    contact.last_commands.clear();
  }
  if (restarted)
    contact.missing_attempts.insert(ran_before.begin(), ran_before.end());
  EndMissingAttempts(worker, contact);
}

void shard_core::OnSyncFailed(const std::string& worker,
                              core::monotonic_time now) {
  worker_contact& contact = Contact(worker);
  contact.in_flight = false;
  contact.next_sync = now + options_.sync_period;
  contact.next_urgent = now + kFailedSyncGap;
  // The commands in the lost request need an immediate message again.
  contact.last_commands.clear();
}

}  // namespace waxwingfront::shard
