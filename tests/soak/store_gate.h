// The store's faults. Each process has an address of its own, so that the gate
// knows who calls.
#ifndef WAXWINGFRONT_TESTS_SOAK_STORE_GATE_H_
#define WAXWINGFRONT_TESTS_SOAK_STORE_GATE_H_

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "review/standin/http.h"
#include "review/standin/store.h"
#include "soak/address_map.h"

namespace waxwingfront::soak {

using std::chrono::milliseconds;

enum class store_refusal : std::uint8_t {
  kNone,
  // Statuses 503 and 429.
  kUnavailable,
  kTooMany,
  // The connection is closed without a response.
  kReset,
  // No response until the refusal ends, and then the connection is closed.
  kSilence,
};

struct store_fault {
  store_refusal refusal = store_refusal::kNone;
  // Every n-th call that is carried out gets no response; 0: none.
  int lose_every = 0;
  // Writes and lease calls are carried out this much later.
  milliseconds write_delay{0};
  // Every response is sent this much later.
  milliseconds response_delay{0};
};

// Transactions of all processes that get no answer and are carried out later,
// where their conditions hold then.
struct late_writes {
  int percent = 0;
  milliseconds latest{0};
  // The others are carried out and answered this much later.
  milliseconds delay{0};
  // Of the choice and of the delays.
  std::uint64_t seed = 1;
};

// Thread-safe. Threads use it until the process ends, so it is never destroyed.
class store_gate {
 public:
  store_gate(review::store& platform, std::size_t processes);
  store_gate(const store_gate&) = delete;
  store_gate& operator=(const store_gate&) = delete;

  // Returns "127.0.0.1:PORT", where this process finds the store.
  std::string Address(std::size_t process) const;
  // In what the process writes and in what it reads; before it starts.
  void Translate(std::size_t process, const address_map& written,
                 const address_map& read);
  // Applies to calls that arrive from now on; refusals also to waiting watches.
  void Set(std::size_t process, const store_fault& fault);
  void SetAll(const store_fault& fault);
  // Applies to transactions that arrive from now on, beside the other faults.
  void SetLateWrites(const late_writes& late);
  // Watches that ask for changes up to now get 410.
  void ForgetHistory();
  // Ends the lease of the leader; false if there is no leader.
  bool EndLeaderLease();
  // The process whose lease holds the leader's key.
  std::optional<std::size_t> Leader();

 private:
  struct process_state {
    store_fault fault;
    int answered = 0;
    // The last that it was granted; 0: none.
    std::int64_t lease = 0;
    address_map written;
    address_map read;
    std::unique_ptr<review::http_server> server;
  };
  struct late_write {
    milliseconds delay{0};
    bool answered = true;
  };

  review::http_response Handle(std::size_t process,
                               const review::http_request& request);
  review::http_response Refuse(std::size_t process, store_refusal refusal,
                               std::unique_lock<std::mutex>& lock);
  late_write DrawLate();
  std::int64_t LeaderLease();
  static review::http_request Call(const std::string& path,
                                   const std::string& key = "");

  review::store& platform_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<process_state> processes_;
  late_writes late_;
  std::mt19937_64 late_random_;
  std::int64_t forgotten_ = 0;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_STORE_GATE_H_
