#include "deployment.h"

#include <fcntl.h>
#include <rapidjson/document.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iomanip>
#include <set>
#include <thread>
#include <utility>

namespace waxwingfront::review {
namespace {

constexpr milliseconds kReadyTime{15'000};
constexpr milliseconds kPoll{100};
// The time budget of a caller.
constexpr milliseconds kBudget{3000};
constexpr int kAttempts = 5;

deployment* started = nullptr;

void Append(std::string& list, const std::string& entry) {
  if (!list.empty()) list += ",";
  list += entry;
}

}  // namespace

record::record(const std::string& path)
    : file_(path, std::ios::trunc), started_(clock::now()) {}

void record::Write(const std::string& line) {
  const std::scoped_lock lock(mutex_);
  const std::chrono::duration<double> at = clock::now() - started_;
  file_ << std::fixed << std::setprecision(3) << at.count() << " s  " << line
        << std::endl;
}

void record::Write(const run_event& event) {
  {
    const std::scoped_lock lock(mutex_);
    runs_.push_back(event);
  }
  Write(event.executor + " (kind " + event.kind + "): " + event.task + " run " +
        std::to_string(event.run) + " " + event.what +
        (event.detail.empty() ? "" : ", " + event.detail));
}

std::vector<run_event> record::Runs(
    const std::function<bool(const run_event&)>& matches) const {
  const std::scoped_lock lock(mutex_);
  std::vector<run_event> found;
  std::copy_if(runs_.begin(), runs_.end(), std::back_inserter(found), matches);
  return found;
}

int record::Count(const std::string& what,
                  const std::string& task_prefix) const {
  return static_cast<int>(Runs([&](const run_event& event) {
                            return event.what == what &&
                                   event.task.starts_with(task_prefix);
                          }).size());
}

deployment& deployment::Start(record& log, const deployment_options& options) {
  started = new deployment(log, options);
  return *started;
}

void deployment::Stop() {
  if (started != nullptr) started->EndProcesses();
}

deployment::deployment(record& log, const deployment_options& options)
    : log_(log), store_port_(FreePort()), adviser_port_(FreePort()) {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) std::exit(2);
  folder_ = pattern;
  store_server_ = std::make_unique<http_server>(
      store_port_,
      [this](const http_request& request) { return store_.Handle(request); });
  adviser_ = std::make_unique<http_server>(
      adviser_port_,
      [this](const http_request& request) { return Advise(request); });
  for (const executor_options& one : options.executors) {
    executors_.push_back(std::make_unique<executor>(
        store_, one, [this](const run_event& event) { log_.Write(event); }));
  }
  Configure(options.routes);
  nodes_.resize(static_cast<std::size_t>(options.nodes));
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    WriteSettings(nodes_[i], i);
    StartNode(i);
  }
  if (!AwaitReady()) {
    log_.Write("the deployment did not get ready");
    EndProcesses();
    std::_Exit(2);
  }
  log_.Write("all processes are ready");
}

void deployment::EndProcesses() {
  for (std::size_t i = 0; i < nodes_.size(); ++i) Kill(i);
  std::error_code ignored;
  if (std::getenv("KEEP") == nullptr) {
    std::filesystem::remove_all(folder_, ignored);
  }
}

void deployment::WriteSettings(process& node, std::size_t number) const {
  node.front = FreePort();
  node.readiness = FreePort();
  node.internal = FreePort();
  node.settings = folder_ + "/node-" + std::to_string(number) + ".conf";
  const std::string name = "front-z1-" + std::to_string(number + 1);
  std::ofstream file(node.settings);
  file << "node_name=" << name << "\n"
       << "role=entry\nmachine_class=front\nserves=front\n"
       << "ip_address=127.0.0.1\nzone=z1\nregion=r\nzones.z1=r\n"
       << "listen.front=127.0.0.1:" << node.front << "\n"
       << "listen.readiness=127.0.0.1:" << node.readiness << "\n"
       << "internal_port_range=" << node.internal << "," << node.internal
       << "\n"
       << "bootstrap=true\nlimits.cpu_share=0.25\nlimits.cores=1\n"
       << "limits.memory_mb=260\nlimits.file_descriptors=4100\n"
       << "limits.link_mbps=1000.0\ndiscovery=platform\n"
       << "entry=virtual_ip\nheartbeat_ms=1500\n"
       << "contracts=base,drain,config,cost,recover,sched,platform,advice\n"
       << "bounds.contact_ms=3000\nbounds.ack_timeout_ms=4000\n"
       << "bounds.drain_ms=2000\nbounds.grace_s=6\n"
       << "bounds.config_apply_ms=2000\nbounds.recovery_s=12\n"
       << "bounds.max_hold_ms=10000\nbounds.stop_timeout_ms=900\n"
       << "bounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\n"
       << "bounds.visible_ms=3000\nbounds.early_ms=250\n"
       << "bounds.finish_s=14\nbounds.status_s=120\n"
       << "bounds.remote_factor=3\nbounds.checkpoint_interval_s=0.5\n"
       << "bounds.restore_ms=100\nbounds.lease_ms=3000\norders=call\n"
       << "advice=127.0.0.1:" << adviser_port_ << "\n"
       << "platform.address=127.0.0.1:" << store_port_ << "\n"
       << "platform.form=kv\nplatform.writes_per_s=400\n"
       << "platform.reads_per_s=2000\nplatform.history_s=20\n"
       << "platform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n";
}

