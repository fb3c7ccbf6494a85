// The stand-in store, called in process, with a configurable outcome for each
// call.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_FAULTY_STORE_H_
#define WAXWINGFRONT_TESTS_SUPPORT_FAULTY_STORE_H_

#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "waxwingfront/core/error.h"
#include "waxwingfront/net/http_client.h"
#include "waxwingfront/standins/store.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::tests {

enum class call_outcome {
  // Takes effect; the caller receives the response.
  kAnswered,
  // Rejected with status 429 and without effect.
  kRefused,
  // The connection fails.
  kUnreachable,
  // The request is lost before it reaches the store.
  kLostBefore,
  // The request takes effect; its response is lost.
  kLostAfter,
  // Receives no response; takes effect at `DeliverHeld`.
  kHeld,
};

class faulty_store {
 public:
  faulty_store();

  const store::store_client& Client() const { return client_; }

  // Sets the function that selects the outcome of each call. It runs before the
  // store is called and without a lock.
  void SetOutcome(std::function<call_outcome(std::string_view path)> outcome);
  // Sets one outcome for all calls.
  void SetOutcome(call_outcome outcome);

  // Delivers all held calls to the store, in the order in which they were made.
  void DeliverHeld();

  // Ends the lease that `key` is attached to, as if its time to live had
  // expired.
  void EndLeaseOf(std::string_view key);

  standins::store_counts Counts() const { return store_.Counts(); }

 private:
  core::result<net::http_reply> Post(std::string_view path,
                                     std::string_view body);
  standins::http_response Deliver(std::string_view path, std::string_view body);

  standins::store store_;
  store::store_client client_;
  std::mutex mutex_;
  std::function<call_outcome(std::string_view path)> outcome_;
  std::vector<std::pair<std::string, std::string>> held_;
};

// Paths of store calls.
inline constexpr std::string_view kRangePath = "/v3/kv/range";
inline constexpr std::string_view kTxnPath = "/v3/kv/txn";
inline constexpr std::string_view kDeletePath = "/v3/kv/deleterange";

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_FAULTY_STORE_H_
