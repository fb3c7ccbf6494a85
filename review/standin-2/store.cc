#include "store.h"

#include <rapidjson/document.h>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "text.h"

namespace waxwingfront::review_2 {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxItems = 500;
constexpr std::size_t kMaxPageBytes = 1 << 20;
constexpr std::size_t kMaxEvents = 200'000;
constexpr std::size_t kMaxValueBytes = 1 << 20;
constexpr int kMaxEntries = 32;
constexpr std::int64_t kMinTtlMs = 1000;
constexpr std::int64_t kMaxTtlMs = 600'000;
constexpr std::int64_t kMaxWaitMs = 30'000;

std::string QueryText(const http_request& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

std::int64_t QueryNumber(const http_request& request, const char* name) {
  return std::atoll(QueryText(request, name).c_str());
}

std::int64_t IdIn(const std::string& path) {
  return std::atoll(path.substr(path.rfind('/') + 1).c_str());
}

}  // namespace

store::store() {
  std::thread([this] {
    while (true) {
      std::this_thread::sleep_for(milliseconds(10));
      EndOldLeases();
    }
  }).detach();
}

http_response store::Handle(const http_request& request) {
  if (request.path == "/kv-key") return Key(request);
  if (request.path == "/kv-range") return Range(request);
  if (request.path == "/kv-watch") return Watch(request);
  if (request.path == "/kv-txn") return Transact(request);
  if (request.path == "/kv-lease") return Grant(request);
  if (request.path.starts_with("/kv-keep/")) return Renew(IdIn(request.path));
  if (request.path.starts_with("/kv-lease-end/")) {
    const std::scoped_lock lock(mutex_);
    EndLease(IdIn(request.path));
    return {.body = "{}"};
  }
  return {.status = 404, .body = "{}"};
}

void store::Put(const std::string& key, const std::string& value) {
  const std::scoped_lock lock(mutex_);
  ++revision_;
  Write(key, Encode(value), 0);
}

void store::Remove(const std::string& key) {
  const std::scoped_lock lock(mutex_);
  if (!items_.contains(key)) return;
  ++revision_;
  Erase(key);
}

void store::Revoke(const std::string& key) {
  const std::scoped_lock lock(mutex_);
  const auto found = items_.find(key);
  if (found != items_.end()) EndLease(found->second.lease);
}

std::string store::Get(const std::string& key) {
  const std::scoped_lock lock(mutex_);
  const auto found = items_.find(key);
  return found == items_.end() ? std::string() : Decode(found->second.value);
}

std::string store::ItemText(const std::string& key, const item& what) const {
  return R"({"key":)" + Quote(key) + R"(,"value":")" + what.value +
         R"(","revision":)" + std::to_string(what.revision) + R"(,"created":)" +
         std::to_string(what.created) + R"(,"lease":)" +
         std::to_string(what.lease);
}

// The caller has raised the revision and holds the lock.
void store::Write(const std::string& key, const std::string& encoded,
                  std::int64_t lease_id) {
  item& what = items_[key];
  what.value = encoded;
  what.revision = revision_;
  if (what.created == 0) what.created = revision_;
  what.lease = lease_id;
  events_.push_back({revision_, key, ItemText(key, what) + "}"});
  if (events_.size() > kMaxEvents) events_.pop_front();
  changed_.notify_all();
}

void store::Erase(const std::string& key) {
  items_.erase(key);
  events_.push_back({revision_, key,
                     R"({"key":)" + Quote(key) + R"(,"revision":)" +
                         std::to_string(revision_) + R"(,"deleted":true})"});
  changed_.notify_all();
}

void store::EndLease(std::int64_t id) {
  if (leases_.erase(id) == 0) return;
  std::vector<std::string> keys;
  for (const auto& [key, what] : items_) {
    if (what.lease == id) keys.push_back(key);
  }
  if (keys.empty()) return;
  ++revision_;
  for (const std::string& key : keys) Erase(key);
}

void store::EndOldLeases() {
  const std::scoped_lock lock(mutex_);
  std::vector<std::int64_t> over;
  for (const auto& [id, one] : leases_) {
    if (clock::now() >= one.end) over.push_back(id);
  }
  for (const std::int64_t id : over) EndLease(id);
}

http_response store::Key(const http_request& request) {
  const std::scoped_lock lock(mutex_);
  const std::string at = R"("at":)" + std::to_string(revision_) + "}";
  const auto found = items_.find(QueryText(request, "key"));
  if (found == items_.end()) return {.status = 404, .body = "{" + at};
  return {.body = ItemText(found->first, found->second) + "," + at};
}

