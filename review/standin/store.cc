#include "store.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace waxwingfront::review {
namespace {

using json_writer = rapidjson::Writer<rapidjson::StringBuffer>;

constexpr std::size_t kPageItems = 500;
constexpr milliseconds kHistory{20'000};
constexpr milliseconds kMinTtl{1000};

constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr int kDigitBits = 6;

std::string Encode(std::string_view bytes) {
  constexpr unsigned kDigitMask = 63;
  std::string text;
  unsigned bits = 0;
  int count = 0;
  for (const char byte : bytes) {
    bits = (bits << 8) | static_cast<unsigned char>(byte);
    for (count += 8; count >= kDigitBits; count -= kDigitBits) {
      text += kDigits[(bits >> (count - kDigitBits)) & kDigitMask];
    }
  }
  if (count > 0) text += kDigits[(bits << (kDigitBits - count)) & kDigitMask];
  while (text.size() % 4 != 0) text += '=';
  return text;
}

void PutText(json_writer& writer, const char* name, const std::string& text) {
  writer.Key(name);
  writer.String(text.data(), static_cast<rapidjson::SizeType>(text.size()));
}

void PutNumber(json_writer& writer, const char* name, std::int64_t number) {
  writer.Key(name);
  writer.Int64(number);
}

template <typename Item>
void WriteItem(json_writer& writer, const std::string& key, const Item& item) {
  PutText(writer, "key", key);
  PutText(writer, "value", item.value);
  PutNumber(writer, "revision", item.revision);
  PutNumber(writer, "created", item.created);
  PutNumber(writer, "lease", item.lease);
}

std::int64_t Number(const http_request& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? 0 : std::atoll(found->second.c_str());
}

std::string Text(const http_request& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

std::int64_t LastNumber(const std::string& path) {
  return std::atoll(path.substr(path.rfind('/') + 1).c_str());
}

}  // namespace

http_response store::Handle(const http_request& request) {
  std::unique_lock lock(mutex_);
  ExpireLeases();
  if (request.path == "/kv-key") return Get(Text(request, "key"));
  if (request.path == "/kv-range") return Range(request);
  if (request.path == "/kv-watch") return Watch(request, lock);
  if (request.path == "/kv-txn") return Write(request.body);
  if (request.path == "/kv-lease") return Grant(request.body);
  if (request.path.starts_with("/kv-keep/")) {
    return Keep(LastNumber(request.path));
  }
  if (request.path.starts_with("/kv-lease-end/")) {
    EndLease(LastNumber(request.path));
    return {.body = "{}"};
  }
  return {.status = 404};
}

void store::Put(const std::string& key, const std::string& bytes) {
  const std::scoped_lock lock(mutex_);
  Set(key, Encode(bytes), 0, ++revision_);
}

void store::Remove(const std::string& key) {
  const std::scoped_lock lock(mutex_);
  if (items_.contains(key)) Delete(key, ++revision_);
}

void store::ExpireLeases() {
  std::vector<std::int64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (lease.end <= clock::now()) ended.push_back(id);
  }
  for (const std::int64_t id : ended) EndLease(id);
}

void store::EndLease(std::int64_t lease) {
  if (leases_.erase(lease) == 0) return;
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) keys.push_back(key);
  }
  for (const std::string& key : keys) Delete(key, ++revision_);
}

void store::Set(const std::string& key, const std::string& value,
                std::int64_t lease, std::int64_t revision) {
  item& entry = items_[key];
  if (entry.created == 0) entry.created = revision;
  entry.value = value;
  entry.revision = revision;
  entry.lease = lease;
  Record({.key = key, .state = entry, .at = clock::now()});
}

void store::Delete(const std::string& key, std::int64_t revision) {
  items_.erase(key);
  Record({.key = key,
          .state = {.revision = revision},
          .deleted = true,
          .at = clock::now()});
}

void store::Record(event change) {
  history_.push_back(std::move(change));
  while (history_.front().at + kHistory < clock::now()) {
    forgotten_ = history_.front().state.revision;
    history_.pop_front();
  }
  changed_.notify_all();
}

std::int64_t store::RevisionOf(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? 0 : found->second.revision;
}

http_response store::Get(const std::string& key) {
  rapidjson::StringBuffer text;
  json_writer writer(text);
  writer.StartObject();
  const auto found = items_.find(key);
  if (found != items_.end()) WriteItem(writer, key, found->second);
  PutNumber(writer, "at", revision_);
  writer.EndObject();
  return {.status = found == items_.end() ? 404 : 200,
          .body = text.GetString()};
}

