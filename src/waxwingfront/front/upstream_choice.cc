#include "waxwingfront/front/upstream_choice.h"

#include <algorithm>
#include <random>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/front/upstream.h"

namespace waxwingfront::front {
namespace {

// Random pairs that are sampled before all executors are scanned. With half of
// the slots in use, nearly every choice succeeds within them.
constexpr int kRandomPairs = 4;

std::size_t RandomIndex(std::size_t size) {
  thread_local std::minstd_rand generator{std::random_device{}()};
  return std::uniform_int_distribution<std::size_t>(0, size - 1)(generator);
}

// Which slots of an executor may be acquired.
enum class slot_kind { kOwn, kAny };

int SlotLimit(const upstream& item, slot_kind kind) {
  return kind == slot_kind::kOwn ? item.OwnSlots()
                                 : item.UsableSlots(core::Now());
}

bool IsEligible(const std::shared_ptr<upstream>& item,
                const upstream_list& tried, slot_kind kind) {
  if (item->Outstanding() >= SlotLimit(*item, kind)) return false;
  return std::find(tried.begin(), tried.end(), item) == tried.end();
}

const std::shared_ptr<upstream>* LessLoaded(
    const std::shared_ptr<upstream>* left,
    const std::shared_ptr<upstream>* right) {
  if (left == nullptr) return right;
  if (right == nullptr) return left;
  return (*right)->Outstanding() < (*left)->Outstanding() ? right : left;
}

std::shared_ptr<upstream> AcquireFromRandomPairs(
    const upstream_list& candidates, const upstream_list& tried,
    slot_kind kind) {
  const core::monotonic_time now = core::Now();
  const auto pick = [&]() -> const std::shared_ptr<upstream>* {
    const auto& item = candidates[RandomIndex(candidates.size())];
    return IsEligible(item, tried, kind) && !item->IsSuspect(now) ? &item
                                                                  : nullptr;
  };
  for (int pair = 0; pair < kRandomPairs; ++pair) {
    const auto* first = pick();
    const auto* chosen = LessLoaded(first, pick());
    if (chosen != nullptr &&
        (*chosen)->TryAcquireSlot(SlotLimit(**chosen, kind)))
      return *chosen;
  }
  return nullptr;
}

// Scans all executors, starting at a random one.
std::shared_ptr<upstream> AcquireFromAll(const upstream_list& candidates,
                                         const upstream_list& tried,
                                         slot_kind kind, bool with_suspects) {
  const core::monotonic_time now = core::Now();
  const std::size_t begin = RandomIndex(candidates.size());
  for (std::size_t step = 0; step < candidates.size(); ++step) {
    const auto& item = candidates[(begin + step) % candidates.size()];
    if (!with_suspects && item->IsSuspect(now)) continue;
    if (IsEligible(item, tried, kind) &&
        item->TryAcquireSlot(SlotLimit(*item, kind)))
      return item;
  }
  return nullptr;
}

}  // namespace

std::shared_ptr<upstream> AcquireUpstream(const upstream_list& candidates,
                                          const upstream_list& tried) {
  if (candidates.empty()) return nullptr;
  for (const slot_kind kind : {slot_kind::kOwn, slot_kind::kAny}) {
    if (auto item = AcquireFromRandomPairs(candidates, tried, kind))
      return item;
    if (auto item = AcquireFromAll(candidates, tried, kind, false)) return item;
  }
  return AcquireFromAll(candidates, tried, slot_kind::kAny, true);
}

}  // namespace waxwingfront::front
