#include "waxwingfront/standins/worker.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "waxwingfront/core/hash.h"
#include "waxwingfront/core/json.h"
#include "waxwingfront/net/http_status.h"

namespace waxwingfront::standins {
namespace {

constexpr std::string_view kSleepPrefix = "sleep:";
constexpr std::string_view kFailPrefix = "fail:";

std::int64_t ToNumber(std::string_view digits) {
  std::int64_t number = 0;
  std::istringstream(std::string(digits)) >> number;
  return number;
}

std::int64_t ToMs(core::monotonic_time time) {
  return std::chrono::duration_cast<core::milliseconds>(time.time_since_epoch())
      .count();
}

}  // namespace

worker::worker(worker_options options)
    : options_(options), incarnation_(core::RandomId()) {}

http_response worker::Handle(const http_call& call) {
  if (call.path == "/journal") {
    // The journal includes attempts that ended since the last sync.
    Advance(core::Now());
    return {.body = Journal()};
  }
  if (call.path == "/leaving") {
    SetLeaving(call.body != "false");
    return {.body = "{}"};
  }
  schema::sync_request request;
  if (!core::FromJson(call.body, core::unknown_fields::kIgnore, request)) {
    return {.status = net::kHttpBadRequest};
  }
  return {.body = core::ToJson(Sync(request, core::Now()))};
}

void worker::SetLeaving(bool leaving) {
  const std::lock_guard lock(mutex_);
  leaving_ = leaving;
}

void worker::SetBroken(bool broken) {
  const std::lock_guard lock(mutex_);
  broken_ = broken;
}

std::string worker::Journal() const {
  const std::lock_guard lock(mutex_);
  return journal_;
}

void worker::Write(std::string_view event, const attempt_key& key,
                   core::monotonic_time at, std::string_view checkpoint) {
  std::ostringstream line;
  line << event << " " << std::get<0>(key) << " " << std::get<1>(key) << " "
       << std::get<2>(key) << " " << ToMs(at) << " "
       << (checkpoint.empty() ? "-" : checkpoint) << "\n";
  journal_ += line.str();
}

bool worker::IsTicketValid(const std::string& ticket,
                           core::monotonic_time now) const {
  const auto found = tickets_.find(ticket);
  return found != tickets_.end() && now < found->second;
}

void worker::End(const attempt_key& key, schema::attempt_outcome outcome,
                 core::monotonic_time at) {
  const auto found = running_.find(key);
  const running_task& task = found->second;
  const auto ran =
      std::chrono::duration_cast<core::milliseconds>(at - task.started);
  const core::milliseconds done =
      std::min(task.progress_before + ran, task.total);
  ended_task ended{.outcome = outcome, .size = task.start.size()};
  if (outcome == schema::ATTEMPT_OUTCOME_EVICTED)
    ended.checkpoint = std::to_string(done.count());
  Write("end", key, at, ended.checkpoint);
  ended_[key] = std::move(ended);
  running_.erase(found);
}

void worker::Advance(core::monotonic_time now) {
  const std::lock_guard lock(mutex_);
  AdvanceLocked(now);
}

void worker::AdvanceLocked(core::monotonic_time now) {
  std::vector<std::pair<
      attempt_key, std::pair<schema::attempt_outcome, core::monotonic_time>>>
      due;
  for (const auto& [key, task] : running_) {
    const core::monotonic_time done =
        task.started + (task.total - task.progress_before);
    const auto outcome = task.fails ? schema::ATTEMPT_OUTCOME_FAILED
                                    : schema::ATTEMPT_OUTCOME_FINISHED;
    if (done <= now && done <= task.lease_end) {
      due.emplace_back(key, std::pair(outcome, done));
    } else if (task.lease_end <= now) {
      due.emplace_back(
          key, std::pair(schema::ATTEMPT_OUTCOME_EVICTED, task.lease_end));
    }
  }
  for (const auto& [key, end] : due) End(key, end.first, end.second);
  std::erase_if(ended_, [this, now](const auto& item) {
    return item.second.recorded &&
           now - item.second.recorded_at > options_.ticket;
  });
  std::erase_if(tickets_,
                [now](const auto& item) { return item.second <= now; });
}

void worker::Start(const schema::start_task& start, core::monotonic_time now) {
  const attempt_key key{start.id().job(), start.id().task(),
                        start.id().attempt()};
  if (running_.contains(key) || ended_.contains(key)) return;
  core::resources used = core::FromSchema(start.size());
  for (const auto& [other, task] : running_)
    used += core::FromSchema(task.start.size());
  if (!options_.capacity.Holds(used)) return;
  running_task task{
      .start = start, .started = now, .lease_end = now + options_.task_lease};
  const std::string& command = start.command();
  task.fails = command.starts_with(kFailPrefix);
  const std::string_view digits = std::string_view(command).substr(
      task.fails ? kFailPrefix.size() : kSleepPrefix.size());
  task.total = core::milliseconds(ToNumber(digits));
  task.progress_before = core::milliseconds(ToNumber(start.checkpoint()));
  if (broken_) {
    task.fails = true;
    task.total = task.progress_before;
  }
  Write("start", key, now, start.checkpoint());
  running_.emplace(key, std::move(task));
}

void worker::Stop(const schema::attempt_id& id, core::monotonic_time now) {
  const attempt_key key{id.job(), id.task(), id.attempt()};
  if (running_.contains(key)) {
    End(key, schema::ATTEMPT_OUTCOME_EVICTED, now);
  } else if (!ended_.contains(key)) {
    // Recorded, so that a start that is still in flight is rejected.
    ended_[key] = {.outcome = schema::ATTEMPT_OUTCOME_EVICTED};
  }
}

void worker::MarkRecorded(const schema::attempt_id& id,
                          core::monotonic_time now) {
  const auto found = ended_.find({id.job(), id.task(), id.attempt()});
  if (found == ended_.end() || found->second.recorded) return;
  found->second.recorded = true;
  found->second.recorded_at = now;
}

schema::sync_response worker::Sync(const schema::sync_request& request,
                                   core::monotonic_time now) {
  const std::lock_guard lock(mutex_);
  AdvanceLocked(now);
  schema::sync_response response;
  response.set_incarnation(incarnation_);
  response.set_leaving(leaving_);
  *response.mutable_capacity() = core::ToSchema(options_.capacity);
  if (request.epoch() < highest_epoch_) {
    response.set_refusal(schema::SYNC_REFUSAL_STALE_EPOCH);
    return response;
  }
  highest_epoch_ = request.epoch();
  for (const auto& id : request.stop()) Stop(id, now);
  for (const auto& id : request.forget()) MarkRecorded(id, now);
  if (IsTicketValid(request.ticket(), now)) {
    if (request.renew()) {
      for (auto& [key, task] : running_)
        task.lease_end = now + options_.task_lease;
    }
    for (const auto& start : request.start()) Start(start, now);
  } else if (!request.ticket().empty()) {
    response.set_refusal(schema::SYNC_REFUSAL_TICKET_EXPIRED);
  }
  const std::string ticket = core::RandomId();
  tickets_[ticket] = now + options_.ticket;
  response.set_ticket(ticket);
  response.set_ticket_ms(options_.ticket.count());
  response.set_task_lease_ms(options_.task_lease.count());
  for (const auto& [key, task] : running_) {
    schema::attempt_report& report = *response.add_attempts();
    *report.mutable_id() = task.start.id();
    report.set_state(schema::ATTEMPT_STATE_RUNNING);
    *report.mutable_size() = task.start.size();
  }
  for (const auto& [key, task] : ended_) {
    if (task.recorded) continue;
    schema::attempt_report& report = *response.add_attempts();
    report.mutable_id()->set_job(std::get<0>(key));
    report.mutable_id()->set_task(std::get<1>(key));
    report.mutable_id()->set_attempt(std::get<2>(key));
    report.set_state(schema::ATTEMPT_STATE_ENDED);
    report.set_outcome(task.outcome);
    report.set_checkpoint(task.checkpoint);
  }
  return response;
}

}  // namespace waxwingfront::standins
