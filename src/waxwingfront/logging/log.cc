#include "waxwingfront/logging/log.h"

#include <glog/logging.h>

#include <mutex>

#include "waxwingfront/core/text.h"

namespace waxwingfront::logging {
namespace {

// A caller's text may be in a line; it must not fill the log.
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

void Start(level lowest) {
  FLAGS_logtostderr = true;
  FLAGS_minloglevel = Severity(lowest);
  google::InitGoogleLogging("waxwingfront");
}

void Write(level severity, std::string_view part, std::string_view sentence) {
  // glog converts each line's time with tzset, whose lock inside the C library
  // the thread sanitizer does not see.
  static std::mutex mutex;
  const std::lock_guard lock(mutex);
  // The source location would always be this file, so the line carries the
  // part's name instead.
  google::LogMessage(part.data(), 0, Severity(severity)).stream()
      << part << ": " << core::Printable(sentence, kMaxLineBytes);
}

}  // namespace waxwingfront::logging