void deployment::StartNode(std::size_t node) {
  process& one = nodes_[node];
  const std::string output = one.settings + ".log";
  const std::string variable = "WAXWINGFRONT_BOOT=" + one.settings;
  std::string path = "PATH=/usr/bin:/bin";
  std::string boot = variable;
  std::string program = "target/waxwingfront";
  std::string role = "platform";
  std::array<char*, 3> arguments = {program.data(), role.data(), nullptr};
  std::array<char*, 3> environment = {path.data(), boot.data(), nullptr};
  one.pid = fork();
  if (one.pid == 0) {
    // Ends with this program, also if that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(program.c_str(), arguments.data(), environment.data());
    _exit(2);
  }
  log_.Write("start of process " + std::to_string(node + 1));
}

void deployment::Kill(std::size_t node) {
  process& one = nodes_[node];
  if (one.pid <= 0) return;
  log_.Write("kill of process " + std::to_string(node + 1));
  kill(one.pid, SIGKILL);
  waitpid(one.pid, nullptr, 0);
  one.pid = 0;
}

bool deployment::AwaitReady() const {
  const auto end = std::chrono::steady_clock::now() + kReadyTime;
  while (std::chrono::steady_clock::now() < end) {
    const bool ready = std::ranges::all_of(nodes_, [](const process& node) {
      return Call(node.readiness, "GET", "/readiness", "", "", kPoll).status ==
             200;
    });
    if (ready) return true;
    std::this_thread::sleep_for(kPoll);
  }
  return false;
}

executor& deployment::Executor(const std::string& id) {
  return **std::ranges::find_if(
      executors_, [&id](const auto& one) { return one->Id() == id; });
}

void deployment::Configure(const std::vector<route>& routes) {
  version_ += 3;
  std::string rows;
  for (const route& one : routes) {
    std::string row = R"({"name":")" + one.name + R"(","host":")" + one.host +
                      R"(","prefix":")" + one.prefix +
                      R"(","kind":"unsafe","timeout_ms":3000,)"
                      R"("target_duration_ms":1000,"priority":0,)"
                      R"("service":")" +
                      one.service + R"(","max_attempts":)" +
                      std::to_string(one.max_attempts) + R"(,"stretch":2.0)";
    if (one.advised) {
      row += R"(,"advice":{"decision_ms":20,"per_worker_ms":1,)"
             R"("valid_ms":3000})";
    }
    Append(rows, row + "}");
  }
  std::string pools;
  std::set<std::string> services;
  for (const auto& one : executors_) services.insert(one->Service());
  for (const std::string& service : services) {
    Append(pools, R"({"name":")" + service +
                      R"(","health_path":"/health","max_connections":64,)"
                      R"("protocol":"h1","tls":false,)"
                      R"("enforces_capacity":true,"spare":false})");
  }
  store_.Put("op/config",
             "{\"version\":" + std::to_string(version_) + ",\"routes\":[" +
                 rows + "],\"services\":[" + pools +
                 R"(],"limits":{"max_header_bytes":16384,)"
                 R"("max_body_bytes":262144,"header_timeout_ms":3000,)"
                 R"("idle_timeout_ms":15000}})");
  log_.Write("manifest " + std::to_string(version_) + " with " +
             std::to_string(routes.size()) + " routes is confirmed");
}

bool deployment::Submit(const route& queue, const std::string& id,
                        const std::string& body) {
  for (int i = 0; i < kAttempts; ++i) {
    const process& node = nodes_[static_cast<std::size_t>(i) % nodes_.size()];
    const http_response reply =
        Call(node.front, "POST", queue.prefix + id, queue.host, body, kBudget);
    log_.Write("POST " + id + " at process " +
               std::to_string(static_cast<std::size_t>(i) % nodes_.size() + 1) +
               ": " + std::to_string(reply.status));
    if (reply.status == 200) return true;
  }
  return false;
}

std::string deployment::Ask(const route& queue, const std::string& id) {
  for (const process& node : nodes_) {
    if (node.pid == 0) continue;
    const http_response reply =
        Call(node.front, "GET", queue.prefix + id, queue.host, "", kBudget);
    log_.Write("GET " + id + ": " + std::to_string(reply.status) + " " +
               reply.body);
    if (reply.status != 0 && reply.status != 503 && reply.status != 504) {
      return std::to_string(reply.status) + " " + reply.body;
    }
  }
  return "no answer";
}

http_response deployment::Advise(const http_request& request) {
  rapidjson::Document body;
  body.Parse(request.body.data(), request.body.size());
  if (body.HasParseError()) return {.status = 400};
  std::string rows;
  for (const auto& worker : body["workers"].GetArray()) {
    Append(rows, R"([")" + std::string(worker.GetString()) + R"(","t-)" +
                     std::string(worker.GetString()) + R"("])");
  }
  log_.Write("advice on " + std::string(body["step"].GetString()));
  std::this_thread::sleep_for(
      milliseconds(20 + static_cast<int>(body["workers"].Size())));
  return {.body = "{\"allowed\":[" + rows + "],\"valid_ms\":3000}"};
}

}  // namespace waxwingfront::review
