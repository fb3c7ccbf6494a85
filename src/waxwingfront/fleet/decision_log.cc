#include "waxwingfront/fleet/decision_log.h"

#include <optional>

namespace waxwingfront::fleet {
namespace {

logging::line_priority PriorityOf(const task_state& task) {
  return task.Spec().long_running() ? logging::line_priority::kUrgent
                                    : logging::line_priority::kOrdinary;
}

// Minimum time between two tasks whose executors are described.
constexpr core::milliseconds kRoomPeriod{1000};

}  // namespace

void decision_log::Placed(const task_state& task,
                          std::int64_t manifest_version) {
  log_.Write("task_placed",
             {{"job", task.job->Id()},
              {"step", std::int64_t{task.step}},
              {"task", std::int64_t{task.index}},
              {"run", std::int64_t{task.run}},
              {"executor", task.executor},
              {"manifest", manifest_version}},
             PriorityOf(task));
}

void decision_log::Waiting(const task_state& task,
                           const placement_rejections& rejections, moment at) {
  const auto waited = std::chrono::duration_cast<core::milliseconds>(
      at.now - task.waiting_since);
  log_.Write(
      "task_waits",
      {{"job", task.job->Id()},
       {"step", std::int64_t{task.step}},
       {"task", std::int64_t{task.index}},
       {"waited_ms", std::int64_t{waited.count()}},
       {"unusable", std::int64_t{rejections.unusable}},
       {"unusable_with_room", std::int64_t{rejections.unusable_with_room}},
       {"kept", std::int64_t{rejections.reserved}},
       {"no_room", std::int64_t{rejections.no_capacity}},
       {"filled_by_short_tasks",
        std::int64_t{rejections.filled_by_short_tasks}},
       {"not_permitted", std::int64_t{rejections.not_permitted}},
       {"too_costly", std::int64_t{rejections.too_costly}}},
      PriorityOf(task));
}

bool decision_log::RoomDue(const task_state& task, moment at) const {
  return task.Spec().long_running() && at.now - room_logged_ >= kRoomPeriod;
}

void decision_log::Room(const task_state& task,
                        std::span<const executor_room> gaps, moment at) {
  room_logged_ = at.now;
  const core::resources needs = task.Needs();
  for (const executor_room& gap : gaps) {
    log_.Write("executor_room",
               {{"job", task.job->Id()},
                {"step", std::int64_t{task.step}},
                {"task", std::int64_t{task.index}},
                {"executor", gap.executor->info.id},
                {"available", std::int64_t{gap.available ? 1 : 0}},
                {"draining", std::int64_t{gap.executor->info.draining ? 1 : 0}},
                {"cpu_needed", needs.processor_milli},
                {"cpu_free", gap.free.processor_milli},
                {"cpu_long_running", gap.long_running.processor_milli},
                {"cpu_starting", gap.starting.processor_milli},
                {"cpu_ending", gap.ending.processor_milli},
                {"cpu_short", gap.short_tasks.processor_milli},
                {"cpu_reserved", gap.reserved.processor_milli},
                {"memory_needed", needs.memory_mib},
                {"memory_free", gap.free.memory_mib},
                {"memory_long_running", gap.long_running.memory_mib},
                {"memory_starting", gap.starting.memory_mib},
                {"memory_ending", gap.ending.memory_mib},
                {"memory_short", gap.short_tasks.memory_mib},
                {"memory_reserved", gap.reserved.memory_mib}},
               PriorityOf(task));
  }
}

void decision_log::ReserveChanged(const reserve_summary& summary) {
  log_.Write("capacity_reserved",
             {{"interrupted", static_cast<std::int64_t>(summary.interrupted)},
              {"leaving", static_cast<std::int64_t>(summary.leaving)},
              {"reserved", static_cast<std::int64_t>(summary.reserved)},
              {"without_executor",
               static_cast<std::int64_t>(summary.without_executor)}});
}

void decision_log::JobBegun(const job_state& job) {
  const auto since = [&job](std::optional<core::monotonic_time> reached) {
    const auto took = reached.value_or(job.Accepted()) - job.Accepted();
    return std::chrono::duration_cast<core::milliseconds>(took).count();
  };
  const job_milestones& reached = job.milestones;
  log_.Write("job_begun", {{"job", job.Id()},
                           {"queue", job.Spec().queue()},
                           {"stored_ms", since(reached.stored)},
                           {"placed_ms", since(reached.placed)},
                           {"ordered_ms", since(reached.ordered)},
                           {"begun_ms", since(reached.begun)}});
}

void decision_log::JobFinal(const job_state& job) {
  const auto took = std::chrono::duration_cast<core::milliseconds>(
      core::Now() - job.Accepted());
  log_.Write("job_ended", {{"job", job.Id()},
                           {"queue", job.Spec().queue()},
                           {"state", schema::fleet_job_state_Name(job.State())},
                           {"took_ms", std::int64_t{took.count()}}});
}

void decision_log::Moved(const task_state& task, const executor_state& executor,
                         const stop_times& stops, moment at) {
  const core::milliseconds stays =
      executor.StaysFor(at.now).value_or(core::milliseconds(0));
  const core::milliseconds lead = stops.LeadFor(executor.long_running_count);
  log_.Write("task_moved", {{"job", task.job->Id()},
                            {"step", std::int64_t{task.step}},
                            {"task", std::int64_t{task.index}},
                            {"run", std::int64_t{task.run}},
                            {"executor", task.executor},
                            {"pace", std::int64_t{task.pace_percent}},
                            {"stays_ms", std::int64_t{stays.count()}},
                            {"lead_ms", std::int64_t{lead.count()}}});
}

void decision_log::StartDelayed(const start_order& order, moment at) {
  const auto waited =
      std::chrono::duration_cast<core::milliseconds>(at.now - order.placed_at);
  log_.Write("start_delayed",
             {{"job", order.task.job},
              {"step", std::int64_t{order.task.step}},
              {"task", std::int64_t{order.task.index}},
              {"run", std::int64_t{order.run}},
              {"executor", order.executor},
              {"cause", "held_too_long_ago"},
              {"waited_ms", std::int64_t{waited.count()}}},
             order.long_running ? logging::line_priority::kUrgent
                                : logging::line_priority::kOrdinary);
}

void decision_log::RunEnded(const task_state& task, run_outcome outcome) {
  log_.Write("run_over",
             {{"job", task.job->Id()},
              {"step", std::int64_t{task.step}},
              {"task", std::int64_t{task.index}},
              {"run", std::int64_t{task.run}},
              {"executor", task.executor},
              {"percent", std::int64_t{task.percent}},
              {"fate", OutcomeName(outcome)}},
             PriorityOf(task));
}

void decision_log::PermitsVoid(const advice_request& request) {
  log_.Write("permits_void",
             {{"job", request.step.job},
              {"step", std::int64_t{request.step.step}},
              {"asked", static_cast<std::int64_t>(request.executors.size())},
              {"valid_ms", std::int64_t{request.figures.valid.count()}}});
}

}  // namespace waxwingfront::fleet
