// Processor time by entry point.
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
  // Runs the action and adds its time to that of the name.
  void Timed(const std::string& name, const std::function<void()>& action) {
    const double before = ThreadSeconds();
    action();
    cost& entry = costs_[name];
    entry.seconds += ThreadSeconds() - before;
    ++entry.calls;
  }

  // Prints times a call and a start, and cores over the simulated seconds.
  void Print(std::int64_t starts, double seconds) const {
    constexpr double kMicros = 1e6;
    std::cout << "entry point    calls      us a call  us a start   cores\n"
              << std::fixed;
    double sum = 0.0;
    for (const auto& [name, one] : costs_) {
      sum += one.seconds;
      const double micros = one.seconds * kMicros;
      std::cout << std::left << std::setw(14) << name << " " << std::setw(8)
                << one.calls << " " << std::right << std::setprecision(1)
                << std::setw(11) << micros / static_cast<double>(one.calls)
                << " " << std::setw(11) << micros / static_cast<double>(starts)
                << " " << std::setprecision(4) << std::setw(8)
                << one.seconds / seconds << "\n";
    }
    std::cout << "sum of cores " << sum / seconds << "\n";
  }

 private:
  struct cost {
    std::int64_t calls = 0;
    double seconds = 0.0;
  };

  static double ThreadSeconds() {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    constexpr double kNanos = 1e-9;
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) * kNanos;
  }

  std::map<std::string, cost> costs_;
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_BENCH_COST_TABLE_H_
