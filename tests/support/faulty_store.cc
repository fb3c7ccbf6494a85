#include "support/faulty_store.h"

#include "waxwingfront/core/json.h"
#include "waxwingfront/net/http_status.h"
#include "waxwingfront/schema/gen/store_protocol.pb.h"

namespace waxwingfront::tests {
faulty_store::faulty_store()
    : client_({.post = [this](std::string_view path, std::string_view body) {
        return Post(path, body);
      }}) {
  SetOutcome(call_outcome::kAnswered);
}

void faulty_store::SetOutcome(
    std::function<call_outcome(std::string_view path)> outcome) {
  const std::lock_guard lock(mutex_);
  outcome_ = std::move(outcome);
}

void faulty_store::SetOutcome(call_outcome outcome) {
  SetOutcome([outcome](std::string_view /*path*/) { return outcome; });
}

standins::http_response faulty_store::Deliver(std::string_view path,
                                              std::string_view body) {
  return store_.Handle({.method = "POST",
                        .path = std::string(path),
                        .headers = {},
                        .body = std::string(body)});
}

core::result<net::http_reply> faulty_store::Post(std::string_view path,
                                                 std::string_view body) {
  std::function<call_outcome(std::string_view)> select_outcome;
  {
    const std::lock_guard lock(mutex_);
    select_outcome = outcome_;
  }
  const auto outcome_unknown = [] {
    return core::Failure(core::error_code::kOutcomeUnknown, "no answer");
  };
  switch (select_outcome(path)) {
    case call_outcome::kRefused:
      return net::http_reply{.status = net::kHttpTooManyRequests, .body = "{}"};
    case call_outcome::kUnreachable:
      return core::Failure(core::error_code::kUnreachable, "no connection");
    case call_outcome::kLostBefore:
      return outcome_unknown();
    case call_outcome::kLostAfter:
      Deliver(path, body);
      return outcome_unknown();
    case call_outcome::kHeld: {
      const std::lock_guard lock(mutex_);
      held_.emplace_back(path, body);
      return outcome_unknown();
    }
    case call_outcome::kAnswered:
      break;
  }
  const standins::http_response response = Deliver(path, body);
  if (response.drop) return outcome_unknown();
  return net::http_reply{.status = response.status, .body = response.body};
}

void faulty_store::DeliverHeld() {
  std::vector<std::pair<std::string, std::string>> held;
  {
    const std::lock_guard lock(mutex_);
    held.swap(held_);
  }
  for (const auto& [path, body] : held) Deliver(path, body);
}

void faulty_store::EndLeaseOf(std::string_view key) {
  schema::range_request request;
  request.set_key(std::string(key));
  schema::range_response found;
  static_cast<void>(
      core::FromJson(Deliver(kRangePath, core::ToJson(request)).body,
                     core::unknown_fields::kIgnore, found));
  for (const schema::key_value& item : found.kvs()) {
    schema::lease_revoke_request revoke;
    revoke.set_id(item.lease());
    Deliver("/v3/lease/revoke", core::ToJson(revoke));
  }
}

}  // namespace waxwingfront::tests
