#include "waxwingfront/standins/store.h"

#include <Poco/JSON/Parser.h>

#include <algorithm>
#include <thread>

#include "waxwingfront/core/json.h"
#include "waxwingfront/net/http_status.h"

namespace waxwingfront::standins {
namespace {

template <typename Message>
Message Parse(const std::string& body) {
  Message message;
  static_cast<void>(
      core::FromJson(body, core::unknown_fields::kIgnore, message));
  return message;
}

http_response Json(const google::protobuf::Message& message) {
  return {.body = core::ToJson(message)};
}

bool IsWrite(std::string_view path) { return path != "/v3/kv/range"; }

}  // namespace

store::store() : window_start_(core::Now()) {}

void store::SetFaults(const store_faults& faults) {
  const std::lock_guard lock(mutex_);
  faults_ = faults;
}

store_counts store::Counts() const {
  const std::lock_guard lock(mutex_);
  return counts_;
}

http_response store::HandleFaults(const std::string& body) {
  const auto fields =
      Poco::JSON::Parser().parse(body).extract<Poco::JSON::Object::Ptr>();
  SetFaults(
      {.down = fields->optValue("down", false),
       .lose_write_responses = fields->optValue("lose_write_answers", 0),
       .delay = core::milliseconds(fields->optValue("delay_ms", 0)),
       .max_reads_per_second = fields->optValue("max_reads_per_second", 0),
       .max_writes_per_second = fields->optValue("max_writes_per_second", 0)});
  return {.body = "{}"};
}

bool store::ExceedsRateLimit(bool write) {
  const core::monotonic_time now = core::Now();
  if (now - window_start_ >= std::chrono::seconds(1)) {
    window_start_ = now;
    reads_in_window_ = 0;
    writes_in_window_ = 0;
  }
  int& used = write ? writes_in_window_ : reads_in_window_;
  const int limit =
      write ? faults_.max_writes_per_second : faults_.max_reads_per_second;
  ++used;
  return limit > 0 && used > limit;
}

http_response store::Handle(const http_call& call) {
  if (call.path == "/faults") return HandleFaults(call.body);
  const bool write = IsWrite(call.path);
  std::unique_lock lock(mutex_);
  const core::milliseconds delay = faults_.delay;
  if (delay.count() > 0) {
    lock.unlock();
    std::this_thread::sleep_for(delay);
    lock.lock();
  }
  ++(write ? counts_.writes : counts_.reads);
  if (faults_.down || ExceedsRateLimit(write)) {
    ++counts_.rejected;
    return {.status = faults_.down ? net::kHttpServiceUnavailable
                                   : net::kHttpTooManyRequests,
            .body = "{}"};
  }
  RemoveExpiredLeases();
  http_response response = Dispatch(call.path, call.body);
  if (write && faults_.lose_write_responses > 0) {
    --faults_.lose_write_responses;
    response.drop = true;
  }
  return response;
}

http_response store::Dispatch(std::string_view path, const std::string& body) {
  if (path == "/v3/kv/range")
    return Json(Range(Parse<schema::range_request>(body)));
  if (path == "/v3/kv/txn") {
    const auto request = Parse<schema::txn_request>(body);
    if (HasUnknownLease(request)) {
      return {.status = net::kHttpNotFound,
              .body = "{\"error\":\"requested lease not found\"}"};
    }
    return Json(Txn(request));
  }
  if (path == "/v3/kv/put") {
    Put(Parse<schema::put_request>(body));
    return {.body = "{}"};
  }
  if (path == "/v3/kv/deleterange") {
    return Json(Delete(Parse<schema::delete_range_request>(body)));
  }
  if (path == "/v3/lease/grant") return Grant(body);
  if (path == "/v3/lease/keepalive") return KeepAlive(body);
  if (path == "/v3/lease/revoke") return Revoke(body);
  return {.status = net::kHttpBadRequest, .body = "{}"};
}

http_response store::Grant(const std::string& body) {
  const auto request = Parse<schema::lease_grant_request>(body);
  if (leases_.contains(request.id())) {
    return {.status = net::kHttpPreconditionFailed,
            .body = "{\"error\":\"lease already exists\"}"};
  }
  const core::milliseconds ttl = std::chrono::seconds(request.ttl());
  leases_[request.id()] = {.ttl = ttl, .expiry = core::Now() + ttl};
  schema::lease_grant_response response;
  response.set_id(request.id());
  response.set_ttl(request.ttl());
  return Json(response);
}

http_response store::KeepAlive(const std::string& body) {
  const auto request = Parse<schema::lease_keep_alive_request>(body);
  schema::lease_keep_alive_result result;
  result.mutable_result()->set_id(request.id());
  const auto found = leases_.find(request.id());
  if (found != leases_.end()) {
    found->second.expiry = core::Now() + found->second.ttl;
    result.mutable_result()->set_ttl(
        std::chrono::duration_cast<std::chrono::seconds>(found->second.ttl)
            .count());
  }
  return Json(result);
}

http_response store::Revoke(const std::string& body) {
  EndLease(Parse<schema::lease_revoke_request>(body).id());
  return {.body = "{}"};
}

void store::EndLease(std::int64_t id) {
  ++revision_;
  std::erase_if(entries_,
                [id](const auto& item) { return item.second.lease == id; });
  leases_.erase(id);
}

void store::RemoveExpiredLeases() {
  const core::monotonic_time now = core::Now();
  std::vector<std::int64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.expiry <= now) ended.push_back(id);
  }
  for (const std::int64_t id : ended) EndLease(id);
}

