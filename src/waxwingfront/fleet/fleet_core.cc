#include "waxwingfront/fleet/fleet_core.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "waxwingfront/fleet/executor_connections.h"
#include "waxwingfront/fleet/job_queue.h"

namespace waxwingfront::fleet {
namespace {

// Covers clock rounding and the executor's own time to end a run.
constexpr core::milliseconds kLeaseExpirySlack{100};
// Rounding of bounds on leases that were given up to the recorded bound.
constexpr core::milliseconds kLeaseRounding{10};
// Covers message delays where earlier leaders recorded no bounds.
constexpr core::milliseconds kUnrecordedSlack{200};
// Maximum time after a takeover for which the bounds of earlier leaders stay in
// force, and the shortest remaining time for which that is worthwhile: starts
// need leases of this length.
constexpr core::milliseconds kMaxFirstHoldTime{1500};
constexpr core::milliseconds kMinUsefulLease{3000};

}  // namespace

fleet_core::fleet_core(fleet_options options)
    : options_(options),
      state_{.starts = start_queue(options.starts)},
      memory_(state_, options.memory),
      sharing_(state_),
      admission_(state_, options.admission),
      start_admission_({.link_mbps = options.starts.link_mbps}),
      work_admission_(options.work),
      distance_(options.remote_factor),
      deadlines_(state_, leases_, options.deadlines),
      runs_(state_, options.runs,
            {.start_lease = options.deadlines.drain_bound,
             .longest_hold = options.longest_hold}),
      journal_(state_),
      reserve_(state_, PlacementCost(), {.expiry = options.runs.expiry}),
      planner_(state_, PlacementCost(), PlacementEpoch(), distance_),
      rebalancer_(state_, {}, PlacementCost()),
      advice_(state_, PlacementCost()) {
  planner_.on_placed = [this](const task_state& task, moment at) {
    if (task.Spec().long_running()) sharing_.OnServingPlaced(task);
    if (start_admission_.IsCongested(at.now)) {
      start_admission_.OnPlaced(RankOf(state_, task, at.now),
                                task.start_backlog_bytes);
    }
    runs_.Restarts().OnPlaced(task);
    if (on_placed) on_placed(task, at);
  };
  planner_.on_waiting = [this](const task_state& task,
                               const placement_rejections& rejections,
                               moment at) {
    if (on_waiting) on_waiting(task, rejections, at);
  };
  reserve_.on_change = [this](const reserve_summary& summary) {
    if (on_reserve_changed) on_reserve_changed(summary);
  };
  runs_.on_task_done = [this](const task_state& task, moment at) {
    CountDone(work_admission_, task, at.now);
  };
  journal_.on_job_stored = [this](job_state& job, moment at) {
    runs_.OnJobStored(job, at);
  };
}

placement_cost fleet_core::PlacementCost() {
  return [this](const executor_state& executor, const task_state& task,
                core::monotonic_time now) {
    const double distance = distance_.Cost(executor, task, now);
    return std::isinf(distance) ? distance
                                : distance + sharing_.Cost(executor, task, now);
  };
}

placement_epoch fleet_core::PlacementEpoch() {
  return [this](const task_state& task,
                core::monotonic_time now) -> std::optional<std::uint64_t> {
    // Such a task accepts more racks the longer it waits.
    if (!task.Spec().data_rack().empty()) return std::nullopt;
    return sharing_.Epoch(task, now);
  };
}

bool fleet_core::Plan(moment at, const std::function<bool()>& should_stop) {
  memory_.Update(at);
  for (const std::string& id : std::exchange(unplanned_, {})) {
    job_state* const job = state_.FindJob(id);
    if (job == nullptr) continue;
    job->planning_attempted = true;
    // The caller waits for the job to be stored whether or not it is placed.
    if (job->job_revision == 0 && !job->in_flight_urgency) {
      state_.store_backlog.Add(*job, store_urgency::kImmediate);
    }
  }
  sharing_.CountExecutors(at.now);
  if (!deadlines_.MayPlace(at.now)) return true;
  if (std::exchange(racks_changed_, false)) {
    distance_.SetRacks(state_.executors);
  }
  const bool all = planner_.Plan(UpdateReserve(at.now), at, should_stop);
  start_admission_.Observe(state_.starts.IsFull(), at.now);
  rebalancer_.Run(at);
  return all;
}

void fleet_core::SetManifest(manifest update) {
  if (update.version < state_.current_manifest.version) return;
  state_.current_manifest = std::move(update);
  state_.starts.SetMaxPerExecutor(OrdersAtOnce(state_.current_manifest));
}

void fleet_core::Restore(schema::fleet_job job, std::int64_t job_revision,
                         const std::optional<schema::fleet_progress>& progress,
                         std::int64_t progress_revision, moment at) {
  const auto age = core::milliseconds(
      std::max<std::int64_t>(0, at.unix_ms - job.accepted_unix_ms()));
  auto restored = std::make_unique<job_state>(std::move(job), at.now - age,
                                              occurrence_creation::kDeferred);
  restored->job_revision = job_revision;
  restored->progress_revision = progress_revision;
  if (progress) restored->Restore(*progress);
  restored->stored_version = restored->version;
  if (restored->Final()) restored->retained_since = at.now;
  restored->ForEachTask([this](task_state& task) {
    if (task.Phase() != task_phase::kOrphaned) return;
    EnsureExecutor(task.executor).Add(task);
  });
  memory_.OnAdded(state_.AddJob(std::move(restored)), at);
}

void fleet_core::FinishRestore(moment claimed,
                               const std::optional<lease_lapses>& recorded) {
  const auto reach = std::chrono::duration_cast<core::milliseconds>(
      (options_.longest_hold + options_.leader_lease) / kMinClockRate);
  inherited_ = recorded.value_or(lease_lapses{
      .silent = {}, .others = claimed.now + reach + kUnrecordedSlack});
  restored_at_ = claimed.now;
  for (auto& [id, executor] : state_.executors) {
    executor.unreached_expiry = inherited_.Of(id) + kLeaseExpirySlack;
  }
}

bool fleet_core::AwaitsFirstHolds(core::monotonic_time now) const {
  if (now - restored_at_ >= kMaxFirstHoldTime ||
      inherited_.others - now < kMinUsefulLease) {
    return false;
  }
  return std::ranges::any_of(state_.executors, [](const auto& entry) {
    const executor_state& executor = entry.second;
    return !executor.active.empty() && !executor.info.address.empty() &&
           !executor.reached && executor.unanswered_holds == 0;
  });
}

core::monotonic_time fleet_core::HoldBound(core::monotonic_time now) const {
  return now + std::chrono::ceil<core::milliseconds>(
                   options_.deadlines.hold_lease / kMinClockRate);
}

schema::fleet_leases fleet_core::NextLeaseRecord(core::monotonic_time now) {
  recorded_inherited_ = AwaitsFirstHolds(now);
  if (recorded_inherited_) return leases_.Begin(inherited_, now);
  lease_lapses lapses{.silent = {}, .others = HoldBound(now)};
  for (const auto& [id, executor] : state_.executors) {
    if (executor.active.empty()) continue;
    const core::monotonic_time end =
        executor.reached ? executor.LeaseEnd() : inherited_.Of(id);
    const bool exceeds = end > lapses.others + kLeaseRounding;
    if (!executor.in_contact || exceeds) lapses.silent[id] = end;
  }
  return leases_.Begin(std::move(lapses), now);
}

bool fleet_core::LeaseRecordOutdated(core::monotonic_time now) const {
  if (!leases_.AnyStored()) return true;
  if (recorded_inherited_) return !AwaitsFirstHolds(now);
  const core::monotonic_time bound = HoldBound(now);
  return std::ranges::any_of(state_.executors, [&](const auto& entry) {
    const executor_state& executor = entry.second;
    return executor.in_contact && executor.LeaseEnd() <= bound &&
           leases_.ListsSilent(executor.info.id);
  });
}

submission fleet_core::Submit(schema::fleet_job job, moment at) {
  const std::string id = job.id();
  if (state_.jobs.contains(id)) return submission::kDuplicate;
  // Processes of earlier versions do not record the settings.
  const queue_spec* const queue = state_.FindQueue(job.queue());
  if (!job.has_queue_settings() && queue != nullptr) SetQueue(*queue, job);
  job_state& added =
      state_.AddJob(std::make_unique<job_state>(std::move(job), at.now));
  memory_.OnAdded(added, at);
  state_.MarkChanged(added);
  unplanned_.push_back(id);
  return submission::kNew;
}

bool fleet_core::Cancel(const std::string& id, moment at) {
  job_state* const job = state_.FindJob(id);
  if (job == nullptr) return false;
  if (job->Final()) return true;
  job->SetState(schema::FLEET_CANCELLED, at.unix_ms);
  job->retained_since = at.now;
  if (runs_.on_job_final) runs_.on_job_final(*job);
  state_.StopAll(*job, at.now);
  state_.MarkChanged(*job);
  return true;
}

std::optional<schema::fleet_job_state> fleet_core::StoredState(
    const std::string& id) const {
  const auto found = state_.jobs.find(id);
  if (found == state_.jobs.end() || found->second->job_revision == 0) {
    return std::nullopt;
  }
  return found->second->stored_state;
}

void fleet_core::OnceStored(const std::string& id,
                            std::function<void(bool)> done) {
  job_state* const job = state_.FindJob(id);
  if (job == nullptr) {
    done(false);
    return;
  }
  journal_.OnceStored(*job, std::move(done));
}

std::size_t fleet_core::CountUnstartedJobs(std::string_view queue) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(state_.live, [queue](const job_state* job) {
        return !job->Final() && job->Spec().queue() == queue &&
               !job->AnyBegun();
      }));
}

