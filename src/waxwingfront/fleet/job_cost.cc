#include "waxwingfront/fleet/job_cost.h"

namespace waxwingfront::fleet {
namespace {

// In bytes, rounded up from those that bench/job_memory_bench prints.
constexpr std::size_t kJobBytes = 2048;
constexpr std::size_t kStepBytes = 512;
constexpr std::size_t kTaskBytes = 400;
// The record as read, and the parsed one, which is up to twice as large.
constexpr std::size_t kRecordCopies = 3;

}  // namespace

std::size_t TasksOf(const schema::fleet_job& job) {
  std::size_t tasks = 0;
  for (const schema::fleet_step& step : job.steps()) tasks += step.task_count();
  return tasks;
}

std::size_t RecordCost(const schema::fleet_job& job) {
  return kJobBytes + kRecordCopies * job.ByteSizeLong();
}

std::size_t OccurrenceCost(const schema::fleet_job& job, std::size_t tasks) {
  return static_cast<std::size_t>(job.steps_size()) * kStepBytes +
         tasks * kTaskBytes;
}

}  // namespace waxwingfront::fleet
