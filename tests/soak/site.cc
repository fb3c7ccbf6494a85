#include "soak/site.h"

#include <fcntl.h>
#include <sched.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "review/standin/http.h"
#include "soak/process_info.h"

namespace waxwingfront::soak {
namespace {

constexpr milliseconds kGrace{6000};
// Between the signal and the end as seen from here.
constexpr milliseconds kGraceSlack{500};
constexpr milliseconds kRestartDelay{300};
constexpr milliseconds kHalfWritten{40};
constexpr milliseconds kWatchInterval{200};
constexpr milliseconds kProbeTime{500};
// Of the settings. Crowds of callers may use up a lower limit.
constexpr int kMachineDescriptors = 4100;
constexpr int kMaxMemoryKb = 260 * 1024;

}  // namespace

site::site(timeline& log, site_options options)
    : log_(log), options_(std::move(options)) {
  nodes_.resize(options_.store_addresses.size());
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].front = review::FreePort();
    nodes_[i].readiness = review::FreePort();
    nodes_[i].internal = review::FreePort();
    nodes_[i].settings_path = options_.folder + "/" + Name(i) + ".conf";
    nodes_[i].settings = SettingsOf(i);
    std::ofstream(nodes_[i].settings_path) << nodes_[i].settings;
  }
}

site::~site() {
  for (node_state& node : nodes_) {
    for (const process& one : node.processes) {
      kill(one.pid, SIGKILL);
      waitpid(one.pid, nullptr, 0);
    }
  }
}

std::uint16_t site::FrontPort(std::size_t node) const {
  return nodes_[node].front;
}

std::uint16_t site::ReadinessPort(std::size_t node) const {
  return nodes_[node].readiness;
}

std::string site::InternalAddress(std::size_t node) const {
  return "127.0.0.1:" + std::to_string(nodes_[node].internal);
}

std::string site::Name(std::size_t node) const {
  return "front-z1-" + std::to_string(node + 1);
}

std::string site::SettingsOf(std::size_t node) const {
  const node_state& one = nodes_[node];
  const std::string local = "127.0.0.1:";
  return "node_name=" + Name(node) +
         "\nrole=entry\nmachine_class=front\nserves=front\n"
         "ip_address=127.0.0.1\nzone=z1\nregion=r\nzones.z1=r\n"
         "listen.front=" +
         local + std::to_string(one.front) + "\nlisten.readiness=" + local +
         std::to_string(one.readiness) +
         "\ninternal_port_range=" + std::to_string(one.internal) + "," +
         std::to_string(one.internal) + "\nbootstrap=true\nlimits.cpu_share=" +
         std::to_string(options_.cpu_share) +
         "\nlimits.cores=1\nlimits.memory_mb=260\n"
         "limits.file_descriptors=4100\nlimits.link_mbps=" +
         std::to_string(options_.link_mbps[node]) +
         "\ndiscovery=platform\nentry=virtual_ip\nheartbeat_ms=1500\n"
         "contracts=base,drain,config,cost,recover,sched,platform,advice\n"
         "bounds.contact_ms=3000\nbounds.ack_timeout_ms=4000\n"
         "bounds.drain_ms=2000\nbounds.grace_s=6\n"
         "bounds.config_apply_ms=2000\nbounds.recovery_s=12\n"
         "bounds.max_hold_ms=10000\nbounds.stop_timeout_ms=900\n"
         "bounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\n"
         "bounds.visible_ms=3000\nbounds.early_ms=250\n"
         "bounds.finish_s=14\nbounds.status_s=" +
         std::to_string(options_.status_s) +
         "\nbounds.remote_factor=3\nbounds.checkpoint_interval_s=0.5\n"
         "bounds.restore_ms=100\nbounds.lease_ms=3000\norders=call\n"
         "advice=" +
         options_.adviser_address +
         "\nplatform.address=" + options_.store_addresses[node] +
         "\nplatform.form=kv\nplatform.writes_per_s=400\n"
         "platform.reads_per_s=2000\nplatform.history_s=20\n"
         "platform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n";
}

