#include "waxwingfront/shard/shard_owner.h"

#include <algorithm>
#include <utility>

#include "waxwingfront/logging/log.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::shard {
namespace {

constexpr std::string_view kModule = "shard";
// Longest wait between two checks for due work.
constexpr core::milliseconds kPollPeriod{20};
// Delays between retries of a store call. They grow exponentially, so that 40
// shards make fewer than 30 writes/s during an outage.
constexpr core::milliseconds kInitialRetryPause{100};
constexpr core::milliseconds kMaxRetryPause{1600};
// Interval of scans for expired jobs. At 64 jobs per scan the capacity is far
// above the 14,000 jobs per day of the whole fleet.
constexpr core::milliseconds kDropPeriod{10000};

}  // namespace

shard_owner::shard_owner(shard_owner_options options,
                         const store::store_client& store,
                         core::monotonic_time lease_requested_at)
    : options_(std::move(options)),
      store_(store),
      lease_requested_at_(lease_requested_at) {
  threads_.emplace_back([this] { RunLog(); });
  for (int index = 0; index < options_.sync_threads; ++index) {
    threads_.emplace_back([this] { RunSync(); });
  }
}

shard_owner::~shard_owner() {
  Halt();
  for (std::thread& thread : threads_) thread.join();
}

void shard_owner::OnLeaseRenewed(core::monotonic_time requested_at) {
  const std::lock_guard lock(mutex_);
  lease_requested_at_ = requested_at;
  if (core_ != nullptr) core_->OnLeaseRenewed(requested_at);
}

std::optional<append_outcome> shard_owner::AppendUntilKnown(
    const shard_log& log, const log_append& append,
    std::unique_lock<std::mutex>& lock) {
  core::milliseconds pause = kInitialRetryPause;
  bool first_try = true;
  unresolved_ = true;
  last_sent_ = append.number;
  while (!stopping_) {
    lock.unlock();
    const auto outcome = log.Append(append);
    lock.lock();
    if (outcome) {
      unresolved_ = false;
      append_failed_ = false;
      if (*outcome == append_outcome::kDeposed && first_try)
        return append_outcome::kNotWritten;
      return *outcome;
    }
    append_failed_ = true;
    first_try = false;
    logging::Warning(kModule, options_.core.shard, " record ", append.number,
                     " not confirmed by the store: ", outcome.error().detail);
    changed_.wait_for(lock, pause, [this] { return stopping_; });
    pause = std::min(2 * pause, kMaxRetryPause);
  }
  return std::nullopt;
}

core::result<void> shard_owner::TakeOver() {
  shard_log log(store_, options_.core.shard);
  auto recovered = log.Recover();
  if (!recovered) return tl::unexpected(recovered.error());
  std::unique_lock lock(mutex_);
  auto new_core = std::make_unique<shard_core>(
      options_.core, std::move(*recovered), lease_requested_at_, core::Now());
  const std::optional<log_append> epoch = new_core->NextAppend(core::Now());
  // The log is not recovered again after a failed attempt, because the epoch
  // record may then be in the log and hide that the former owner has resigned.
  const auto outcome = AppendUntilKnown(log, *epoch, lock);
  if (outcome != append_outcome::kApplied) {
    return core::Failure(
        core::error_code::kDeposed,
        "another owner appended to the log during the take-over");
  }
  new_core->OnAppendApplied();
  new_core->OnLeaseRenewed(lease_requested_at_);
  core_ = std::move(new_core);
  logging::Info(kModule, options_.core.shard, " taken over at record ",
                core_->AppliedThrough());
  return {};
}

