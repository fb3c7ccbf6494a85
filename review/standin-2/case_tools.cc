#include "case_tools.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

#include "manifest.h"

namespace waxwingfront::review_2 {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kReadyTime{15'000};
constexpr int kIdDigits = 16;
constexpr int kFirstId = 0xabc000;
constexpr int kCallMs = 3000;
constexpr int kMaxRetries = 4;
constexpr int kRetryPauseMs = 200;
constexpr std::int64_t kWhole = 100;

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

}  // namespace

void job_watch::OnEvent(const run_event& event) {
  const std::int64_t now_ms = log_.NowMs();
  log_.Write(event.executor + ": " + event.task + " run " +
             std::to_string(event.run) + " " + event.what +
             (event.detail.empty() ? "" : " (" + event.detail + ")"));
  if (event.what == "seen") return;
  const std::scoped_lock lock(mutex_);
  job_runs& job = jobs_[JobOf(event.task)];
  change next = job.changes.empty() ? change() : job.changes.back();
  next.at_ms = now_ms;
  if (event.what == "begun") {
    ++job.begun;
    job.last_begun_ms = now_ms;
    ++next.running;
  } else {
    --next.running;
    if (event.what == "done") ++next.done;
  }
  job.changes.push_back(next);
}

std::size_t job_watch::Done(const std::string& job) {
  const std::scoped_lock lock(mutex_);
  const job_runs& runs = jobs_[job];
  return runs.changes.empty() ? 0 : runs.changes.back().done;
}

std::size_t job_watch::Begun(const std::string& job) {
  const std::scoped_lock lock(mutex_);
  return jobs_[job].begun;
}

std::optional<std::int64_t> job_watch::LastBegunMs(const std::string& job) {
  const std::scoped_lock lock(mutex_);
  const job_runs& runs = jobs_[job];
  return runs.begun == 0 ? std::nullopt : std::optional(runs.last_begun_ms);
}

std::int64_t job_watch::LongestPauseMs(const std::string& job,
                                       std::size_t tasks,
                                       std::int64_t from_ms) {
  const std::int64_t now_ms = log_.NowMs();
  const std::scoped_lock lock(mutex_);
  std::int64_t longest = 0;
  change state;
  const auto count = [&](std::int64_t until_ms) {
    if (state.running > 0 || state.done >= tasks) return;
    longest = std::max(longest, until_ms - std::max(from_ms, state.at_ms));
  };
  for (const change& next : jobs_[job].changes) {
    count(next.at_ms);
    state = next;
  }
  count(now_ms);
  return longest;
}

case_site::case_site(record& log, const case_options& options)
    : log_(log),
      platform_(*new store),
      store_server_(*new http_server([this](const http_request& request) {
        return platform_.Handle(request);
      })),
      watch_(log),
      processes_(log, {.processes = options.processes,
                       .store_address = store_server_.Address(),
                       .adviser_address = options.adviser_address}) {
  for (int i = 0; i < options.executors; ++i) {
    executors_.push_back(new executor(
        platform_,
        {.id = "i-" + std::to_string(i + 1),
         .needs_ticket = options.needs_ticket},
        [this](const run_event& event) { watch_.OnEvent(event); }));
  }
  platform_.Put("op/config", ManifestText(options.queue_fields));
}

bool case_site::Start() {
  for (std::size_t i = 0; i < processes_.Size(); ++i) processes_.Start(i);
  if (processes_.AwaitReady(kReadyTime)) return true;
  std::cerr << "the processes did not get ready\n";
  return false;
}

http_response case_site::CallAbout(std::size_t node, const std::string& method,
                                   int job, const std::string& body,
                                   int timeout_ms) {
  const std::string what =
      method + " " + JobId(job) + " at process " + std::to_string(node + 1);
  log_.Write(what + " is sent");
  http_response response = Call({.port = processes_.FrontPort(node),
                                 .method = method,
                                 .target = "/one/" + JobId(job),
                                 .host = "one.example",
                                 .body = body,
                                 .timeout_ms = timeout_ms});
  log_.Write(what + ": " +
             (response.status == 0
                  ? std::string("no answer")
                  : std::to_string(response.status) + " " + response.body));
  return response;
}

http_response case_site::Submit(std::size_t node, int job,
                                const std::string& body, int timeout_ms) {
  return CallAbout(node, "POST", job, body, timeout_ms);
}

http_response case_site::Show(std::size_t node, int job) {
  return CallAbout(node, "GET", job, {}, kCallMs);
}

http_response case_site::Cancel(std::size_t node, int job) {
  return CallAbout(node, "DELETE", job, {}, kCallMs);
}

int case_site::HandIn(int job, const std::string& body) {
  int status = 0;
  for (int attempt = 0; attempt <= kMaxRetries; ++attempt) {
    if (attempt > 0) SleepMs(kRetryPauseMs);
    const int node = (job + attempt) % static_cast<int>(processes_.Size());
    status = Submit(static_cast<std::size_t>(node), job, body).status;
    if (status != 0 && status != 502 && status != 504) return status;
  }
  return status;
}

std::int64_t case_site::PercentInUse() const {
  std::int64_t all = 0;
  std::int64_t free = 0;
  for (executor* const one : executors_) {
    if (!one->IsUp()) continue;
    all += one->Cpu();
    free += one->FreeCpu();
  }
  return all == 0 ? kWhole : kWhole * (all - free) / all;
}

std::int64_t case_site::RoomFor(std::int64_t cpu) const {
  std::int64_t room = 0;
  for (executor* const one : executors_) room += one->FreeCpu() / cpu;
  return room;
}

std::string JobId(int number) {
  std::ostringstream text;
  text << std::hex << std::setfill('0') << std::setw(kIdDigits)
       << kFirstId + number;
  return text.str();
}

void SleepMs(std::int64_t time_ms) {
  std::this_thread::sleep_for(milliseconds(time_ms));
}

void Summarize(record& log, const std::string& summary) {
  log.Write(summary);
  std::cout << summary << "\n";
}

void RunCase(int argc, char** argv,
             const std::function<int(const std::string&, bool)>& play) {
  const std::string mode = argc == 3 ? argv[2] : "";
  int outcome = kNotRun;
  if (mode == "trouble" || mode == "calm") {
    outcome = play(argv[1], mode == "trouble");
  } else {
    std::cerr << "usage: " << argv[0] << " FOLDER trouble|calm\n";
  }
  std::cout.flush();
  _exit(outcome);
}

}  // namespace waxwingfront::review_2
