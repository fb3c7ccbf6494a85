#include "executor.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <cmath>
#include <thread>
#include <utility>
#include <vector>

#include "text.h"

namespace waxwingfront::review_2 {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kFirstClockMs = 1000;
constexpr std::int64_t kMaxWaitMs = 2000;
constexpr std::size_t kMaxEnds = 500;
constexpr milliseconds kTick{10};
constexpr milliseconds kHeartbeat{1500};
constexpr int kSilentHeartbeats = 3;
constexpr int kWhole = 100;
// A task that lasts is at work after this time.
constexpr milliseconds kStartup{320};
constexpr double kMaxUtilisation = 0.97;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

executor::executor(store& platform, executor_options options,
                   std::function<void(const run_event&)> report)
    : platform_(platform),
      options_(std::move(options)),
      report_(std::move(report)),
      born_ms_(UnixMs()) {
  server_ = std::make_unique<http_server>(
      [this](const http_request& request) { return Handle(request); });
  std::thread([this] { Work(); }).detach();
}

void executor::Crash() {
  const std::scoped_lock lock(mutex_);
  up_ = false;
  for (const auto& [task, run] : running_) {
    report_({.what = "gone",
             .task = task,
             .run = run.run,
             .executor = options_.id,
             .detail = {}});
  }
  running_.clear();
  changed_.notify_all();
}

std::size_t executor::Running() {
  const std::scoped_lock lock(mutex_);
  return running_.size();
}

bool executor::IsUp() {
  const std::scoped_lock lock(mutex_);
  return up_;
}

std::int64_t executor::FreeCpu() {
  const std::scoped_lock lock(mutex_);
  return up_ ? options_.cpu - UsedCpu() : 0;
}

std::int64_t executor::ClockMs() const {
  return kFirstClockMs +
         std::chrono::duration_cast<milliseconds>(clock::now() - started_)
             .count();
}

std::int64_t executor::UsedCpu() const {
  double used = 0;
  for (const auto& [task, run] : running_) used += Word(run.spec, "cpu", 0);
  return static_cast<std::int64_t>(used);
}

// The tail latency of a serving task, or the thousandths of a core in use.
std::int64_t executor::LoadOf(const live_run& run) const {
  constexpr double kMillisPerCore = 1000;
  const double base_ms = Word(run.spec, "base", 0);
  if (base_ms <= 0) {
    return std::llround(Word(run.spec, "cores", 0) * kMillisPerCore * run.pace /
                        kWhole);
  }
  double utilisation = Word(run.spec, "own", 0);
  for (const auto& [task, other] : running_) {
    utilisation += Word(other.spec, "cores", 0) * Word(other.spec, "press", 0) *
                   other.pace / kWhole;
  }
  return std::llround(base_ms / (1 - std::min(utilisation, kMaxUtilisation)));
}

http_response executor::Accept() const {
  return {.body = R"({"clock_ms":)" + std::to_string(ClockMs()) +
                  R"(,"born":)" + std::to_string(born_ms_) + "}"};
}

http_response executor::Refuse(const std::string& reason) const {
  return {.status = 409,
          .body = R"({"clock_ms":)" + std::to_string(ClockMs()) +
                  R"(,"reason":")" + reason + "\"}"};
}

bool executor::IsFenced(std::int64_t token) {
  if (token < token_) return true;
  token_ = token;
  return false;
}

void executor::Extend(std::int64_t deadline_ms) {
  lease_end_ms_ = std::max(
      lease_end_ms_, std::min(deadline_ms, ClockMs() + options_.max_hold_ms));
}

http_response executor::Handle(const http_request& request) {
  std::unique_lock lock(mutex_);
  if (!up_) {
    // A lost machine does not respond.
    changed_.wait(lock, [] { return false; });
  }
  const auto instance = request.headers.find("expected-instance");
  if (instance != request.headers.end() && instance->second != options_.id) {
    return {.status = 421, .body = "{}"};
  }
  if (request.path == "/run-start") return Start(request.body);
  if (request.path == "/run-stop") return Stop(request.body);
  if (request.path == "/pace") return Pace(request.body);
  if (request.path == "/hold") return Hold(request.body, lock);
  return {.status = request.path == "/health" ? 200 : 404, .body = "{}"};
}

http_response executor::Start(const std::string& text) {
  rapidjson::Document body;
  if (!Parse(text, body)) return {.status = 400, .body = "{}"};
  if (IsFenced(Number(body, "fencing_token"))) return Refuse("fence");
  const std::string task = Text(body, "task");
  const std::int64_t run = Number(body, "run");
  const auto here = running_.find(task);
  if (here != running_.end() && here->second.run == run) return Accept();
  const std::int64_t deadline_ms = Number(body, "deadline_ms");
  if (deadline_ms <= ClockMs()) return Refuse("late");
  Extend(deadline_ms);
  const auto ended = highest_ended_.find(task);
  if (here != running_.end() ||
      (ended != highest_ended_.end() && run <= ended->second)) {
    return Refuse("old");
  }
  if (options_.needs_ticket && Text(body, "ticket").empty()) {
    return Refuse("ticket");
  }
  const std::string spec = Text(body, "spec");
  if (UsedCpu() + static_cast<std::int64_t>(Word(spec, "cpu", 0)) >
      options_.cpu) {
    return Refuse("room");
  }
  running_[task] = {.run = run,
                    .spec = spec,
                    .left_ms = Word(spec, "ms", 0),
                    .lasts = Word(spec, "lasts", 0) > 0,
                    .pace = kWhole,
                    .begun = clock::now()};
  report_({.what = "begun",
           .task = task,
           .run = run,
           .executor = options_.id,
           .detail = {}});
  return Accept();
}

