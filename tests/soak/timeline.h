// What happened during a soak, and the promises that were broken.
#ifndef WAXWINGFRONT_TESTS_SOAK_TIMELINE_H_
#define WAXWINGFRONT_TESTS_SOAK_TIMELINE_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

namespace waxwingfront::soak {

using std::chrono::milliseconds;

class timeline {
 public:
  explicit timeline(const std::string& path);

  // Time since the start.
  milliseconds Now() const;
  // Adds one line to the file.
  void Write(std::string_view text);
  // Also shown around breaches.
  void Fault(std::string_view text);
  void Breach(std::string_view promise, std::string_view text);
  // Prints each breach with the faults before it; returns their number.
  std::size_t Print(std::ostream& out) const;

 private:
  using clock = std::chrono::steady_clock;

  struct entry {
    milliseconds at{0};
    std::string text;
  };

  void Append(const entry& line);

  clock::time_point started_ = clock::now();
  mutable std::mutex mutex_;
  std::ofstream file_;
  std::vector<entry> faults_;
  std::vector<entry> breaches_;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_TIMELINE_H_
