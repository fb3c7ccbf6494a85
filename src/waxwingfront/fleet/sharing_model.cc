#include "waxwingfront/fleet/sharing_model.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "waxwingfront/fleet/linear_system.h"

namespace waxwingfront::fleet {
namespace {

using seconds = std::chrono::duration<double>;

// Time constant of reported tails; fits best in recorded reports (0.5 to 1 s).
constexpr double kTailSmoothingSeconds = 0.7;
// Reports lose their weight with this time constant.
constexpr double kForgetSeconds = 12.0;
constexpr double kForgetPeakSeconds = 30.0;
constexpr seconds kSolveEvery{0.5};
// Before there are reports: a pressure between light and heavy pairs of the
// recorded days (0.003 and 0.05), and its weight in cores squared.
constexpr double kPriorPressure = 0.02;
constexpr double kPriorWeight = 10.0;
// Weight of what an earlier leader has learnt: some seconds of reports.
constexpr double kRestoredWeight = 200.0;
// Reports before an image's pressures are trusted for comparisons.
constexpr double kLeastReports = 100.0;
// The lowest tail is seen at some load, not at none.
constexpr double kBaseShareOfLowest = 0.8;
// A tail this many times its base stands for a full queue.
constexpr double kFullQueueFactor = 25.0;
// Reports of a job's tasks that tell its own load together.
constexpr seconds kOwnLoadWindow{1.0};
// Longest time between two reports whose difference tells of disturbances: own
// loads change by a tenth of a utilisation in it.
constexpr seconds kChangeWindow{1.2};
constexpr seconds kSlopeSpan{1.0};
constexpr seconds kJobMemory{10.0};

double Decay(double elapsed_seconds, double time_constant) {
  return std::exp(-elapsed_seconds / time_constant);
}

}  // namespace

sharing_model::executor_use& sharing_model::TakeUse(
    std::string_view executor, double capacity_millis,
    std::span<const filling_use> filling, core::monotonic_time now) {
  constexpr double kMillisPerCore = 1000.0;
  const double scale =
      kReferenceMillis / std::max(1.0, capacity_millis) / kMillisPerCore;
  image_cores cores{};
  for (const filling_use& row : filling) {
    const std::size_t index = FillingIndex(row.image);
    if (index < kMaxImages) cores[index] += row.cpu_millis * scale;
  }
  auto entry = uses_.find(executor);
  const bool added = entry == uses_.end();
  if (added) entry = uses_.try_emplace(std::string(executor)).first;
  executor_use& use = entry->second;
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
                            std::span<const filling_use> filling,
                            std::span<const serving_tail> serving,
                            core::monotonic_time now) {
  const executor_use& use = TakeUse(executor, capacity_millis, filling, now);
  for (const serving_tail& row : serving) {
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
        std::max(0.0, utilisation - Disturbance(use.cores, image));
    const task_load before =
        std::exchange(job.tasks[row.index], {.at = now,
                                             .own = own,
                                             .executor = use.number,
                                             .utilisation = utilisation,
                                             .cores = use.cores});
    UpdateOwnLoad(job, now);
    Compare(image, job, before, job.tasks[row.index]);
  }
  if (now - solved_ >= kSolveEvery) Solve(now);
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
  const dated_load& before = job.history.front();
  const double span = seconds(now - before.at).count();
  job.slope =
      span < kSlopeSpan.count() / 2 ? 0.0 : (job.own - before.own) / span;
  serving_image& image = images_[job.image];
  image.peak = std::max(image.peak, job.own);
}

void sharing_model::RemoveExecutor(std::string_view executor) {
  const auto found = uses_.find(executor);
  if (found != uses_.end()) uses_.erase(found);
}

std::size_t sharing_model::FillingIndex(std::string_view image) {
  const auto found = filling_.find(image);
  if (found != filling_.end()) return found->second;
  if (filling_.size() >= kMaxImages) return kMaxImages;
  const std::size_t index = filling_.size();
  filling_.emplace(std::string(image), index);
  return index;
}

std::size_t sharing_model::ServingIndex(std::string_view image) {
  const auto found = serving_.find(image);
  if (found != serving_.end()) return found->second;
  if (serving_.size() >= kMaxImages) return kMaxImages;
  const std::size_t index = serving_.size();
  serving_.emplace(std::string(image), index);
  images_.push_back(
      {.pressures = std::vector<double>(kMaxImages, kPriorPressure),
       .prior = std::vector<double>(kMaxImages, kPriorPressure),
       .prior_weight = kPriorWeight,
       .normal = std::vector<std::vector<double>>(
           kMaxImages + 1, std::vector<double>(kMaxImages + 1, 0.0)),
       .right = std::vector<double>(kMaxImages + 1, 0.0)});
  return index;
}

double sharing_model::Disturbance(const image_cores& cores,
                                  const serving_image& image) {
  double sum = 0.0;
  for (std::size_t i = 0; i < kMaxImages; ++i) {
    sum += image.pressures[i] * cores[i];
  }
  return sum;
}

void sharing_model::Compare(serving_image& image, const job_load& job,
                            const task_load& before, const task_load& now) {
  const bool full = now.utilisation >= 1.0;
  if (job.spread) {
    const double disturbance = now.utilisation - job.own;
    // A full queue tells only that the disturbance is this much or more.
    if (full && Disturbance(now.cores, image) >= disturbance) return;
    AddRow(now.cores, image, disturbance, 1.0);
    return;
  }
  if (before.executor != now.executor || before.utilisation >= 1.0 ||
      now.at - before.at > kChangeWindow) {
    return;
  }
  image_cores change{};
  for (std::size_t i = 0; i < kMaxImages; ++i) {
    change[i] = now.cores[i] - before.cores[i];
  }
  const double disturbance = now.utilisation - before.utilisation;
  if (full && Disturbance(change, image) >= disturbance) return;
  AddRow(change, image, disturbance, 0.0);
}

void sharing_model::AddRow(const image_cores& cores, serving_image& image,
                           double disturbance, double constant) {
  for (std::size_t i = 0; i < kMaxImages; ++i) {
    if (cores[i] == 0.0) continue;
    for (std::size_t j = 0; j < kMaxImages; ++j) {
      image.normal[i][j] += cores[i] * cores[j];
    }
    image.normal[i][kIntercept] += constant * cores[i];
    image.right[i] += cores[i] * disturbance;
  }
  image.normal[kIntercept][kIntercept] += constant;
  image.right[kIntercept] += constant * disturbance;
}

void sharing_model::SolveImage(serving_image& image, std::size_t filling) {
  std::vector<std::vector<double>> rows(filling + 1,
                                        std::vector<double>(filling + 1));
  std::vector<double> right(filling + 1);
  for (std::size_t i = 0; i < filling; ++i) {
    for (std::size_t j = 0; j < filling; ++j) rows[i][j] = image.normal[i][j];
    rows[i][i] += image.prior_weight;
    rows[i][filling] = image.normal[i][kIntercept];
    rows[filling][i] = image.normal[i][kIntercept];
    right[i] = image.right[i] + image.prior_weight * image.prior[i];
  }
  rows[filling][filling] = image.normal[kIntercept][kIntercept] + 1.0;
  right[filling] = image.right[kIntercept];
  const std::vector<double> solution =
      SolveSystem(std::move(rows), std::move(right));
  for (std::size_t i = 0; i < filling; ++i) {
    image.pressures[i] = std::max(0.0, solution[i]);
  }
}

void sharing_model::Rank() {
  heaviness_.assign(filling_.size(), 0.0);
  sensitivity_.assign(images_.size(), 0.0);
  for (std::size_t s = 0; s < images_.size(); ++s) {
    for (std::size_t f = 0; f < filling_.size(); ++f) {
      const double pressure = images_[s].pressures[f];
      heaviness_[f] += pressure;
      sensitivity_[s] += pressure;
    }
  }
  for (std::vector<double>* const figures : {&heaviness_, &sensitivity_}) {
    if (figures->empty()) continue;
    const double most = *std::ranges::max_element(*figures);
    if (most <= 0.0) continue;
    for (double& figure : *figures) figure /= most;
  }
}

double sharing_model::Heaviness(std::string_view filling_image) const {
  const auto found = filling_.find(filling_image);
  return found == filling_.end() || found->second >= heaviness_.size()
             ? 1.0
             : heaviness_[found->second];
}

double sharing_model::Sensitivity(std::string_view serving_image) const {
  const auto found = serving_.find(serving_image);
  return found == serving_.end() || found->second >= sensitivity_.size()
             ? 1.0
             : sensitivity_[found->second];
}

void sharing_model::Solve(core::monotonic_time now) {
  const double elapsed =
      solved_ == core::monotonic_time{} ? 0.0 : seconds(now - solved_).count();
  const double keep = Decay(elapsed, kForgetSeconds);
  for (serving_image& image : images_) {
    SolveImage(image, filling_.size());
    for (auto& row : image.normal) {
      for (double& value : row) value *= keep;
    }
    for (double& value : image.right) value *= keep;
    image.peak *= Decay(elapsed, kForgetPeakSeconds);
  }
  Rank();
  std::erase_if(jobs_, [now](const auto& entry) {
    return now - entry.second.history.back().at > kJobMemory;
  });
  solved_ = now;
  ++solutions_;
}

double sharing_model::Pressure(std::string_view serving_image,
                               std::string_view filling_image) const {
  return PressureAt(FindServing(serving_image), FindFilling(filling_image));
}

double sharing_model::PressureAt(std::size_t serving,
                                 std::size_t filling) const {
  if (serving == kUnknownImage || filling == kUnknownImage) {
    return kPriorPressure;
  }
  return images_[serving].pressures[filling];
}

std::size_t sharing_model::FindServing(std::string_view image) const {
  const auto found = serving_.find(image);
  return found == serving_.end() ? kUnknownImage : found->second;
}

std::size_t sharing_model::FindFilling(std::string_view image) const {
  const auto found = filling_.find(image);
  return found == filling_.end() ? kUnknownImage : found->second;
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
           image.normal[kIntercept][kIntercept] >= kLeastReports;
  };
  if (!known(one) || !known(other)) return 0.0;
  double common = 0.0;
  double all = 0.0;
  for (std::size_t i = 0; i < filling_.size(); ++i) {
    common += std::min(one.pressures[i], other.pressures[i]);
    all += std::max(one.pressures[i], other.pressures[i]);
  }
  return all > 0.0 ? common / all : 1.0;
}

