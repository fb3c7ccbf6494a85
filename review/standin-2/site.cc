#include "site.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <sstream>
#include <thread>
#include <utility>

#include "http.h"

namespace waxwingfront::review_2 {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kRestartDelay{300};
constexpr int kKbPerMb = 1024;

// Returns the words of the first `run` line of the deploy file.
std::vector<std::string> DeployCommand() {
  std::ifstream file("deploy/system.toml");
  std::string line;
  while (std::getline(file, line)) {
    if (!line.starts_with("run = \"")) continue;
    std::istringstream words(
        line.substr(line.find('"') + 1, line.rfind('"') - line.find('"') - 1));
    std::vector<std::string> command;
    for (std::string word; words >> word;) command.push_back(word);
    return command;
  }
  return {};
}

int MemoryMb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(file, line)) {
    if (line.starts_with("VmRSS:")) {
      return std::atoi(line.c_str() + line.find(':') + 1) / kKbPerMb;
    }
  }
  return 0;
}

}  // namespace

void record::Write(const std::string& line) {
  const std::scoped_lock lock(mutex_);
  file_ << NowMs() << " ms " << line << std::endl;
}

std::int64_t record::NowMs() const {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - start_)
      .count();
}

site::site(record& log, site_options options)
    : log_(log), options_(std::move(options)), command_(DeployCommand()) {
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  folder_ = mkdtemp(name.data());
  nodes_.resize(options_.processes);
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    nodes_[i].front = FreePort();
    nodes_[i].readiness = FreePort();
    nodes_[i].internal = FreePort();
    nodes_[i].known = nodes_[i].internal;
    nodes_[i].store = options_.store_address;
    nodes_[i].settings_path = folder_ + "/" + std::to_string(i) + ".conf";
    std::ofstream(nodes_[i].settings_path) << Settings(i);
  }
}

site::~site() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) Kill(i);
  std::filesystem::remove_all(folder_);
}

std::string site::Settings(std::size_t node) const {
  const node_state& one = nodes_[node];
  const std::string local = "127.0.0.1:";
  const std::string port = std::to_string(one.internal);
  return "node_name=front-z1-" + std::to_string(node + 1) +
         "\nrole=entry\nmachine_class=front\nserves=front\n"
         "ip_address=127.0.0.1\nzone=z1\nregion=r\nzones.z1=r\nlisten.front=" +
         local + std::to_string(one.front) + "\nlisten.readiness=" + local +
         std::to_string(one.readiness) + "\ninternal_port_range=" + port + "," +
         port +
         "\nbootstrap=true\nloss_counts=false\nlimits.cpu_share=0.1\n"
         "limits.cores=1\nlimits.memory_mb=" +
         std::to_string(options_.memory_mb) +
         "\nlimits.file_descriptors=4100\nlimits.link_mbps=1000.0\n"
         "limits.disk_mb=0\ndiscovery=platform\nentry=virtual_ip\n"
         "heartbeat_ms=1500\n"
         "contracts=base,drain,config,cost,recover,sched,platform,advice,"
         "upkeep,sharing\nfault_tolerance.machines=2\n"
         "bounds.seed_lag_s=3\nbounds.reuse_after_s=2\n"
         "bounds.contact_ms=3000\nbounds.ack_timeout_ms=4000\n"
         "bounds.catch_up_s=4\nbounds.drain_ms=2000\nbounds.grace_s=6\n"
         "bounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n"
         "bounds.rollback_slack_ms=250\nbounds.outer_bound_ms=5000\n"
         "bounds.recovery_s=12\nbounds.max_hold_ms=10000\n"
         "bounds.stop_timeout_ms=900\nbounds.gang_timeout_ms=3000\n"
         "bounds.cancel_ms=3000\nbounds.visible_ms=3000\n"
         "bounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\n"
         "bounds.remote_factor=3\nbounds.checkpoint_interval_s=0.5\n"
         "bounds.restore_ms=100\nbounds.notice_ms=4500\n"
         "bounds.lease_ms=3000\nbounds.pace_ms=100\nbounds.harm_ms=4000\n"
         "orders=call\nadvice=" +
         options_.adviser_address + "\nplatform.address=" + one.store +
         "\nplatform.form=kv\nplatform.writes_per_s=400\n"
         "platform.reads_per_s=2000\nplatform.history_s=20\n"
         "platform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n";
}

