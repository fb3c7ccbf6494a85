// Values that the fleet's decisions take in and give out.
#ifndef WAXWINGFRONT_FLEET_TYPES_H_
#define WAXWINGFRONT_FLEET_TYPES_H_

#include <compare>
#include <cstdint>
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

// What operators say of one queue.
struct queue_spec {
  std::string name;
  // Requests with this `Host` header and a path that begins with the prefix.
  std::string host;
  std::string path_prefix;
  // Service whose executors run the queue's tasks.
  std::string service;
  // 0 is the most urgent.
  int priority = 0;
  // Runs of a task that may fail before its job does.
  int max_attempts = 1;
  // A job is in time within `stretch` times its longest chain of work and
  // `target_duration` more.
  double stretch = 1.0;
  core::milliseconds target_duration{0};
  // Time that a caller's request may take.
  core::milliseconds request_timeout{0};
  // An adviser tells which executors may run a step of the queue's jobs.
  bool advised = false;
};

struct service_spec {
  std::string name;
  // Executors refuse what does not fit; otherwise they overload.
  bool enforces_capacity = true;
  // The service's machines are off.
  bool spare = false;
};

// One version of what operators want.
struct manifest {
  std::int64_t version = 0;
  std::vector<queue_spec> queues;
  std::vector<service_spec> services;
  net::request_limits limits;
};

// An executor as it registered itself.
struct executor_info {
  std::string id;
  // Unix milliseconds of its start: another value is another incarnation,
  // which knows nothing of what ran before.
  std::int64_t born_ms = 0;
  std::string address;
  std::string zone;
  std::string service;
  bool draining = false;
  core::resources capacity;
  std::vector<std::string> labels;
  // One of the labels.
  std::string rack;
};

// A run that an executor lists.
struct running_report {
  task_ref task;
  std::uint32_t run = 0;
  std::string checkpoint;
  // Share of its work that is done; of a task that lasts, 100 once it serves.
  int percent = 0;
  // Latency tail in milliseconds of a task that serves, else the processor
  // thousandths in use, over the last half second or so.
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

// A run that ended. Numbers rise within one incarnation.
struct ended_report {
  std::uint64_t number = 0;
  task_ref task;
  std::uint32_t run = 0;
  run_end how = run_end::kFailed;
  std::string checkpoint;
};

// An executor's answer to a hold.
struct hold_report {
  std::int64_t born_ms = 0;
  // The executor's clock when it answered.
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
  // The adviser's permit, where the queue needs one.
  std::string permit;
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
  // Share of its full speed that the task may work at.
  int percent = 100;
};

// A step of one occurrence of a job.
struct step_ref {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
};

// Asks the adviser which of the executors may run the step.
struct advice_request {
  step_ref step;
  std::vector<std::string> executors;
};

struct advice_reply {
  struct permit {
    std::string executor;
    std::string ticket;
  };
  std::vector<permit> permits;
  // From the time of asking.
  core::milliseconds valid{0};
};

struct orders {
  std::vector<start_order> starts;
  std::vector<stop_order> stops;
  std::vector<pace_order> paces;
  std::vector<advice_request> advice;
};

enum class start_outcome {
  kAccepted,
  // The executor said that it started nothing:
  kNoCapacity,
  kFenced,
  kStaleRun,
  kDeadlinePassed,
  kUnhealthy,
  kIncarnationChanged,
  // The adviser's permit is missing or over.
  kNotPermitted,
  kMalformed,
  // No connection was made, so that nothing was sent.
  kUnreachable,
  // No answer; the order may still be carried out.
  kUnknown,
  // The leader held the order back.
  kNotSent,
};

}  // namespace waxwingfront::fleet

#endif  // WAXWINGFRONT_FLEET_TYPES_H_