void site::Launch(std::size_t node, process& one) const {
  const std::string output = options_.folder + "/" + Name(node) + ".log";
  std::string path = "PATH=/usr/bin:/bin";
  std::string boot = "WAXWINGFRONT_BOOT=" + nodes_[node].settings_path;
  std::string sanitizer = "ASAN_OPTIONS=detect_leaks=0";
  std::string program = options_.program;
  std::string role = "platform";
  std::array<char*, 3> arguments = {program.data(), role.data(), nullptr};
  std::array<char*, 4> environment = {path.data(), boot.data(),
                                      sanitizer.data(), nullptr};
  one.pid = fork();
  if (one.pid != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (options_.one_core) {
    cpu_set_t cores;
    CPU_ZERO(&cores);
    CPU_SET(0, &cores);
    sched_setaffinity(0, sizeof(cores), &cores);
  }
  if (options_.descriptors > 0) {
    const rlimit limit{static_cast<rlim_t>(options_.descriptors),
                       static_cast<rlim_t>(options_.descriptors)};
    setrlimit(RLIMIT_NOFILE, &limit);
  }
  const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execve(program.c_str(), arguments.data(), environment.data());
  _exit(127);
}

bool site::AnyRunning() const {
  const std::scoped_lock lock(mutex_);
  return std::ranges::any_of(
      nodes_, [](const node_state& state) { return !state.processes.empty(); });
}

void site::Finish() {
  finished_ = true;
  for (std::size_t i = 0; i < nodes_.size(); ++i) Terminate(i);
}

void site::Start(std::size_t node, bool beside) {
  const std::scoped_lock lock(mutex_);
  node_state& state = nodes_[node];
  if (!state.processes.empty() &&
      !(beside && state.processes.back().terminated)) {
    return;
  }
  process one;
  Launch(node, one);
  one.started = log_.Now();
  state.last_change = one.started;
  state.start_at.reset();
  log_.Fault(Name(node) + " starts as " + std::to_string(one.pid) +
             (state.processes.empty() ? "" : " beside its predecessor"));
  state.processes.push_back(one);
  ++starts_;
}

void site::Signal(std::size_t node, int number, const std::string& name) {
  const process& one = nodes_[node].processes.back();
  log_.Fault(name + " to " + Name(node) + " (" + std::to_string(one.pid) + ")");
  nodes_[node].last_change = log_.Now();
  kill(one.pid, number);
}

void site::Terminate(std::size_t node) {
  const std::scoped_lock lock(mutex_);
  if (nodes_[node].processes.empty()) return;
  process& one = nodes_[node].processes.back();
  if (!one.terminated) {
    one.terminated = log_.Now();
    one.handled_sigterm = HandlesSigterm(one.pid);
  }
  one.was_frozen_while_ending |= one.stopped;
  Signal(node, SIGTERM, "SIGTERM");
}

void site::Kill(std::size_t node) {
  const std::scoped_lock lock(mutex_);
  if (nodes_[node].processes.empty()) return;
  process& one = nodes_[node].processes.back();
  one.killed = true;
  nodes_[node].last_kill = log_.Now();
  Signal(node, SIGKILL, "SIGKILL");
}

void site::Stop(std::size_t node) {
  const std::scoped_lock lock(mutex_);
  if (nodes_[node].processes.empty()) return;
  process& one = nodes_[node].processes.back();
  if (one.stopped) return;
  one.stopped = true;
  one.was_frozen_while_ending |= one.terminated.has_value();
  nodes_[node].last_stop = log_.Now();
  Signal(node, SIGSTOP, "SIGSTOP");
}

void site::Continue(std::size_t node) {
  const std::scoped_lock lock(mutex_);
  node_state& state = nodes_[node];
  for (process& one : state.processes) {
    if (!one.stopped) continue;
    log_.Fault("SIGCONT to " + Name(node) + " (" + std::to_string(one.pid) +
               ")");
    kill(one.pid, SIGCONT);
    one.stopped = false;
    state.last_stop = log_.Now();
    state.last_change = state.last_stop;
  }
}

void site::Reload(std::size_t node) {
  const std::scoped_lock lock(mutex_);
  const node_state& state = nodes_[node];
  if (state.processes.empty()) return;
  {
    std::ofstream file(state.settings_path, std::ios::trunc);
    file << state.settings.substr(0, state.settings.size() / 2) << std::flush;
    Signal(node, SIGHUP, "SIGHUP");
    std::this_thread::sleep_for(kHalfWritten);
    file << state.settings.substr(state.settings.size() / 2);
  }
  Signal(node, SIGHUP, "SIGHUP");
}

void site::Ended(std::size_t node, const process& one, int status) {
  const std::string how =
      WIFSIGNALED(status)
          ? "by signal " + std::to_string(WTERMSIG(status))
          : "with status " + std::to_string(WEXITSTATUS(status));
  const std::string about =
      Name(node) + " (" + std::to_string(one.pid) + ") ended " + how;
  nodes_[node].last_change = log_.Now();
  if (one.was_frozen_while_ending) {
    nodes_[node].last_frozen_end = log_.Now();
  }
  if (one.killed) {
    log_.Write(about);
    return;
  }
  log_.Fault(about);
  const bool clean = WIFEXITED(status) && WEXITSTATUS(status) == 0;
  const bool was_starting = WIFSIGNALED(status) &&
                            WTERMSIG(status) == SIGTERM && one.terminated &&
                            !one.handled_sigterm;
  if ((one.terminated && clean) || was_starting) return;
  nodes_[node].last_kill = log_.Now();
  log_.Breach("FAULT", about + (one.terminated ? " after SIGTERM" : ""));
}

void site::Watch(std::size_t node, process& one) {
  if (!RunsOtherProgram(one.pid)) return;
  const int memory_kb = MemoryKb(one.pid);
  const int descriptors = Descriptors(one.pid);
  peak_memory_kb_ = std::max(peak_memory_kb_, memory_kb);
  peak_descriptors_ = std::max(peak_descriptors_, descriptors);
  if (options_.check_memory && memory_kb > kMaxMemoryKb && !one.over_memory) {
    one.over_memory = true;
    log_.Breach("FAULT", Name(node) + " uses " + std::to_string(memory_kb) +
                             " kB of memory");
  }
  if (options_.descriptors == 0 || descriptors < options_.descriptors ||
      one.over_descriptors) {
    return;
  }
  one.over_descriptors = true;
  const std::string text = Name(node) + " has used up its descriptors";
  if (options_.descriptors < kMachineDescriptors) {
    log_.Fault(text);
  } else {
    log_.Breach("FAULT", text);
  }
}

void site::Poll() {
  std::vector<std::size_t> due;
  {
    const std::scoped_lock lock(mutex_);
    const milliseconds now = log_.Now();
    const bool watch = now >= next_watch_;
    if (watch) next_watch_ = now + kWatchInterval;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      node_state& state = nodes_[i];
      std::erase_if(state.processes, [&](const process& one) {
        int status = 0;
        if (waitpid(one.pid, &status, WNOHANG) != one.pid) return false;
        Ended(i, one, status);
        state.start_at = now + kRestartDelay;
        return true;
      });
      for (process& one : state.processes) {
        if (watch) Watch(i, one);
        if (!one.terminated || one.killed || one.stopped) continue;
        if (now <= *one.terminated + kGrace + kGraceSlack) continue;
        if (!one.was_frozen_while_ending) {
          log_.Breach("FAULT", Name(i) + " has not ended within grace_s");
        }
        one.killed = true;
        state.last_kill = now;
        log_.Fault("SIGKILL to " + Name(i) + " after grace_s");
        kill(one.pid, SIGKILL);
      }
      if (!finished_ && state.processes.empty() && state.start_at &&
          now >= *state.start_at) {
        due.push_back(i);
      }
    }
  }
  for (const std::size_t node : due) Start(node);
}