executor_state& fleet_core::EnsureExecutor(const std::string& id) {
  const auto [entry, added] = state_.executors.try_emplace(id);
  if (added) {
    entry->second.info.id = id;
    entry->second.unreached_expiry =
        std::max(inherited_.Of(id) + kLeaseExpirySlack, dropped_lease_end_);
  }
  return entry->second;
}

void fleet_core::SetExecutor(executor_info info) {
  executor_state& executor = EnsureExecutor(info.id);
  executor.registered = true;
  // The incarnation is taken from hold responses, which also list the active
  // runs.
  const std::int64_t held_incarnation = executor.info.born_ms;
  executor.info = std::move(info);
  executor.entry_born_ms = executor.info.born_ms;
  executor.Touch();
  racks_changed_ = true;
  if (!executor.reached) return;
  executor.info.born_ms = held_incarnation;
  executor.restart_expected = !executor.MatchesEntry();
}

void fleet_core::RemoveExecutor(std::string_view id) {
  const auto found = state_.executors.find(id);
  if (found == state_.executors.end()) return;
  found->second.registered = false;
  racks_changed_ = true;
  DropUnused();
}

void fleet_core::ConfirmEntries(core::monotonic_time as_of) {
  state_.entries_as_of = std::max(state_.entries_as_of.value_or(as_of), as_of);
}

