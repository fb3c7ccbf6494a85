#include "support/policy_simulation.h"

#include <utility>

namespace waxwingfront::tests {
namespace {

constexpr core::milliseconds kStep{2};
constexpr std::string_view kShard = "north/0";

std::string WorkerName(int index) { return "worker-" + std::to_string(index); }

}  // namespace

policy_simulation::policy_simulation(const policy_simulation_options& options)
    : options_(options) {
  auto view = std::make_shared<hosts::host_view>();
  for (int index = 0; index < options.workers; ++index) {
    workers_.push_back(std::make_unique<standins::worker>(
        standins::worker_options{.capacity = options.capacity}));
    by_name_.emplace(WorkerName(index), workers_.back().get());
    view->workers.emplace(WorkerName(index),
                          hosts::worker_info{.id = WorkerName(index),
                                             .failure_domain = "north",
                                             .shard = std::string(kShard),
                                             .capacity = options.capacity});
  }
  shard::shard_core_options core{.shard = std::string(kShard),
                                 .owner = "entry-0",
                                 .job_retention = options.job_retention};
  core.nonce = [this] { return nonce_++; };
  core_ = std::make_unique<shard::shard_core>(
      std::move(core), shard::recovered_shard{}, now_, now_);
  core_->OnHosts(view);
  core_->OnBundle(
      std::make_shared<const bundle::bundle_view>(options.policy, 1));
}

void policy_simulation::Submit(const schema::job_spec& spec) {
  static_cast<void>(core_->Submit(spec));
}

void policy_simulation::StepAppend() {
  if (appending_ && now_ >= append_done_) {
    appending_ = false;
    core_->OnAppendApplied();
  }
  if (appending_) return;
  auto append = core_->NextAppend(now_);
  if (!append.has_value()) return;
  ++appends_;
  last_record_ = std::move(append->record);
  appending_ = true;
  append_done_ = now_ + options_.append_time;
}

void policy_simulation::StepExchange(const std::string& worker) {
  const auto found = exchanges_.find(worker);
  if (found != exchanges_.end()) {
    exchange& open = found->second;
    if (!open.handled && now_ >= open.arrives_at) {
      open.response = by_name_.at(worker)->Sync(open.request, now_);
      open.handled = true;
    }
    if (now_ < open.responds_at) return;
    core_->OnSyncReply(worker, open.response, now_);
    exchanges_.erase(found);
  }
  auto request = core_->NextSync(worker, now_);
  if (!request.has_value()) return;
  exchanges_[worker] = {.request = std::move(*request),
                        .arrives_at = now_ + options_.sync_time / 2,
                        .responds_at = now_ + options_.sync_time};
}

void policy_simulation::Step() {
  core_->OnLeaseRenewed(now_);
  StepAppend();
  for (const auto& [name, worker] : by_name_) StepExchange(name);
  now_ += kStep;
}

void policy_simulation::Run(core::milliseconds duration) {
  const core::monotonic_time end = now_ + duration;
  while (now_ < end) Step();
}

bool policy_simulation::RunUntil(const std::function<bool()>& condition,
                                 core::milliseconds limit) {
  const core::monotonic_time end = now_ + limit;
  while (!condition() && now_ < end) Step();
  return condition();
}

int policy_simulation::StartsOn(int worker, const std::string& job) const {
  const std::string journal = workers_.at(worker)->Journal();
  const std::string start = "start " + job + " ";
  int count = 0;
  for (std::size_t at = journal.find(start); at != std::string::npos;
       at = journal.find(start, at + 1)) {
    ++count;
  }
  return count;
}

int policy_simulation::Starts(const std::string& job) const {
  int count = 0;
  for (std::size_t index = 0; index < workers_.size(); ++index)
    count += StartsOn(static_cast<int>(index), job);
  return count;
}

}  // namespace waxwingfront::tests
