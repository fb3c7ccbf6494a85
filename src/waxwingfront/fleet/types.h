// Input and output types of the fleet scheduler's decisions.
#ifndef WAXWINGFRONT_FLEET_TYPES_H_
#define WAXWINGFRONT_FLEET_TYPES_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/resources.h"
#include "waxwingfront/net/request_limits.h"

namespace waxwingfront::fleet {

// One task of one occurrence of a job.
struct task_ref {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend auto operator<=>(const task_ref&, const task_ref&) = default;
};

// What the manifest states of the adviser for a queue.
struct advice_figures {
  // A call takes `decision` and `per_executor` for each executor named.
  core::milliseconds decision{200};
  core::milliseconds per_executor{5};
  // How long a ticket is valid.
  core::milliseconds valid{3000};
};

// Operator configuration of one queue.
struct queue_spec {
  std::string name;
  // Matches requests with this `Host` header and a path with this prefix.
  std::string host;
  std::string path_prefix;
  // The service whose executors run the queue's tasks.
  std::string service;
  // 0 is the most urgent.
  int priority = 0;
  // Number of runs of a task that may fail before its job fails.
  int max_attempts = 1;
  // A job is on time if it ends within `stretch` times its critical path plus
  // `target_duration`.
  double stretch = 1.0;
  core::milliseconds target_duration{0};
  // Maximum duration of a caller's request.
  core::milliseconds request_timeout{0};
  // An external adviser decides which executors may run a step of the queue's
  // jobs.
  bool advised = false;
  advice_figures advice = {};
};

struct service_spec {
  std::string name;
  // Executors reject tasks that exceed their free capacity; otherwise they
  // become overloaded.
  bool enforces_capacity = true;
  // The service's machines are powered off.
  bool spare = false;
  // Connections that each executor accepts; 0 if unknown.
  std::size_t max_connections = 0;
};

// One version of the operators' desired configuration.
struct manifest {
  std::int64_t version = 0;
  std::vector<queue_spec> queues;
  std::vector<service_spec> services;
  net::request_limits limits;
};

// An executor's registration.
struct executor_info {
  std::string id;
  // Start time in Unix milliseconds. A different value means a different
  // incarnation, which has no record of earlier runs.
  std::int64_t born_ms = 0;
  std::string address;
  std::string zone;
  std::string service;
  bool draining = false;
  // Earliest time at which a draining executor leaves, on its own clock in
  // milliseconds; 0 if unknown.
  std::int64_t leaves_at_ms = 0;
  core::resources capacity;
  std::vector<std::string> labels;
  // The label that names the rack.
  std::string rack;
};

// A run that an executor reports as active.
struct running_report {
  task_ref task;
  std::uint32_t run = 0;
  std::string checkpoint;
  // Progress in percent; 100 for a long-running task once it serves.
  int percent = 0;
  // Tail latency in milliseconds for a serving task, otherwise processor
  // thousandths in use; over about the last half second.
  std::int64_t reported_load = 0;
};

enum class run_end {
  kDone,
  kFailed,
  kStopped,
  kLapsed,
  kBroken,
  kGangIncomplete
};

// A run that ended. Numbers increase within one incarnation.
struct ended_report {
  std::uint64_t number = 0;
  task_ref task;
  std::uint32_t run = 0;
  run_end how = run_end::kFailed;
  std::string checkpoint;
};

// An executor's response to a hold.
struct hold_report {
  std::int64_t born_ms = 0;
  // The executor's clock when it responded.
  std::int64_t clock_ms = 0;
  std::vector<running_report> running;
  std::vector<ended_report> ended;
};

struct start_order {
  std::string executor;
  task_ref task;
  std::uint32_t run = 0;
  std::string payload;
  std::string checkpoint;
  // The adviser's permit, if the queue requires one.
  std::string permit;
  bool long_running = false;
  core::monotonic_time placed_at{};
  // Identifies the order in `start_queue`; 0 until it is taken from there.
  std::uint64_t number = 0;
  // Checked when the start leaves the process, after it has waited for a
  // connection; empty if it may always leave.
  std::function<bool()> may_send = nullptr;
};

struct stop_order {
  std::string executor;
  task_ref task;
  std::uint32_t run = 0;
};

struct pace_order {
  std::string executor;
  task_ref task;
  std::uint32_t run = 0;
  // Allowed speed of the task in percent of its full speed.
  int percent = 100;
};

// A step of one occurrence of a job.
struct step_ref {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
};

// Queries the adviser which of the executors may run the step.
struct advice_request {
  step_ref step;
  std::vector<std::string> executors;
  advice_figures figures = {};
  // How long to wait for the response.
  core::milliseconds timeout{0};
};

struct advice_reply {
  struct permit {
    std::string executor;
    std::string ticket;
  };
  std::vector<permit> permits;
  // How long each ticket is valid; 0 if the adviser does not state it.
  core::milliseconds valid{0};
  // Since when; from the time of the request if empty.
  std::optional<core::monotonic_time> valid_from = {};
};

struct orders {
  std::vector<start_order> starts;
  std::vector<stop_order> stops;
  std::vector<pace_order> paces;
  std::vector<advice_request> advice;
};

enum class start_outcome {
  kAccepted,
  // The executor rejected the start:
  kNoCapacity,
  kFenced,
  kStaleRun,
  kDeadlinePassed,
  kUnhealthy,
  kIncarnationChanged,
  // The adviser's permit is missing or expired.
  kNotPermitted,
  kMalformed,
  // No connection could be opened, and nothing was sent.
  kUnreachable,
  // The leader's connections to the executor were in use for too long, and
  // nothing was sent.
  kConnectionsBusy,
  // No response; the order may still be executed.
  kUnknown,
  // A response that leaves open whether the order was or will be executed.
  kUnclear,
  // The leader did not send the order.
  kNotSent,
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_TYPES_H_
