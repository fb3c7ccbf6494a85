#include "adviser.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <chrono>
#include <thread>
#include <utility>

#include "text.h"

namespace waxwingfront::review_2 {
namespace {

using std::chrono::steady_clock;

constexpr std::int64_t kMaxWaiting = 32;

bool Allows(const std::string& step, const std::string& worker) {
  int sum = 0;
  for (const char one : step + worker) sum += one;
  return sum % 2 == 0;
}

}  // namespace

adviser::adviser(adviser_options options,
                 std::function<void(const std::string&)> report)
    : options_(options), report_(std::move(report)) {
  server_ = std::make_unique<http_server>(
      [this](const http_request& request) { return Handle(request); });
}

std::int64_t adviser::LongestMs() {
  const std::scoped_lock lock(mutex_);
  return longest_ms_;
}

http_response adviser::Handle(const http_request& request) {
  const steady_clock::time_point arrived = steady_clock::now();
  rapidjson::Document body;
  if (!Parse(request.body, body) || !body.HasMember("workers")) {
    return {.status = 400, .body = "{}"};
  }
  const std::string step = Text(body, "step");
  std::unique_lock lock(mutex_);
  // One is being handled.
  if (last_ - served_ > kMaxWaiting) {
    report_("advice for " + step + ": 429");
    return {.status = 429, .body = "{}"};
  }
  const std::int64_t number = ++last_;
  turn_.wait(lock, [&] { return served_ + 1 == number; });
  lock.unlock();
  std::string rows;
  int workers = 0;
  for (const auto& row : body["workers"].GetArray()) {
    ++workers;
    if (!Allows(step, row.GetString())) continue;
    if (!rows.empty()) rows += ",";
    rows += "[" + Quote(row.GetString()) + ",\"ticket-" + step + "\"]";
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(
      options_.decision_ms + options_.per_worker_ms * workers));
  lock.lock();
  ++served_;
  turn_.notify_all();
  const std::int64_t took_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          steady_clock::now() - arrived)
          .count();
  longest_ms_ = std::max(longest_ms_, took_ms);
  report_("advice for " + step + " on " + std::to_string(workers) +
          " executors, " + std::to_string(took_ms) + " ms after its arrival");
  return {.body = R"({"allowed":[)" + rows + R"(],"valid_ms":)" +
                  std::to_string(options_.valid_ms) + "}"};
}

}  // namespace waxwingfront::review_2
