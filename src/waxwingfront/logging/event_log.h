// Structured event log: one JSON object per line, on standard output.
#ifndef WAXWINGFRONT_LOGGING_EVENT_LOG_H_
#define WAXWINGFRONT_LOGGING_EVENT_LOG_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::logging {

struct event_log_options {
  // Limit on buffered output. Lines beyond it are dropped and counted.
  std::size_t max_buffer_bytes = 256 * 1024;
  // Rate limit per event name; lines beyond it are dropped and counted. The
  // default is twice the number of starts in the busiest recorded second and
  // bounds the output to 80 KB/s per event name.
  int max_lines_per_second = 400;
  int descriptor = 1;
};

// A named value of an event.
struct event_field {
  std::string_view name;
  std::variant<std::int64_t, std::string_view> value;
};

// Never blocks: if the reader stalls, lines are dropped and their number is
// reported in the next `log_dropped` line. Not thread-safe.
class event_log {
 public:
  explicit event_log(event_log_options options) : options_(options) {}

  // Called with the name of each event, including those whose line is dropped,
  // to maintain counters.
  std::function<void(std::string_view event)> on_event;

  // Sets the node name that each line carries.
  void SetNode(std::string_view name) { node_ = name; }

  void Write(std::string_view event, std::initializer_list<event_field> fields);

  // Writes as many buffered lines as the reader accepts without blocking. Must
  // be called several times per second.
  void Flush();

  std::uint64_t Dropped() const { return dropped_total_; }

 private:
  struct line_rate {
    std::int64_t second = 0;
    int lines = 0;
  };

  bool Admit(std::string_view event, std::int64_t second);
  void Append(std::string_view event,
              std::initializer_list<event_field> fields);

  event_log_options options_;
  std::string node_;
  std::string buffer_;
  std::map<std::string, line_rate, std::less<>> rates_;
  std::uint64_t dropped_ = 0;
  std::uint64_t dropped_total_ = 0;
};

}  // namespace waxwingfront::logging

#endif  // WAXWINGFRONT_LOGGING_EVENT_LOG_H_