void site::SetWays(std::size_t node, const std::string& store,
                   std::uint16_t known_port) {
  nodes_[node].store = store;
  nodes_[node].known = known_port;
  std::ofstream(nodes_[node].settings_path) << Settings(node);
}

void site::Start(std::size_t node) {
  node_state& one = nodes_[node];
  const std::string output = folder_ + "/" + std::to_string(node) + ".log";
  std::string path = "PATH=/usr/local/bin:/usr/bin:/bin";
  std::string home = "HOME=/tmp";
  std::string lang = "LANG=C.UTF-8";
  std::string boot = "WAXWINGFRONT_BOOT=" + one.settings_path;
  std::vector<char*> arguments;
  arguments.reserve(command_.size() + 1);
  for (std::string& word : command_) arguments.push_back(word.data());
  arguments.push_back(nullptr);
  std::vector<char*> environment = {path.data(), home.data(), lang.data(),
                                    boot.data(), nullptr};
  one.pid = fork();
  if (one.pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
  }
  log_.Write("process " + std::to_string(node + 1) + " starts");
}

void site::Kill(std::size_t node) {
  node_state& one = nodes_[node];
  if (one.pid == 0) return;
  kill(one.pid, SIGKILL);
  waitpid(one.pid, nullptr, 0);
  one.pid = 0;
  one.ended = steady_clock::now();
}

void site::Freeze(std::size_t node) {
  log_.Write("process " + std::to_string(node + 1) + " freezes");
  kill(nodes_[node].pid, SIGSTOP);
}

void site::Thaw(std::size_t node) {
  kill(nodes_[node].pid, SIGCONT);
  log_.Write("process " + std::to_string(node + 1) + " wakes");
}

bool site::AwaitReady(milliseconds time) const {
  const auto end = steady_clock::now() + time;
  for (const node_state& one : nodes_) {
    while (Call({.port = one.readiness, .target = "/readiness"}).status !=
           200) {
      if (steady_clock::now() > end) return false;
      std::this_thread::sleep_for(milliseconds(50));
    }
  }
  return true;
}

std::size_t site::Leader(store& platform) const {
  const std::string value = platform.Get("wf/leader");
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (value.starts_with("127.0.0.1:" + std::to_string(nodes_[i].known) +
                          " ")) {
      return i;
    }
  }
  return nodes_.size();
}

std::vector<int> site::OwnEnds() const {
  std::vector<int> counts;
  for (const node_state& one : nodes_) counts.push_back(one.own_ends);
  return counts;
}

void site::Watch() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    node_state& one = nodes_[i];
    if (one.pid == 0) {
      if (steady_clock::now() - one.ended >= kRestartDelay) Start(i);
      continue;
    }
    const std::string name = "process " + std::to_string(i + 1);
    int status = 0;
    if (waitpid(one.pid, &status, WNOHANG) == one.pid) {
      one.pid = 0;
      one.ended = steady_clock::now();
      ++one.own_ends;
      log_.Write(name + " has ended by itself, status " +
                 std::to_string(status));
      continue;
    }
    const int memory_mb = MemoryMb(one.pid);
    highest_memory_mb_ = std::max(highest_memory_mb_, memory_mb);
    if (memory_mb <= options_.memory_mb) continue;
    log_.Write(name + " uses " + std::to_string(memory_mb) +
               " MB and is killed for it");
    Kill(i);
    ++one.own_ends;
  }
}

}  // namespace waxwingfront::review_2
