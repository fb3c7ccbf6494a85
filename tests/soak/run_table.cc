#include "soak/run_table.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <cstdlib>
#include <utility>
#include <vector>

namespace waxwingfront::soak {
namespace {

using review::http_response;

// Ends in one response.
constexpr std::size_t kMaxEnds = 500;
// The clock of a boot starts anew.
constexpr std::int64_t kFirstClockMs = 1000;
// Until a task that lasts is at work.
constexpr milliseconds kStartup{100};
constexpr int kAtWork = 100;
// Of the tasks that last, some runs fail sooner than others.
constexpr int kLives = 3;

std::string Word(const std::string& spec, const std::string& name) {
  const std::size_t at = spec.find(name + "=");
  if (at == std::string::npos) return {};
  const std::size_t begin = at + name.size() + 1;
  return spec.substr(begin, spec.find(' ', begin) - begin);
}

std::int64_t Number(const rapidjson::Document& body, const char* name) {
  const auto found = body.FindMember(name);
  return found != body.MemberEnd() && found->value.IsInt64()
             ? found->value.GetInt64()
             : 0;
}

std::string Text(const rapidjson::Document& body, const char* name) {
  const auto found = body.FindMember(name);
  return found != body.MemberEnd() && found->value.IsString()
             ? found->value.GetString()
             : std::string();
}

bool Read(const std::string& text, rapidjson::Document& body) {
  body.Parse(text.data(), text.size());
  return !body.HasParseError() && body.IsObject();
}

void Append(std::string& list, const std::string& entry) {
  if (!list.empty()) list += ",";
  list += entry;
}

}  // namespace

run_table::run_table(const run_table_options& options, std::int64_t born_ms,
                     report_hook report)
    : options_(options), born_ms_(born_ms), report_(std::move(report)) {}

std::int64_t run_table::ClockMs() const {
  const std::chrono::duration<double, std::milli> age = clock::now() - started_;
  return kFirstClockMs + stepped_.count() +
         static_cast<std::int64_t>(age.count() * options_.clock_rate);
}

void run_table::Advance() {
  std::vector<std::pair<std::string, std::string>> over;
  const bool lapsed = ClockMs() >= lease_end_ms_;
  for (const auto& [task, run] : running_) {
    std::string how = EndNow(task, run);
    if (how.empty() && lapsed) how = "lapsed";
    if (!how.empty()) over.emplace_back(task, std::move(how));
  }
  for (const auto& [task, how] : over) End(task, how);
  if (lapsed) lapsed_through_ = last_number_;
}

std::string run_table::EndNow(const std::string& task,
                              const live_run& run) const {
  const clock::time_point now = clock::now();
  if (!run.is_member) return run.end <= now ? run.how : "";
  const gang_hall::gang_state gang = options_.gangs->Look(task, run.run);
  if (gang.done) return "done";
  if (gang.broken) return "broken";
  if (!gang.complete) {
    return now - run.begun > options_.gang_timeout ? "alone" : "";
  }
  return *gang.complete + (run.end - run.begun) <= now ? run.how : "";
}

void run_table::Abandon() {
  for (const auto& [task, run] : running_) {
    if (run.is_member) options_.gangs->Leave(task, run.run, false);
    report_("gone", task, run.run, "");
  }
  running_.clear();
}

void run_table::End(const std::string& task, const std::string& how) {
  const auto found = running_.find(task);
  const std::int64_t run = found->second.run;
  if (found->second.is_member) {
    options_.gangs->Leave(task, run, how == "done");
  }
  running_.erase(found);
  highest_ended_[task] = std::max(highest_ended_[task], run);
  ended_.push_back({++last_number_, task, run, how});
  report_(how, task, run, "");
}

void run_table::Extend(std::int64_t deadline_ms) {
  lease_end_ms_ = std::max(
      lease_end_ms_, std::min(deadline_ms, ClockMs() + options_.max_hold_ms));
}

bool run_table::IsFenced(std::int64_t token) {
  if (token < token_) return true;
  token_ = token;
  return false;
}

http_response run_table::Accept() const {
  return {.body = "{\"clock_ms\":" + std::to_string(ClockMs()) +
                  ",\"born\":" + std::to_string(born_ms_) + "}"};
}

http_response run_table::Refuse(const std::string& task, std::int64_t run,
                                const std::string& reason) const {
  if (!task.empty()) report_("refused", task, run, reason);
  return {.status = 409,
          .body = "{\"clock_ms\":" + std::to_string(ClockMs()) +
                  R"(,"reason":")" + reason + "\"}"};
}

