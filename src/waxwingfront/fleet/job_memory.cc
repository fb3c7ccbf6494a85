#include "waxwingfront/fleet/job_memory.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

#include "waxwingfront/fleet/job_cost.h"

namespace waxwingfront::fleet {
namespace {

constexpr double kBytesPerMb = 1e6;

std::size_t Share(std::size_t bytes, double share) {
  return static_cast<std::size_t>(static_cast<double>(bytes) * share);
}

std::size_t CostOfOne(const job_state& job) {
  return OccurrenceCost(job.Spec(), job.TasksPerOccurrence());
}

// An occurrence that is near, in the order in which states are made.
struct near_occurrence {
  std::int64_t due_unix_ms;
  job_state* job;

  friend bool operator>(const near_occurrence& left,
                        const near_occurrence& right) {
    return std::tie(left.due_unix_ms, left.job->Id()) >
           std::tie(right.due_unix_ms, right.job->Id());
  }
};

}  // namespace

job_memory::job_memory(fleet_state& state, job_memory_options options)
    : state_(state),
      options_(options),
      limit_(static_cast<std::size_t>(static_cast<double>(options.process_mb) *
                                      kBytesPerMb * options.job_share)) {}

std::optional<memory_refusal> job_memory::Admit(
    const schema::fleet_job& job) const {
  if (limit_ == 0) return std::nullopt;
  const memory_refusal figures{
      .needed = RecordCost(job) + OccurrenceCost(job, TasksOf(job)),
      .committed = state_.record_cost + committed_,
      .limit = limit_,
      .retry_after = options_.retry_after};
  if (figures.committed + figures.needed <= limit_) return std::nullopt;
  return figures;
}

void job_memory::OnAdded(job_state& job, moment at) {
  Charge(job);
  while (NextNear(job, at) && MakeNext(job)) {
  }
}

void job_memory::Update(moment at) {
  made_ = 0;
  committed_ = 0;
  withheld_ = 0;
  std::priority_queue<near_occurrence, std::vector<near_occurrence>,
                      std::greater<>>
      near;
  for (job_state* const job : state_.live) {
    job->FreeEndedOccurrences();
    Charge(*job);
    if (const auto due = NextNear(*job, at)) near.push({*due, job});
  }
  while (!near.empty()) {
    job_state* const job = near.top().job;
    near.pop();
    if (!MakeNext(*job)) {
      ++withheld_;
    } else if (const auto due = NextNear(*job, at)) {
      near.push({*due, job});
    }
  }
}

std::optional<std::int64_t> job_memory::NextNear(const job_state& job,
                                                 moment at) const {
  const auto next = job.NextOccurrence();
  if (!next) return std::nullopt;
  const std::int64_t due = job.DueUnixMs(*next);
  const bool near = job.Spec().repetitions() == 0 ||
                    due - options_.lead.count() <= at.unix_ms;
  return near ? std::optional(due) : std::nullopt;
}

bool job_memory::MakeNext(job_state& job) {
  const std::size_t cost = CostOfOne(job);
  const bool first = job.Occurrences().empty();
  if (limit_ > 0) {
    const bool fits = first ? made_ == 0 || made_ + cost <= TaskLimit()
                            : state_.record_cost + committed_ + cost <=
                                  Share(limit_, options_.overlap_share);
    if (!fits) return false;
  }
  job.MakeOccurrence(*job.NextOccurrence());
  made_ += cost;
  if (!first) committed_ += cost;
  return true;
}

void job_memory::Charge(const job_state& job) {
  const std::size_t states = job.Occurrences().size();
  made_ += states * CostOfOne(job);
  committed_ += (job.Final() ? states : std::max<std::size_t>(1, states)) *
                CostOfOne(job);
}

std::size_t job_memory::TaskLimit() const {
  const std::size_t left = limit_ - std::min(limit_, state_.record_cost);
  return std::max(left, Share(limit_, options_.min_task_share));
}

}  // namespace waxwingfront::fleet