void fleet_core::DropUnused() {
  std::erase_if(state_.executors, [this](const auto& entry) {
    const auto& [id, executor] = entry;
    if (executor.registered || !executor.active.empty()) return false;
    dropped_lease_end_ = std::max(dropped_lease_end_, executor.LeaseEnd());
    sharing_.RemoveExecutor(id);
    return true;
  });
}

load_levels fleet_core::Levels() const {
  const auto out_of_contact =
      std::ranges::count_if(state_.executors, [](const auto& entry) {
        return entry.second.registered && !entry.second.in_contact;
      });
  return {.unpersisted_jobs = state_.store_backlog.Size(),
          .live_jobs = state_.live.size(),
          .executors = state_.executors.size(),
          .executors_out_of_contact = static_cast<std::size_t>(out_of_contact),
          .starts = state_.starts.Levels()};
}

bool fleet_core::NeedsHold(std::string_view id) const {
  const auto found = state_.executors.find(id);
  return found != state_.executors.end() && found->second.NeedsHold();
}

std::optional<standing_room> fleet_core::MissingRoom(
    const schema::fleet_job& job) const {
  const queue_spec* const queue = state_.FindQueue(job.queue());
  const standing_room figures = admission_.RoomFor(
      job, queue == nullptr ? std::string_view(job.service()) : queue->service);
  return admission_.MayAdmit(figures) ? std::nullopt : std::optional(figures);
}

