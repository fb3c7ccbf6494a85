// Stand-in for a worker: simulates tasks by timers, under leases, and keeps a
// journal.
#ifndef WAXWINGFRONT_STANDINS_WORKER_H_
#define WAXWINGFRONT_STANDINS_WORKER_H_

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/resources.h"
#include "waxwingfront/schema/gen/worker_protocol.pb.h"
#include "waxwingfront/standins/http_service.h"

namespace waxwingfront::standins {

struct worker_options {
  core::resources capacity;
  core::milliseconds ticket{6000};
  core::milliseconds task_lease{20000};
};

// Serves `POST /v1/sync`. The command `sleep:<ms>` finishes after that time,
// `fail:<ms>` fails after it. The checkpoint is the number of milliseconds run
// so far, and a resumed task runs the remaining ones. `GET /journal` lists each
// start and end on one line: "<start|end> <job> <task> <attempt> <ms>
// <checkpoint>", with times of the monotonic clock.
class worker {
 public:
  explicit worker(worker_options options);

  http_response Handle(const http_call& call);
  schema::sync_response Sync(const schema::sync_request& request,
                             core::monotonic_time now);
  void SetLeaving(bool leaving);
  // Tasks that start while the worker is broken fail at once.
  void SetBroken(bool broken);
  // Ends the attempts that are complete, or whose lease has expired, at `now`.
  void Advance(core::monotonic_time now);
  std::string Journal() const;

 private:
  using attempt_key = std::tuple<std::string, std::int64_t, std::int32_t>;
  struct running_task {
    schema::start_task start;
    core::monotonic_time started;
    core::monotonic_time lease_end;
    core::milliseconds progress_before{0};
    core::milliseconds total{0};
    bool fails = false;
  };
  struct ended_task {
    schema::attempt_outcome outcome = schema::ATTEMPT_OUTCOME_UNSPECIFIED;
    std::string checkpoint;
    schema::resources size;
    // Set when the owner has recorded the end. The attempt is dropped one
    // ticket lifetime later.
    bool recorded = false;
    core::monotonic_time recorded_at;
  };

  void AdvanceLocked(core::monotonic_time now);
  void End(const attempt_key& key, schema::attempt_outcome outcome,
           core::monotonic_time at);
  void Start(const schema::start_task& start, core::monotonic_time now);
  void Stop(const schema::attempt_id& id, core::monotonic_time now);
  void MarkRecorded(const schema::attempt_id& id, core::monotonic_time now);
  bool IsTicketValid(const std::string& ticket, core::monotonic_time now) const;
  void Write(std::string_view event, const attempt_key& key,
             core::monotonic_time at, std::string_view checkpoint);

  worker_options options_;
  mutable std::mutex mutex_;
  std::string incarnation_;
  std::uint64_t highest_epoch_ = 0;
  std::map<std::string, core::monotonic_time> tickets_;
  std::map<attempt_key, running_task> running_;
  std::map<attempt_key, ended_task> ended_;
  bool leaving_ = false;
  bool broken_ = false;
  std::string journal_;
};

}  // namespace waxwingfront::standins

#endif  // WAXWINGFRONT_STANDINS_WORKER_H_
