#include "waxwingfront/shard/shard_core.h"

#include <algorithm>
#include <utility>

#include "waxwingfront/shard/planner.h"
#include "waxwingfront/shard/policy_violations.h"

namespace waxwingfront::shard {
namespace {

// Monotonic clocks of two hosts are taken to differ by less than this in rate.
constexpr int kDriftPercent = 5;
constexpr int kFullPercent = 100;
// Bounds the size of one record to about 32 KB.
constexpr std::size_t kMaxBindingsPerRecord = 512;
constexpr std::size_t kMaxStartsPerSync = 64;
// Keeps a worker that does not carry out a start from being asked without a
// pause.
constexpr core::milliseconds kMinSyncGap{50};

}  // namespace

shard_core::shard_core(shard_core_options options, recovered_shard recovered,
                       core::monotonic_time lease_asked_at,
                       core::monotonic_time now)
    : options_(std::move(options)),
      state_(std::move(recovered.state)),
      epoch_(state_.Epoch() + 1),
      next_number_(recovered.next_number),
      applied_through_(recovered.next_number - 1),
      lease_asked_at_(lease_asked_at),
      append_tokens_(options_.appends_per_second, options_.append_burst, now) {
  // After a clean hand-over the former owner sends nothing, so its grace need
  // not be waited for.
  const core::milliseconds former_grace =
      state_.Resigned() ? core::milliseconds(0) : options_.grace;
  inherited_end_ =
      now + WithDrift(former_grace + options_.ticket + options_.task_lease);
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
  return now < lease_asked_at_ + options_.lease_ttl + options_.grace;
}

shard_core::worker_contact& shard_core::Contact(const std::string& worker) {
  const auto [found, added] = contacts_.try_emplace(worker);
  if (added) found->second.surely_ended = inherited_end_;
  return found->second;
}

void shard_core::OnLeaseRenewed(core::monotonic_time asked_at) {
  lease_asked_at_ = std::max(lease_asked_at_, asked_at);
}

void shard_core::OnHosts(std::shared_ptr<const hosts::host_view> view) {
  if (hosts_ == view) return;
  hosts_ = std::move(view);
  EvictViolations();
}

void shard_core::OnBundle(std::shared_ptr<const bundle::bundle_view> policy) {
  if (policy_ == policy) return;
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
  const std::string wanted = spec.SerializeAsString();
  const auto queued = queued_jobs_.find(spec.id());
  if (queued != queued_jobs_.end()) {
    if (queued->second.SerializeAsString() != wanted) return conflict();
    return next_number_;
  }
  if (const job_record* known = state_.FindJob(spec.id())) {
    if (known->spec.SerializeAsString() != wanted) return conflict();
    return unconfirmed_jobs_.contains(spec.id()) ? next_number_ - 1
                                                 : applied_through_;
  }
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

void shard_core::Evict(const schema::attempt_id& id) {
  if (state_.IsBound(id)) evictions_.insert(KeyOf(id));
}

void shard_core::Resign() { resigning_ = true; }

void shard_core::QueueEnd(const schema::attempt_id& id,
                          schema::attempt_outcome outcome,
                          std::string_view checkpoint) {
  if (!ending_.insert(KeyOf(id)).second) return;
  schema::decision decision;
  schema::attempt_ended& ended = *decision.mutable_ended();
  *ended.mutable_id() = id;
  ended.set_outcome(outcome);
  ended.set_checkpoint(std::string(checkpoint));
  queued_.push_back(std::move(decision));
}

void shard_core::QueueLostAttempts(core::monotonic_time now) {
  for (const std::string& id : state_.OpenJobs()) {
    const job_record& job = *state_.FindJob(id);
    for (const auto& [task, bound] : job.active) {
      if (now < Contact(bound.worker).surely_ended) continue;
      const attempt_key key{id, task, bound.attempt};
      if (!IsConfirmed(key)) continue;
      QueueEnd(IdOf(key), schema::ATTEMPT_OUTCOME_LOST, "");
    }
  }
}

void shard_core::MoveQueued(schema::log_record& record) {
  for (schema::decision& decision : queued_) {
    if (decision.has_ended() &&
        decision.ended().outcome() == schema::ATTEMPT_OUTCOME_FAILED &&
        policy_ != nullptr) {
      const job_record& job = *state_.FindJob(decision.ended().id().job());
      const auto* batch_class = policy_->FindBatchClass(job.spec.batch_class());
      const auto failures = job.failures.find(decision.ended().id().task());
      const int failed_before =
          failures == job.failures.end() ? 0 : failures->second;
      decision.mutable_ended()->set_fails_job(batch_class != nullptr &&
                                              failed_before + 1 >=
                                                  batch_class->max_failures());
    }
    // A queued decision that the state overtook, such as a second cancellation,
    // is dropped.
    if (!state_.Apply(decision)) continue;
    if (decision.has_accepted())
      unconfirmed_jobs_.insert(decision.accepted().spec().id());
    *record.add_decisions() = std::move(decision);
  }
  queued_.clear();
  queued_jobs_.clear();
}

bool shard_core::IsCandidate(const hosts::worker_info& info,
                             core::monotonic_time now) const {
  if (info.shard != options_.shard || info.leaving) return false;
  if (state_.Quarantined().contains(info.id)) return false;
  const auto contact = contacts_.find(info.id);
  if (contact == contacts_.end() || !contact->second.answered) return false;
  return !contact->second.leaving && now < contact->second.ticket_end;
}

void shard_core::PlanInto(schema::log_record& record,
                          core::monotonic_time now) {
  if (hosts_ == nullptr || policy_ == nullptr || !MayCommand(now)) return;
  std::vector<candidate_worker> candidates;
  for (const auto& [id, info] : hosts_->workers) {
    if (!IsCandidate(info, now)) continue;
    candidates.push_back(
        {.info = &info, .unaccounted = contacts_[id].unaccounted});
  }
  for (schema::attempt_bound& binding :
       PlanBindings(state_, candidates, *policy_, kMaxBindingsPerRecord)) {
    schema::decision decision;
    *decision.mutable_bound() = std::move(binding);
    if (!state_.Apply(decision)) continue;
    unconfirmed_.insert(KeyOf(decision.bound().id()));
    *record.add_decisions() = std::move(decision);
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
    if (!append_tokens_.Take(now)) return std::nullopt;
    QueueLostAttempts(now);
    MoveQueued(record);
    if (resigning_) {
      record.add_decisions()->mutable_resigned();
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
    ending_.erase(key);
    evictions_.erase(key);
  }
  unconfirmed_.clear();
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
  for (const std::string& job : state_.OpenJobs()) {
    for (const auto& [task, bound] : state_.FindJob(job)->active)
      ids.insert(bound.worker);
  }
  return {ids.begin(), ids.end()};
}

std::vector<std::pair<shard_core::attempt_key, const job_record*>>
shard_core::BoundTo(std::string_view worker) const {
  std::vector<std::pair<attempt_key, const job_record*>> bound_attempts;
  for (const std::string& id : state_.OpenJobs()) {
    const job_record* job = state_.FindJob(id);
    for (const auto& [task, bound] : job->active) {
      if (bound.worker == worker) {
        bound_attempts.emplace_back(attempt_key{id, task, bound.attempt}, job);
      }
    }
  }
  return bound_attempts;
}

bool shard_core::IsStopWanted(const attempt_key& key, const job_record& job,
                              const worker_contact& contact) const {
  return job.cancelled || job.failed || contact.leaving ||
         evictions_.contains(key);
}

bool shard_core::HasUrgentMessage(const std::string& worker,
                                  const worker_contact& contact,
                                  core::monotonic_time now) const {
  const bool may_act = contact.answered && now >= contact.next_urgent &&
                       now < contact.ticket_end;
  if (!may_act) return false;
  for (const auto& [key, job] : BoundTo(worker)) {
    if (!IsConfirmed(key) || ending_.contains(key)) continue;
    const bool running = contact.running.contains(key);
    if (running == IsStopWanted(key, *job, contact)) return true;
  }
  return !contact.unknown.empty();
}

std::optional<schema::sync_request> shard_core::NextSync(
    const std::string& worker, core::monotonic_time now) {
  // Until its epoch record is in the log, this owner may already have been
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
  request.set_renew(!contact.ticket.empty());
  for (const auto& [key, job] : BoundTo(worker)) {
    if (!IsConfirmed(key) || ending_.contains(key) || !contact.answered)
      continue;
    if (IsStopWanted(key, *job, contact)) {
      *request.add_stop() = IdOf(key);
      continue;
    }
    if (contact.running.contains(key)) continue;
    if (static_cast<std::size_t>(request.start_size()) >= kMaxStartsPerSync)
      continue;
    schema::start_task& start = *request.add_start();
    *start.mutable_id() = IdOf(key);
    *start.mutable_size() = job->spec.task_size();
    start.set_command(job->spec.command());
    start.set_checkpoint(job->active.at(std::get<1>(key)).checkpoint);
  }
  for (const attempt_key& key : contact.unknown)
    *request.add_stop() = IdOf(key);
  for (const attempt_key& key : contact.forget)
    *request.add_forget() = IdOf(key);
  contact.in_flight = true;
  return request;
}

void shard_core::TakeReport(const schema::attempt_report& report,
                            const std::string& worker,
                            worker_contact& contact) {
  const attempt_key key = KeyOf(report.id());
  const job_record* job = state_.FindJob(report.id().job());
  const bool bound_here = state_.IsBound(report.id()) &&
                          job->active.at(report.id().task()).worker == worker;
  const bool running = report.state() == schema::ATTEMPT_STATE_RUNNING;
  if (running) contact.running.insert(key);
  if (bound_here) {
    if (!running) QueueEnd(report.id(), report.outcome(), report.checkpoint());
    return;
  }
  if (running) {
    contact.unknown.insert(key);
    contact.unaccounted += core::FromSchema(report.size());
    return;
  }
  // An end that is queued or in flight is not in the log yet, so the worker has
  // to keep it.
  if (!ending_.contains(key)) contact.forget.insert(key);
}

void shard_core::EndMissingAttempts(const std::string& worker,
                                    const std::set<attempt_key>& ran_before) {
  const worker_contact& contact = Contact(worker);
  for (const auto& [key, job] : BoundTo(worker)) {
    if (!ran_before.contains(key) || contact.running.contains(key)) continue;
    QueueEnd(IdOf(key), schema::ATTEMPT_OUTCOME_LOST, "");
  }
}

void shard_core::OnSyncReply(const std::string& worker,
                             const schema::sync_response& response,
                             core::monotonic_time now) {
  worker_contact& contact = Contact(worker);
  contact.in_flight = false;
  contact.next_sync = now + options_.sync_period;
  contact.next_urgent = now + kMinSyncGap;
  // A newer owner has contacted the worker; this one learns it at its next
  // append.
  if (response.refusal() == schema::SYNC_REFUSAL_STALE_EPOCH) return;
  const bool restarted =
      contact.answered && contact.incarnation != response.incarnation();
  const core::milliseconds ticket(response.ticket_ms());
  contact.answered = true;
  contact.incarnation = response.incarnation();
  contact.leaving = response.leaving();
  contact.ticket = response.ticket();
  contact.ticket_end = now + ticket;
  contact.surely_ended =
      now + WithDrift(ticket + core::milliseconds(response.task_lease_ms()));
  const std::set<attempt_key> ran_before = std::exchange(contact.running, {});
  contact.unknown.clear();
  contact.forget.clear();
  contact.unaccounted = {};
  for (const schema::attempt_report& report : response.attempts()) {
    TakeReport(report, worker, contact);
  }
  if (restarted) EndMissingAttempts(worker, ran_before);
}

void shard_core::OnSyncFailed(const std::string& worker,
                              core::monotonic_time now) {
  worker_contact& contact = Contact(worker);
  contact.in_flight = false;
  contact.next_sync = now + options_.sync_period;
}

}  // namespace waxwingfront::shard