http_response store::Range(const http_request& request) {
  const std::string prefix = Text(request, "prefix");
  const std::string after = Text(request, "after");
  rapidjson::StringBuffer text;
  json_writer writer(text);
  writer.StartObject();
  writer.Key("items");
  writer.StartArray();
  std::size_t count = 0;
  bool has_more = false;
  for (auto at = items_.lower_bound(std::max(prefix, after));
       at != items_.end() && at->first.starts_with(prefix); ++at) {
    if (at->first == after) continue;
    has_more = count == kPageItems;
    if (has_more) break;
    ++count;
    writer.StartObject();
    WriteItem(writer, at->first, at->second);
    writer.EndObject();
  }
  writer.EndArray();
  writer.Key("has_more");
  writer.Bool(has_more);
  PutNumber(writer, "at", revision_);
  writer.EndObject();
  return {.body = text.GetString()};
}

http_response store::Watch(const http_request& request,
                           std::unique_lock<std::mutex>& lock) {
  const std::string prefix = Text(request, "prefix");
  const std::int64_t after = Number(request, "after");
  constexpr milliseconds kLeaseCheck{10};
  const auto end = clock::now() + milliseconds(Number(request, "wait_ms"));
  if (after < forgotten_) return {.status = 410, .body = "{}"};
  while (true) {
    ExpireLeases();
    const bool any = std::ranges::any_of(history_, [&](const event& change) {
      return change.state.revision > after && change.key.starts_with(prefix);
    });
    if (any || clock::now() >= end) break;
    changed_.wait_for(lock, kLeaseCheck);
  }
  rapidjson::StringBuffer text;
  json_writer writer(text);
  writer.StartObject();
  writer.Key("events");
  writer.StartArray();
  for (const event& change : history_) {
    if (change.state.revision <= after || !change.key.starts_with(prefix)) {
      continue;
    }
    writer.StartObject();
    if (change.deleted) {
      PutText(writer, "key", change.key);
      PutNumber(writer, "revision", change.state.revision);
      writer.Key("deleted");
      writer.Bool(true);
    } else {
      WriteItem(writer, change.key, change.state);
    }
    writer.EndObject();
  }
  writer.EndArray();
  PutNumber(writer, "at", revision_);
  writer.EndObject();
  return {.body = text.GetString()};
}

http_response store::Write(const std::string& body) {
  rapidjson::Document write;
  write.Parse(body.data(), body.size());
  if (write.HasParseError()) return {.status = 400};
  const auto& expected = write["expect"].GetArray();
  const auto& wanted = write["set_keys"].GetArray();
  const auto& removed = write["remove"].GetArray();
  constexpr std::size_t kMaxEntries = 32;
  if (expected.Size() + wanted.Size() + removed.Size() > kMaxEntries) {
    return {.status = 400};
  }
  for (const auto& row : wanted) {
    const std::string key = row["key"].GetString();
    if (key.starts_with("op/") || key.starts_with("servers/")) {
      return {.status = 403};
    }
    if (row.HasMember("lease") && row["lease"].GetInt64() != 0 &&
        !leases_.contains(row["lease"].GetInt64())) {
      return {.status = 404};
    }
  }
  const bool holds =
      std::all_of(expected.begin(), expected.end(), [this](const auto& row) {
        return RevisionOf(row["key"].GetString()) == row["revision"].GetInt64();
      });
  rapidjson::StringBuffer text;
  json_writer writer(text);
  writer.StartObject();
  if (!holds) {
    writer.Key("items");
    writer.StartArray();
    for (const auto& row : expected) {
      const std::string key = row["key"].GetString();
      const auto found = items_.find(key);
      writer.StartObject();
      WriteItem(writer, key, found == items_.end() ? item() : found->second);
      writer.EndObject();
    }
    writer.EndArray();
    writer.EndObject();
    return {.status = 412, .body = text.GetString()};
  }
  ++revision_;
  for (const auto& row : wanted) {
    Set(row["key"].GetString(), row["value"].GetString(),
        row.HasMember("lease") ? row["lease"].GetInt64() : 0, revision_);
  }
  for (const auto& key : removed) {
    if (items_.contains(key.GetString())) Delete(key.GetString(), revision_);
  }
  PutNumber(writer, "revision", revision_);
  writer.EndObject();
  return {.body = text.GetString()};
}

http_response store::Grant(const std::string& body) {
  rapidjson::Document call;
  call.Parse(body.data(), body.size());
  const milliseconds ttl =
      std::max(kMinTtl, milliseconds(call["ttl_ms"].GetInt64()));
  leases_[++last_lease_] = {.ttl = ttl, .end = clock::now() + ttl};
  return {.body = "{\"lease\":" + std::to_string(last_lease_) +
                  ",\"ttl_ms\":" + std::to_string(ttl.count()) + "}"};
}

http_response store::Keep(std::int64_t lease) {
  const auto found = leases_.find(lease);
  if (found == leases_.end()) return {.status = 404, .body = "{}"};
  found->second.end = clock::now() + found->second.ttl;
  return {.body = "{}"};
}

}  // namespace waxwingfront::review