std::vector<executor_room> fleet_core::GapsFor(const task_state& task,
                                               core::monotonic_time now) const {
  constexpr std::size_t kAvailable = 3;
  constexpr std::size_t kUnavailable = 1;
  return LargestGaps(state_, task, state_.ServiceOf(*task.job), now,
                     {.available = kAvailable, .unavailable = kUnavailable});
}

void fleet_core::Tick(moment at) {
  admission_.Sample(at);
  runs_.Tick(at);
  DropOldJobs(at);
  DropUnused();
}

orders fleet_core::TakeOrders(moment at) {
  orders taken = std::exchange(state_.outgoing, {});
  bool all_taken = false;
  while (!all_taken) {
    all_taken = true;
    for (start_order& order : state_.starts.Take(at.now)) {
      if (deadlines_.AwaitsHold(order, at.now)) {
        ReturnToPlaced(order, at);
        all_taken = false;
        continue;
      }
      task_state* const task = state_.FindTask(order.task);
      if (task != nullptr && task->run == order.run) {
        state_.starts.Withdraw(*task);
      }
      taken.starts.push_back(std::move(order));
    }
  }
  return taken;
}

void fleet_core::ReturnToPlaced(const start_order& order, moment at) {
  state_.starts.OnResponse(order, start_outcome::kNotSent, at.now);
  state_.FindTask(order.task)->SetPhase(task_phase::kPlaced);
  if (on_start_delayed) on_start_delayed(order, at);
}

bool fleet_core::MayBeSentAgain(const start_order& order, start_outcome outcome,
                                core::monotonic_time now) {
  const bool awaits_hold = deadlines_.AwaitsHold(order, now);
  const bool delayed_here =
      outcome == start_outcome::kConnectionsBusy
          ? awaits_hold || deadlines_.MayStart(order, now)
          : outcome == start_outcome::kNotSent && awaits_hold;
  // The other members of a gang would wait for this one.
  return delayed_here && !state_.FindTask(order.task)->Spec().gang();
}

void fleet_core::OnHold(std::string_view executor, const hold_report& report,
                        core::monotonic_time sent, moment at) {
  runs_.OnHold(executor, report, sent, at);
  executor_state* const held = state_.FindExecutor(executor);
  if (held != nullptr) sharing_.OnReport(*held, at.now);
}

void fleet_core::OnStartResponse(const start_order& order,
                                 start_outcome outcome, moment at) {
  state_.starts.OnResponse(order, outcome, at.now);
  if (MayBeSentAgain(order, outcome, at.now)) {
    state_.FindTask(order.task)->SetPhase(task_phase::kPlaced);
    return;
  }
  runs_.OnStartResponse(order, outcome, at);
  executor_state* const executor = state_.FindExecutor(order.executor);
  const bool accepted = outcome == start_outcome::kAccepted;
  if (accepted && executor != nullptr && executor->SharesProcessors()) {
    sharing_.AdjustPace(*executor, at.now);
  }
}

void fleet_core::DropOldJobs(moment at) {
  for (auto& [id, job] : state_.jobs) {
    if (!job->RetentionOver(options_.retention, at.now)) continue;
    job->removing = true;
    journal_.Remove(*job);
  }
}

}  // namespace waxwingfront::fleet
