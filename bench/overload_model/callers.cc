#include "overload_model/callers.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "waxwingfront/fleet/job_gateway.h"

namespace waxwingfront::overload_model {
namespace {

constexpr double kMillisPerSecond = 1000.0;
constexpr int kLateFactor = 3;

std::size_t IndexOf(job_outcome outcome) {
  return static_cast<std::size_t>(outcome);
}

}  // namespace

job_outcome JudgeEnd(double elapsed_ms, double objective_ms) {
  if (elapsed_ms <= objective_ms) return job_outcome::kOnTime;
  return elapsed_ms <= kLateFactor * objective_ms ? job_outcome::kLate
                                                  : job_outcome::kUseless;
}

callers::callers(const model_settings& settings, const run_options& options,
                 fleet::fleet_core& core, std::mt19937_64& random)
    : settings_(settings), options_(options), core_(core), random_(random) {
  for (const class_settings& profile : settings.classes) {
    results_.emplace_back().name = profile.name;
  }
}

std::shared_ptr<modelled_job> callers::Draw(std::size_t class_index,
                                            std::int64_t now_ms,
                                            bool measured) {
  auto job = std::make_shared<modelled_job>(
      DrawModelledJob(random_, settings_, class_index, drawn_++));
  job->first_attempt_ms = now_ms;
  job->measured = measured;
  return job;
}

void callers::SubmitInitialJobs(fleet::moment at) {
  for (std::size_t c = 0; c < settings_.classes.size(); ++c) {
    for (int i = 0; i < settings_.classes[c].initial_jobs; ++i) {
      Submit(Draw(c, 0, false), at, 0);
    }
  }
}

void callers::Arrive(std::int64_t now_ms, std::int64_t step_ms) {
  const bool measured = now_ms >= settings_.warm_up_ms;
  for (std::size_t c = 0; c < settings_.classes.size(); ++c) {
    const double mean = settings_.classes[c].jobs_per_second *
                        (measured ? options_.load : 1.0) *
                        static_cast<double>(step_ms) / kMillisPerSecond;
    if (mean <= 0.0) continue;
    const int arrivals = std::poisson_distribution<int>(mean)(random_);
    for (int i = 0; i < arrivals; ++i) {
      attempts_.emplace(now_ms, Draw(c, now_ms, measured));
    }
  }
}

void callers::Act(fleet::moment at, std::int64_t now_ms) {
  while (!attempts_.empty() && attempts_.begin()->first <= now_ms) {
    const job_pointer job = attempts_.extract(attempts_.begin()).mapped();
    Submit(job, at, now_ms);
  }
  while (!cancels_.empty() && cancels_.begin()->first <= now_ms) {
    const job_pointer job = cancels_.extract(cancels_.begin()).mapped();
    if (std::erase(live_, job) == 0) continue;
    core_.Cancel(job->spec.id(), at);
    CountEnd(*job, job_outcome::kCancelled, now_ms);
  }
}

std::optional<core::milliseconds> callers::Refusal(const schema::fleet_job& job,
                                                   fleet::moment at) {
  if (core_.MissingRoom(job)) return fleet::job_gateway_options{}.no_room_retry;
  if (const auto refusal = core_.AdmitStarts(job, at)) {
    return refusal->retry_after;
  }
  if (const auto refusal = core_.AdmitWork(job, at)) {
    return refusal->retry_after;
  }
  return std::nullopt;
}

void callers::Submit(const job_pointer& job, fleet::moment at,
                     std::int64_t now_ms) {
  job->spec.set_accepted_unix_ms(at.unix_ms);
  if (const auto retry_after = Refusal(job->spec, at)) {
    OnRefused(job, *retry_after, now_ms);
    return;
  }
  job->accepted_ms = now_ms;
  jobs_.emplace(job->spec.id(), job);
  live_.push_back(job);
  core_.Submit(job->spec, at);
  if (job->cancel_after_ms) {
    cancels_.emplace(now_ms + std::llround(*job->cancel_after_ms), job);
  }
}

void callers::OnRefused(const job_pointer& job, core::milliseconds retry_after,
                        std::int64_t now_ms) {
  ++job->refusals;
  if (job->measured) ++results_.at(job->class_index).refusals;
  if (job->refusals > settings_.classes.at(job->class_index).returns) {
    CountEnd(*job, job_outcome::kRefused, now_ms);
    return;
  }
  std::uniform_real_distribution<double> spread(1.0,
                                                1.0 + settings_.return_spread);
  const double delay = static_cast<double>(retry_after.count());
  attempts_.emplace(now_ms + std::llround(delay * spread(random_)), job);
}

void callers::ObserveSteps(modelled_job& job, std::int64_t now_ms) {
  modelled_step* const step = job.CurrentStep();
  if (step != nullptr && !step->ready_ms) step->ready_ms = now_ms;
}

void callers::ObserveEnds(fleet::moment at, std::int64_t now_ms) {
  std::erase_if(live_, [&](const job_pointer& job) {
    if (settings_.classes.at(job->class_index).kind == job_kind::kServing) {
      return false;
    }
    ObserveSteps(*job, now_ms);
    const job_outcome now_ended = JudgeEnd(
        static_cast<double>(now_ms - job->first_attempt_ms), job->objective_ms);
    const auto state = core_.StoredState(job->spec.id());
    const bool completed = state == schema::FLEET_COMPLETED;
    const bool failed = state == schema::FLEET_FAILED;
    if (!completed && !failed) {
      if (!settings_.give_up || now_ended != job_outcome::kUseless) {
        return false;
      }
      core_.Cancel(job->spec.id(), at);
    }
    CountEnd(*job, failed && !job->doomed ? job_outcome::kUseless : now_ended,
             now_ms);
    return true;
  });
}

void callers::CountEnd(modelled_job& job, job_outcome outcome,
                       std::int64_t now_ms) {
  if (!job.measured) return;
  class_result& result = results_.at(job.class_index);
  const class_settings& profile = settings_.classes.at(job.class_index);
  const std::size_t index = IndexOf(outcome);
  result.run_s.at(index) += job.run_ms / kMillisPerSecond;
  result.core_s.at(index) += job.core_ms / kMillisPerSecond;
  ++result.ended.at(index);
  if (outcome == job_outcome::kCancelled) return;
  ++result.asked;
  result.worth_owed += profile.worth;
  if (outcome == job_outcome::kOnTime) result.worth += profile.worth;
  if (outcome == job_outcome::kLate) result.worth += profile.late_worth;
  if (outcome == job_outcome::kOnTime || outcome == job_outcome::kLate) {
    result.served_ms(static_cast<double>(now_ms - job.first_attempt_ms));
  }
  for (const modelled_step& step : job.steps) {
    if (!step.ready_ms || step.succeeded < step.tasks.size()) continue;
    sample_set& waits = &step == &job.steps.front() ? result.first_wait_ms
                                                    : result.later_wait_ms;
    waits(static_cast<double>(step.last_start_ms - *step.ready_ms));
  }
}

std::vector<class_result> callers::Finish() {
  for (const job_pointer& job : live_) {
    if (settings_.classes.at(job->class_index).kind == job_kind::kServing) {
      continue;
    }
    CountEnd(*job, job_outcome::kUseless, 0);
  }
  for (const auto& [at, job] : attempts_) {
    CountEnd(*job, job_outcome::kRefused, 0);
  }
  return std::move(results_);
}

task_counts callers::CountBestEffortTasks() const {
  task_counts counts;
  for (const job_pointer& job : live_) {
    if (settings_.classes.at(job->class_index).kind != job_kind::kBestEffort) {
      continue;
    }
    const modelled_step* const step = job->CurrentStep();
    if (step == nullptr) continue;
    counts.running += step->running;
    counts.waiting += step->tasks.size() - step->succeeded - step->running;
  }
  return counts;
}

}  // namespace waxwingfront::overload_model
