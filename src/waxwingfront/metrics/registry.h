// Registry of counters, gauges and histograms, and its Prometheus export.
#ifndef WAXWINGFRONT_METRICS_REGISTRY_H_
#define WAXWINGFRONT_METRICS_REGISTRY_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/metrics/histogram.h"

namespace waxwingfront::metrics {

// A monotonically increasing number.
class counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

// A number that can go up and down.
class gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  std::int64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

// A label and its value, for example {"customer", "jihlava"}.
struct label {
  std::string name;
  std::string value;
};

// Owns all metrics. References stay valid for the lifetime of the registry.
// Lookups take a lock, so the request path stores the references. Thread-safe.
class registry {
 public:
  counter& Counter(std::string_view name,
                   const std::vector<label>& labels = {});
  gauge& Gauge(std::string_view name, const std::vector<label>& labels = {});
  // Observed values are in seconds.
  histogram& Histogram(std::string_view name,
                       const std::vector<label>& labels = {});

  // Returns all metrics in the Prometheus text format.
  std::string Text() const;

 private:
  template <typename Metric>
  struct family {
    std::map<std::string, std::unique_ptr<Metric>> members;
  };
  template <typename Metric>
  using families = std::map<std::string, family<Metric>, std::less<>>;

  template <typename Metric>
  Metric& GetOrCreate(families<Metric>& all, std::string_view name,
                      const std::vector<label>& labels);

  mutable std::mutex mutex_;
  families<counter> counters_;
  families<gauge> gauges_;
  families<histogram> histograms_;
};

}  // namespace waxwingfront::metrics

#endif  // WAXWINGFRONT_METRICS_REGISTRY_H_
