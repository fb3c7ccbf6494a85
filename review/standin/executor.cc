#include "executor.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <cstdlib>
#include <thread>
#include <utility>
#include <vector>

namespace waxwingfront::review {
namespace {

// Bounds of the deployment, as its settings give them.
constexpr std::int64_t kMaxHoldMs = 10'000;
constexpr milliseconds kHeartbeat{1500};
constexpr int kSilentHeartbeats = 3;
// Ends in one response.
constexpr std::size_t kMaxEnds = 500;
constexpr milliseconds kTick{5};
// The clock of a boot starts anew.
constexpr std::int64_t kFirstClockMs = 1000;

std::string Word(const std::string& spec, const std::string& name) {
  const std::size_t at = spec.find(name + "=");
  if (at == std::string::npos) return {};
  const std::size_t begin = at + name.size() + 1;
  return spec.substr(begin, spec.find(' ', begin) - begin);
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t Number(const rapidjson::Document& body, const char* name) {
  return body.HasMember(name) ? body[name].GetInt64() : 0;
}

}  // namespace

executor::executor(store& platform, executor_options options,
                   std::function<void(const run_event&)> report)
    : platform_(platform),
      options_(std::move(options)),
      report_(std::move(report)) {
  Reset(options_.kind);
  server_ = std::make_unique<http_server>(
      FreePort(),
      [this](const http_request& request) { return Handle(request); });
  std::thread([this] { Work(); }).detach();
}

void executor::Reset(const std::string& kind) {
  up_ = true;
  kind_ = kind;
  born_ms_ = UnixMs();
  started_ = clock::now();
  next_report_ = started_ + options_.first_report;
  sequence_ = 0;
  token_ = 0;
  lease_end_ms_ = 0;
  last_number_ = 0;
  running_.clear();
  highest_ended_.clear();
  ended_.clear();
}

void executor::Crash() {
  const std::scoped_lock lock(mutex_);
  up_ = false;
  for (const auto& [task, run] : running_) Report("gone", task, run.run);
  running_.clear();
  changed_.notify_all();
}

void executor::Restart(const std::string& kind) {
  const std::scoped_lock lock(mutex_);
  Reset(kind);
}

void executor::Report(const std::string& what, const std::string& task,
                      std::int64_t run, const std::string& detail) const {
  report_({.what = what,
           .task = task,
           .run = run,
           .executor = options_.id,
           .kind = kind_,
           .detail = detail});
}

std::int64_t executor::ClockMs() const {
  return kFirstClockMs +
         std::chrono::duration_cast<milliseconds>(clock::now() - started_)
             .count();
}

std::string executor::Entry() const {
  return R"({"service":")" + options_.service + R"(","address":")" +
         server_->Address() +
         R"(","zone":"z1","version":"v1","slots":8,"state":"ready",)"
         R"("cold_remaining_ms":0,"capacity":{"cpu":32000,)"
         R"("memory_request_mb":128000,"gpu":0},"labels":[")" +
         kind_ + R"(",")" + options_.rack + R"("],"clock_ms":)" +
         std::to_string(ClockMs()) + R"(,"born":)" + std::to_string(born_ms_) +
         R"(,"sequence":)" + std::to_string(sequence_) + "}";
}

void executor::Work() {
  while (true) {
    std::this_thread::sleep_for(kTick);
    const std::scoped_lock lock(mutex_);
    const clock::time_point now = clock::now();
    if (!up_) {
      if (listed_ && now - last_report_ > kSilentHeartbeats * kHeartbeat) {
        platform_.Remove("servers/" + options_.id);
        listed_ = false;
      }
      continue;
    }
    if (now >= next_report_) {
      ++sequence_;
      platform_.Put("servers/" + options_.id, Entry());
      listed_ = true;
      last_report_ = now;
      next_report_ = now + kHeartbeat;
    }
    Advance();
  }
}

void executor::Advance() {
  std::vector<std::pair<std::string, std::string>> over;
  const bool lapsed = ClockMs() >= lease_end_ms_;
  for (const auto& [task, run] : running_) {
    if (run.end <= clock::now()) {
      over.emplace_back(task, run.how);
    } else if (lapsed) {
      over.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : over) End(task, how);
}

void executor::End(const std::string& task, const std::string& how) {
  const auto found = running_.find(task);
  const std::int64_t run = found->second.run;
  running_.erase(found);
  highest_ended_[task] = std::max(highest_ended_[task], run);
  ended_.push_back({++last_number_, task, run, how});
  Report(how, task, run);
  changed_.notify_all();
}

void executor::Extend(std::int64_t deadline_ms) {
  lease_end_ms_ =
      std::max(lease_end_ms_, std::min(deadline_ms, ClockMs() + kMaxHoldMs));
}

http_response executor::Accept() const {
  return {.body = "{\"clock_ms\":" + std::to_string(ClockMs()) +
                  ",\"born\":" + std::to_string(born_ms_) + "}"};
}

http_response executor::Refuse(const std::string& task, std::int64_t run,
                               const std::string& reason) {
  if (!task.empty()) Report("refused", task, run, reason);
  return {.status = 409,
          .body = "{\"clock_ms\":" + std::to_string(ClockMs()) +
                  R"(,"reason":")" + reason + "\"}"};
}

