// Processor time of the event loop's thread, divided by kind of work.
#ifndef WAXWINGFRONT_FLEET_PROCESSOR_STAGES_H_
#define WAXWINGFRONT_FLEET_PROCESSOR_STAGES_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace waxwingfront::fleet {

enum class processor_stage {
  // All work without a stage of its own: sockets and HTTP, timers, elections.
  kOther,
  // Ranking jobs, and the rest of a planning round without the next two.
  kRound,
  // Comparing executors and placing tasks.
  kVisits,
  kReserve,
  // Sending the starts that were decided together.
  kStarts,
  kStartResponse,
  // Stops, changes of pace and requests for advice, with their responses.
  kOtherOrders,
  kHold,
  kReportDecode,
  kReport,
  // Making and encoding records, and sending them.
  kStoreWrite,
  kStoreResponse,
  // Responses to reads and watches.
  kStoreRead,
  kLogging,
  kCallers,
  // Calls of other processes, with those of their callers.
  kProcesses,
  kTick,
};
inline constexpr std::size_t kProcessorStages = 17;

// Returns the stage's name in metrics and log lines.
std::string_view StageName(processor_stage stage);

// Returns the processor time that the calling thread has used.
std::chrono::nanoseconds ThreadProcessorTime();

struct processor_usage {
  // Number of times that the stage was entered from another one.
  std::uint64_t count = 0;
  // Without the time of stages that were entered within it.
  std::chrono::nanoseconds time{};
};

// Reads the clock twice for each `processor_scope`. Not thread-safe.
class processor_stages {
 public:
  using clock = std::function<std::chrono::nanoseconds()>;
  using usages = std::array<processor_usage, kProcessorStages>;

  explicit processor_stages(clock thread_time = ThreadProcessorTime);
  processor_stages(const processor_stages&) = delete;
  processor_stages& operator=(const processor_stages&) = delete;

  // Returns the usage of each stage since the construction.
  const usages& Totals();

 private:
  friend class processor_scope;

  processor_usage& UsageOf(processor_stage stage) {
    return usages_[static_cast<std::size_t>(stage)];
  }
  // Adds the time since the last change of stage to the current one.
  void Charge();
  void Enter(processor_stage stage);

  clock clock_;
  std::chrono::nanoseconds charged_until_;
  processor_stage current_ = processor_stage::kOther;
  usages usages_{};
};

// Measures the work of a stage as long as it exists. Scopes may be nested.
class processor_scope {
 public:
  // Without `stages`, which must outlive the scope, it has no effect.
  processor_scope(processor_stages* stages, processor_stage stage);
  processor_scope(const processor_scope&) = delete;
  processor_scope& operator=(const processor_scope&) = delete;
  ~processor_scope();

  // Ends the current stage and begins another one, with one reading of the
  // clock.
  void SwitchTo(processor_stage stage);

 private:
  processor_stages* stages_;
  processor_stage outer_ = processor_stage::kOther;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_PROCESSOR_STAGES_H_
