#include "waxwingfront/shard/shard_owner.h"

#include <optional>
#include <utility>

#include "waxwingfront/logging/log.h"
#include "waxwingfront/shard/shard_log.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::shard {
namespace {

constexpr std::string_view kPart = "shard";
// Longest wait between two looks at what is due.
constexpr core::milliseconds kTick{20};
constexpr core::milliseconds kRetryPause{200};
// Time between two looks for jobs that ended long ago: 64 jobs each time are
// far more than the 14,000 jobs per day of the whole fleet.
constexpr core::milliseconds kDropPeriod{10000};

}  // namespace

shard_owner::shard_owner(shard_owner_options options,
                         const store::store_client& store,
                         core::monotonic_time lease_asked_at)
    : options_(std::move(options)),
      store_(store),
      lease_asked_at_(lease_asked_at) {
  threads_.emplace_back([this] { RunLog(); });
  for (int index = 0; index < options_.sync_threads; ++index) {
    threads_.emplace_back([this] { RunSync(); });
  }
}

shard_owner::~shard_owner() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  for (std::thread& thread : threads_) thread.join();
}

void shard_owner::OnLeaseRenewed(core::monotonic_time asked_at) {
  const std::lock_guard lock(mutex_);
  lease_asked_at_ = asked_at;
  if (core_ != nullptr) core_->OnLeaseRenewed(asked_at);
}

core::result<void> shard_owner::TakeOver() {
  shard_log log(store_, options_.core.shard);
  auto recovered = log.Recover();
  if (!recovered) return tl::unexpected(recovered.error());
  std::unique_lock lock(mutex_);
  auto fresh = std::make_unique<shard_core>(
      options_.core, std::move(*recovered), lease_asked_at_, core::Now());
  const std::optional<log_append> epoch = fresh->NextAppend(core::Now());
  lock.unlock();
  const auto outcome = log.Append(*epoch);
  if (!outcome) return tl::unexpected(outcome.error());
  if (*outcome == append_outcome::kDeposed) {
    return core::Failure(core::error_code::kDeposed,
                         "the log grew during the take-over");
  }
  lock.lock();
  fresh->OnAppendApplied();
  fresh->OnLeaseRenewed(lease_asked_at_);
  core_ = std::move(fresh);
  logging::Info(kPart, options_.core.shard, " taken over at record ",
                core_->AppliedThrough());
  return {};
}

void shard_owner::RunLog() {
  std::unique_lock lock(mutex_);
  while (!stopping_ && core_ == nullptr) {
    lock.unlock();
    const auto taken = TakeOver();
    lock.lock();
    if (taken) break;
    logging::Warning(kPart, options_.core.shard,
                     " not taken over: ", taken.error().detail);
    changed_.wait_for(lock, kRetryPause, [this] { return stopping_; });
  }
  while (!stopping_ && !core_->IsDeposed()) {
    core_->OnBundle(options_.policy());
    core_->OnHosts(options_.hosts());
    lock.unlock();
    AppendOnce();
    lock.lock();
    changed_.notify_all();
    changed_.wait_for(lock, kTick, [this] { return stopping_; });
  }
}

void shard_owner::AppendOnce() {
  const shard_log log(store_, options_.core.shard);
  std::unique_lock lock(mutex_);
  const std::optional<log_append> append = core_->NextAppend(core::Now());
  while (append.has_value() && !stopping_) {
    lock.unlock();
    const auto outcome = log.Append(*append);
    lock.lock();
    if (outcome && *outcome == append_outcome::kApplied) {
      core_->OnAppendApplied();
      break;
    }
    if (outcome) {
      core_->OnDeposed();
      logging::Warning(kPart, options_.core.shard, " lost to another owner");
      return;
    }
    logging::Warning(kPart, options_.core.shard, " record ", append->number,
                     " not confirmed: ", outcome.error().detail);
    changed_.wait_for(lock, kRetryPause, [this] { return stopping_; });
  }
  lock.unlock();
  CompactIfDue();
  DropExpiredJobs();
}

void shard_owner::DropExpiredJobs() {
  std::unique_lock lock(mutex_);
  if (core::Now() < next_drop_) return;
  next_drop_ = core::Now() + kDropPeriod;
  const std::vector<std::string> expired = core_->ExpiredJobs(core::Now());
  lock.unlock();
  for (const std::string& job : expired) {
    const std::string key = "jobs/" + job;
    // A job whose location could not be deleted is found again later.
    if (!store_.DeleteRange(key, key + '\0')) return;
    lock.lock();
    core_->Drop(job);
    lock.unlock();
  }
}

void shard_owner::CompactIfDue() {
  std::unique_lock lock(mutex_);
  if (core_->AppliedThrough() < compacted_through_ + options_.snapshot_every)
    return;
  const auto snapshot = core_->Snapshot();
  lock.unlock();
  if (!snapshot.has_value()) return;
  const auto compacted =
      shard_log(store_, options_.core.shard).Compact(*snapshot);
  lock.lock();
  // A failed compaction is tried again after as many records more; the log
  // stays valid without it.
  compacted_through_ = snapshot->through();
  if (!compacted) {
    logging::Warning(kPart, options_.core.shard,
                     " not compacted: ", compacted.error().detail);
  }
}

std::optional<shard_owner::pending_sync> shard_owner::NextSync() {
  if (core_ == nullptr) return std::nullopt;
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
  return std::nullopt;
}

void shard_owner::RunSync() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    const auto pending = NextSync();
    if (!pending.has_value()) {
      changed_.wait_for(lock, kTick, [this] { return stopping_; });
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

core::result<schema::job_status> shard_owner::AwaitApplied(
    std::uint64_t number, std::string_view job, core::milliseconds limit,
    std::unique_lock<std::mutex>& lock) {
  changed_.notify_all();
  changed_.wait_for(lock, limit, [this, number] {
    return stopping_ || core_->IsDeposed() || core_->IsApplied(number);
  });
  if (!core_->IsApplied(number)) {
    return core::Failure(core::error_code::kOutcomeUnknown,
                         "the store has not confirmed job " + std::string(job));
  }
  return core_->Status(job);
}

core::result<schema::job_status> shard_owner::Submit(
    const schema::job_spec& spec, core::milliseconds limit) {
  std::unique_lock lock(mutex_);
  if (core_ == nullptr) {
    return core::Failure(core::error_code::kNoOwner,
                         "the shard is being taken over");
  }
  const auto number = core_->Submit(spec);
  if (!number) return tl::unexpected(number.error());
  return AwaitApplied(*number, spec.id(), limit, lock);
}

core::result<schema::job_status> shard_owner::Status(std::string_view job) {
  const std::lock_guard lock(mutex_);
  if (core_ == nullptr) {
    return core::Failure(core::error_code::kNoOwner,
                         "the shard is being taken over");
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
  if (core_ == nullptr) {
    return core::Failure(core::error_code::kNoOwner,
                         "the shard is being taken over");
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
  changed_.wait_for(lock, limit, [this] {
    return core_->IsDeposed() || core_->HasResigned();
  });
}

bool shard_owner::IsDeposed() {
  const std::lock_guard lock(mutex_);
  return core_ != nullptr && core_->IsDeposed();
}

}  // namespace waxwingfront::shard
