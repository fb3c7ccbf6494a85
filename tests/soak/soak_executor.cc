#include "soak/soak_executor.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "soak/job_maker.h"

namespace waxwingfront::soak {
namespace {

using review::http_request;
using review::http_response;

constexpr int kSilentHeartbeats = 3;
constexpr milliseconds kTick{5};
constexpr milliseconds kMaxWait{2000};
// How far apart the births of two boots are at least.
constexpr std::int64_t kBirthStepMs = 1;
const http_response kNoAnswer{.status = 0, .body = {}};

bool IsOrder(const http_request& request) {
  return request.path == "/run-start" || request.path == "/run-stop";
}

milliseconds WaitOf(const std::string& text) {
  rapidjson::Document body;
  body.Parse(text.data(), text.size());
  if (body.HasParseError() || !body.IsObject()) return milliseconds{0};
  const auto found = body.FindMember("wait_ms");
  if (found == body.MemberEnd() || !found->value.IsInt64()) {
    return milliseconds{0};
  }
  return std::min(kMaxWait, milliseconds(found->value.GetInt64()));
}

}  // namespace

soak_executor::soak_executor(
    review::store& platform, soak_executor_options options,
    std::function<void(const review::run_event&)> report)
    : platform_(platform),
      options_(std::move(options)),
      report_(std::move(report)) {
  Boot(options_.common.kind);
  server_ = std::make_unique<review::http_server>(
      review::FreePort(),
      [this](const http_request& request) { return Handle(request); });
  proxy_ = std::make_unique<fault_proxy>(server_->Address());
  std::thread([this] { Work(); }).detach();
}

void soak_executor::Boot(const std::string& kind) {
  const std::int64_t last_born =
      runs_ == nullptr ? 0 : runs_->BornMs() + kBirthStepMs;
  up_ = true;
  ++boot_;
  kind_ = kind;
  sequence_ = 0;
  next_report_ = clock::now() + options_.common.first_report;
  leaves_at_ = clock::time_point::max();
  runs_ = std::make_unique<run_table>(
      run_table_options{.needs_ticket = options_.common.needs_ticket,
                        .max_hold_ms = options_.max_hold_ms,
                        .clock_rate = options_.clock_rate,
                        .slowness = fault_.slowness,
                        .gangs = options_.gangs},
      std::max(UnixMs(), last_born),
      [this](const std::string& what, const std::string& task, std::int64_t run,
             const std::string& detail) {
        report_({.what = what,
                 .task = task,
                 .run = run,
                 .executor = options_.common.id,
                 .kind = kind_,
                 .detail = detail});
      });
  changed_.notify_all();
}

void soak_executor::Set(const executor_fault& fault) {
  const std::scoped_lock lock(mutex_);
  fault_ = fault;
  fault_.start_every = std::max(1, fault.start_every);
  runs_->SetSlowness(fault.slowness);
}

void soak_executor::StepClock(milliseconds step) {
  const std::scoped_lock lock(mutex_);
  runs_->StepClock(step);
}

void soak_executor::Lapse(milliseconds time) {
  const std::scoped_lock lock(mutex_);
  lapsed_until_ = clock::now() + time;
  next_report_ = lapsed_until_;
}

void soak_executor::Crash() {
  {
    const std::scoped_lock lock(mutex_);
    if (!up_) return;
    Leave();
  }
  proxy_->ResetAll();
}

void soak_executor::Leave() {
  up_ = false;
  runs_->Abandon();
  changed_.notify_all();
}

void soak_executor::Restart(const std::string& kind) {
  {
    const std::scoped_lock lock(mutex_);
    if (up_) Leave();
    Boot(kind);
  }
  proxy_->ResetAll();
}

void soak_executor::Drain() {
  const std::scoped_lock lock(mutex_);
  if (!up_ || leaves_at_ != clock::time_point::max()) return;
  leaves_at_ = clock::now() + options_.drain;
  next_report_ = clock::now();
}

bool soak_executor::IsUp() {
  const std::scoped_lock lock(mutex_);
  return up_;
}

std::string soak_executor::Entry() const {
  const bool drains = leaves_at_ != clock::time_point::max();
  const auto remaining = std::chrono::duration_cast<milliseconds>(
      std::max(leaves_at_ - clock::now(), clock::duration::zero()));
  return R"({"service":")" + options_.common.service + R"(","address":")" +
         proxy_->Address() +
         R"(","zone":"z1","version":"v1","slots":8,"state":")" +
         (drains ? "draining" : "ready") +
         R"(","cold_remaining_ms":0,"capacity":{"cpu":)" +
         std::to_string(options_.cpu) +
         R"(,"memory_request_mb":128000,"gpu":0},"labels":[")" + kind_ +
         R"(",")" + options_.common.rack + R"("],"clock_ms":)" +
         std::to_string(runs_->ClockMs()) +
         (drains ? R"(,"remaining_ms":)" + std::to_string(remaining.count())
                 : std::string()) +
         R"(,"born":)" + std::to_string(runs_->BornMs()) + R"(,"sequence":)" +
         std::to_string(sequence_) + "}";
}

