// A small deployment: processes of the project, and stand-ins for the platform.
#ifndef WAXWINGFRONT_REVIEW_DEPLOYMENT_H_
#define WAXWINGFRONT_REVIEW_DEPLOYMENT_H_

#include <sys/types.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "executor.h"
#include "http.h"
#include "store.h"

namespace waxwingfront::review {

// A queue of the manifest.
struct route {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;
  int max_attempts = 3;
  bool advised = false;
};

// Writes one line an event, with the seconds since the start.
class record {
 public:
  explicit record(const std::string& path);
  void Write(const std::string& line);
  void Write(const run_event& event);
  // Returns the events so far that match.
  std::vector<run_event> Runs(
      const std::function<bool(const run_event&)>& matches) const;
  int Count(const std::string& what, const std::string& task_prefix) const;

 private:
  using clock = std::chrono::steady_clock;

  mutable std::mutex mutex_;
  std::ofstream file_;
  clock::time_point started_;
  std::vector<run_event> runs_;
};

struct deployment_options {
  int nodes = 3;
  std::vector<executor_options> executors;
  std::vector<route> routes;
};

class deployment {
 public:
  // Starts all processes; exits with 2 if they don't get ready. The result is
  // never destroyed, because threads of the stand-ins use it until the end.
  static deployment& Start(record& log, const deployment_options& options);
  deployment(const deployment&) = delete;
  deployment& operator=(const deployment&) = delete;

  // Ends all processes that were started, if any.
  static void Stop();

  store& Platform() { return store_; }
  executor& Executor(const std::string& id);
  // Writes the next version of the manifest.
  void Configure(const std::vector<route>& routes);
  // Submits a job until it is accepted; false if it never is.
  bool Submit(const route& queue, const std::string& id,
              const std::string& body);
  // Returns the answer to a question about the job, from any node.
  std::string Ask(const route& queue, const std::string& id);

 private:
  struct process {
    pid_t pid = 0;
    std::uint16_t front = 0;
    std::uint16_t readiness = 0;
    std::uint16_t internal = 0;
    std::string settings;
  };

  deployment(record& log, const deployment_options& options);

  void StartNode(std::size_t node);
  void Kill(std::size_t node);
  void EndProcesses();
  void WriteSettings(process& node, std::size_t number) const;
  bool AwaitReady() const;
  http_response Advise(const http_request& request);

  record& log_;
  store store_;
  std::string folder_;
  std::uint16_t store_port_;
  std::uint16_t adviser_port_;
  std::int64_t version_ = 0;
  std::unique_ptr<http_server> store_server_;
  std::unique_ptr<http_server> adviser_;
  std::vector<std::unique_ptr<executor>> executors_;
  std::vector<process> nodes_;
};

}  // namespace waxwingfront::review

#endif  // WAXWINGFRONT_REVIEW_DEPLOYMENT_H_
