// Faults in series, drawn from a seed.
#ifndef WAXWINGFRONT_TESTS_SOAK_SCHEDULE_H_
#define WAXWINGFRONT_TESTS_SOAK_SCHEDULE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "review/standin/executor.h"
#include "review/standin/store.h"
#include "soak/caller_link.h"
#include "soak/manifest.h"
#include "soak/site.h"

namespace waxwingfront::soak {

class schedule {
 public:
  schedule(timeline& log, site& processes, review::store& platform,
           std::span<const std::unique_ptr<review::executor>> executors,
           std::uint64_t seed, bool replaces);

  // Writes a manifest with all queues.
  void Configure();
  void Run(milliseconds time);
  // Ends all faults and restores the manifest.
  void Heal();
  // Lets the time pass without new faults until `until` is true.
  bool Await(const std::function<bool()>& until, milliseconds time);

 private:
  int Draw(int below);
  std::size_t DrawNode();
  void After(int delay_ms, std::function<void()> action);
  void Step();
  void Disturb();
  void StopAndContinue(std::size_t node, int time_ms);
  void ChangeManifest();
  void LoseExecutor();
  // Many idle connections at once.
  void Crowd(std::size_t node);
  // The successor starts while the process is still ending.
  void Replace(std::size_t node);
  void EndAll();

  timeline& log_;
  site& site_;
  review::store& platform_;
  std::span<const std::unique_ptr<review::executor>> executors_;
  std::mt19937_64 random_;
  std::int64_t version_ = 0;
  std::multimap<milliseconds, std::function<void()>> due_;
  // Position of an executor that is down.
  std::map<std::size_t, bool> lost_;
  bool replaces_;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_SCHEDULE_H_
