// Faults in series, drawn from a seed.
#ifndef WAXWINGFRONT_TESTS_SOAK_SCHEDULE_H_
#define WAXWINGFRONT_TESTS_SOAK_SCHEDULE_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "review/standin/store.h"
#include "soak/caller_link.h"
#include "soak/manifest.h"
#include "soak/site.h"
#include "soak/soak_executor.h"
#include "soak/store_gate.h"

namespace waxwingfront::soak {

// What the processes talk to.
struct surroundings {
  review::store& platform;
  store_gate& gate;
  std::vector<soak_executor*> executors;
  // To each process from the others.
  std::vector<fault_proxy*> links;
};

struct schedule_options {
  std::uint64_t seed = 1;
  // Successors start beside processes that are still ending.
  bool replaces = false;
  // Writes without an answer beside changes of the leader.
  bool late_writes = false;
};

class schedule {
 public:
  schedule(timeline& log, site& processes, surroundings outside,
           const schedule_options& options);

  // Called at each step of all that waits.
  std::function<void()> on_step = [] {};

  // Writes a manifest with all queues.
  void Configure();
  void Run(milliseconds time);
  // Ends all faults and restores the manifest.
  void Heal();
  // Whether the store or an executor or a link to one was disturbed.
  bool LinksDisturbed(milliseconds since) const {
    return milliseconds(disturbed_until_ms_) >= since;
  }
  // Lets the time pass without new faults until `until` is true.
  bool Await(const std::function<bool()>& until, milliseconds time);

 private:
  using random = std::mt19937_64;

  static int Draw(random& draw, int below);
  int Draw(int below) { return Draw(random_, below); }
  std::size_t DrawNode();
  void After(std::int64_t delay_ms, std::function<void()> action);
  void Step();
  void Disturb();
  void StopAndContinue(std::size_t node, int time_ms);
  void ChangeManifest();
  // Names the fault and lets `end` end it after `time_ms`.
  void Outside(const std::string& text, int time_ms, std::function<void()> end);
  void DisturbStore();
  void DisturbExecutor();
  void DisturbLink(random& draw, fault_proxy& link, const std::string& about);
  void DisturbProcessLink();
  void StepClock();
  // In series with changes of the leader and entries that lapse. Returns for
  // how long.
  milliseconds LoseWrites();
  void ChangeLeader(int how);
  void LoseExecutor(soak_executor& target);
  // Many idle connections at once.
  void Crowd(std::size_t node);
  // The successor starts while the process is still ending.
  void Replace(std::size_t node);
  void EndAll();

  timeline& log_;
  site& site_;
  surroundings outside_;
  random random_;
  // Apart from the other faults, which stay as they are for a seed.
  random link_random_;
  random clock_random_;
  random write_random_;
  std::int64_t version_ = 0;
  std::multimap<milliseconds, std::function<void()>> due_;
  std::atomic<std::int64_t> disturbed_until_ms_{0};
  bool replaces_;
  bool late_writes_;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_SCHEDULE_H_
