// Measures one routing decision: the choice of an executor with a free slot.
#include <benchmark/benchmark.h>

#include <string>

#include "waxwingfront/front/request_router.h"
#include "waxwingfront/front/upstream.h"
#include "waxwingfront/front/upstream_choice.h"

namespace waxwingfront::front {
namespace {

constexpr int kSlots = 8;

// Returns `count` executors, each with half of its slots acquired.
upstream_list MakeHalfLoaded(std::int64_t count) {
  upstream_list list;
  for (std::int64_t index = 0; index < count; ++index) {
    list.push_back(std::make_shared<upstream>(
        upstream_options{.executor = {.id = std::to_string(index),
                                      .slots = kSlots,
                                      .connections = kSlots}}));
    for (int slot = 0; slot < kSlots / 2; ++slot)
      list.back()->TryAcquireSlot(kSlots);
  }
  return list;
}

void AcquireAndRelease(benchmark::State& state) {
  static upstream_list list;
  if (state.thread_index() == 0) list = MakeHalfLoaded(state.range(0));
  for (auto _ : state) {
    const auto chosen = AcquireUpstream(list, {});
    if (chosen != nullptr) chosen->ReleaseSlot();
  }
}

BENCHMARK(AcquireAndRelease)->Arg(65)->Arg(5000);
BENCHMARK(AcquireAndRelease)->Arg(65)->Arg(5000)->Threads(4);

}  // namespace
}  // namespace waxwingfront::front

BENCHMARK_MAIN();
