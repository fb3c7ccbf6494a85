#include "waxwingfront/shard/shard_state.h"

#include <utility>

namespace waxwingfront::shard {
namespace {

core::result<void> InvalidDecision(std::string detail) {
  return core::Failure(core::error_code::kInternal, std::move(detail));
}

std::string Describe(const schema::attempt_id& id) {
  return "attempt " + std::to_string(id.attempt()) + " of task " +
         std::to_string(id.task()) + " of job " + id.job();
}

}  // namespace

bool job_record::HasUnboundTask() const {
  if (cancelled || failed) return false;
  return !waiting.empty() || next_task < spec.task_count();
}

bool job_record::IsClosed() const {
  if (!active.empty()) return false;
  return cancelled || failed || finished == spec.task_count();
}

schema::job_state job_record::State() const {
  if (finished == spec.task_count()) return schema::JOB_STATE_FINISHED;
  if (failed) return schema::JOB_STATE_FAILED;
  if (cancelled) return schema::JOB_STATE_CANCELLED;
  return active.empty() ? schema::JOB_STATE_WAITING : schema::JOB_STATE_RUNNING;
}

core::result<void> shard_state::Apply(const schema::decision& decision) {
  switch (decision.kind_case()) {
    case schema::decision::kEpoch:
      return ApplyEpoch(decision.epoch());
    case schema::decision::kResigned:
      resigned_ = true;
      former_grace_ = core::milliseconds(decision.resigned().former_grace_ms());
      return {};
    case schema::decision::kAccepted:
      return ApplyAccepted(decision.accepted());
    case schema::decision::kCancelled:
      return ApplyCancelled(decision.cancelled());
    case schema::decision::kBound:
      return ApplyBound(decision.bound());
    case schema::decision::kEnded:
      return ApplyEnded(decision.ended());
    case schema::decision::kQuarantined:
      quarantined_.insert(decision.quarantined().worker());
      return {};
    case schema::decision::kReleased:
      quarantined_.erase(decision.released().worker());
      return {};
    case schema::decision::kDropped:
      return ApplyDropped(decision.dropped());
    case schema::decision::KIND_NOT_SET:
      break;
  }
  return InvalidDecision("decision without a kind");
}

core::result<void> shard_state::ApplyEpoch(
    const schema::epoch_started& decision) {
  if (decision.epoch() <= epoch_)
    return InvalidDecision("epoch is not larger than the current one");
  epoch_ = decision.epoch();
  resigned_ = false;
  former_grace_ = core::milliseconds(0);
  return {};
}

core::result<void> shard_state::ApplyAccepted(
    const schema::job_accepted& decision) {
  const schema::job_spec& spec = decision.spec();
  if (jobs_.contains(spec.id()))
    return InvalidDecision("job " + spec.id() + " was already accepted");
  job_record job;
  job.spec = spec;
  job.task_size = core::FromSchema(spec.task_size());
  job.order = next_order_++;
  jobs_.emplace(spec.id(), std::move(job));
  open_jobs_.insert(spec.id());
  return {};
}

core::result<void> shard_state::ApplyCancelled(
    const schema::job_cancelled& decision) {
  const auto found = jobs_.find(decision.job());
  if (found == jobs_.end())
    return InvalidDecision("unknown job " + decision.job());
  if (found->second.IsClosed()) return {};
  found->second.cancelled = true;
  if (found->second.IsClosed()) open_jobs_.erase(decision.job());
  return {};
}

core::result<void> shard_state::ApplyBound(
    const schema::attempt_bound& decision) {
  const schema::attempt_id& id = decision.id();
  const auto found = jobs_.find(id.job());
  if (found == jobs_.end()) return InvalidDecision("unknown job " + id.job());
  job_record& job = found->second;
  if (!job.HasUnboundTask())
    return InvalidDecision(Describe(id) +
                           " cannot be bound: the job has no unbound task");
  bound_attempt bound{.attempt = id.attempt(), .worker = decision.worker()};
  const auto waiting = job.waiting.find(id.task());
  if (waiting != job.waiting.end()) {
    if (id.attempt() != waiting->second.attempts + 1) {
      return InvalidDecision(Describe(id) + " is not the task's next attempt");
    }
    bound.checkpoint = waiting->second.checkpoint;
    job.waiting.erase(waiting);
  } else {
    const bool first = id.attempt() == 1 && id.task() == job.next_task;
    if (!first || id.task() >= job.spec.task_count()) {
      return InvalidDecision(Describe(id) +
                             " is not the first attempt of the next task");
    }
    ++job.next_task;
  }
  bound.order = next_binding_++;
  AddBound(job, id.task(), bound.worker);
  job.active.emplace(id.task(), std::move(bound));
  return {};
}

core::result<void> shard_state::ApplyEnded(
    const schema::attempt_ended& decision) {
  const schema::attempt_id& id = decision.id();
  if (!IsBound(id)) return InvalidDecision(Describe(id) + " is not bound");
  job_record& job = jobs_.find(id.job())->second;
  const auto active = job.active.find(id.task());
  const bound_attempt ended = std::move(active->second);
  job.active.erase(active);
  RemoveBound(job, id.task(), ended.worker);
  CountOutcome(job, decision);
  if (decision.outcome() == schema::ATTEMPT_OUTCOME_FINISHED) {
    ++job.finished;
    job.failures.erase(id.task());
  } else {
    const std::string& checkpoint = decision.checkpoint().empty()
                                        ? ended.checkpoint
                                        : decision.checkpoint();
    job.waiting.emplace(id.task(), waiting_task{.attempts = ended.attempt,
                                                .checkpoint = checkpoint});
  }
  if (job.IsClosed()) open_jobs_.erase(id.job());
  return {};
}

core::result<void> shard_state::ApplyDropped(
    const schema::job_dropped& decision) {
  const auto found = jobs_.find(decision.job());
  if (found == jobs_.end())
    return InvalidDecision("unknown job " + decision.job());
  if (!found->second.IsClosed())
    return InvalidDecision("job " + decision.job() + " has not ended");
  jobs_.erase(found);
  return {};
}

void shard_state::CountOutcome(job_record& job,
                               const schema::attempt_ended& decision) {
  switch (decision.outcome()) {
    case schema::ATTEMPT_OUTCOME_FAILED:
      ++job.failed_attempts;
      ++job.failures[decision.id().task()];
      job.failed = job.failed || decision.fails_job();
      break;
    case schema::ATTEMPT_OUTCOME_EVICTED:
      ++job.evicted_attempts;
      break;
    case schema::ATTEMPT_OUTCOME_LOST:
    case schema::ATTEMPT_OUTCOME_WORKER_FAULT:
      ++job.lost_attempts;
      break;
    default:
      break;
  }
}

void shard_state::AddBound(const job_record& job, std::int64_t task,
                           const std::string& worker) {
  bound_by_worker_[worker].emplace(job.spec.id(), task);
  committed_by_worker_[worker] += job.task_size;
  committed_by_customer_[job.spec.customer()] += job.task_size;
}

void shard_state::RemoveBound(const job_record& job, std::int64_t task,
                              const std::string& worker) {
  committed_by_customer_[job.spec.customer()] -= job.task_size;
  committed_by_worker_[worker] -= job.task_size;
  task_set& bound = bound_by_worker_[worker];
  bound.erase({job.spec.id(), task});
  if (!bound.empty()) return;
  bound_by_worker_.erase(worker);
  committed_by_worker_.erase(worker);
}

const job_record* shard_state::FindJob(std::string_view id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second;
}

core::resources shard_state::CommittedToWorker(std::string_view worker) const {
  const auto found = committed_by_worker_.find(worker);
  return found == committed_by_worker_.end() ? core::resources{}
                                             : found->second;
}

core::resources shard_state::CommittedToCustomer(
    std::string_view customer) const {
  const auto found = committed_by_customer_.find(customer);
  return found == committed_by_customer_.end() ? core::resources{}
                                               : found->second;
}

bool shard_state::IsBound(const schema::attempt_id& id) const {
  const job_record* job = FindJob(id.job());
  if (job == nullptr) return false;
  const auto active = job->active.find(id.task());
  return active != job->active.end() && active->second.attempt == id.attempt();
}

schema::job_status shard_state::Status(std::string_view job) const {
  schema::job_status status;
  const job_record* record = FindJob(job);
  if (record == nullptr) return status;
  status.set_id(record->spec.id());
  status.set_state(record->State());
  status.set_task_count(record->spec.task_count());
  status.set_tasks_active(static_cast<std::int64_t>(record->active.size()));
  status.set_tasks_finished(record->finished);
  status.set_attempts_failed(record->failed_attempts);
  status.set_attempts_evicted(record->evicted_attempts);
  status.set_attempts_lost(record->lost_attempts);
  return status;
}

schema::shard_snapshot shard_state::ToSnapshot(std::uint64_t through) const {
  schema::shard_snapshot snapshot;
  snapshot.set_through(through);
  snapshot.set_epoch(epoch_);
  snapshot.set_resigned(resigned_);
  snapshot.set_former_grace_ms(former_grace_.count());
  snapshot.set_next_order(next_order_);
  snapshot.set_next_binding(next_binding_);
  for (const std::string& worker : quarantined_)
    snapshot.add_quarantined(worker);
  for (const auto& [id, job] : jobs_) {
    schema::job_snapshot& entry = *snapshot.add_jobs();
    *entry.mutable_spec() = job.spec;
    entry.set_order(job.order);
    entry.set_next_task(job.next_task);
    entry.set_finished(job.finished);
    entry.set_failed_attempts(job.failed_attempts);
    entry.set_evicted_attempts(job.evicted_attempts);
    entry.set_lost_attempts(job.lost_attempts);
    entry.set_cancelled(job.cancelled);
    entry.set_failed(job.failed);
    for (const auto& [task, bound] : job.active) {
      schema::active_attempt& active = *entry.add_active();
      active.set_task(task);
      active.set_attempt(bound.attempt);
      active.set_worker(bound.worker);
      active.set_checkpoint(bound.checkpoint);
      active.set_order(bound.order);
    }
    for (const auto& [task, waiting] : job.waiting) {
      schema::waiting_task& item = *entry.add_waiting();
      item.set_task(task);
      item.set_attempts(waiting.attempts);
      item.set_checkpoint(waiting.checkpoint);
    }
    for (const auto& [task, count] : job.failures)
      (*entry.mutable_failures())[task] = count;
  }
  return snapshot;
}

shard_state shard_state::FromSnapshot(const schema::shard_snapshot& snapshot) {
  shard_state state;
  state.epoch_ = snapshot.epoch();
  state.resigned_ = snapshot.resigned();
  state.former_grace_ = core::milliseconds(snapshot.former_grace_ms());
  state.next_order_ = snapshot.next_order();
  state.next_binding_ = snapshot.next_binding();
  state.quarantined_.insert(snapshot.quarantined().begin(),
                            snapshot.quarantined().end());
  for (const schema::job_snapshot& entry : snapshot.jobs()) {
    job_record job;
    job.spec = entry.spec();
    job.task_size = core::FromSchema(entry.spec().task_size());
    job.order = entry.order();
    job.next_task = entry.next_task();
    job.finished = entry.finished();
    job.failed_attempts = entry.failed_attempts();
    job.evicted_attempts = entry.evicted_attempts();
    job.lost_attempts = entry.lost_attempts();
    job.cancelled = entry.cancelled();
    job.failed = entry.failed();
    for (const schema::active_attempt& active : entry.active()) {
      job.active.emplace(active.task(),
                         bound_attempt{.attempt = active.attempt(),
                                       .worker = active.worker(),
                                       .checkpoint = active.checkpoint(),
                                       .order = active.order()});
      state.AddBound(job, active.task(), active.worker());
    }
    for (const schema::waiting_task& waiting : entry.waiting()) {
      job.waiting.emplace(waiting.task(),
                          waiting_task{.attempts = waiting.attempts(),
                                       .checkpoint = waiting.checkpoint()});
    }
    job.failures.insert(entry.failures().begin(), entry.failures().end());
    if (!job.IsClosed()) state.open_jobs_.insert(job.spec.id());
    state.jobs_.emplace(job.spec.id(), std::move(job));
  }
  return state;
}

}  // namespace waxwingfront::shard
