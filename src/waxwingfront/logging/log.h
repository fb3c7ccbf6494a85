// Log lines of the form "<module>: <message>", written by glog. glog's macros
// stay out of this header because its `CHECK` collides with that of the test
// library.
#ifndef WAXWINGFRONT_LOGGING_LOG_H_
#define WAXWINGFRONT_LOGGING_LOG_H_

#include <sstream>
#include <string_view>

namespace waxwingfront::logging {

enum class level { kInfo, kWarning, kError };

// Initialises logging to standard error. Must be called once, before any thread
// is started.
void Start(level min_level);

// Writes one line with the prefix `module`, which must be null-terminated.
// Bytes outside printable ASCII are escaped as \xNN, so that text from a caller
// cannot forge a line.
void Write(level severity, std::string_view module, std::string_view message);

template <typename... Args>
void Log(level severity, std::string_view module, const Args&... args) {
  std::ostringstream message;
  (message << ... << args);
  Write(severity, module, message.str());
}

template <typename... Args>
void Info(std::string_view module, const Args&... args) {
  Log(level::kInfo, module, args...);
}

template <typename... Args>
void Warning(std::string_view module, const Args&... args) {
  Log(level::kWarning, module, args...);
}

template <typename... Args>
void Error(std::string_view module, const Args&... args) {
  Log(level::kError, module, args...);
}

}  // namespace waxwingfront::logging

#endif  // WAXWINGFRONT_LOGGING_LOG_H_
