// Output of results as a table, as CSV and as a plot.
#ifndef WAXWINGFRONT_BENCH_OVERLOAD_MODEL_REPORT_H_
#define WAXWINGFRONT_BENCH_OVERLOAD_MODEL_REPORT_H_

#include <ostream>
#include <span>
#include <string>

#include "overload_model/result.h"

namespace waxwingfront::overload_model {

// Write the table, a row for each load, seed and class.
void PrintHeading(std::ostream& out);
void Print(const load_result& result, std::ostream& out);

// Write a file. Throw `Poco::Exception` if it cannot be written.
void WriteCsv(std::span<const load_result> results, const std::string& path);
// See `WritePlot`.
void WriteSvg(std::span<const load_result> results, const std::string& path);

}  // namespace waxwingfront::overload_model

#endif  // WAXWINGFRONT_BENCH_OVERLOAD_MODEL_REPORT_H_
