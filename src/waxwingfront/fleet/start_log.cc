#include "waxwingfront/fleet/start_log.h"

#include <chrono>
#include <cstdint>

#include "waxwingfront/fleet/run_outcome.h"

namespace waxwingfront::fleet {
namespace {

logging::line_priority PriorityOf(const start_order& order) {
  return order.long_running ? logging::line_priority::kUrgent
                            : logging::line_priority::kOrdinary;
}

}  // namespace

void LogHeldBack(logging::event_log& log, const start_order& order,
                 start_outcome outcome, core::monotonic_time now) {
  const auto waited =
      std::chrono::duration_cast<core::milliseconds>(now - order.placed_at);
  log.Write("start_held_back",
            {{"job", order.task.job},
             {"step", std::int64_t{order.task.step}},
             {"task", std::int64_t{order.task.index}},
             {"run", std::int64_t{order.run}},
             {"executor", order.executor},
             {"outcome", OutcomeName(outcome)},
             {"waited_ms", std::int64_t{waited.count()}}},
            PriorityOf(order));
}

void LogNotConfirmed(logging::event_log& log, const start_order& order,
                     start_outcome outcome, core::monotonic_time sent,
                     core::monotonic_time now) {
  const auto took = std::chrono::duration_cast<core::milliseconds>(now - sent);
  log.Write("start_not_confirmed",
            {{"job", order.task.job},
             {"step", std::int64_t{order.task.step}},
             {"task", std::int64_t{order.task.index}},
             {"run", std::int64_t{order.run}},
             {"executor", order.executor},
             {"outcome", OutcomeName(outcome)},
             {"took_ms", std::int64_t{took.count()}}},
            PriorityOf(order));
}

}  // namespace waxwingfront::fleet
