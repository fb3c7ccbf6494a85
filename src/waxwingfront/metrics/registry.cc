#include "waxwingfront/metrics/registry.h"

#include <limits>
#include <sstream>

namespace waxwingfront::metrics {
namespace {

std::string Escaped(std::string_view value) {
  std::string text;
  for (const char symbol : value) {
    if (symbol == '\n') {
      text += "\\n";
      continue;
    }
    if (symbol == '"' || symbol == '\\') text += '\\';
    text += symbol;
  }
  return text;
}

std::string LabelText(const std::vector<label>& labels) {
  std::string text;
  for (const label& item : labels) {
    if (!text.empty()) text += ",";
    text += item.name + "=\"" + Escaped(item.value) + "\"";
  }
  return text;
}

std::string Braced(const std::string& labels) {
  return labels.empty() ? "" : "{" + labels + "}";
}

void PrintHistogram(std::ostream& out, const std::string& name,
                    const std::string& labels, const histogram& metric) {
  const histogram_totals totals = metric.Totals();
  const std::string prefix = labels.empty() ? "" : labels + ",";
  std::uint64_t cumulative = 0;
  for (std::size_t index = 0; index < kBucketBounds.size(); ++index) {
    cumulative += totals.buckets[index];
    out << name << "_bucket{" << prefix << "le=\"" << kBucketBounds[index]
        << "\"} " << cumulative << "\n";
  }
  out << name << "_bucket{" << prefix << "le=\"+Inf\"} " << totals.count
      << "\n";
  out << name << "_sum" << Braced(labels) << " " << totals.sum << "\n";
  out << name << "_count" << Braced(labels) << " " << totals.count << "\n";
}

}  // namespace

template <typename Metric>
Metric& registry::Find(families<Metric>& all, std::string_view name,
                       const std::vector<label>& labels) {
  const std::lock_guard lock(mutex_);
  auto& members = all[std::string(name)].members;
  std::unique_ptr<Metric>& metric = members[LabelText(labels)];
  if (metric == nullptr) metric = std::make_unique<Metric>();
  return *metric;
}

counter& registry::Counter(std::string_view name,
                           const std::vector<label>& labels) {
  return Find(counters_, name, labels);
}

gauge& registry::Gauge(std::string_view name,
                       const std::vector<label>& labels) {
  return Find(gauges_, name, labels);
}

histogram& registry::Histogram(std::string_view name,
                               const std::vector<label>& labels) {
  return Find(histograms_, name, labels);
}

std::string registry::Text() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream out;
  // The default of 6 digits would freeze a sum of seconds once it is large.
  out.precision(std::numeric_limits<double>::digits10);
  for (const auto& [name, members] : counters_) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [labels, metric] : members.members) {
      out << name << Braced(labels) << " " << metric->Value() << "\n";
    }
  }
  for (const auto& [name, members] : gauges_) {
    out << "# TYPE " << name << " gauge\n";
    for (const auto& [labels, metric] : members.members) {
      out << name << Braced(labels) << " " << metric->Value() << "\n";
    }
  }
  for (const auto& [name, members] : histograms_) {
    out << "# TYPE " << name << " histogram\n";
    for (const auto& [labels, metric] : members.members) {
      PrintHistogram(out, name, labels, *metric);
    }
  }
  return out.str();
}

}  // namespace waxwingfront::metrics
