// The processes under test, and what is watched on them.
#ifndef WAXWINGFRONT_TESTS_SOAK_SITE_H_
#define WAXWINGFRONT_TESTS_SOAK_SITE_H_

#include <sys/types.h>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "soak/timeline.h"

namespace waxwingfront::soak {

struct site_options {
  std::string program;
  std::string folder;
  // The store's address as each process sees it.
  std::vector<std::string> store_addresses;
  std::string adviser_address;
  int status_s = 120;
  bool one_core = false;
  // Limit of descriptors in the process; 0: none.
  int descriptors = 0;
  // Of the settings; the links are one a process.
  double cpu_share = 0.25;
  std::vector<double> link_mbps;
  bool check_memory = true;
};

// All members but the queries are called by the thread that created the site.
class site {
 public:
  site(timeline& log, site_options options);
  site(const site&) = delete;
  site& operator=(const site&) = delete;
  ~site();

  std::size_t Size() const { return nodes_.size(); }
  std::uint16_t FrontPort(std::size_t node) const;
  std::uint16_t ReadinessPort(std::size_t node) const;
  // Where the other processes reach it.
  std::string InternalAddress(std::size_t node) const;

  // Starts the process unless it runs. `beside`: also beside a predecessor that
  // is still ending.
  void Start(std::size_t node, bool beside = false);
  void Terminate(std::size_t node);
  void Kill(std::size_t node);
  void Stop(std::size_t node);
  void Continue(std::size_t node);
  // SIGHUP beside settings that are half written at that moment.
  void Reload(std::size_t node);
  // Takes note of ends, watches memory and descriptors, starts what is due.
  void Poll();
  // Terminates all for good.
  void Finish();
  bool AnyRunning() const;
  bool Ready() const;

  // Queries of other threads. A kill by the soak or an end that was reported.
  bool KilledSince(std::size_t node, milliseconds since) const;
  bool StoppedSince(std::size_t node, milliseconds since) const;
  // A process that was stopped between SIGTERM and its end has ended.
  bool EndedFrozenSince(std::size_t node, milliseconds since) const;
  bool AnyDisturbedSince(milliseconds since) const;
  // The process that has opened this loopback connection.
  std::optional<std::size_t> OpenerOf(std::uint16_t client_port,
                                      std::uint16_t server_port) const;
  std::string Summary() const;

 private:
  struct process {
    pid_t pid = 0;
    int starts = 0;
    bool stopped = false;
    std::optional<milliseconds> terminated;
    // Handled SIGTERM when it was sent for the first time.
    bool handled_sigterm = false;
    bool killed = false;
    bool was_frozen_while_ending = false;
    milliseconds started{0};
    // Reported once a process.
    bool over_memory = false;
    bool over_descriptors = false;
  };
  struct node_state {
    std::uint16_t front = 0;
    std::uint16_t readiness = 0;
    std::uint16_t internal = 0;
    std::string settings_path;
    std::string settings;
    // The newest is the last.
    std::vector<process> processes;
    std::optional<milliseconds> start_at;
    std::optional<milliseconds> last_kill;
    std::optional<milliseconds> last_stop;
    std::optional<milliseconds> last_frozen_end;
    std::optional<milliseconds> last_change;
  };

  std::string SettingsOf(std::size_t node) const;
  std::string Name(std::size_t node) const;
  void Launch(std::size_t node, process& one) const;
  void Signal(std::size_t node, int number, const std::string& name);
  void Ended(std::size_t node, const process& one, int status);
  void Watch(std::size_t node, process& one);

  timeline& log_;
  site_options options_;
  mutable std::mutex mutex_;
  std::vector<node_state> nodes_;
  milliseconds next_watch_{0};
  int peak_memory_kb_ = 0;
  int peak_descriptors_ = 0;
  int starts_ = 0;
  bool finished_ = false;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_SITE_H_
