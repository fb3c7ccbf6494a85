#include "waxwingfront/front/request_router.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include "waxwingfront/front/upstream.h"

namespace waxwingfront::front {
namespace {

// Pause between two looks for a free slot.
constexpr core::milliseconds kSlotPause{1};

std::size_t RandomIndex(std::size_t size) {
  thread_local std::minstd_rand generator{std::random_device{}()};
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(generator);
}

}  // namespace

request_router::request_router(request_router_options options)
    : options_(options) {}

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

std::shared_ptr<upstream> request_router::Acquire(
    const upstream_list& candidates, const upstream_list& tried) {
  upstream_list open;
  for (const auto& item : candidates) {
    const bool used =
        std::find(tried.begin(), tried.end(), item) != tried.end();
    if (!used && item->Outstanding() < item->Executor().slots)
      open.push_back(item);
  }
  while (!open.empty()) {
    const std::size_t first = RandomIndex(open.size());
    const std::size_t second = RandomIndex(open.size());
    const std::size_t chosen =
        open[second]->Outstanding() < open[first]->Outstanding() ? second
                                                                 : first;
    if (open[chosen]->TryAcquireSlot()) return open[chosen];
    open.erase(open.begin() + static_cast<std::ptrdiff_t>(chosen));
  }
  return nullptr;
}

std::shared_ptr<upstream> request_router::AcquireInTime(
    const service_request& request, const upstream_list& tried) const {
  while (true) {
    const std::shared_ptr<const routing_table> table = table_.Load();
    if (table == nullptr) return nullptr;
    const auto found = table->services.find(request.service);
    if (found == table->services.end() || found->second.size() <= tried.size())
      return nullptr;
    if (auto item = Acquire(found->second, tried)) return item;
    if (core::Now() + kSlotPause >= request.deadline) return nullptr;
    std::this_thread::sleep_for(kSlotPause);
  }
}

core::result<service_reply> request_router::Route(
    const service_request& request) {
  core::result<service_reply> last = core::Failure(
      core::error_code::kNoUpstream, "no executor of " + request.service);
  upstream_list tried;
  for (int attempt = 0; attempt < options_.max_tries; ++attempt) {
    if (core::Now() >= request.deadline) {
      // A first try that may have run keeps its answer "outcome unknown".
      const bool may_have_run =
          !last && last.error().code == core::error_code::kOutcomeUnknown;
      if (may_have_run) return last;
      return core::Failure(core::error_code::kDeadlineExceeded,
                           "no slot in time");
    }
    const std::shared_ptr<upstream> target = AcquireInTime(request, tried);
    if (target == nullptr) return last;
    last = target->Send(request);
    target->ReleaseSlot();
    if (last) return last;
    const bool did_not_run = last.error().code == core::error_code::kNotRun;
    if (!did_not_run && !request.idempotent) return last;
    tried.push_back(target);
  }
  return last;
}

}  // namespace waxwingfront::front