http_response executor::Handle(const http_request& request) {
  std::unique_lock lock(mutex_);
  if (!up_) return {.status = 0};
  if (request.path == "/health") return {.body = "{}"};
  if (!request.expected_instance.empty() &&
      request.expected_instance != options_.id) {
    return {.status = 421, .body = "{}"};
  }
  Advance();
  if (request.path == "/run-start") return Start(request.body);
  if (request.path == "/run-stop") return Stop(request.body);
  if (request.path == "/hold") return Hold(request.body, lock);
  if (request.path == "/pace") return Accept();
  return {.status = 404};
}

http_response executor::Start(const std::string& text) {
  rapidjson::Document body;
  body.Parse(text.data(), text.size());
  if (body.HasParseError()) return {.status = 400};
  const std::string task = body["task"].GetString();
  const std::int64_t run = body["run"].GetInt64();
  const std::int64_t token = Number(body, "fencing_token");
  if (token < token_) return Refuse(task, run, "fence");
  token_ = token;
  const auto here = running_.find(task);
  if (here != running_.end() && here->second.run == run) return Accept();
  const std::int64_t deadline_ms = Number(body, "deadline_ms");
  if (deadline_ms <= ClockMs()) return Refuse(task, run, "late");
  Extend(deadline_ms);
  const auto ended = highest_ended_.find(task);
  if (here != running_.end() ||
      (ended != highest_ended_.end() && run <= ended->second)) {
    return Refuse(task, run, "old");
  }
  if (options_.needs_ticket && !body.HasMember("ticket")) {
    return Refuse(task, run, "ticket");
  }
  const std::string spec = body["spec"].GetString();
  running_[task] = {
      .run = run,
      .end = clock::now() + milliseconds(std::atoll(Word(spec, "ms").c_str())),
      .how = Word(spec, "end")};
  Report("begun", task, run);
  return Accept();
}

http_response executor::Stop(const std::string& text) {
  rapidjson::Document body;
  body.Parse(text.data(), text.size());
  if (body.HasParseError()) return {.status = 400};
  const std::int64_t token = Number(body, "fencing_token");
  if (token < token_) return Refuse("", 0, "fence");
  token_ = token;
  const std::string task = body["task"].GetString();
  const std::int64_t run = body["run"].GetInt64();
  const auto here = running_.find(task);
  if (here != running_.end() && here->second.run == run) {
    End(task, "stopped");
  } else {
    highest_ended_[task] = std::max(highest_ended_[task], run);
  }
  return Accept();
}

http_response executor::Hold(const std::string& text,
                             std::unique_lock<std::mutex>& lock) {
  rapidjson::Document body;
  body.Parse(text.data(), text.size());
  if (body.HasParseError()) return {.status = 400};
  const std::int64_t token = Number(body, "fencing_token");
  if (token < token_) return Refuse("", 0, "fence");
  token_ = token;
  const std::int64_t seen = Number(body, "last_seen");
  while (!ended_.empty() && ended_.front().number <= seen) {
    Report("seen", ended_.front().task, ended_.front().run, ended_.front().how);
    ended_.pop_front();
  }
  if (body.HasMember("deadline_ms")) Extend(body["deadline_ms"].GetInt64());
  const std::int64_t born = born_ms_;
  changed_.wait_for(lock, milliseconds(Number(body, "wait_ms")), [&] {
    return !ended_.empty() || !up_ || born_ms_ != born;
  });
  if (!up_ || born_ms_ != born) return {.status = 0};
  std::string running;
  for (const auto& [task, run] : running_) {
    running += std::string(running.empty() ? "" : ",") + "[\"" + task + "\"," +
               std::to_string(run.run) + ",\"\",50,0]";
  }
  std::string ended;
  for (std::size_t i = 0; i < std::min(ended_.size(), kMaxEnds); ++i) {
    const ended_run& end = ended_[i];
    ended += std::string(ended.empty() ? "" : ",") + "[" +
             std::to_string(end.number) + ",\"" + end.task + "\"," +
             std::to_string(end.run) + ",\"" + end.how + "\",\"\"]";
  }
  return {.body = "{\"clock_ms\":" + std::to_string(ClockMs()) +
                  ",\"born\":" + std::to_string(born_ms_) + ",\"running\":[" +
                  running + "],\"finished\":[" + ended + "]}"};
}

}  // namespace waxwingfront::review
