// Estimates how much best-effort tasks of each image interfere with serving
// tasks of each image, from the tail latencies that executors report.
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

// Tail latency grows as in a queue, base / (1 - utilisation). The model
// converts a tail latency to the utilisation that it implies, because
// interference is additive there:
//
//   utilisation = own load of the job
//                 + sum over best-effort tasks of
//                   interference[serving][best-effort] * cores
//
// Which best-effort images interfere depends on the serving image, since they
// contend for different resources. All serving tasks of a job have the same own
// load, so it is estimated as the median of their utilisations less their
// interference. Cores are those of a machine of `kReferenceMillis`. Old samples
// decay, because images change.
class sharing_model {
 public:
  static constexpr double kReferenceMillis = 32'000.0;

  struct best_effort_usage {
    std::string_view image;
    // Processor thousandths in use.
    double cpu_millis = 0.0;
  };
  struct serving_latency {
    // Job whose tasks share its users' load, and the index of the task.
    std::string_view job;
    std::uint32_t index = 0;
    std::string_view image;
    double tail_ms = 0.0;
  };

  // Processes one executor's report.
  void Observe(std::string_view executor, double capacity_millis,
               std::span<const best_effort_usage> best_effort,
               std::span<const serving_latency> serving,
               core::monotonic_time now);

  void RemoveExecutor(std::string_view executor);

  // Returns the utilisation that one core of the best-effort image adds to a
  // task of the serving image.
  double Interference(std::string_view serving_image,
                      std::string_view best_effort_image) const;

  // The same by the indexes of the images, which never change; the prior for
  // `kUnknownImage`.
  static constexpr std::size_t kUnknownImage = 1'000'000;
  double InterferenceAt(std::size_t serving, std::size_t best_effort) const;
  std::size_t FindServing(std::string_view image) const;
  std::size_t FindBestEffort(std::string_view image) const;
  // Returns how many times the interference coefficients were computed.
  std::uint64_t SolveCount() const { return solve_count_; }

  // Return how much the best-effort image interferes with serving images on
  // average, and how much best-effort images interfere with the serving image,
  // relative to the highest value of any known image; 1 for unknown images.
  double Contentiousness(std::string_view best_effort_image) const;
  double Sensitivity(std::string_view serving_image) const;

  // Returns how similar two serving images are in the best-effort images that
  // interfere with them, from 0 to 1; 0 for different images without reports.
  double Similarity(std::string_view left, std::string_view right) const;

  // Saves and restores the model, so that a later leader starts from it, or
  // continues with it if it has processed reports already.
  schema::fleet_sharing ToRecord() const;
  void Restore(const schema::fleet_sharing& record);

  // Returns the utilisation that the tail latency implies, from 0 to 1.
  double Utilisation(std::string_view serving_image, double tail_ms) const;

  // Returns the own load of a job's serving tasks that is expected in
  // `ahead_seconds`; nothing without reports.
  std::optional<double> OwnLoad(std::string_view job,
                                double ahead_seconds) const;

 private:
  struct serving_image {
    // Tail latency without load.
    double base_ms = 0.0;
    // Highest recent own load.
    double peak = 0.0;
    // For each best-effort image.
    std::vector<double> interferences;
    // Coefficients assumed without reports, and their weight in cores squared.
    std::vector<double> prior;
    double prior_weight = 0.0;
    // Normal equations of the regression of interference on cores in use, with
    // the constant term last.
    std::vector<std::vector<double>> normal;
    std::vector<double> right;
  };
  // Images beyond this number use the prior, which keeps the regression small.
  static constexpr std::size_t kMaxImages = 32;
  // Index of the constant term in the regression.
  static constexpr std::size_t kIntercept = kMaxImages;
  // For each best-effort image.
  using image_cores = std::array<double, kMaxImages>;

  struct task_load {
    core::monotonic_time at;
    double own = 0.0;
    // `executor_usage::number` of its executor.
    std::uint64_t executor = 0;
    double utilisation = 0.0;
    // Cores that best-effort images use on the same executor.
    image_cores cores{};
  };
  struct timed_load {
    core::monotonic_time at;
    double own = 0.0;
  };
  struct job_load {
    std::size_t image = 0;
    std::map<std::uint32_t, task_load> tasks;
    double own = 0.0;
    // True if the tasks are on several executors.
    bool spread = false;
    // Change of the own load per second.
    double slope = 0.0;
    std::deque<timed_load> history;
  };
  struct executor_usage {
    // Unique, never reused.
    std::uint64_t number = 0;
    core::monotonic_time at;
    // Cores in use for each best-effort image, smoothed like tail latencies.
    image_cores cores{};
  };

  std::size_t BestEffortIndex(std::string_view image);
  std::size_t ServingIndex(std::string_view image);
  executor_usage& UpdateUsage(std::string_view executor, double capacity_millis,
                              std::span<const best_effort_usage> best_effort,
                              core::monotonic_time now);
  void UpdateOwnLoad(job_load& job, core::monotonic_time now);
  // Adds a sample from a task's report and its previous report. Tasks of a
  // spread job are compared with their job. Otherwise only changes within a
  // short time separate interference from the own load, which changes slowly.
  static void AddSample(serving_image& image, const job_load& job,
                        const task_load& before, const task_load& now);
  static void AddRegressionRow(const image_cores& cores, serving_image& image,
                               double observed, double constant);
  static double TotalInterference(const image_cores& cores,
                                  const serving_image& image);
  void Solve(core::monotonic_time now);
  static void SolveImage(serving_image& image, std::size_t image_count);
  // Computes contentiousness and sensitivity from the coefficients.
  void ComputeRatings();

  std::map<std::string, std::size_t, std::less<>> best_effort_;
  std::map<std::string, std::size_t, std::less<>> serving_;
  std::vector<serving_image> images_;
  std::vector<double> contentiousness_;
  std::vector<double> sensitivity_;
  std::map<std::string, executor_usage, std::less<>> usages_;
  std::uint64_t executors_ = 0;
  std::map<std::string, job_load, std::less<>> jobs_;
  core::monotonic_time solved_at_{};
  std::uint64_t solve_count_ = 0;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_SHARING_MODEL_H_
