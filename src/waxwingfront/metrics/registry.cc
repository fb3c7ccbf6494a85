#include "waxwingfront/metrics/registry.h"

#include <limits>
#include <sstream>

namespace waxwingfront::metrics {
namespace {

std::string EscapeLabelValue(std::string_view value) {
  std::string text;
  for (const char character : value) {
    if (character == '\n') {
      text += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') text += '\\';
    text += character;
  }
  return text;
}

std::string FormatLabels(const std::vector<label>& labels) {
  std::string text;
  for (const label& item : labels) {
    if (!text.empty()) text += ",";
    text += item.name + "=\"" + EscapeLabelValue(item.value) + "\"";
  }
  return text;
}

std::string InBraces(const std::string& labels) {
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
  out << name << "_sum" << InBraces(labels) << " " << totals.sum << "\n";
  out << name << "_count" << InBraces(labels) << " " << totals.count << "\n";
}

}  // namespace

template <typename Metric>
Metric& registry::GetOrCreate(families<Metric>& all, std::string_view name,
                              const std::vector<label>& labels) {
  const std::lock_guard lock(mutex_);
  auto& members = all[std::string(name)].members;
  std::unique_ptr<Metric>& metric = members[FormatLabels(labels)];
  if (metric == nullptr) metric = std::make_unique<Metric>();
  return *metric;
}

counter& registry::Counter(std::string_view name,
                           const std::vector<label>& labels) {
  return GetOrCreate(counters_, name, labels);
}

gauge& registry::Gauge(std::string_view name,
                       const std::vector<label>& labels) {
  return GetOrCreate(gauges_, name, labels);
}

histogram& registry::Histogram(std::string_view name,
                               const std::vector<label>& labels) {
  return GetOrCreate(histograms_, name, labels);
}

std::string registry::Text() const {
  const std::lock_guard lock(mutex_);
  std::ostringstream out;
  // With the default precision of 6 digits a large sum of seconds would stop
  // increasing in the output.
  out.precision(std::numeric_limits<double>::digits10);
  for (const auto& [name, members] : counters_) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [labels, metric] : members.members) {
      out << name << InBraces(labels) << " " << metric->Value() << "\n";
    }
  }
  for (const auto& [name, members] : gauges_) {
    out << "# TYPE " << name << " gauge\n";
    for (const auto& [labels, metric] : members.members) {
      out << name << InBraces(labels) << " " << metric->Value() << "\n";
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
