// Callers that submit jobs, ask for them and cancel them.
#ifndef WAXWINGFRONT_TESTS_SOAK_CALLERS_H_
#define WAXWINGFRONT_TESTS_SOAK_CALLERS_H_

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "soak/caller_link.h"
#include "soak/job_book.h"
#include "soak/job_maker.h"
#include "soak/manifest.h"
#include "soak/site.h"

namespace waxwingfront::soak {

// How a caller treats its connections.
enum class caller_style : std::uint8_t {
  kKeeps,
  kReopens,
  kPipelines,
  kSendsSlowly,
  kHalfCloses,
  kBreaks,
};

struct caller_options {
  std::uint64_t seed = 1;
  // Of each job's spec.
  std::size_t payload_bytes = 0;
};

class callers {
 public:
  callers(timeline& log, const site& processes, job_book& book,
          const caller_options& options);
  callers(const callers&) = delete;
  callers& operator=(const callers&) = delete;
  ~callers();

  void Start(int count);
  // Lets the callers end; true once all have ended.
  bool Stop();
  // Asks for the job at any process, until it has ended or it is `latest`.
  void AskAtEnd(const std::string& id, milliseconds latest);
  // Cancels the job at any process, until that is confirmed or it is `latest`.
  void CancelAtEnd(const std::string& id, milliseconds latest);
  std::string Summary() const;

 private:
  using random = std::mt19937_64;

  struct connection {
    caller_link link;
    std::size_t node = 0;
    milliseconds opened{0};
  };

  void Run(int number);
  void Visit(random& draw, connection& open, std::vector<soak_job>& jobs,
             caller_style style);
  void Submit(random& draw, connection& open, std::vector<soak_job>& jobs,
              caller_style style);
  void Ask(random& draw, connection& open, const soak_job& about,
           caller_style style);
  void Cancel(random& draw, connection& open, soak_job& about,
              caller_style style);
  void Pipeline(random& draw, connection& open,
                const std::vector<soak_job>& jobs);
  void Break(random& draw, connection& open);
  bool Open(random& draw, connection& open);
  std::string Request(std::string_view method, std::size_t queue,
                      std::string_view rest, std::string_view body) const;
  caller_reply Exchange(random& draw, connection& open, const std::string& text,
                        caller_style style);
  // Reads one answer to a whole request and checks that it isn't lost.
  caller_reply Await(connection& open, milliseconds last_byte);
  void Pause(random& draw, int max_ms) const;

  timeline& log_;
  const site& site_;
  job_book& book_;
  caller_options options_;
  std::vector<queue> queues_ = AllQueues();
  std::atomic<bool> stopping_{false};
  std::atomic<std::size_t> ended_{0};
  mutable std::mutex mutex_;
  std::map<std::string, int> counts_;
  std::vector<std::thread> threads_;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_CALLERS_H_
