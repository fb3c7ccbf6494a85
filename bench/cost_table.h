// CPU time per entry point.
#ifndef WAXWINGFRONT_BENCH_COST_TABLE_H_
#define WAXWINGFRONT_BENCH_COST_TABLE_H_

#include <cstdint>
#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <string>

namespace waxwingfront::fleet {

class cost_table {
 public:
  // Runs `action` and adds its CPU time to the total of `name`.
  void Measure(const std::string& name, const std::function<void()>& action) {
    const double before = ThreadSeconds();
    action();
    cost& entry = costs_[name];
    entry.seconds += ThreadSeconds() - before;
    ++entry.calls;
  }

  std::int64_t Calls(const std::string& name) const {
    return costs_.at(name).calls;
  }

  double MicrosPerCall(const std::string& name) const {
    const cost& entry = costs_.at(name);
    return entry.seconds * kMicrosPerSecond / static_cast<double>(entry.calls);
  }

  // Returns the CPU time of all calls.
  double AllMicros() const {
    double seconds = 0.0;
    for (const auto& [name, entry] : costs_) seconds += entry.seconds;
    return seconds * kMicrosPerSecond;
  }

  // Prints the CPU time per call and per task start, and the mean number of
  // cores in use over the simulated `seconds`.
  void Print(std::int64_t starts, double seconds) const {
    std::cout << "entry point    calls        us/call    us/start   cores\n"
              << std::fixed;
    double all_seconds = 0.0;
    for (const auto& [name, total] : costs_) {
      all_seconds += total.seconds;
      const double micros = total.seconds * kMicrosPerSecond;
      std::cout << std::left << std::setw(14) << name << " " << std::setw(8)
                << total.calls << " " << std::right << std::setprecision(1)
                << std::setw(11) << micros / static_cast<double>(total.calls)
                << " " << std::setw(11) << micros / static_cast<double>(starts)
                << " " << std::setprecision(4) << std::setw(8)
                << total.seconds / seconds << "\n";
    }
    std::cout << "sum of cores " << all_seconds / seconds << "\n";
  }

 private:
  static constexpr double kMicrosPerSecond = 1e6;

  struct cost {
    std::int64_t calls = 0;
    double seconds = 0.0;
  };

  static double ThreadSeconds() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double kSecondsPerNano = 1e-9;
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * kSecondsPerNano;
  }

  std::map<std::string, cost> costs_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_BENCH_COST_TABLE_H_
