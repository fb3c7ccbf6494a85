#include "soak/callers.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <sstream>

namespace waxwingfront::soak {
namespace {

constexpr milliseconds kBudget{3000};
// Beyond the budget, until a caller closes the connection.
constexpr milliseconds kPatience{1500};
constexpr milliseconds kLossSlack{200};
// A freeze this long before the request, or later, counts as its cause.
constexpr milliseconds kContact{3000};
// Until an end of a process is known.
constexpr milliseconds kNoticeTime{400};
constexpr int kAttempts = 5;
constexpr int kMaxPauseMs = 120;
constexpr std::size_t kRecentJobs = 30;

int Draw(std::mt19937_64& draw, int below) {
  return std::uniform_int_distribution<int>(0, below - 1)(draw);
}

bool IsSuccess(int status) { return status >= 200 && status < 300; }

bool IsUnknown(int status) {
  return status == 0 || status == 502 || status == 504;
}

// Has to be cancelled by the caller.
bool IsOpenEnded(const soak_job& job) {
  return job.kind == job_kind::kLasting && !job.cancelled;
}

// A caller has one job that lasts at a time.
job_kind DrawKind(std::mt19937_64& draw, const std::vector<soak_job>& jobs) {
  switch (Draw(draw, 8)) {
    case 0:
      return std::ranges::none_of(jobs, IsOpenEnded) ? job_kind::kLasting
                                                     : job_kind::kPlain;
    case 1:
      return job_kind::kGang;
    case 2:
      return job_kind::kScheduled;
    default:
      return job_kind::kPlain;
  }
}

}  // namespace

callers::callers(timeline& log, const site& processes, job_book& book,
                 const caller_options& options)
    : log_(log), site_(processes), book_(book), options_(options) {}

void callers::Start(int count) {
  for (int i = 0; i < count; ++i) threads_.emplace_back([this, i] { Run(i); });
}

callers::~callers() {
  stopping_ = true;
  for (std::thread& one : threads_) one.join();
}

bool callers::Stop() {
  stopping_ = true;
  return ended_ == threads_.size();
}

void callers::Pause(random& draw, int max_ms) const {
  std::this_thread::sleep_for(milliseconds(Draw(draw, max_ms)));
}

void callers::Run(int number) {
  constexpr std::array kStyles = {
      caller_style::kKeeps,     caller_style::kReopens,
      caller_style::kKeeps,     caller_style::kPipelines,
      caller_style::kKeeps,     caller_style::kSendsSlowly,
      caller_style::kKeeps,     caller_style::kHalfCloses,
      caller_style::kPipelines, caller_style::kBreaks};
  const auto position = static_cast<std::size_t>(number);
  random draw(options_.seed * 1000 + position);
  connection open;
  std::vector<soak_job> jobs;
  while (!stopping_) {
    Visit(draw, open, jobs, kStyles[position % kStyles.size()]);
    Pause(draw, kMaxPauseMs);
  }
  ++ended_;
}

void callers::Visit(random& draw, connection& open, std::vector<soak_job>& jobs,
                    caller_style style) {
  const bool keeps =
      style == caller_style::kKeeps || style == caller_style::kPipelines;
  if (!keeps) open.link.Close();
  if (style == caller_style::kBreaks && Draw(draw, 2) == 0) {
    Break(draw, open);
    return;
  }
  const int action = Draw(draw, 10);
  if (jobs.empty() || action < 4) {
    Submit(draw, open, jobs, style);
    if (jobs.size() > kRecentJobs) {
      jobs.erase(std::ranges::find_if_not(jobs, IsOpenEnded));
    }
    return;
  }
  if (style == caller_style::kPipelines && action < 8) {
    Pipeline(draw, open, jobs);
    return;
  }
  soak_job& about =
      jobs[static_cast<std::size_t>(Draw(draw, static_cast<int>(jobs.size())))];
  if (action < 8) {
    Ask(draw, open, about, style);
  } else if (action == 8) {
    const auto lasting = std::ranges::find_if(jobs, IsOpenEnded);
    const bool ends = lasting != jobs.end() && Draw(draw, 4) == 0;
    Cancel(draw, open, ends ? *lasting : about, style);
  } else {
    Exchange(draw, open, Request("GET", about.queue, "", ""), style);
  }
}

bool callers::Open(random& draw, connection& open) {
  if (open.link.IsOpen()) return true;
  open.node =
      static_cast<std::size_t>(Draw(draw, static_cast<int>(site_.Size())));
  open.opened = log_.Now();
  return open.link.Connect(site_.FrontPort(open.node));
}

std::string callers::Request(std::string_view method, std::size_t queue,
                             std::string_view rest,
                             std::string_view body) const {
  std::ostringstream text;
  text << method << " " << queues_[queue].prefix << rest
       << " HTTP/1.1\r\nHost: " << queues_[queue].host
       << "\r\nDeadline-Ms: " << kBudget.count() << "\r\n";
  if (!body.empty()) {
    text << "Content-Type: application/json\r\nContent-Length: " << body.size()
         << "\r\n";
  }
  text << "\r\n" << body;
  return text.str();
}

void callers::Submit(random& draw, connection& open,
                     std::vector<soak_job>& jobs, caller_style style) {
  const soak_job fresh = MakeJob(draw, queues_.size(), DrawKind(draw, jobs),
                                 options_.payload_bytes);
  for (int i = 0; i < kAttempts && !stopping_; ++i) {
    if (!Open(draw, open)) {
      Pause(draw, kMaxPauseMs);
      continue;
    }
    book_.Sent(fresh);
    const caller_reply reply = Exchange(
        draw, open, Request("POST", fresh.queue, fresh.id, fresh.body), style);
    book_.Answered(fresh.id, reply.status);
    if (IsSuccess(reply.status)) {
      jobs.push_back(fresh);
      return;
    }
    if (!IsUnknown(reply.status) && Draw(draw, 2) == 0) return;
    Pause(draw, kMaxPauseMs);
  }
}

void callers::Ask(random& draw, connection& open, const soak_job& about,
                  caller_style style) {
  if (!Open(draw, open)) return;
  const milliseconds sent_at = log_.Now();
  const std::size_t node = open.node;
  const caller_reply reply =
      Exchange(draw, open, Request("GET", about.queue, about.id, ""), style);
  book_.Shown(about.id, reply.status, reply.body, sent_at,
              "process " + std::to_string(node + 1));
}

void callers::Cancel(random& draw, connection& open, soak_job& about,
                     caller_style style) {
  if (!Open(draw, open)) return;
  book_.Cancelled(about.id, 0);
  const caller_reply reply =
      Exchange(draw, open, Request("DELETE", about.queue, about.id, ""), style);
  book_.Cancelled(about.id, reply.status);
  about.cancelled = about.cancelled || IsSuccess(reply.status);
}

void callers::Pipeline(random& draw, connection& open,
                       const std::vector<soak_job>& jobs) {
  if (!Open(draw, open)) return;
  const std::size_t count =
      std::min(jobs.size(), static_cast<std::size_t>(2 + Draw(draw, 3)));
  const std::size_t node = open.node;
  std::string text;
  for (std::size_t i = 0; i < count; ++i) {
    text += Request("GET", jobs[i].queue, jobs[i].id, "");
  }
  const milliseconds sent_at = log_.Now();
  if (!open.link.Send(text)) {
    open.link.Close();
    return;
  }
  const milliseconds last_byte = log_.Now();
  for (std::size_t i = 0; i < count && open.link.IsOpen(); ++i) {
    const caller_reply reply = Await(open, last_byte);
    book_.Shown(jobs[i].id, reply.status, reply.body, sent_at,
                "process " + std::to_string(node + 1));
  }
}

void callers::Break(random& draw, connection& open) {
  if (!Open(draw, open)) return;
  const std::string head =
      "POST /one/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: one.example\r\n";
  const std::string huge(20'000, 'x');
  const std::vector<std::string> texts = {
      "\r\n\r\n\x01\xff nonsense\r\n\r\n",
      "GET",
      head + "Content-Length: 90\r\n\r\n{\"spec\"",
      head + "Content-Length: 7\r\n\r\n{\"spec\"",
      head + "X-Long: " + huge + "\r\n\r\n",
      head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
      head + "Deadline-Ms: -9e99\r\n\r\n",
      head + "Content-Length: 99999999999999999999\r\n\r\n"};
  open.link.Send(texts[static_cast<std::size_t>(
      Draw(draw, static_cast<int>(texts.size())))]);
  if (Draw(draw, 2) == 0) open.link.HalfClose();
  if (Draw(draw, 2) == 0) open.link.Receive(milliseconds(Draw(draw, 4000)));
  open.link.Close();
}

caller_reply callers::Exchange(random& draw, connection& open,
                               const std::string& text, caller_style style) {
  if (!Open(draw, open)) return {};
  std::size_t sent = 0;
  if (style == caller_style::kSendsSlowly) {
    constexpr std::size_t kPieces = 4;
    for (std::size_t i = 1; i < kPieces; ++i) {
      const std::size_t piece = text.size() / kPieces;
      if (!open.link.Send(std::string_view(text).substr(sent, piece))) break;
      sent += piece;
      Pause(draw, 2 * kMaxPauseMs);
    }
  }
  if (!open.link.Send(std::string_view(text).substr(sent))) {
    open.link.Close();
    return {};
  }
  if (style == caller_style::kHalfCloses) open.link.HalfClose();
  return Await(open, log_.Now());
}

caller_reply callers::Await(connection& open, milliseconds last_byte) {
  caller_reply reply = open.link.Receive(kBudget + kPatience);
  const milliseconds at = log_.Now();
  const std::string about = "process " + std::to_string(open.node + 1);
  std::string count = std::to_string(reply.status);
  if (reply.kind == reply_kind::kLate) count = "late";
  if (reply.kind == reply_kind::kUnreadable) {
    log_.Breach("LOST", about + " sent an answer that can't be read");
  }
  if (reply.kind == reply_kind::kClosed) {
    count = "closed";
    std::this_thread::sleep_for(kNoticeTime);
    if (at > last_byte + kLossSlack &&
        !site_.KilledSince(open.node, open.opened) &&
        !(site_.StoppedSince(open.node, last_byte - kContact) &&
          site_.EndedFrozenSince(open.node, last_byte))) {
      const bool frozen = site_.StoppedSince(open.node, last_byte);
      log_.Breach("LOST", about + " closed the connection " +
                              std::to_string((at - last_byte).count()) +
                              " ms after a whole request" +
                              (frozen ? ", it was stopped since" : ""));
    }
  }
  if (reply.status == 400 || reply.status >= 505 || reply.status == 500) {
    log_.Breach("LOST", about + " answered a valid request with " + count);
  }
  if (reply.kind != reply_kind::kAnswered || reply.closes) open.link.Close();
  const std::scoped_lock lock(mutex_);
  ++counts_[count];
  return reply;
}

void callers::AskAtEnd(const std::string& id, milliseconds latest) {
  random draw(options_.seed);
  const std::size_t queue = book_.QueueOf(id);
  std::string last;
  do {
    connection open;
    if (!Open(draw, open)) continue;
    const milliseconds sent_at = log_.Now();
    const caller_reply reply = Exchange(
        draw, open, Request("GET", queue, id, ""), caller_style::kReopens);
    book_.Shown(id, reply.status, reply.body, sent_at, "the end");
    const bool ended =
        book_.Lasts(id) || (reply.body.find("queued") == std::string::npos &&
                            reply.body.find("running") == std::string::npos);
    if ((IsSuccess(reply.status) && ended) || reply.status == 410) return;
    last = std::to_string(reply.status) + " " + reply.body;
    Pause(draw, 2 * kMaxPauseMs);
  } while (log_.Now() < latest);
  log_.Breach("LOST", "job " + id + " at the end: " + last);
}

void callers::CancelAtEnd(const std::string& id, milliseconds latest) {
  random draw(options_.seed);
  soak_job about;
  about.id = id;
  about.queue = book_.QueueOf(id);
  do {
    connection open;
    Cancel(draw, open, about, caller_style::kReopens);
    if (!about.cancelled) Pause(draw, 2 * kMaxPauseMs);
  } while (!about.cancelled && log_.Now() < latest);
  if (!about.cancelled) {
    log_.Breach("LOST", "job " + id + " can't be cancelled at the end");
  }
}

std::string callers::Summary() const {
  const std::scoped_lock lock(mutex_);
  std::string text = "answers:";
  for (const auto& [kind, count] : counts_) {
    text += " " + kind + " x" + std::to_string(count);
  }
  return text;
}

}  // namespace waxwingfront::soak
