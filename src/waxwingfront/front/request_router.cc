#include "waxwingfront/front/request_router.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "waxwingfront/front/attempt_history.h"
#include "waxwingfront/front/upstream.h"

namespace waxwingfront::front {
namespace {

// Pause between two looks for a free slot.
constexpr core::milliseconds kSlotPause{1};
// Pause after an executor had no free slot.
constexpr core::milliseconds kRefusalPause{5};

// A place in a wait room for as long as this object lives.
class wait_place {
 public:
  wait_place(wait_room& room, std::string_view customer)
      : room_(room), customer_(customer), taken_(room.TryEnter(customer)) {}
  wait_place(const wait_place&) = delete;
  wait_place& operator=(const wait_place&) = delete;
  ~wait_place() {
    if (taken_) room_.Leave(customer_);
  }
  bool IsTaken() const { return taken_; }

 private:
  wait_room& room_;
  std::string_view customer_;
  bool taken_;
};

// Time at which a try is given up. An idempotent request leaves half of its
// time to another executor.
core::monotonic_time TryLimit(const service_request& request,
                              bool may_try_more) {
  if (!may_try_more) return request.deadline;
  const core::monotonic_time now = core::Now();
  return now + (request.deadline - now) / 2;
}

}  // namespace

request_router::request_router(request_router_options options)
    : options_(std::move(options)),
      retries_(options_.retries),
      waiting_(options_.waiting),
      entries_{options_.entry_id} {}

request_router::~request_router() = default;

std::shared_ptr<upstream> request_router::MakeUpstream(
    const hosts::executor_info& info,
    std::span<const std::string> entries) const {
  auto item = std::make_shared<upstream>(
      upstream_options{.executor = info,
                       .connect_timeout = options_.connect_timeout,
                       .max_body_bytes = options_.max_body_bytes});
  item->Divide(entries, options_.entry_id);
  return item;
}

void request_router::OnEntries(std::span<const std::string> entries) {
  const std::lock_guard lock(entries_mutex_);
  if (std::equal(entries.begin(), entries.end(), entries_.begin(),
                 entries_.end())) {
    return;
  }
  entries_.assign(entries.begin(), entries.end());
  const std::shared_ptr<const routing_table> table = table_.Load();
  if (table == nullptr) return;
  for (const auto& [service, route] : table->services) {
    for (const auto& item : route.upstreams)
      item->Divide(entries_, options_.entry_id);
  }
}

void request_router::OnHosts(const hosts::host_view& view) {
  const std::lock_guard lock(entries_mutex_);
  const std::shared_ptr<const routing_table> former = table_.Load();
  std::map<std::string, std::shared_ptr<upstream>> known;
  if (former != nullptr) {
    for (const auto& [service, route] : former->services) {
      for (const auto& item : route.upstreams) {
        known[item->Executor().id + "@" + item->Executor().address] = item;
      }
    }
  }
  auto table = std::make_shared<routing_table>();
  for (const auto& [service, executors] : view.executors) {
    service_route& route = table->services[service];
    const service_route* before = FindService(former.get(), service);
    route.answer_time = before == nullptr ? std::make_shared<service_time>()
                                          : before->answer_time;
    for (const hosts::executor_info& info : executors) {
      if (info.leaving) continue;
      std::shared_ptr<upstream> item = known[info.id + "@" + info.address];
      if (item == nullptr || item->Executor().slots != info.slots) {
        item = MakeUpstream(info, entries_);
      }
      route.upstreams.push_back(std::move(item));
    }
  }
  table_.Store(std::move(table));
}

const request_router::service_route* request_router::FindService(
    const routing_table* table, std::string_view service) {
  if (table == nullptr) return nullptr;
  const auto found = table->services.find(service);
  return found == table->services.end() ? nullptr : &found->second;
}

core::result<std::shared_ptr<upstream>> request_router::Acquire(
    const service_request& request, const upstream_list& tried) const {
  const std::shared_ptr<const routing_table> table = table_.Load();
  const service_route* route = FindService(table.get(), request.service);
  if (route == nullptr || route->upstreams.size() <= tried.size()) {
    return core::Failure(core::error_code::kNoUpstream,
                         "no executor of " + request.service + " is left");
  }
  return AcquireUpstream(route->upstreams, tried);
}

bool request_router::IsHopeless(const service_request& request) const {
  const core::monotonic_time now = core::Now();
  if (now >= request.deadline) return true;
  const std::shared_ptr<const routing_table> table = table_.Load();
  const service_route* route = FindService(table.get(), request.service);
  return route != nullptr &&
         route->answer_time->IsHopeless(request.deadline - now,
                                        request.deadline - request.received);
}

core::result<service_reply> request_router::Try(
    upstream& target, const service_request& request,
    core::monotonic_time limit) const {
  const core::monotonic_time begin = core::Now();
  core::result<service_reply> reply = target.Send(request, limit);
  target.ReleaseSlot();
  const std::shared_ptr<const routing_table> table = table_.Load();
  const service_route* route = FindService(table.get(), request.service);
  if (reply && route != nullptr) {
    route->answer_time->Observe(core::Now() - begin);
  }
  return reply;
}

core::result<std::shared_ptr<upstream>> request_router::AcquireInTime(
    const service_request& request, const upstream_list& tried) {
  core::result<std::shared_ptr<upstream>> target = Acquire(request, tried);
  if (!target || *target != nullptr) return target;
  const wait_place place(waiting_, request.customer);
  if (!place.IsTaken()) {
    return core::Failure(core::error_code::kOverloaded,
                         "too many requests wait for " + request.service);
  }
  while (!IsHopeless(request)) {
    std::this_thread::sleep_for(kSlotPause);
    target = Acquire(request, tried);
    if (!target || *target != nullptr) return target;
  }
  return core::Failure(
      core::error_code::kDeadlineExceeded,
      "no executor of " + request.service + " had a free slot in time");
}

core::result<service_reply> request_router::Route(
    const service_request& request) {
  attempt_history history;
  upstream_list tried;
  retries_.OnFirstAttempt();
  int attempt = 1;
  while (attempt <= options_.max_tries) {
    const auto target = AcquireInTime(request, tried);
    if (!target) return tl::unexpected(history.Verdict(target.error()));
    const bool may_try_more =
        attempt < options_.max_tries && request.idempotent;
    core::result<service_reply> reply =
        Try(**target, request, TryLimit(request, may_try_more));
    if (reply) return reply;
    const bool refused = reply.error().code == core::error_code::kOverloaded;
    history.OnFailure(std::move(reply.error()));
    if (refused) {
      // Another entry has the slot for now; any executor may be asked again.
      std::this_thread::sleep_for(kRefusalPause);
      if (!IsHopeless(request)) continue;
      return tl::unexpected(
          history.Verdict({.code = core::error_code::kDeadlineExceeded,
                           .detail = "all slots stay busy"}));
    }
    if (!history.MaySendAgain(request.idempotent)) break;
    // A try that surely did not run cost the executors nothing.
    if (history.MayHaveRun() && !retries_.TryRetry()) break;
    tried.push_back(*target);
    ++attempt;
  }
  return tl::unexpected(history.Verdict(
      {.code = core::error_code::kNotRun, .detail = "all tries failed"}));
}

}  // namespace waxwingfront::front
