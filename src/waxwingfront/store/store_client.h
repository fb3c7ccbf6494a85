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

// A key's value as read.
struct stored_value {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
};

// A key and the value to write under it.
struct write_item {
  std::string key;
  std::string value;
};

// A condition of a write: the key is absent, was last modified at a revision,
// or has a value.
struct write_condition {
  std::string key;
  // Revision of the last modification; 0 means that the key is absent. Ignored
  // if `value` is set.
  std::int64_t mod_revision = 0;
  std::optional<std::string> value;
};

// What became of a conditional write that was answered.
enum class write_outcome {
  kApplied,
  // The condition did not hold; nothing was written.
  kConflict,
};

enum class call_kind { kRead, kWrite };

struct store_client_options {
  // Sends one request body to a path of the store.
  std::function<core::result<net::http_reply>(std::string_view path,
                                              std::string_view body)>
      post;
  // Told of each call before it is sent.
  std::function<void(call_kind)> on_call = [](call_kind) {};
};

// All calls fail with `kStoreUnavailable` when nothing was done, with `kNotRun`
// when a write was refused because its lease has ended, and with
// `kOutcomeUnknown` when no answer came: then a write may have taken effect,
// and the caller has to read it back.
class store_client {
 public:
  explicit store_client(store_client_options options);

  // The value of one key; nothing if the key is absent.
  core::result<std::optional<stored_value>> Get(std::string_view key) const;

  // All keys that start with `prefix`, in key order.
  core::result<std::vector<stored_value>> List(std::string_view prefix) const;

  // Writes all `items` in one step if all `conditions` hold. `lease` 0 means
  // none.
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

  // Creates a lease with an id chosen by the caller; a repeated call with the
  // same id is harmless.
  core::result<void> GrantLease(std::int64_t id,
                                std::int64_t ttl_seconds) const;

  // Renews a lease; false if it does not exist any more.
  core::result<bool> KeepAlive(std::int64_t id) const;

  // Ends a lease and deletes the keys attached to it.
  core::result<void> RevokeLease(std::int64_t id) const;

 private:
  core::result<void> Call(call_kind kind, std::string_view path,
                          const google::protobuf::Message& request,
                          google::protobuf::Message& response) const;

  store_client_options options_;
};

// First key after all keys that start with `prefix`.
std::string PrefixEnd(std::string_view prefix);

}  // namespace waxwingfront::store

#endif  // WAXWINGFRONT_STORE_STORE_CLIENT_H_