std::optional<std::size_t> site::OpenerOf(std::uint16_t client_port,
                                          std::uint16_t server_port) const {
  const std::uint64_t socket = ClientSocket(client_port, server_port);
  if (socket == 0) return std::nullopt;
  const std::scoped_lock lock(mutex_);
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    const bool holds = std::ranges::any_of(
        nodes_[i].processes,
        [socket](const process& one) { return HoldsSocket(one.pid, socket); });
    if (holds) return i;
  }
  return std::nullopt;
}

bool site::Ready() const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (review::Call(nodes_[i].readiness, "GET", "/readiness", "", "",
                     kProbeTime)
            .status != 200) {
      return false;
    }
  }
  return true;
}

bool site::KilledSince(std::size_t node, milliseconds since) const {
  const std::scoped_lock lock(mutex_);
  return nodes_[node].last_kill && *nodes_[node].last_kill >= since;
}

bool site::StoppedSince(std::size_t node, milliseconds since) const {
  const std::scoped_lock lock(mutex_);
  const node_state& state = nodes_[node];
  const bool stopped = std::ranges::any_of(
      state.processes, [](const process& one) { return one.stopped; });
  return stopped || (state.last_stop && *state.last_stop >= since);
}

bool site::EndedFrozenSince(std::size_t node, milliseconds since) const {
  const std::scoped_lock lock(mutex_);
  return nodes_[node].last_frozen_end && *nodes_[node].last_frozen_end >= since;
}

bool site::AnyDisturbedSince(milliseconds since) const {
  const std::scoped_lock lock(mutex_);
  return std::ranges::any_of(nodes_, [since](const node_state& state) {
    const bool stopped = std::ranges::any_of(
        state.processes, [](const process& one) { return one.stopped; });
    return stopped || (state.last_change && *state.last_change >= since);
  });
}

std::string site::Summary() const {
  const std::scoped_lock lock(mutex_);
  return std::to_string(starts_) + " processes started, at most " +
         std::to_string(peak_memory_kb_) + " kB and " +
         std::to_string(peak_descriptors_) + " descriptors";
}

}  // namespace waxwingfront::soak