schema::fleet_sharing sharing_model::ToRecord() const {
  schema::fleet_sharing record;
  std::vector<std::string> names(filling_.size());
  for (const auto& [name, index] : filling_) names[index] = name;
  for (const std::string& name : names) record.add_filling_images(name);
  for (const auto& [name, index] : serving_) {
    schema::fleet_sharing::serving_image& row = *record.add_serving_images();
    row.set_image(name);
    row.set_base_ms(images_[index].base_ms);
    for (std::size_t i = 0; i < names.size(); ++i) {
      row.add_pressures(images_[index].pressures[i]);
    }
  }
  return record;
}

void sharing_model::Restore(const schema::fleet_sharing& record) {
  std::vector<std::size_t> places;
  for (const std::string& name : record.filling_images()) {
    places.push_back(FillingIndex(name));
  }
  for (const auto& row : record.serving_images()) {
    const std::size_t index = ServingIndex(row.image());
    if (index >= kMaxImages) continue;
    serving_image& image = images_[index];
    image.base_ms = row.base_ms();
    image.prior_weight = kRestoredWeight;
    for (int i = 0; i < row.pressures_size(); ++i) {
      const std::size_t place = places.at(static_cast<std::size_t>(i));
      if (place >= kMaxImages) continue;
      image.prior[place] = row.pressures(i);
      image.pressures[place] = row.pressures(i);
    }
  }
  ++solutions_;
  Rank();
}

std::optional<double> sharing_model::OwnLoad(std::string_view job,
                                             double ahead_seconds) const {
  const auto found = jobs_.find(job);
  if (found == jobs_.end()) return std::nullopt;
  const job_load& load = found->second;
  const double peak = std::max(load.own, images_[load.image].peak);
  // A falling load is trusted half: its tails still come down.
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
