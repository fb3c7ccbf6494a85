// Measures what a measurement of a stage's processor time costs.
#include <benchmark/benchmark.h>

#include "waxwingfront/fleet/processor_stages.h"

namespace waxwingfront::fleet {
namespace {

void Scope(benchmark::State& run) {
  processor_stages stages;
  for (auto unused : run) {
    const processor_scope scope(&stages, processor_stage::kReport);
  }
}
BENCHMARK(Scope);

}  // namespace
}  // namespace waxwingfront::fleet

BENCHMARK_MAIN();
