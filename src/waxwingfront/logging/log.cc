#include "waxwingfront/logging/log.h"

#include <glog/logging.h>

#include <mutex>

#include "waxwingfront/core/text.h"

namespace waxwingfront::logging {
namespace {

// Limits the length of a line, since it may contain text from a caller.
constexpr std::size_t kMaxLineBytes = 2000;

int Severity(level severity) {
  switch (severity) {
    case level::kInfo:
      return google::GLOG_INFO;
    case level::kWarning:
      return google::GLOG_WARNING;
    case level::kError:
      return google::GLOG_ERROR;
  }
  return google::GLOG_ERROR;
}

}  // namespace

void Start(level min_level) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = Severity(min_level);
  google::InitGoogleLogging("waxwingfront");
}

void Write(level severity, std::string_view module, std::string_view message) {
  // glog converts each line's time with tzset, whose lock inside the C library
  // is not visible to the thread sanitizer.
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  // The source location would always be this file, so the module's name is
  // logged in its place.
  google::LogMessage(module.data(), 0, Severity(severity)).stream()
      << module << ": " << core::Printable(message, kMaxLineBytes);
}

}  // namespace waxwingfront::logging