void shard_owner::RunLog() {
  std::unique_lock lock(mutex_);
  core::milliseconds pause = kInitialRetryPause;
  while (!stopping_ && core_ == nullptr) {
    lock.unlock();
    const auto taken_over = TakeOver();
    lock.lock();
    if (taken_over) break;
    logging::Warning(kModule, options_.core.shard,
                     " take-over failed: ", taken_over.error().detail);
    changed_.wait_for(lock, pause, [this] { return stopping_; });
    pause = std::min(2 * pause, kMaxRetryPause);
  }
  while (!stopping_ && !core_->IsDeposed()) {
    core_->OnBundle(options_.policy());
    core_->OnHosts(options_.hosts());
    AppendOnce(lock);
    changed_.notify_all();
    lock.unlock();
    CompactIfDue();
    DropExpiredJobs();
    lock.lock();
    changed_.wait_for(lock, kPollPeriod, [this] { return stopping_; });
  }
}

void shard_owner::AppendOnce(std::unique_lock<std::mutex>& lock) {
  const shard_log log(store_, options_.core.shard);
  const std::optional<log_append> append = core_->NextAppend(core::Now());
  if (!append.has_value()) return;
  queued_jobs_.clear();
  const auto outcome = AppendUntilKnown(log, *append, lock);
  if (!outcome.has_value()) return;
  if (*outcome == append_outcome::kApplied) {
    core_->OnAppendApplied();
    next_sync_scan_ = core::monotonic_time{};
    return;
  }
  core_->OnDeposed();
  // The record is surely not in the log, so its callers get an error that says
  // so.
  if (*outcome == append_outcome::kNotWritten) --last_sent_;
  logging::Warning(kModule, options_.core.shard,
                   " deposed: another owner has taken over");
}

void shard_owner::DropExpiredJobs() {
  std::unique_lock lock(mutex_);
  if (core::Now() < next_drop_) return;
  next_drop_ = core::Now() + kDropPeriod;
  const std::vector<std::string> expired = core_->ExpiredJobs(core::Now());
  lock.unlock();
  for (const std::string& job : expired) {
    const std::string key = "jobs/" + job;
    // A job whose location could not be deleted is found again by a later scan.
    if (!store_.DeleteRange(key, key + '\0')) return;
    lock.lock();
    core_->Drop(job);
    lock.unlock();
  }
}

void shard_owner::CompactIfDue() {
  std::unique_lock lock(mutex_);
  if (stopping_) return;
  if (core_->AppliedThrough() < compacted_through_ + options_.snapshot_every)
    return;
  const auto snapshot = core_->Snapshot();
  lock.unlock();
  if (!snapshot.has_value()) return;
  const auto compacted =
      shard_log(store_, options_.core.shard).Compact(*snapshot);
  lock.lock();
  // A failed compaction is retried only after another `snapshot_every` records,
  // since the log remains valid without it.
  compacted_through_ = snapshot->through();
  if (!compacted) {
    logging::Warning(kModule, options_.core.shard,
                     " log compaction failed: ", compacted.error().detail);
  }
}

std::optional<shard_owner::pending_sync> shard_owner::NextSync() {
  if (core_ == nullptr || core::Now() < next_sync_scan_) return std::nullopt;
  const auto view = options_.hosts();
  if (view == nullptr) return std::nullopt;
  const std::vector<std::string> workers = core_->Workers();
  for (std::size_t step = 0; step < workers.size(); ++step) {
    const std::string& worker = workers[next_worker_++ % workers.size()];
    const auto info = view->workers.find(worker);
    if (info == view->workers.end()) continue;
    auto request = core_->NextSync(worker, core::Now());
    if (!request.has_value()) continue;
    return pending_sync{.worker = worker,
                        .address = info->second.address,
                        .request = std::move(*request)};
  }
  // A scan without result applies to all threads.
  next_sync_scan_ = core::Now() + kPollPeriod;
  return std::nullopt;
}

void shard_owner::RunSync() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto pending = NextSync();
    if (!pending.has_value()) {
      changed_.wait_for(lock, kPollPeriod, [this] { return stopping_; });
      continue;
    }
    lock.unlock();
    const auto response = options_.sync(pending->address, pending->request);
    lock.lock();
    if (response) {
      core_->OnSyncReply(pending->worker, *response, core::Now());
    } else {
      core_->OnSyncFailed(pending->worker, core::Now());
    }
  }
}