http_response store::Range(const http_request& request) {
  const std::scoped_lock lock(mutex_);
  const std::string prefix = QueryText(request, "prefix");
  const std::string after = QueryText(request, "after");
  std::string rows;
  std::size_t count = 0;
  bool more = false;
  for (auto at = after.empty() ? items_.lower_bound(prefix)
                               : items_.upper_bound(after);
       at != items_.end() && at->first.starts_with(prefix); ++at) {
    if (count >= kMaxItems || rows.size() >= kMaxPageBytes) {
      more = true;
      break;
    }
    if (count++ > 0) rows += ",";
    rows += ItemText(at->first, at->second) + "}";
  }
  return {.body = R"({"items":[)" + rows + R"(],"has_more":)" +
                  (more ? "true" : "false") + R"(,"at":)" +
                  std::to_string(revision_) + "}"};
}

http_response store::Watch(const http_request& request) {
  const std::string prefix = QueryText(request, "prefix");
  const std::int64_t after = QueryNumber(request, "after");
  const clock::time_point end =
      clock::now() + milliseconds(std::clamp<std::int64_t>(
                         QueryNumber(request, "wait_ms"), 0, kMaxWaitMs));
  std::unique_lock lock(mutex_);
  while (true) {
    if (events_.size() >= kMaxEvents && after < events_.front().revision) {
      return {.status = 410, .body = "{}"};
    }
    std::string rows;
    auto first =
        std::ranges::lower_bound(events_, after + 1, {}, &event::revision);
    for (; first != events_.end(); ++first) {
      if (!first->key.starts_with(prefix)) continue;
      if (!rows.empty()) rows += ",";
      rows += first->text;
    }
    if (!rows.empty() || clock::now() >= end) {
      return {.body = R"({"events":[)" + rows + R"(],"at":)" +
                      std::to_string(revision_) + "}"};
    }
    changed_.wait_until(lock, end);
  }
}

http_response store::Transact(const http_request& request) {
  rapidjson::Document body;
  if (!Parse(request.body, body)) return {.status = 400, .body = "{}"};
  const std::scoped_lock lock(mutex_);
  std::string actual;
  bool holds = true;
  std::size_t entries = 0;
  for (const char* const list : {"expect", "set_keys", "remove"}) {
    if (body.HasMember(list)) entries += body[list].Size();
  }
  if (entries > kMaxEntries) return {.status = 400, .body = "{}"};
  if (body.HasMember("expect")) {
    for (const auto& row : body["expect"].GetArray()) {
      const std::string key = Text(row, "key");
      const auto found = items_.find(key);
      const std::int64_t present =
          found == items_.end() ? 0 : found->second.revision;
      holds &= present == Number(row, "revision");
      if (!actual.empty()) actual += ",";
      actual += found == items_.end()
                    ? R"({"key":)" + Quote(key) + R"(,"revision":0})"
                    : ItemText(key, found->second) + "}";
    }
  }
  if (!holds) {
    return {.status = 412, .body = R"({"items":[)" + actual + "]}"};
  }
  if (body.HasMember("set_keys")) {
    for (const auto& row : body["set_keys"].GetArray()) {
      const std::int64_t id = Number(row, "lease");
      if (id != 0 && !leases_.contains(id)) {
        return {.status = 404, .body = "{}"};
      }
      if (Text(row, "value").size() / 4 * 3 > kMaxValueBytes) {
        return {.status = 400, .body = "{}"};
      }
    }
  }
  ++revision_;
  if (body.HasMember("set_keys")) {
    for (const auto& row : body["set_keys"].GetArray()) {
      Write(Text(row, "key"), Text(row, "value"), Number(row, "lease"));
    }
  }
  if (body.HasMember("remove")) {
    for (const auto& key : body["remove"].GetArray()) {
      if (items_.contains(key.GetString())) Erase(key.GetString());
    }
  }
  return {.body = R"({"revision":)" + std::to_string(revision_) + "}"};
}

http_response store::Grant(const http_request& request) {
  rapidjson::Document body;
  if (!Parse(request.body, body)) return {.status = 400, .body = "{}"};
  const std::int64_t ttl =
      std::clamp(Number(body, "ttl_ms"), kMinTtlMs, kMaxTtlMs);
  const std::scoped_lock lock(mutex_);
  const std::int64_t id = ++last_lease_;
  leases_[id] = {milliseconds(ttl), clock::now() + milliseconds(ttl)};
  return {.body = R"({"lease":)" + std::to_string(id) + R"(,"ttl_ms":)" +
                  std::to_string(ttl) + "}"};
}

http_response store::Renew(std::int64_t id) {
  const std::scoped_lock lock(mutex_);
  const auto found = leases_.find(id);
  if (found == leases_.end()) return {.status = 404, .body = "{}"};
  found->second.end = clock::now() + found->second.ttl;
  return {.body = R"({"ttl_ms":)" + std::to_string(found->second.ttl.count()) +
                  "}"};
}

}  // namespace waxwingfront::review_2
