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
    : options_(options), retries_(options.retries) {}

request_router::~request_router() = default;

void request_router::OnHosts(const hosts::host_view& view) {
  const std::shared_ptr<const routing_table> former = table_.Load();
  std::map<std::string, std::shared_ptr<upstream>> known;
  if (former != nullptr) {
    for (const auto& [service, list] : former->services) {
      for (const auto& item : list) {
        known[item->Executor().id + "@" + item->Executor().address] = item;
      }
    }
  }
  auto table = std::make_shared<routing_table>();
  for (const auto& [service, executors] : view.executors) {
    upstream_list& list = table->services[service];
    for (const hosts::executor_info& info : executors) {
      if (info.leaving) continue;
      std::shared_ptr<upstream> item = known[info.id + "@" + info.address];
      if (item == nullptr || item->Executor().slots != info.slots) {
        item = std::make_shared<upstream>(
            upstream_options{.executor = info,
                             .connect_timeout = options_.connect_timeout,
                             .max_body_bytes = options_.max_body_bytes});
      }
      list.push_back(std::move(item));
    }
  }
  table_.Store(std::move(table));
}

const upstream_list* request_router::FindService(const routing_table* table,
                                                 std::string_view service) {
  if (table == nullptr) return nullptr;
  const auto found = table->services.find(service);
  return found == table->services.end() ? nullptr : &found->second;
}

core::result<std::shared_ptr<upstream>> request_router::AcquireInTime(
    const service_request& request, const upstream_list& tried) const {
  while (true) {
    const std::shared_ptr<const routing_table> table = table_.Load();
    const upstream_list* candidates = FindService(table.get(), request.service);
    if (candidates == nullptr || candidates->size() <= tried.size()) {
      return core::Failure(core::error_code::kNoUpstream,
                           "no executor of " + request.service + " is left");
    }
    if (auto item = AcquireUpstream(*candidates, tried)) return item;
    if (core::Now() + kSlotPause >= request.deadline) {
      return core::Failure(
          core::error_code::kDeadlineExceeded,
          "no executor of " + request.service + " had a free slot in time");
    }
    std::this_thread::sleep_for(kSlotPause);
  }
}

core::result<service_reply> request_router::Route(
    const service_request& request) {
  attempt_history history;
  upstream_list tried;
  retries_.OnFirstAttempt();
  for (int attempt = 1; attempt <= options_.max_tries; ++attempt) {
    const auto target = AcquireInTime(request, tried);
    if (!target) return tl::unexpected(history.Verdict(target.error()));
    const bool may_try_more =
        attempt < options_.max_tries && request.idempotent;
    core::result<service_reply> reply =
        (*target)->Send(request, TryLimit(request, may_try_more));
    (*target)->ReleaseSlot();
    if (reply) return reply;
    history.OnFailure(std::move(reply.error()));
    if (!history.MaySendAgain(request.idempotent)) break;
    // A try that surely did not run cost the executors nothing.
    if (history.MayHaveRun() && !retries_.TryRetry()) break;
    tried.push_back(*target);
  }
  return tl::unexpected(history.Verdict(
      {.code = core::error_code::kNotRun, .detail = "all tries failed"}));
}

}  // namespace waxwingfront::front