bool store::IsMet(const schema::compare& condition) const {
  const auto found = entries_.find(condition.key());
  const entry current = found == entries_.end() ? entry{} : found->second;
  switch (condition.target()) {
    case schema::compare::CREATE:
      return current.create_revision == condition.create_revision();
    case schema::compare::MOD:
      return current.mod_revision == condition.mod_revision();
    case schema::compare::VERSION:
      return current.version == condition.version();
    case schema::compare::VALUE:
      return found != entries_.end() && current.value == condition.value();
    default:
      return false;
  }
}

schema::range_response store::Range(
    const schema::range_request& request) const {
  schema::range_response response;
  response.mutable_header()->set_revision(revision_);
  auto item = entries_.lower_bound(request.key());
  for (; item != entries_.end(); ++item) {
    const bool inside = request.range_end().empty()
                            ? item->first == request.key()
                            : item->first < request.range_end();
    if (!inside) break;
    schema::key_value& found = *response.add_kvs();
    found.set_key(item->first);
    found.set_value(item->second.value);
    found.set_create_revision(item->second.create_revision);
    found.set_mod_revision(item->second.mod_revision);
    found.set_version(item->second.version);
    found.set_lease(item->second.lease);
  }
  response.set_count(response.kvs_size());
  return response;
}

void store::Put(const schema::put_request& request) {
  entry& target = entries_[request.key()];
  if (target.create_revision == 0) target.create_revision = revision_;
  target.mod_revision = revision_;
  ++target.version;
  target.value = request.value();
  target.lease = request.lease();
}

schema::delete_range_response store::Delete(
    const schema::delete_range_request& request) {
  schema::delete_range_response response;
  std::int64_t deleted = 0;
  auto item = entries_.lower_bound(request.key());
  while (item != entries_.end()) {
    const bool inside = request.range_end().empty()
                            ? item->first == request.key()
                            : item->first < request.range_end();
    if (!inside) break;
    item = entries_.erase(item);
    ++deleted;
  }
  response.set_deleted(deleted);
  return response;
}

bool store::HasUnknownLease(const schema::txn_request& request) const {
  return std::any_of(request.success().begin(), request.success().end(),
                     [this](const schema::request_op& operation) {
                       const std::int64_t lease =
                           operation.request_put().lease();
                       return lease != 0 && !leases_.contains(lease);
                     });
}

schema::txn_response store::Txn(const schema::txn_request& request) {
  schema::txn_response response;
  bool all_met = true;
  for (const schema::compare& condition : request.compare())
    all_met = all_met && IsMet(condition);
  response.set_succeeded(all_met);
  ++revision_;
  for (const schema::request_op& operation :
       all_met ? request.success() : request.failure()) {
    if (operation.has_request_put()) Put(operation.request_put());
    if (operation.has_request_range()) {
      *response.add_responses()->mutable_response_range() =
          Range(operation.request_range());
    }
    if (operation.has_request_delete_range()) {
      *response.add_responses()->mutable_response_delete_range() =
          Delete(operation.request_delete_range());
    }
  }
  response.mutable_header()->set_revision(revision_);
  return response;
}

}  // namespace waxwingfront::standins
