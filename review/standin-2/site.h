// Starts the project's program as separate processes, with the command of the
// deploy file, and keeps the record of a case.
#ifndef WAXWINGFRONT_REVIEW_STANDIN_2_SITE_H_
#define WAXWINGFRONT_REVIEW_STANDIN_2_SITE_H_

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

#include "store.h"

namespace waxwingfront::review_2 {

// Lines with the time since the start of the case. Thread-safe.
class record {
 public:
  explicit record(const std::string& path) : file_(path) {}

  void Write(const std::string& line);
  std::int64_t NowMs() const;

 private:
  std::mutex mutex_;
  std::chrono::steady_clock::time_point start_ =
      std::chrono::steady_clock::now();
  std::ofstream file_;
};

struct site_options {
  std::size_t processes = 3;
  std::string store_address;
  std::string adviser_address = {};
  int memory_mb = 260;
};

// Not thread-safe, but for `Watch`.
class site {
 public:
  site(record& log, site_options options);
  site(const site&) = delete;
  site& operator=(const site&) = delete;
  // Kills the processes and removes the temporary folder.
  ~site();

  void Start(std::size_t node);
  void Kill(std::size_t node);
  void Freeze(std::size_t node);
  void Thaw(std::size_t node);
  std::uint16_t FrontPort(std::size_t node) const { return nodes_[node].front; }
  std::size_t Size() const { return nodes_.size(); }
  std::uint16_t InternalPort(std::size_t node) const {
    return nodes_[node].internal;
  }
  // To be called before the first start: the process reaches the store at this
  // address, and others know it by this port.
  void SetWays(std::size_t node, const std::string& store,
               std::uint16_t known_port);
  // Waits until all processes are ready.
  bool AwaitReady(std::chrono::milliseconds time) const;
  // Returns the process that leads, by its key in the store.
  std::size_t Leader(store& platform) const;

  // As the platform does: kills a process that exceeds its memory, and starts
  // one that has ended again. To be called every 50 ms or so.
  void Watch();
  // How often each process ended although the case did not ask for it.
  std::vector<int> OwnEnds() const;
  int HighestMemoryMb() const { return highest_memory_mb_; }

 private:
  struct node_state {
    std::uint16_t front = 0;
    std::uint16_t readiness = 0;
    std::uint16_t internal = 0;
    std::uint16_t known = 0;
    std::string store;
    std::string settings_path;
    pid_t pid = 0;
    int own_ends = 0;
    std::chrono::steady_clock::time_point ended;
  };

  std::string Settings(std::size_t node) const;

  record& log_;
  site_options options_;
  std::string folder_;
  std::vector<std::string> command_;
  std::vector<node_state> nodes_;
  int highest_memory_mb_ = 0;
};

}  // namespace waxwingfront::review_2

#endif  // WAXWINGFRONT_REVIEW_STANDIN_2_SITE_H_