http_response executor::Stop(const std::string& text) {
  rapidjson::Document body;
  if (!Parse(text, body)) return {.status = 400, .body = "{}"};
  if (IsFenced(Number(body, "fencing_token"))) return Refuse("fence");
  const std::string task = Text(body, "task");
  const std::int64_t run = Number(body, "run");
  const auto here = running_.find(task);
  if (here != running_.end() && here->second.run == run) {
    End(task, "stopped");
  } else {
    highest_ended_[task] = std::max(highest_ended_[task], run);
  }
  return Accept();
}

http_response executor::Pace(const std::string& text) {
  rapidjson::Document body;
  if (!Parse(text, body)) return {.status = 400, .body = "{}"};
  if (IsFenced(Number(body, "fencing_token"))) return Refuse("fence");
  const auto here = running_.find(Text(body, "task"));
  if (here != running_.end() && here->second.run == Number(body, "run")) {
    here->second.pace = static_cast<int>(
        std::clamp<std::int64_t>(Number(body, "percent"), 0, kWhole));
  }
  return Accept();
}

http_response executor::Hold(const std::string& text,
                             std::unique_lock<std::mutex>& lock) {
  rapidjson::Document body;
  if (!Parse(text, body)) return {.status = 400, .body = "{}"};
  if (IsFenced(Number(body, "fencing_token"))) return Refuse("fence");
  const std::int64_t seen = Number(body, "last_seen");
  while (!ended_.empty() && ended_.front().number <= seen) {
    const ended_run& end = ended_.front();
    report_({.what = "seen",
             .task = end.task,
             .run = end.run,
             .executor = options_.id,
             .detail = end.how});
    ended_.pop_front();
  }
  if (body.HasMember("deadline_ms")) Extend(Number(body, "deadline_ms"));
  const milliseconds wait(
      std::clamp<std::int64_t>(Number(body, "wait_ms"), 0, kMaxWaitMs));
  changed_.wait_for(lock, wait, [this] { return !up_ || !ended_.empty(); });
  if (!up_) changed_.wait(lock, [] { return false; });
  return {.body = Lists()};
}

std::string executor::Lists() const {
  std::string running;
  for (const auto& [task, run] : running_) {
    const double whole = Word(run.spec, "ms", 1);
    const bool works = clock::now() - run.begun >= kStartup;
    const int percent =
        run.lasts ? (works ? kWhole : 0)
                  : static_cast<int>(kWhole * (1 - run.left_ms / whole));
    if (!running.empty()) running += ",";
    running += "[\"" + task + "\"," + std::to_string(run.run) + ",\"\"," +
               std::to_string(percent) + "," + std::to_string(LoadOf(run)) +
               "]";
  }
  std::string ended;
  for (std::size_t i = 0; i < std::min(ended_.size(), kMaxEnds); ++i) {
    const ended_run& end = ended_[i];
    if (!ended.empty()) ended += ",";
    ended += "[" + std::to_string(end.number) + ",\"" + end.task + "\"," +
             std::to_string(end.run) + ",\"" + end.how + "\",\"\"]";
  }
  return R"({"clock_ms":)" + std::to_string(ClockMs()) + R"(,"born":)" +
         std::to_string(born_ms_) + R"(,"running":[)" + running +
         R"(],"finished":[)" + ended + "]}";
}

std::string executor::Entry() const {
  return R"({"service":")" + options_.service + R"(","address":")" +
         server_->Address() +
         R"(","zone":"z1","version":"v1","slots":8,"state":"ready",)"
         R"("cold_remaining_ms":0,"capacity":{"cpu":)" +
         std::to_string(options_.cpu) + R"(,"memory_request_mb":)" +
         std::to_string(options_.memory_mb) + R"(,"gpu":0},"labels":[")" +
         options_.kind + R"(",")" + options_.rack + R"("],"clock_ms":)" +
         std::to_string(ClockMs()) + R"(,"born":)" + std::to_string(born_ms_) +
         R"(,"sequence":)" + std::to_string(sequence_) + "}";
}

void executor::End(const std::string& task, const std::string& how) {
  const auto found = running_.find(task);
  const std::int64_t run = found->second.run;
  running_.erase(found);
  highest_ended_[task] = std::max(highest_ended_[task], run);
  ended_.push_back({++last_number_, task, run, how});
  report_({.what = how,
           .task = task,
           .run = run,
           .executor = options_.id,
           .detail = {}});
  changed_.notify_all();
}

void executor::Advance(double elapsed_ms) {
  const bool lapsed = ClockMs() >= lease_end_ms_;
  std::vector<std::pair<std::string, std::string>> over;
  for (auto& [task, run] : running_) {
    run.left_ms -= elapsed_ms * run.pace / kWhole;
    if (!run.lasts && run.left_ms <= 0) {
      over.emplace_back(task, "done");
    } else if (lapsed) {
      over.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : over) End(task, how);
}

void executor::Work() {
  const std::string key = "servers/" + options_.id;
  clock::time_point last = clock::now();
  while (true) {
    std::this_thread::sleep_for(kTick);
    const std::scoped_lock lock(mutex_);
    const clock::time_point now = clock::now();
    const std::chrono::duration<double, std::milli> elapsed = now - last;
    last = now;
    if (!up_) {
      if (listed_ && now - last_beat_ > kSilentHeartbeats * kHeartbeat) {
        platform_.Remove(key);
        listed_ = false;
      }
      continue;
    }
    if (!listed_ || now - last_beat_ >= kHeartbeat) {
      ++sequence_;
      platform_.Put(key, Entry());
      listed_ = true;
      last_beat_ = now;
    }
    Advance(elapsed.count());
  }
}

}  // namespace waxwingfront::review_2
