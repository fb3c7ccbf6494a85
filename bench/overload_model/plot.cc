#include "overload_model/plot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <string>
#include <string_view>

namespace waxwingfront::overload_model {
namespace {

constexpr double kWidth = 640.0;
constexpr double kHeight = 400.0;
constexpr double kMargin = 50.0;
constexpr double kLineHeight = 18.0;
constexpr std::array<std::string_view, 4> kColours{"#0b6e99", "#c0392b",
                                                   "#2e8b57", "#8e44ad"};

// Jobs on time by load, for each class.
using curves = std::map<std::string, std::map<double, double>>;

curves ToCurves(std::span<const load_result> results) {
  std::map<double, int> runs;
  curves sums;
  for (const load_result& result : results) {
    ++runs[result.load];
    for (const class_result& jobs : result.classes) {
      if (jobs.asked == 0) continue;
      sums[jobs.name][result.load] += jobs.Ended(job_outcome::kOnTime);
    }
  }
  for (auto& [name, curve] : sums) {
    double best = 1.0;
    for (auto& [load, jobs] : curve) {
      jobs /= runs.at(load);
      best = std::max(best, jobs);
    }
    for (auto& [load, jobs] : curve) jobs /= best;
  }
  return sums;
}

double MaxLoad(std::span<const load_result> results) {
  double max = 1.0;
  for (const load_result& result : results) max = std::max(max, result.load);
  return std::ceil(max);
}

double X(double load, double max_load) {
  return kMargin + load / max_load * (kWidth - 2 * kMargin);
}

double Y(double share) {
  return kHeight - kMargin - share * (kHeight - 2 * kMargin);
}

void WriteText(double x, double y, std::string_view text,
               std::string_view colour, std::ostream& out) {
  out << "<text x='" << x << "' y='" << y << "' fill='" << colour << "'>"
      << text << "</text>\n";
}

void WriteAxes(double max_load, std::ostream& out) {
  constexpr int kRows = 4;
  for (int i = 0; i <= kRows; ++i) {
    const double share = static_cast<double>(i) / kRows;
    out << "<line x1='" << X(0, max_load) << "' x2='" << X(max_load, max_load)
        << "' y1='" << Y(share) << "' y2='" << Y(share)
        << "' stroke='#ddd'/>\n";
    WriteText(kMargin / 4, Y(share), std::to_string(100 * i / kRows) + " %",
              "#333", out);
  }
  for (int load = 0; load <= static_cast<int>(max_load); ++load) {
    WriteText(X(load, max_load), kHeight - kMargin + kLineHeight,
              std::to_string(load), "#333", out);
  }
  WriteText(kMargin, kMargin / 2,
            "Jobs on time, relative to the best load, over the load", "#333",
            out);
}

}  // namespace

void WritePlot(std::span<const load_result> results, std::ostream& out) {
  const double max_load = MaxLoad(results);
  out << "<svg xmlns='http://www.w3.org/2000/svg' width='" << kWidth
      << "' height='" << kHeight
      << "' font-family='sans-serif' font-size='12'>\n"
      << "<rect width='100%' height='100%' fill='white'/>\n";
  WriteAxes(max_load, out);
  std::size_t index = 0;
  for (const auto& [name, curve] : ToCurves(results)) {
    const std::string_view colour = kColours.at(index % kColours.size());
    out << "<polyline fill='none' stroke-width='2' stroke='" << colour
        << "' points='";
    for (const auto& [load, share] : curve) {
      out << X(load, max_load) << "," << Y(share) << " ";
    }
    out << "'/>\n";
    WriteText(kWidth - 2 * kMargin,
              kMargin + static_cast<double>(index) * kLineHeight, name, colour,
              out);
    ++index;
  }
  out << "</svg>\n";
}

}  // namespace waxwingfront::overload_model
