// Client of the platform's key-value service.
#ifndef WAXWINGFRONT_STORE_STORE_CLIENT_H_
#define WAXWINGFRONT_STORE_STORE_CLIENT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "waxwingfront/core/error.h"
#include "waxwingfront/net/http_client.h"

namespace google::protobuf {
class Message;
}

namespace waxwingfront::store {

// A key-value pair as read from the store.
struct stored_value {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
};

// A key-value pair to write.
struct write_item {
  std::string key;
  std::string value;
};

// A condition of a write: the key is absent, was last modified at a given
// revision, or has a given value.
struct write_condition {
  std::string key;
  // Revision of the last modification; 0 means that the key is absent. Ignored
  // if `value` is set.
  std::int64_t mod_revision = 0;
  std::optional<std::string> value;
};

// Outcome of a conditional write that received a response.
enum class write_outcome {
  kApplied,
  // A condition did not hold; nothing was written.
  kConflict,
};

enum class call_kind { kRead, kWrite };

struct store_client_options {
  // Sends one request body to a path of the store and returns the response.
  std::function<core::result<net::http_reply>(std::string_view path,
                                              std::string_view body)>
      post;
  // Called before each call is sent.
  std::function<void(call_kind)> on_call = [](call_kind) {};
};

// All calls fail with `kStoreUnavailable` if the call had no effect, with
// `kNotRun` if a write was rejected because its lease has expired, and with
// `kOutcomeUnknown` if no valid response was received: then a write may have
// taken effect, and the caller must read it back.
class store_client {
 public:
  explicit store_client(store_client_options options);

  // Returns the value of one key; no value if the key is absent.
  core::result<std::optional<stored_value>> Get(std::string_view key) const;

  // Returns all keys that start with `prefix`, in key order.
  core::result<std::vector<stored_value>> List(std::string_view prefix) const;

  // Writes all `items` atomically if all `conditions` hold. `lease` 0 means no
  // lease.
  core::result<write_outcome> WriteIf(
      std::span<const write_condition> conditions,
      std::span<const write_item> items, std::int64_t lease = 0) const;

  // Creates `key` if it is absent.
  core::result<write_outcome> CreateIfAbsent(std::string_view key,
                                             std::string_view value,
                                             std::int64_t lease = 0) const;

  // Deletes the keys in [`first`, `end`).
  core::result<void> DeleteRange(std::string_view first,
                                 std::string_view end) const;

  // Creates a lease with an id chosen by the caller; repeating the call with
  // the same id has no effect.
  core::result<void> GrantLease(std::int64_t id,
                                std::int64_t ttl_seconds) const;

  // Renews a lease. Returns false if the lease no longer exists.
  core::result<bool> KeepAlive(std::int64_t id) const;

  // Revokes a lease and deletes the keys attached to it.
  core::result<void> RevokeLease(std::int64_t id) const;

 private:
  core::result<void> Call(call_kind kind, std::string_view path,
                          const google::protobuf::Message& request,
                          google::protobuf::Message& response) const;

  store_client_options options_;
};

// Returns the first key after all keys that start with `prefix`.
std::string PrefixEnd(std::string_view prefix);

}  // namespace waxwingfront::store

#endif  // WAXWINGFRONT_STORE_STORE_CLIENT_H_
