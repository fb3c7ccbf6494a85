#include "soak/job_maker.h"

#include <chrono>
#include <iomanip>
#include <sstream>
#include <string_view>

namespace waxwingfront::soak {
namespace {

constexpr int kIdDigits = 16;
constexpr std::string_view kEndOfSpec = "\",\"steps\"";

int Draw(std::mt19937_64& draw, int below) {
  return std::uniform_int_distribution<int>(0, below - 1)(draw);
}

std::string Step(int count, const std::string& more) {
  return "{\"count\":" + std::to_string(count) +
         ",\"cpu\":500,\"memory_request_mb\":128" + more + "}";
}

std::string Body(int time_ms, const std::string& end,
                 const std::string& steps) {
  return "{\"spec\":\"ms=" + std::to_string(time_ms) + " end=" + end +
         "\",\"steps\":[" + steps + "]}";
}

void MakePlain(std::mt19937_64& draw, soak_job& job) {
  const int count = 1 + Draw(draw, 3);
  const int time_ms = 100 + Draw(draw, 1200);
  const bool two_steps = Draw(draw, 3) == 0;
  const std::string estimate = ",\"estimated_ms\":" + std::to_string(time_ms);
  std::string steps = Step(count, estimate);
  if (two_steps) steps += "," + Step(count, estimate + ",\"after\":[0]");
  job.body = Body(time_ms, "done", steps);
  job.tasks = two_steps ? 2 * count : count;
}

void MakeGang(std::mt19937_64& draw, soak_job& job) {
  const int time_ms = 100 + Draw(draw, 1200);
  const bool two_steps = Draw(draw, 3) == 0;
  const std::string more =
      ",\"gang\":true,\"estimated_ms\":" + std::to_string(time_ms);
  job.width = 2 + Draw(draw, 3);
  std::string steps = Step(job.width, more);
  if (two_steps) steps += "," + Step(job.width, more + ",\"after\":[0]");
  job.body = Body(time_ms, "done gang=" + std::to_string(job.width), steps);
  job.tasks = two_steps ? 2 * job.width : job.width;
}

void MakeScheduled(std::mt19937_64& draw, soak_job& job) {
  const int time_ms = 100 + Draw(draw, 800);
  const int times = 2 + Draw(draw, 3);
  job.width = 1 + Draw(draw, 2);
  job.tasks = times * job.width;
  job.first_run_ms = UnixMs() + Draw(draw, 2000);
  job.interval_ms = 200 + Draw(draw, 1300);
  job.body =
      Body(time_ms, "done",
           Step(job.width, ",\"estimated_ms\":" + std::to_string(time_ms)));
  job.body.insert(job.body.size() - 1,
                  ",\"repetitions\":" + std::to_string(times) +
                      ",\"first_run_ms\":" + std::to_string(job.first_run_ms) +
                      ",\"interval_ms\":" + std::to_string(job.interval_ms));
}

void MakeLasting(std::mt19937_64& draw, soak_job& job) {
  job.tasks = 1 + Draw(draw, 2);
  job.body = Body(1000 + Draw(draw, 4000), "lasts",
                  Step(job.tasks, ",\"long_running\":true"));
}

}  // namespace

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

soak_job MakeJob(std::mt19937_64& draw, std::size_t queues, job_kind kind,
                 std::size_t payload_bytes) {
  std::ostringstream id;
  id << std::hex << std::setfill('0') << std::setw(kIdDigits) << draw();
  soak_job job;
  job.id = id.str();
  job.kind = kind;
  switch (kind) {
    case job_kind::kPlain:
      MakePlain(draw, job);
      break;
    case job_kind::kLasting:
      MakeLasting(draw, job);
      break;
    case job_kind::kGang:
      MakeGang(draw, job);
      break;
    case job_kind::kScheduled:
      MakeScheduled(draw, job);
      break;
  }
  if (payload_bytes > 0) {
    job.body.insert(job.body.find(kEndOfSpec),
                    " payload=" + std::string(payload_bytes, 'x'));
  }
  job.queue = static_cast<std::size_t>(Draw(draw, static_cast<int>(queues)));
  return job;
}

}  // namespace waxwingfront::soak
