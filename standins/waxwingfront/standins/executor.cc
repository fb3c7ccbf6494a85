#include "waxwingfront/standins/executor.h"

#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

#include "waxwingfront/net/http_status.h"

namespace waxwingfront::standins {
namespace {

std::string Header(const http_call& call, const std::string& name) {
  const auto found = call.headers.find(name);
  return found == call.headers.end() ? "" : found->second;
}

}  // namespace

executor::executor(std::string id, int slots)
    : id_(std::move(id)), slots_(slots) {}

http_response executor::Handle(const http_call& call) {
  if (call.path == "/journal") {
    const std::lock_guard lock(mutex_);
    return {.body = journal_};
  }
  if (call.path == "/refused") return {.body = std::to_string(rejected_)};
  if (active_requests_.fetch_add(1) >= slots_) {
    --active_requests_;
    ++rejected_;
    return {.status = net::kHttpServiceUnavailable,
            .headers = {{"Waxwingfront-Not-Started", "1"}}};
  }
  {
    const std::lock_guard lock(mutex_);
    journal_ += Header(call, "test-id") + "\n";
  }
  const int delay_ms = std::atoi(Header(call, "test-delay-ms").c_str());
  std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
  --active_requests_;
  return {.body = id_ + " " + call.method + " " + call.path + " " + call.body,
          .drop = Header(call, "test-drop") == "1"};
}

}  // namespace waxwingfront::standins