void soak_executor::Work() {
  const std::string key = "servers/" + options_.common.id;
  while (true) {
    std::this_thread::sleep_for(kTick);
    const std::scoped_lock lock(mutex_);
    const clock::time_point now = clock::now();
    const bool leaves = up_ && now >= leaves_at_;
    if (leaves) Leave();
    const bool expired =
        now < lapsed_until_ ||
        now - last_report_ > kSilentHeartbeats * options_.heartbeat;
    if (listed_ && (leaves || expired)) {
      platform_.Remove(key);
      listed_ = false;
    }
    if (!up_) continue;
    if (now >= std::max(next_report_, lapsed_until_) && !fault_.unreported) {
      ++sequence_;
      platform_.Put(key, Entry());
      listed_ = true;
      last_report_ = now;
      next_report_ = now + options_.heartbeat;
    }
    runs_->Advance();
    if (runs_->AnyEnded()) changed_.notify_all();
  }
}

http_response soak_executor::Handle(const http_request& request) {
  std::unique_lock lock(mutex_);
  const std::int64_t boot = boot_;
  if (!up_) return kNoAnswer;
  if (IsOrder(request) && fault_.order_delay > milliseconds{0}) {
    const milliseconds delay = fault_.order_delay;
    lock.unlock();
    std::this_thread::sleep_for(delay);
    lock.lock();
  }
  if (!up_ || boot_ != boot) return kNoAnswer;
  const http_response response = Execute(request, lock);
  if (fault_.response_delay > milliseconds{0}) {
    const milliseconds delay = fault_.response_delay;
    lock.unlock();
    std::this_thread::sleep_for(delay);
    lock.lock();
  }
  return up_ && boot_ == boot ? response : kNoAnswer;
}

http_response soak_executor::Execute(const http_request& request,
                                     std::unique_lock<std::mutex>& lock) {
  if (request.path == "/health") return {.body = "{}"};
  if (!request.expected_instance.empty() &&
      request.expected_instance != options_.common.id) {
    return {.status = 421, .body = "{}"};
  }
  runs_->Advance();
  if (request.path == "/run-start") return Start(request);
  if (request.path == "/run-stop") return runs_->Stop(request.body);
  if (request.path == "/hold") return Hold(request, lock);
  if (request.path == "/pace") return runs_->Accept();
  return {.status = 404, .body = "{}"};
}

http_response soak_executor::Start(const http_request& request) {
  const bool odd = ++starts_ % fault_.start_every == 0;
  switch (odd ? fault_.start : odd_answer::kNone) {
    case odd_answer::kUnavailable:
      return {.status = 503, .body = "{}"};
    case odd_answer::kTooMany:
      return {.status = 429, .body = "{}"};
    case odd_answer::kInternalError:
      return {.status = 500, .body = "{}"};
    case odd_answer::kClosed:
      return kNoAnswer;
    case odd_answer::kNoJson:
      runs_->Start(request.body);
      return {.body = "<html>"};
    case odd_answer::kCutOff:
      runs_->Start(request.body);
      return kNoAnswer;
    case odd_answer::kNone:
      break;
  }
  return runs_->Start(request.body);
}

http_response soak_executor::Hold(const http_request& request,
                                  std::unique_lock<std::mutex>& lock) {
  http_response refusal = runs_->Note(request.body);
  if (refusal.status != 200) return refusal;
  const std::int64_t boot = boot_;
  changed_.wait_for(lock, WaitOf(request.body),
                    [&] { return !up_ || boot_ != boot || runs_->AnyEnded(); });
  if (!up_ || boot_ != boot) return kNoAnswer;
  return runs_->Lists();
}

}  // namespace waxwingfront::soak
