#include "waxwingfront/store/store_client.h"

#include <utility>

#include "waxwingfront/core/json.h"
#include "waxwingfront/net/http_status.h"
#include "waxwingfront/schema/gen/store_protocol.pb.h"

namespace waxwingfront::store {
namespace {

stored_value ToStoredValue(const schema::key_value& message) {
  return stored_value{.key = message.key(),
                      .value = message.value(),
                      .create_revision = message.create_revision(),
                      .mod_revision = message.mod_revision()};
}

}  // namespace

store_client::store_client(store_client_options options)
    : options_(std::move(options)) {}

core::result<void> store_client::Call(
    call_kind kind, std::string_view path,
    const google::protobuf::Message& request,
    google::protobuf::Message& response) const {
  options_.on_call(kind);
  const core::result<net::http_reply> reply =
      options_.post(path, core::ToJson(request));
  if (!reply) {
    const bool sent = reply.error().code != core::error_code::kUnreachable;
    return core::Failure(sent ? core::error_code::kOutcomeUnknown
                              : core::error_code::kStoreUnavailable,
                         reply.error().detail);
  }
  // The gateway also responds with 503 if it timed out waiting for a write that
  // it had forwarded, so only a read is certain to have had no effect.
  const bool rejected = reply->status == net::kHttpTooManyRequests ||
                        (reply->status == net::kHttpServiceUnavailable &&
                         kind == call_kind::kRead);
  if (rejected) {
    return core::Failure(core::error_code::kStoreUnavailable,
                         "the store refused the call");
  }
  if (reply->status == net::kHttpNotFound) {
    return core::Failure(core::error_code::kNotRun,
                         "the store does not know the lease");
  }
  if (reply->status == net::kHttpPreconditionFailed) {
    return core::Failure(core::error_code::kProtocol, reply->body);
  }
  if (reply->status != net::kHttpOk) {
    return core::Failure(
        core::error_code::kOutcomeUnknown,
        "the store answered with HTTP status " + std::to_string(reply->status));
  }
  if (!core::FromJson(reply->body, core::unknown_fields::kIgnore, response)) {
    return core::Failure(core::error_code::kOutcomeUnknown,
                         "the store's answer is malformed");
  }
  return {};
}

core::result<std::optional<stored_value>> store_client::Get(
    std::string_view key) const {
  schema::range_request request;
  request.set_key(std::string(key));
  schema::range_response response;
  const auto called = Call(call_kind::kRead, "/v3/kv/range", request, response);
  if (!called) return tl::unexpected(called.error());
  if (response.kvs().empty()) return std::nullopt;
  return ToStoredValue(response.kvs(0));
}

core::result<std::vector<stored_value>> store_client::List(
    std::string_view prefix) const {
  schema::range_request request;
  request.set_key(std::string(prefix));
  request.set_range_end(PrefixEnd(prefix));
  schema::range_response response;
  const auto called = Call(call_kind::kRead, "/v3/kv/range", request, response);
  if (!called) return tl::unexpected(called.error());
  std::vector<stored_value> values;
  for (const schema::key_value& item : response.kvs())
    values.push_back(ToStoredValue(item));
  return values;
}

core::result<write_outcome> store_client::WriteIf(
    std::span<const write_condition> conditions,
    std::span<const write_item> items, std::int64_t lease) const {
  schema::txn_request request;
  for (const write_condition& condition : conditions) {
    schema::compare& compare = *request.add_compare();
    compare.set_key(condition.key);
    if (condition.value.has_value()) {
      compare.set_target(schema::compare::VALUE);
      compare.set_value(*condition.value);
    } else {
      compare.set_target(schema::compare::MOD);
      compare.set_mod_revision(condition.mod_revision);
    }
  }
  for (const write_item& item : items) {
    schema::put_request& put = *request.add_success()->mutable_request_put();
    put.set_key(item.key);
    put.set_value(item.value);
    put.set_lease(lease);
  }
  schema::txn_response response;
  const auto called = Call(call_kind::kWrite, "/v3/kv/txn", request, response);
  if (!called) return tl::unexpected(called.error());
  return response.succeeded() ? write_outcome::kApplied
                              : write_outcome::kConflict;
}

core::result<write_outcome> store_client::CreateIfAbsent(
    std::string_view key, std::string_view value, std::int64_t lease) const {
  const write_condition absent{.key = std::string(key)};
  const write_item item{.key = std::string(key), .value = std::string(value)};
  return WriteIf({&absent, 1}, {&item, 1}, lease);
}

core::result<void> store_client::DeleteRange(std::string_view first,
                                             std::string_view end) const {
  schema::delete_range_request request;
  request.set_key(std::string(first));
  request.set_range_end(std::string(end));
  schema::delete_range_response response;
  return Call(call_kind::kWrite, "/v3/kv/deleterange", request, response);
}

core::result<void> store_client::GrantLease(std::int64_t id,
                                            std::int64_t ttl_seconds) const {
  schema::lease_grant_request request;
  request.set_id(id);
  request.set_ttl(ttl_seconds);
  schema::lease_grant_response response;
  const auto called =
      Call(call_kind::kWrite, "/v3/lease/grant", request, response);
  // The id is random, so an existing lease was created by an earlier attempt of
  // this call.
  if (!called && called.error().code == core::error_code::kProtocol) return {};
  return called;
}

core::result<bool> store_client::KeepAlive(std::int64_t id) const {
  schema::lease_keep_alive_request request;
  request.set_id(id);
  schema::lease_keep_alive_result response;
  const auto called =
      Call(call_kind::kWrite, "/v3/lease/keepalive", request, response);
  if (!called) return tl::unexpected(called.error());
  return response.result().ttl() > 0;
}

core::result<void> store_client::RevokeLease(std::int64_t id) const {
  schema::lease_revoke_request request;
  request.set_id(id);
  schema::lease_revoke_response response;
  return Call(call_kind::kWrite, "/v3/lease/revoke", request, response);
}

std::string PrefixEnd(std::string_view prefix) {
  std::string end(prefix);
  if (!end.empty()) ++end.back();
  return end;
}

}  // namespace waxwingfront::store
