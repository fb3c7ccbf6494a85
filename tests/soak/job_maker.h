// Jobs that callers submit, drawn from a seed.
#ifndef WAXWINGFRONT_TESTS_SOAK_JOB_MAKER_H_
#define WAXWINGFRONT_TESTS_SOAK_JOB_MAKER_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace waxwingfront::soak {

enum class job_kind : std::uint8_t {
  // One or two steps whose tasks end.
  kPlain,
  // Tasks that last until the job is cancelled, and fail now and then.
  kLasting,
  // Steps whose tasks work only together.
  kGang,
  // One step that runs several times, each at its own time.
  kScheduled,
};

struct soak_job {
  std::string id;
  std::string body;
  std::size_t queue = 0;
  job_kind kind = job_kind::kPlain;
  int tasks = 0;
  // Tasks of a step.
  int width = 0;
  // Of a scheduled job, in milliseconds since 1970.
  std::int64_t first_run_ms = 0;
  std::int64_t interval_ms = 0;
  // A cancel was confirmed.
  bool cancelled = false;
};

std::int64_t UnixMs();

// The spec carries `payload_bytes` beside its orders.
soak_job MakeJob(std::mt19937_64& draw, std::size_t queues, job_kind kind,
                 std::size_t payload_bytes);

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_JOB_MAKER_H_
