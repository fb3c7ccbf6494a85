// A plot of the goodput over the load.
#ifndef WAXWINGFRONT_BENCH_OVERLOAD_MODEL_PLOT_H_
#define WAXWINGFRONT_BENCH_OVERLOAD_MODEL_PLOT_H_

#include <ostream>
#include <span>

#include "overload_model/result.h"

namespace waxwingfront::overload_model {

// Writes an SVG document: jobs on time of each class over the load, relative to
// the class's best load; means over the seeds.
void WritePlot(std::span<const load_result> results, std::ostream& out);

}  // namespace waxwingfront::overload_model

#endif  // WAXWINGFRONT_BENCH_OVERLOAD_MODEL_PLOT_H_
