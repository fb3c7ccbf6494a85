// Structured event log: one JSON object per line, on standard output.
#ifndef WAXWINGFRONT_LOGGING_EVENT_LOG_H_
#define WAXWINGFRONT_LOGGING_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::logging {

enum class line_priority {
  kOrdinary,
  // Interrupted long-running tasks and leases, whose lines ordinary ones must
  // not displace.
  kUrgent,
};

struct event_log_options {
  // Limit on buffered output. Lines beyond it are dropped and counted.
  std::size_t max_buffer_bytes = 256 * 1024;
  // Further buffer that only urgent lines use.
  std::size_t urgent_buffer_bytes = 128 * 1024;
  // Rate limit per event name; lines beyond it are dropped and counted. The
  // default is twice the number of starts in the busiest recorded second and
  // bounds the output to 80 KB/s per event name.
  int max_lines_per_second = 400;
  // The same for the urgent lines of an event, which have a budget of their
  // own. Bounds their output to 200 KB/s per event name.
  int max_urgent_lines_per_second = 1000;
  int descriptor = 1;
};

// A named value of an event.
struct event_field {
  std::string_view name;
  std::variant<std::int64_t, std::string_view> value;
};

// Never blocks: if the reader stalls, lines are dropped. The next flush writes
// a `log_dropped` line for each event that has lost some. Not thread-safe.
class event_log {
 public:
  explicit event_log(event_log_options options) : options_(options) {}

  // Called with the name of each event, including those whose line is dropped,
  // to maintain counters.
  std::function<void(std::string_view event)> on_event;

  // Called before and after each line or flush, to measure what it takes.
  // Optional.
  std::function<void()> on_work_begin;
  std::function<void()> on_work_end;

  // Sets the node name that each line carries.
  void SetNode(std::string_view name) { node_ = name; }

  void Write(std::string_view event, std::initializer_list<event_field> fields,
             line_priority priority = line_priority::kOrdinary);
  void Write(std::string_view event, std::span<const event_field> fields,
             line_priority priority = line_priority::kOrdinary);

  // Writes as many buffered lines as the reader accepts without blocking. Must
  // be called several times per second.
  void Flush();

  std::uint64_t Dropped() const { return dropped_total_; }

 private:
  struct event_usage {
    std::int64_t second = 0;
    int lines = 0;
    int urgent_lines = 0;
    // Since the last report.
    std::int64_t dropped = 0;
    std::int64_t dropped_urgent = 0;
  };

  event_usage& UsageOf(std::string_view event);
  bool Admit(event_usage& used, bool urgent) const;
  void ReportDrops();
  void Append(std::string_view event, std::span<const event_field> fields);

  event_log_options options_;
  std::string node_;
  std::string buffer_;
  std::map<std::string, event_usage, std::less<>> usage_;
  // Some drops have not been reported yet.
  bool drops_pending_ = false;
  std::uint64_t dropped_total_ = 0;
};

}  // namespace waxwingfront::logging

#endif  // WAXWINGFRONT_LOGGING_EVENT_LOG_H_