http_response run_table::Start(const std::string& text) {
  rapidjson::Document body;
  if (!Read(text, body)) return {.status = 400, .body = "{}"};
  const std::string task = Text(body, "task");
  const std::int64_t run = Number(body, "run");
  if (IsFenced(Number(body, "fencing_token"))) {
    return Refuse(task, run, "fence");
  }
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
  const std::string spec = Text(body, "spec");
  const std::string how = Word(spec, "end");
  const bool lasts = how == "lasts";
  const auto life = lasts ? 1 + 2 * (run % kLives) : 1;
  const std::chrono::duration<double, std::milli> duration(
      std::atof(Word(spec, "ms").c_str()) * options_.slowness *
      static_cast<double>(life));
  const std::int64_t members = std::atoll(Word(spec, "gang").c_str());
  const auto now = clock::now();
  running_[task] = {
      .run = run,
      .begun = now,
      .end = now + std::chrono::duration_cast<clock::duration>(duration),
      .how = lasts ? "failed" : how,
      .lasts = lasts,
      .is_member = members > 0};
  if (members > 0) options_.gangs->Join(task, run, members);
  report_("begun", task, run, "");
  return Accept();
}

http_response run_table::Stop(const std::string& text) {
  rapidjson::Document body;
  if (!Read(text, body)) return {.status = 400, .body = "{}"};
  if (IsFenced(Number(body, "fencing_token"))) return Refuse("", 0, "fence");
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

http_response run_table::Note(const std::string& text) {
  rapidjson::Document body;
  if (!Read(text, body)) return {.status = 400, .body = "{}"};
  if (IsFenced(Number(body, "fencing_token"))) return Refuse("", 0, "fence");
  const std::int64_t seen = Number(body, "last_seen");
  while (!ended_.empty() && ended_.front().number <= seen) {
    const ended_run& end = ended_.front();
    report_(end.number <= lapsed_through_ ? "seen_after_lapse" : "seen",
            end.task, end.run, end.how);
    ended_.pop_front();
  }
  if (body.HasMember("deadline_ms")) Extend(Number(body, "deadline_ms"));
  return {};
}

int run_table::Percent(const live_run& run) {
  const auto age = clock::now() - run.begun;
  if (run.lasts) return age >= kStartup ? kAtWork : 0;
  const auto whole = run.end - run.begun;
  return whole <= clock::duration::zero()
             ? kAtWork
             : static_cast<int>(kAtWork * age / whole);
}

http_response run_table::Lists() const {
  std::string running;
  for (const auto& [task, run] : running_) {
    Append(running, "[\"" + task + "\"," + std::to_string(run.run) + ",\"\"," +
                        std::to_string(Percent(run)) + ",0]");
  }
  std::string ended;
  for (std::size_t i = 0; i < std::min(ended_.size(), kMaxEnds); ++i) {
    const ended_run& end = ended_[i];
    Append(ended, "[" + std::to_string(end.number) + ",\"" + end.task + "\"," +
                      std::to_string(end.run) + ",\"" + end.how + "\",\"\"]");
  }
  return {.body = "{\"clock_ms\":" + std::to_string(ClockMs()) +
                  ",\"born\":" + std::to_string(born_ms_) + ",\"running\":[" +
                  running + "],\"finished\":[" + ended + "]}"};
}

}  // namespace waxwingfront::soak
