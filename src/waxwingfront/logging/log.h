// Log lines: "<part>: <words>", written by glog. glog's macros stay out of this
// header because its `CHECK` collides with that of the test library.
#ifndef WAXWINGFRONT_LOGGING_LOG_H_
#define WAXWINGFRONT_LOGGING_LOG_H_

#include <sstream>
#include <string_view>

namespace waxwingfront::logging {

enum class level { kInfo, kWarning, kError };

// Starts logging to standard error. Call once, before threads start.
void Start(level lowest);

// Writes one line. `part` is the module's fixed prefix. Bytes outside printable
// ASCII are written as \xNN, so that a caller's text cannot forge a line.
void Write(level severity, std::string_view part, std::string_view sentence);

template <typename... Words>
void Log(level severity, std::string_view part, const Words&... words) {
  std::ostringstream sentence;
  (sentence << ... << words);
  Write(severity, part, sentence.str());
}

template <typename... Words>
void Info(std::string_view part, const Words&... words) {
  Log(level::kInfo, part, words...);
}

template <typename... Words>
void Warning(std::string_view part, const Words&... words) {
  Log(level::kWarning, part, words...);
}

template <typename... Words>
void Error(std::string_view part, const Words&... words) {
  Log(level::kError, part, words...);
}

}  // namespace waxwingfront::logging

#endif  // WAXWINGFRONT_LOGGING_LOG_H_
