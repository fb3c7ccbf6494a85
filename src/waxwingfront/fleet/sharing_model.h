// Learns how much filling tasks of each image disturb serving tasks of each
// image, from the latency tails that executors report.
#ifndef WAXWINGFRONT_FLEET_SHARING_MODEL_H_
#define WAXWINGFRONT_FLEET_SHARING_MODEL_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/schema/gen/fleet.pb.h"

namespace waxwingfront::fleet {

// Latency tails grow like those of a queue, base / (1 - utilisation). The model
// works on the utilisation that a tail stands for: there, what disturbs adds
// up.
//
//   utilisation = own load of the job
//                 + sum over filling tasks of pressure[serving][filling] *
//                 cores
//
// Which filling images press depends on the serving image: they meet on
// different resources. All serving tasks of a job have the same own load, so
// the median of what is left of each after its disturbance shows it. Cores are
// those of a machine of `kReferenceMillis`. What was learnt fades: images
// change.
class sharing_model {
 public:
  static constexpr double kReferenceMillis = 32'000.0;

  struct filling_use {
    std::string_view image;
    // Processor thousandths in use.
    double cpu_millis = 0.0;
  };
  struct serving_tail {
    // Job whose tasks share their users' load, and the task within it.
    std::string_view job;
    std::uint32_t index = 0;
    std::string_view image;
    double tail_ms = 0.0;
  };

  // Takes in one executor's report.
  void Observe(std::string_view executor, double capacity_millis,
               std::span<const filling_use> filling,
               std::span<const serving_tail> serving, core::monotonic_time now);

  void RemoveExecutor(std::string_view executor);

  // Utilisation that one core of the filling image adds to a task of the
  // serving image.
  double Pressure(std::string_view serving_image,
                  std::string_view filling_image) const;

  // The same by the numbers of the images, which stay; the prior for
  // `kUnknownImage`.
  static constexpr std::size_t kUnknownImage = 1'000'000;
  double PressureAt(std::size_t serving, std::size_t filling) const;
  std::size_t FindServing(std::string_view image) const;
  std::size_t FindFilling(std::string_view image) const;
  // How many times the pressures have been worked out.
  std::uint64_t Solved() const { return solutions_; }

  // How much the filling image presses serving images on average, and how much
  // the serving image is pressed by filling ones, as shares of the most that is
  // known of any image; 1 for images that are not known yet.
  double Heaviness(std::string_view filling_image) const;
  double Sensitivity(std::string_view serving_image) const;

  // How alike two serving images are in what presses them, from 0 to 1; 0 for
  // different images before there were reports.
  double Similarity(std::string_view left, std::string_view right) const;

  // What a later leader starts from.
  schema::fleet_sharing ToRecord() const;
  void Restore(const schema::fleet_sharing& record);

  // Utilisation that `tail_ms` stands for, from 0 to 1.
  double Utilisation(std::string_view serving_image, double tail_ms) const;

  // Own load of a job's serving tasks, and the highest that is to be expected
  // within `ahead_seconds`; nothing before there were reports.
  std::optional<double> OwnLoad(std::string_view job,
                                double ahead_seconds) const;

 private:
  struct serving_image {
    // Tail at no load.
    double base_ms = 0.0;
    // Highest own load of late.
    double peak = 0.0;
    // For each filling image.
    std::vector<double> pressures;
    // What the pressures are taken to be without reports, and its weight in
    // cores squared.
    std::vector<double> prior;
    double prior_weight = 0.0;
    // Normal equations of the regression of disturbances on cores in use, with
    // a constant term last.
    std::vector<std::vector<double>> normal;
    std::vector<double> right;
  };
  // Images beyond this number share the prior: the regression stays small.
  static constexpr std::size_t kMaxImages = 32;
  // Place of the constant term in the regression.
  static constexpr std::size_t kIntercept = kMaxImages;
  // For each filling image.
  using image_cores = std::array<double, kMaxImages>;

  struct task_load {
    core::monotonic_time at;
    double own = 0.0;
    // Number of its executor.
    std::uint64_t executor = 0;
    double utilisation = 0.0;
    // Cores of filling images in use beside it.
    image_cores cores{};
  };
  struct dated_load {
    core::monotonic_time at;
    double own = 0.0;
  };
  struct job_load {
    std::size_t image = 0;
    std::map<std::uint32_t, task_load> tasks;
    double own = 0.0;
    // The tasks are on several executors.
    bool spread = false;
    // Own load a second, positive while it rises.
    double slope = 0.0;
    std::deque<dated_load> history;
  };
  struct executor_use {
    // Never given twice.
    std::uint64_t number = 0;
    core::monotonic_time at;
    // Cores in use for each filling image, smoothed like the tails are.
    image_cores cores{};
  };

  std::size_t FillingIndex(std::string_view image);
  std::size_t ServingIndex(std::string_view image);
  executor_use& TakeUse(std::string_view executor, double capacity_millis,
                        std::span<const filling_use> filling,
                        core::monotonic_time now);
  void UpdateOwnLoad(job_load& job, core::monotonic_time now);
  // Learns from one task's report, and its report before. Tasks of a spread job
  // are compared with their job; else only changes within a short time tell
  // disturbances from the own load, which changes slowly.
  static void Compare(serving_image& image, const job_load& job,
                      const task_load& before, const task_load& now);
  static void AddRow(const image_cores& cores, serving_image& image,
                     double disturbance, double constant);
  static double Disturbance(const image_cores& cores,
                            const serving_image& image);
  void Solve(core::monotonic_time now);
  static void SolveImage(serving_image& image, std::size_t filling);
  // Works out heaviness and sensitivity from the pressures.
  void Rank();

  std::map<std::string, std::size_t, std::less<>> filling_;
  std::map<std::string, std::size_t, std::less<>> serving_;
  std::vector<serving_image> images_;
  std::vector<double> heaviness_;
  std::vector<double> sensitivity_;
  std::map<std::string, executor_use, std::less<>> uses_;
  std::uint64_t executors_ = 0;
  std::map<std::string, job_load, std::less<>> jobs_;
  core::monotonic_time solved_{};
  std::uint64_t solutions_ = 0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_SHARING_MODEL_H_
