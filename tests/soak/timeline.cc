#include "soak/timeline.h"

#include <cstddef>

namespace waxwingfront::soak {
namespace {

// Faults that are shown around a breach.
constexpr milliseconds kBefore{8000};
constexpr milliseconds kAfter{500};

}  // namespace

timeline::timeline(const std::string& path) : file_(path, std::ios::trunc) {}

milliseconds timeline::Now() const {
  return std::chrono::duration_cast<milliseconds>(clock::now() - started_);
}

void timeline::Append(const entry& line) {
  file_ << line.at.count() << " ms  " << line.text << "\n" << std::flush;
}

void timeline::Write(std::string_view text) {
  const std::scoped_lock lock(mutex_);
  Append({Now(), std::string(text)});
}

void timeline::Fault(std::string_view text) {
  const std::scoped_lock lock(mutex_);
  faults_.push_back({Now(), std::string(text)});
  Append(faults_.back());
}

void timeline::Breach(std::string_view promise, std::string_view text) {
  const std::scoped_lock lock(mutex_);
  breaches_.push_back(
      {Now(), "BROKEN " + std::string(promise) + ": " + std::string(text)});
  Append(breaches_.back());
}

std::size_t timeline::Print(std::ostream& out) const {
  const std::scoped_lock lock(mutex_);
  for (const entry& breach : breaches_) {
    out << breach.at.count() << " ms  " << breach.text << "\n";
    for (const entry& fault : faults_) {
      if (fault.at + kBefore < breach.at || fault.at > breach.at + kAfter) {
        continue;
      }
      out << "    " << fault.at.count() << " ms  " << fault.text << "\n";
    }
  }
  return breaches_.size();
}

}  // namespace waxwingfront::soak