core::result<void> shard_owner::CheckActive() const {
  if (core_ == nullptr) {
    return core::Failure(core::error_code::kNoOwner,
                         "the shard is being taken over");
  }
  if (HasEnded()) {
    return core::Failure(core::error_code::kNoOwner, "the shard changes owner");
  }
  return {};
}

core::result<schema::job_status> shard_owner::AwaitApplied(
    std::uint64_t number, std::string_view job, core::milliseconds limit,
    std::unique_lock<std::mutex>& lock) {
  // The state already includes the decisions of a record whose outcome is
  // unknown. A caller must not see them, since they may be lost.
  const auto is_settled = [this, number] {
    return core_->IsApplied(number) && !HasUnresolvedRecord();
  };
  changed_.notify_all();
  changed_.wait_for(lock, limit,
                    [this, &is_settled] { return HasEnded() || is_settled(); });
  if (HasEnded() && number > last_sent_) {
    return core::Failure(core::error_code::kNoOwner,
                         "the shard changed its owner before job " +
                             std::string(job) + " was recorded");
  }
  if (HasEnded() || !is_settled()) {
    return core::Failure(core::error_code::kOutcomeUnknown,
                         "the store has not confirmed job " + std::string(job));
  }
  return core_->Status(job);
}

core::result<schema::job_status> shard_owner::Submit(
    const schema::job_spec& spec, core::milliseconds limit) {
  std::unique_lock lock(mutex_);
  if (const auto active = CheckActive(); !active)
    return tl::unexpected(active.error());
  const bool known = core_->State().FindJob(spec.id()) != nullptr ||
                     queued_jobs_.contains(spec.id());
  if (!known && append_failed_) {
    return core::Failure(core::error_code::kStoreUnavailable,
                         "the store does not confirm records now");
  }
  const auto number = core_->Submit(spec);
  if (!number) return tl::unexpected(number.error());
  if (!known) queued_jobs_.insert(spec.id());
  return AwaitApplied(*number, spec.id(), limit, lock);
}

core::result<schema::job_status> shard_owner::Status(std::string_view job,
                                                     core::milliseconds limit) {
  std::unique_lock lock(mutex_);
  if (const auto active = CheckActive(); !active)
    return tl::unexpected(active.error());
  changed_.wait_for(lock, limit,
                    [this] { return HasEnded() || !HasUnresolvedRecord(); });
  if (const auto active = CheckActive(); !active)
    return tl::unexpected(active.error());
  if (HasUnresolvedRecord()) {
    return core::Failure(core::error_code::kStoreUnavailable,
                         "the store does not confirm records now");
  }
  if (core_->State().FindJob(job) == nullptr) {
    return core::Failure(core::error_code::kUnknownJob,
                         "no job " + std::string(job));
  }
  return core_->Status(job);
}

core::result<schema::job_status> shard_owner::Cancel(std::string_view job,
                                                     core::milliseconds limit) {
  std::unique_lock lock(mutex_);
  if (const auto active = CheckActive(); !active)
    return tl::unexpected(active.error());
  if (append_failed_) {
    return core::Failure(core::error_code::kStoreUnavailable,
                         "the store does not confirm records now");
  }
  const auto number = core_->Cancel(job);
  if (!number) return tl::unexpected(number.error());
  return AwaitApplied(*number, job, limit, lock);
}

void shard_owner::Resign(core::milliseconds limit) {
  std::unique_lock lock(mutex_);
  if (core_ == nullptr) return;
  core_->Resign();
  changed_.notify_all();
  changed_.wait_for(lock, limit,
                    [this] { return HasEnded() || core_->HasResigned(); });
}

void shard_owner::Halt() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
}

bool shard_owner::IsDeposed() {
  const std::lock_guard lock(mutex_);
  return core_ != nullptr && core_->IsDeposed();
}

}  // namespace waxwingfront::shard
