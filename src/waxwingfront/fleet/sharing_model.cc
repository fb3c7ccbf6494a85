#include "waxwingfront/fleet/sharing_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "waxwingfront/fleet/linear_system.h"

namespace waxwingfront::fleet {
namespace {

using seconds = std::chrono::duration<double>;

// Time constant of reported tail latencies; recorded reports show 0.5 to 1 s.
constexpr double kTailSmoothingSeconds = 0.7;
// Time constant with which reports lose their weight.
constexpr double kReportDecaySeconds = 12.0;
constexpr double kPeakDecaySeconds = 30.0;
constexpr seconds kSolveInterval{0.5};
// Coefficient without reports, between those of light and heavy pairs on the
// recorded days (0.003 and 0.05), and its weight in cores squared.
constexpr double kPriorInterference = 0.02;
constexpr double kPriorWeight = 10.0;
// Weight of an earlier leader's coefficients: some seconds of reports.
constexpr double kRestoredWeight = 200.0;
// Minimum number of reports before an image is compared with others.
constexpr double kMinReports = 100.0;
// The lowest observed tail latency includes some load, so the base is lower.
constexpr double kBaseShareOfLowest = 0.8;
// A tail latency of this many times its base implies a full queue.
constexpr double kFullQueueFactor = 25.0;
// Age limit of the task reports that determine a job's own load.
constexpr seconds kOwnLoadWindow{1.0};
// Maximum time between two reports whose difference is used as a sample; own
// loads change by a tenth of a utilisation in it.
constexpr seconds kMaxSampleGap{1.2};
constexpr seconds kSlopeSpan{1.0};
constexpr seconds kJobRetention{10.0};

double Decay(double elapsed_seconds, double time_constant) {
  return std::exp(-elapsed_seconds / time_constant);
}

}  // namespace

sharing_model::executor_usage& sharing_model::UpdateUsage(
    std::string_view executor, double capacity_millis,
    std::span<const best_effort_usage> best_effort, core::monotonic_time now) {
  constexpr double kMillisPerCore = 1000.0;
  const double scale =
      kReferenceMillis / std::max(1.0, capacity_millis) / kMillisPerCore;
  image_cores cores{};
  for (const best_effort_usage& row : best_effort) {
    const std::size_t index = BestEffortIndex(row.image);
    if (index < kMaxImages) cores[index] += row.cpu_millis * scale;
  }
  auto entry = usages_.find(executor);
  const bool added = entry == usages_.end();
  if (added) entry = usages_.try_emplace(std::string(executor)).first;
  executor_usage& use = entry->second;
  if (added) {
    use.number = ++executors_;
    use.cores = cores;
  } else {
    const double keep =
        Decay(seconds(now - use.at).count(), kTailSmoothingSeconds);
    for (std::size_t i = 0; i < kMaxImages; ++i) {
      use.cores[i] = cores[i] + (use.cores[i] - cores[i]) * keep;
    }
  }
  use.at = now;
  return use;
}

void sharing_model::Observe(std::string_view executor, double capacity_millis,
                            std::span<const best_effort_usage> best_effort,
                            std::span<const serving_latency> serving,
                            core::monotonic_time now) {
  const executor_usage& use =
      UpdateUsage(executor, capacity_millis, best_effort, now);
  for (const serving_latency& row : serving) {
    if (row.tail_ms <= 0.0) continue;
    const std::size_t index = ServingIndex(row.image);
    if (index >= kMaxImages) continue;
    serving_image& image = images_[index];
    const double base = row.tail_ms * kBaseShareOfLowest;
    if (image.base_ms == 0.0 || base < image.base_ms) image.base_ms = base;
    const double utilisation = Utilisation(row.image, row.tail_ms);
    auto entry = jobs_.find(row.job);
    if (entry == jobs_.end()) {
      entry = jobs_.try_emplace(std::string(row.job)).first;
    }
    job_load& job = entry->second;
    job.image = index;
    const double own =
        std::max(0.0, utilisation - TotalInterference(use.cores, image));
    const task_load before =
        std::exchange(job.tasks[row.index], {.at = now,
                                             .own = own,
                                             .executor = use.number,
                                             .utilisation = utilisation,
                                             .cores = use.cores});
    UpdateOwnLoad(job, now);
    AddSample(image, job, before, job.tasks[row.index]);
  }
  if (now - solved_at_ >= kSolveInterval) Solve(now);
}

void sharing_model::UpdateOwnLoad(job_load& job, core::monotonic_time now) {
  std::vector<double> recent;
  recent.reserve(job.tasks.size());
  std::optional<std::uint64_t> executor;
  job.spread = false;
  for (const auto& [index, task] : job.tasks) {
    if (now - task.at > kOwnLoadWindow) continue;
    recent.push_back(task.own);
    if (!executor) executor = task.executor;
    job.spread = job.spread || task.executor != *executor;
  }
  const std::size_t rank = recent.size() / 2;
  std::ranges::nth_element(recent,
                           recent.begin() + static_cast<std::ptrdiff_t>(rank));
  job.own = recent[rank];
  while (job.history.size() > 1 && now - job.history[1].at >= kSlopeSpan) {
    job.history.pop_front();
  }
  job.history.push_back({.at = now, .own = job.own});
  const timed_load& before = job.history.front();
  const double span = seconds(now - before.at).count();
  job.slope =
      span < kSlopeSpan.count() / 2 ? 0.0 : (job.own - before.own) / span;
  serving_image& image = images_[job.image];
  image.peak = std::max(image.peak, job.own);
}

void sharing_model::RemoveExecutor(std::string_view executor) {
  const auto found = usages_.find(executor);
  if (found != usages_.end()) usages_.erase(found);
}

std::size_t sharing_model::BestEffortIndex(std::string_view image) {
  const auto found = best_effort_.find(image);
  if (found != best_effort_.end()) return found->second;
  if (best_effort_.size() >= kMaxImages) return kMaxImages;
  const std::size_t index = best_effort_.size();
  best_effort_.emplace(std::string(image), index);
  return index;
}

std::size_t sharing_model::ServingIndex(std::string_view image) {
  const auto found = serving_.find(image);
  if (found != serving_.end()) return found->second;
  if (serving_.size() >= kMaxImages) return kMaxImages;
  const std::size_t index = serving_.size();
  serving_.emplace(std::string(image), index);
  images_.push_back(
      {.interferences = std::vector<double>(kMaxImages, kPriorInterference),
       .prior = std::vector<double>(kMaxImages, kPriorInterference),
       .prior_weight = kPriorWeight,
       .normal = std::vector<std::vector<double>>(
           kMaxImages + 1, std::vector<double>(kMaxImages + 1, 0.0)),
       .right = std::vector<double>(kMaxImages + 1, 0.0)});
  return index;
}

double sharing_model::TotalInterference(const image_cores& cores,
                                        const serving_image& image) {
  double sum = 0.0;
  for (std::size_t i = 0; i < kMaxImages; ++i) {
    sum += image.interferences[i] * cores[i];
  }
  return sum;
}

void sharing_model::AddSample(serving_image& image, const job_load& job,
                              const task_load& before, const task_load& now) {
  const bool full = now.utilisation >= 1.0;
  if (job.spread) {
    const double observed = now.utilisation - job.own;
    // At a full queue the sample is only a lower bound on the interference.
    if (full && TotalInterference(now.cores, image) >= observed) return;
    AddRegressionRow(now.cores, image, observed, 1.0);
    return;
  }
  if (before.executor != now.executor || before.utilisation >= 1.0 ||
      now.at - before.at > kMaxSampleGap) {
    return;
  }
  image_cores change{};
  for (std::size_t i = 0; i < kMaxImages; ++i) {
    change[i] = now.cores[i] - before.cores[i];
  }
  const double observed = now.utilisation - before.utilisation;
  if (full && TotalInterference(change, image) >= observed) return;
  AddRegressionRow(change, image, observed, 0.0);
}

void sharing_model::AddRegressionRow(const image_cores& cores,
                                     serving_image& image, double observed,
                                     double constant) {
  for (std::size_t i = 0; i < kMaxImages; ++i) {
    if (cores[i] == 0.0) continue;
    for (std::size_t j = 0; j < kMaxImages; ++j) {
      image.normal[i][j] += cores[i] * cores[j];
    }
    image.normal[i][kIntercept] += constant * cores[i];
    image.right[i] += cores[i] * observed;
  }
  image.normal[kIntercept][kIntercept] += constant;
  image.right[kIntercept] += constant * observed;
}

void sharing_model::SolveImage(serving_image& image, std::size_t image_count) {
  std::vector<std::vector<double>> rows(image_count + 1,
                                        std::vector<double>(image_count + 1));
  std::vector<double> right(image_count + 1);
  for (std::size_t i = 0; i < image_count; ++i) {
    for (std::size_t j = 0; j < image_count; ++j)
      rows[i][j] = image.normal[i][j];
    rows[i][i] += image.prior_weight;
    rows[i][image_count] = image.normal[i][kIntercept];
    rows[image_count][i] = image.normal[i][kIntercept];
    right[i] = image.right[i] + image.prior_weight * image.prior[i];
  }
  rows[image_count][image_count] = image.normal[kIntercept][kIntercept] + 1.0;
  right[image_count] = image.right[kIntercept];
  const std::vector<double> solution =
      SolveSystem(std::move(rows), std::move(right));
  for (std::size_t i = 0; i < image_count; ++i) {
    image.interferences[i] = std::max(0.0, solution[i]);
  }
}

void sharing_model::ComputeRatings() {
  contentiousness_.assign(best_effort_.size(), 0.0);
  sensitivity_.assign(images_.size(), 0.0);
  for (std::size_t s = 0; s < images_.size(); ++s) {
    for (std::size_t f = 0; f < best_effort_.size(); ++f) {
      const double interference = images_[s].interferences[f];
      contentiousness_[f] += interference;
      sensitivity_[s] += interference;
    }
  }
  for (std::vector<double>* const ratings :
       {&contentiousness_, &sensitivity_}) {
    if (ratings->empty()) continue;
    const double highest = *std::ranges::max_element(*ratings);
    if (highest <= 0.0) continue;
    for (double& rating : *ratings) rating /= highest;
  }
}

double sharing_model::Contentiousness(
    std::string_view best_effort_image) const {
  const auto found = best_effort_.find(best_effort_image);
  return found == best_effort_.end() || found->second >= contentiousness_.size()
             ? 1.0
             : contentiousness_[found->second];
}

double sharing_model::Sensitivity(std::string_view serving_image) const {
  const auto found = serving_.find(serving_image);
  return found == serving_.end() || found->second >= sensitivity_.size()
             ? 1.0
             : sensitivity_[found->second];
}

void sharing_model::Solve(core::monotonic_time now) {
  const double elapsed = solved_at_ == core::monotonic_time{}
                             ? 0.0
                             : seconds(now - solved_at_).count();
  const double keep = Decay(elapsed, kReportDecaySeconds);
  for (serving_image& image : images_) {
    SolveImage(image, best_effort_.size());
    for (auto& row : image.normal) {
      for (double& value : row) value *= keep;
    }
    for (double& value : image.right) value *= keep;
    image.peak *= Decay(elapsed, kPeakDecaySeconds);
  }
  ComputeRatings();
  std::erase_if(jobs_, [now](const auto& entry) {
    return now - entry.second.history.back().at > kJobRetention;
  });
  solved_at_ = now;
  ++solve_count_;
}

double sharing_model::Interference(std::string_view serving_image,
                                   std::string_view best_effort_image) const {
  return InterferenceAt(FindServing(serving_image),
                        FindBestEffort(best_effort_image));
}

double sharing_model::InterferenceAt(std::size_t serving,
                                     std::size_t best_effort) const {
  if (serving == kUnknownImage || best_effort == kUnknownImage) {
    return kPriorInterference;
  }
  return images_[serving].interferences[best_effort];
}

std::size_t sharing_model::FindServing(std::string_view image) const {
  const auto found = serving_.find(image);
  return found == serving_.end() ? kUnknownImage : found->second;
}

std::size_t sharing_model::FindBestEffort(std::string_view image) const {
  const auto found = best_effort_.find(image);
  return found == best_effort_.end() ? kUnknownImage : found->second;
}

double sharing_model::Similarity(std::string_view left,
                                 std::string_view right) const {
  if (left == right) return 1.0;
  const auto first = serving_.find(left);
  const auto second = serving_.find(right);
  if (first == serving_.end() || second == serving_.end()) return 0.0;
  const serving_image& one = images_[first->second];
  const serving_image& other = images_[second->second];
  const auto known = [](const serving_image& image) {
    return image.prior_weight > kPriorWeight ||
           image.normal[kIntercept][kIntercept] >= kMinReports;
  };
  if (!known(one) || !known(other)) return 0.0;
  double common = 0.0;
  double all = 0.0;
  for (std::size_t i = 0; i < best_effort_.size(); ++i) {
    common += std::min(one.interferences[i], other.interferences[i]);
    all += std::max(one.interferences[i], other.interferences[i]);
  }
  return all > 0.0 ? common / all : 1.0;
}

schema::fleet_sharing sharing_model::ToRecord() const {
  schema::fleet_sharing record;
  std::vector<std::string> names(best_effort_.size());
  for (const auto& [name, index] : best_effort_) names[index] = name;
  for (const std::string& name : names) record.add_filling_images(name);
  for (const auto& [name, index] : serving_) {
    schema::fleet_sharing::serving_image& row = *record.add_serving_images();
    row.set_image(name);
    row.set_base_ms(images_[index].base_ms);
    for (std::size_t i = 0; i < names.size(); ++i) {
      row.add_pressures(images_[index].interferences[i]);
    }
  }
  return record;
}

void sharing_model::Restore(const schema::fleet_sharing& record) {
  std::vector<std::size_t> image_indexes;
  for (const std::string& name : record.filling_images()) {
    image_indexes.push_back(BestEffortIndex(name));
  }
  for (const auto& row : record.serving_images()) {
    const std::size_t index = ServingIndex(row.image());
    if (index >= kMaxImages) continue;
    serving_image& image = images_[index];
    // A lower latency was reported before the record was read.
    const bool lower = image.base_ms == 0.0 || row.base_ms() < image.base_ms;
    if (lower && row.base_ms() > 0.0) image.base_ms = row.base_ms();
    image.prior_weight = kRestoredWeight;
    for (int i = 0; i < row.pressures_size(); ++i) {
      const std::size_t image_index =
          image_indexes.at(static_cast<std::size_t>(i));
      if (image_index >= kMaxImages) continue;
      image.prior[image_index] = row.pressures(i);
      image.interferences[image_index] = row.pressures(i);
    }
  }
  ++solve_count_;
  ComputeRatings();
}

std::optional<double> sharing_model::OwnLoad(std::string_view job,
                                             double ahead_seconds) const {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return std::nullopt;
  const job_load& load = found->second;
  const double peak = std::max(load.own, images_[load.image].peak);
  // A falling trend counts half, because the tail latencies lag behind.
  const double trend = load.slope > 0.0 ? load.slope : load.slope / 2;
  return std::clamp(load.own + trend * ahead_seconds, 0.0, peak);
}

double sharing_model::Utilisation(std::string_view serving_image,
                                  double tail_ms) const {
  const auto found = serving_.find(serving_image);
  if (found == serving_.end() || tail_ms <= 0.0) return 0.0;
  const double base = images_[found->second].base_ms;
  if (tail_ms >= kFullQueueFactor * base) return 1.0;
  return std::clamp(1.0 - base / tail_ms, 0.0, 1.0);
}

}  // namespace waxwingfront::fleet
