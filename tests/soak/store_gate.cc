#include "soak/store_gate.h"

#include <rapidjson/document.h>

#include <cstdlib>
#include <thread>

namespace waxwingfront::soak {
namespace {

using review::http_request;
using review::http_response;

const char* const kLeaderKey = "wf/leader";
constexpr int kWhole = 100;

bool IsWatch(const http_request& request) {
  return request.path == "/kv-watch";
}

bool IsRead(const http_request& request) { return request.method == "GET"; }

void Sleep(milliseconds time) {
  if (time > milliseconds{0}) std::this_thread::sleep_for(time);
}

std::int64_t Member(const http_response& response, const char* name) {
  rapidjson::Document body;
  body.Parse(response.body.data(), response.body.size());
  if (body.HasParseError() || !body.IsObject()) return 0;
  const auto found = body.FindMember(name);
  return found != body.MemberEnd() && found->value.IsInt64()
             ? found->value.GetInt64()
             : 0;
}

std::int64_t After(const http_request& request) {
  const auto found = request.query.find("after");
  return found == request.query.end() ? 0 : std::atoll(found->second.c_str());
}

}  // namespace

store_gate::store_gate(review::store& platform, std::size_t processes)
    : platform_(platform), processes_(processes) {
  for (std::size_t i = 0; i < processes; ++i) {
    processes_[i].server = std::make_unique<review::http_server>(
        review::FreePort(),
        [this, i](const http_request& request) { return Handle(i, request); });
  }
}

std::string store_gate::Address(std::size_t process) const {
  return processes_.at(process).server->Address();
}

void store_gate::Translate(std::size_t process, const address_map& written,
                           const address_map& read) {
  const std::scoped_lock lock(mutex_);
  processes_.at(process).written = written;
  processes_.at(process).read = read;
}

void store_gate::Set(std::size_t process, const store_fault& fault) {
  const std::scoped_lock lock(mutex_);
  processes_.at(process).fault = fault;
  changed_.notify_all();
}

void store_gate::SetAll(const store_fault& fault) {
  const std::scoped_lock lock(mutex_);
  for (process_state& one : processes_) one.fault = fault;
  changed_.notify_all();
}

void store_gate::SetLateWrites(const late_writes& late) {
  const std::scoped_lock lock(mutex_);
  late_ = late;
  late_random_.seed(late.seed);
}

store_gate::late_write store_gate::DrawLate() {
  std::uniform_int_distribution<int> percent(0, kWhole - 1);
  if (percent(late_random_) >= late_.percent) return {.delay = late_.delay};
  std::uniform_int_distribution<std::int64_t> delay(0, late_.latest.count());
  return {.delay = milliseconds(delay(late_random_)), .answered = false};
}

http_request store_gate::Call(const std::string& path, const std::string& key) {
  http_request request;
  request.method = "GET";
  request.path = path;
  request.query["key"] = key;
  return request;
}

void store_gate::ForgetHistory() {
  const std::int64_t now =
      Member(platform_.Handle(Call("/kv-key", kLeaderKey)), "at");
  const std::scoped_lock lock(mutex_);
  forgotten_ = now;
}

std::int64_t store_gate::LeaderLease() {
  return Member(platform_.Handle(Call("/kv-key", kLeaderKey)), "lease");
}

std::optional<std::size_t> store_gate::Leader() {
  const std::int64_t lease = LeaderLease();
  const std::scoped_lock lock(mutex_);
  for (std::size_t i = 0; lease != 0 && i < processes_.size(); ++i) {
    if (processes_[i].lease == lease) return i;
  }
  return std::nullopt;
}

bool store_gate::EndLeaderLease() {
  const std::int64_t lease = LeaderLease();
  if (lease == 0) return false;
  platform_.Handle(Call("/kv-lease-end/" + std::to_string(lease)));
  return true;
}

http_response store_gate::Handle(std::size_t process,
                                 const http_request& request) {
  std::unique_lock lock(mutex_);
  process_state& caller = processes_[process];
  const store_fault fault = caller.fault;
  if (fault.refusal != store_refusal::kNone) {
    return Refuse(process, fault.refusal, lock);
  }
  if (IsWatch(request) && After(request) < forgotten_) {
    return {.status = 410, .body = "{}"};
  }
  const late_write late = request.path == "/kv-txn" ? DrawLate() : late_write();
  lock.unlock();
  if (!IsRead(request)) Sleep(fault.write_delay + late.delay);
  http_request translated = request;
  caller.written.TranslateItems(translated.body);
  for (auto& [name, value] : translated.query) caller.written.Translate(value);
  http_response response = platform_.Handle(translated);
  if (!late.answered) return {.status = 0, .body = {}};
  caller.read.TranslateItems(response.body);
  Sleep(fault.response_delay);
  lock.lock();
  if (request.path == "/kv-lease") caller.lease = Member(response, "lease");
  // A refusal that began during a watch cuts it.
  const store_refusal refusal = caller.fault.refusal;
  if (IsWatch(request) && refusal != store_refusal::kNone) {
    return Refuse(process, refusal, lock);
  }
  if (fault.lose_every > 0 && ++caller.answered % fault.lose_every == 0) {
    return {.status = 0, .body = {}};
  }
  return response;
}

http_response store_gate::Refuse(std::size_t process, store_refusal refusal,
                                 std::unique_lock<std::mutex>& lock) {
  if (refusal == store_refusal::kUnavailable) {
    return {.status = 503, .body = "{}"};
  }
  if (refusal == store_refusal::kTooMany) return {.status = 429, .body = "{}"};
  if (refusal == store_refusal::kSilence) {
    changed_.wait(lock, [&] {
      return processes_[process].fault.refusal != store_refusal::kSilence;
    });
  }
  return {.status = 0, .body = {}};
}

}  // namespace waxwingfront::soak
