#include "adviser.h"

#include <rapidjson/document.h>

#include <chrono>
#include <thread>
#include <utility>

#include "text.h"

namespace waxwingfront::review_2 {
namespace {

constexpr std::int64_t kMaxWaiting = 32;

}  // namespace

adviser::adviser(adviser_options options,
                 std::function<void(const std::string&)> report)
    : options_(options), report_(std::move(report)) {
  server_ = std::make_unique<http_server>(
      [this](const http_request& request) { return Handle(request); });
}

http_response adviser::Handle(const http_request& request) {
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
    if (!rows.empty()) rows += ",";
    rows += "[" + Quote(row.GetString()) + ",\"ticket-" + step + "\"]";
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(
      options_.decision_ms + options_.per_worker_ms * workers));
  lock.lock();
  ++served_;
  turn_.notify_all();
  report_("advice for " + step + " on " + std::to_string(workers) +
          " executors");
  return {.body = R"({"allowed":[)" + rows + R"(],"valid_ms":)" +
                  std::to_string(options_.valid_ms) + "}"};
}

}  // namespace waxwingfront::review_2
