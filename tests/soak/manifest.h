// The operator's manifest.
#ifndef WAXWINGFRONT_TESTS_SOAK_MANIFEST_H_
#define WAXWINGFRONT_TESTS_SOAK_MANIFEST_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace waxwingfront::soak {

struct queue {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;
  // Is never removed.
  bool stays = true;
};

inline constexpr int kMaxAttempts = 3;

// The queues that callers use.
std::vector<queue> AllQueues();

struct manifest_times {
  int request_ms = 3000;
  int header_ms = 3000;
  int idle_ms = 15'000;
};

std::string ManifestText(std::int64_t version, const manifest_times& times,
                         std::span<const queue> queues);

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_MANIFEST_H_
