#include "waxwingfront/front/request_router.h"

#include <algorithm>
#include <thread>
#include <utility>

#include "waxwingfront/front/attempt_history.h"
#include "waxwingfront/front/rejection_time.h"
#include "waxwingfront/front/upstream.h"

namespace waxwingfront::front {
namespace {

// Interval at which a waiting request checks for a free slot.
constexpr core::milliseconds kSlotPollInterval{1};
// Pause after an executor rejected a request for lack of a free slot.
constexpr core::milliseconds kRejectionBackoff{5};

// Holds a position in a wait queue for the lifetime of the object.
class wait_queue_guard {
 public:
  wait_queue_guard(wait_queue& queue, std::string_view customer)
      : queue_(queue),
        customer_(customer),
        entered_(queue.TryEnter(customer)) {}
  wait_queue_guard(const wait_queue_guard&) = delete;
  wait_queue_guard& operator=(const wait_queue_guard&) = delete;
  ~wait_queue_guard() {
    if (entered_) queue_.Leave(customer_);
  }
  bool HasEntered() const { return entered_; }

 private:
  wait_queue& queue_;
  std::string_view customer_;
  bool entered_;
};

// Returns the time at which an attempt is abandoned. A request that may be
// retried keeps half of its remaining time for another executor.
core::monotonic_time AttemptDeadline(const service_request& request,
                                     bool may_retry, core::monotonic_time now) {
  if (!may_retry) return request.deadline;
  return now + (request.deadline - now) / 2;
}

}  // namespace

request_router::request_router(request_router_options options)
    : options_(std::move(options)),
      retries_(options_.retries),
      wait_queue_(options_.waiting),
      entries_{options_.entry_id} {}

request_router::~request_router() = default;

std::shared_ptr<upstream> request_router::MakeUpstream(
    const hosts::executor_info& info,
    std::span<const std::string> entries) const {
  auto item = std::make_shared<upstream>(
      upstream_options{.executor = info,
                       .connect_timeout = options_.connect_timeout,
                       .max_body_bytes = options_.max_body_bytes});
  item->UpdateShare(entries, options_.entry_id);
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
      item->UpdateShare(entries_, options_.entry_id);
  }
}

void request_router::OnHosts(const hosts::host_view& view) {
  const std::lock_guard lock(entries_mutex_);
  const std::shared_ptr<const routing_table> previous = table_.Load();
  std::map<std::string, std::shared_ptr<upstream>> existing;
  if (previous != nullptr) {
    for (const auto& [service, route] : previous->services) {
      for (const auto& item : route.upstreams) {
        existing[item->Executor().id + "@" + item->Executor().address] = item;
      }
    }
  }
  auto table = std::make_shared<routing_table>();
  for (const auto& [service, executors] : view.executors) {
    service_route& route = table->services[service];
    const service_route* previous_route = FindService(previous.get(), service);
    route.response_time = previous_route == nullptr
                              ? std::make_shared<service_time_estimate>()
                              : previous_route->response_time;
    for (const hosts::executor_info& info : executors) {
      if (info.leaving) continue;
      std::shared_ptr<upstream> item = existing[info.id + "@" + info.address];
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

bool request_router::CannotMeetDeadline(const service_request& request) const {
  const core::monotonic_time now = options_.now();
  if (now >= request.deadline) return true;
  const std::shared_ptr<const routing_table> table = table_.Load();
  const service_route* route = FindService(table.get(), request.service);
  return route != nullptr &&
         route->response_time->CannotMeetDeadline(
             request.deadline - now, request.deadline - request.received);
}

core::result<service_reply> request_router::Attempt(
    upstream& target, const service_request& request,
    core::monotonic_time limit) const {
  const core::monotonic_time begin = options_.now();
  core::result<service_reply> reply = target.Send(request, limit);
  target.ReleaseSlot();
  const std::shared_ptr<const routing_table> table = table_.Load();
  const service_route* route = FindService(table.get(), request.service);
  if (reply && route != nullptr) {
    route->response_time->Observe(options_.now() - begin);
  }
  return reply;
}

core::result<std::shared_ptr<upstream>> request_router::AcquireOrWait(
    const service_request& request, const upstream_list& tried) {
  core::result<std::shared_ptr<upstream>> target = Acquire(request, tried);
  if (!target || *target != nullptr) return target;
  const wait_queue_guard guard(wait_queue_, request.customer);
  if (!guard.HasEntered()) {
    return core::Failure(core::error_code::kOverloaded,
                         "too many requests wait for " + request.service);
  }
  while (!CannotMeetDeadline(request)) {
    std::this_thread::sleep_for(kSlotPollInterval);
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
  rejection_time rejections;
  upstream_list tried;
  retries_.OnFirstAttempt();
  int attempt = 1;
  while (attempt <= options_.max_attempts) {
    const auto target = AcquireOrWait(request, tried);
    if (!target) return tl::unexpected(history.FinalError(target.error()));
    const bool may_retry =
        attempt < options_.max_attempts && request.idempotent;
    const core::monotonic_time sent = options_.now();
    core::result<service_reply> reply =
        Attempt(**target, request, AttemptDeadline(request, may_retry, sent));
    if (reply) return reply;
    const bool rejected = reply.error().code == core::error_code::kOverloaded;
    history.OnFailure(std::move(reply.error()));
    if (rejected) {
      // Another entry uses the slot for now, so this executor stays a
      // candidate.
      rejections.OnRejection(options_.now() - sent);
      std::this_thread::sleep_for(kRejectionBackoff);
      if (rejections.LeavesTimeFor(request.deadline - options_.now()) &&
          !CannotMeetDeadline(request)) {
        continue;
      }
      return tl::unexpected(
          history.FinalError({.code = core::error_code::kDeadlineExceeded,
                              .detail = "all slots stay busy"}));
    }
    if (!history.MayRetry(request.idempotent)) break;
    // An attempt that certainly did not run added no load to the executors, so
    // its retry is not charged to the budget.
    if (history.MayHaveRun() && !retries_.TryRetry()) break;
    tried.push_back(*target);
    ++attempt;
  }
  return tl::unexpected(history.FinalError(
      {.code = core::error_code::kNotRun, .detail = "all tries failed"}));
}

}  // namespace waxwingfront::front
