#include "waxwingfront/hosts/host_view.h"

#include <cstdint>
#include <utility>

#include "waxwingfront/core/hash.h"

namespace waxwingfront::hosts {
namespace {

constexpr core::milliseconds kUnlistedRetention{30000};

worker_info ToInfo(const schema::listed_worker& listed,
                   std::int64_t shards_per_domain) {
  return worker_info{.id = listed.id(),
                     .address = listed.address(),
                     .failure_domain = listed.failure_domain(),
                     .rack = listed.rack(),
                     .shard = ShardForRack(listed.failure_domain(),
                                           listed.rack(), shards_per_domain),
                     .capacity = core::FromSchema(listed.capacity()),
                     .leaving = listed.leaving()};
}

executor_info ToInfo(const schema::listed_executor& listed) {
  return executor_info{.id = listed.id(),
                       .service = listed.service(),
                       .address = listed.address(),
                       .failure_domain = listed.failure_domain(),
                       .slots = listed.slots(),
                       .connections = listed.connections(),
                       .leaving = listed.leaving()};
}

// Marks entries that are missing from the last list as leaving, and removes
// them after `kUnlistedRetention`.
template <typename Tracked>
void ExpireUnlisted(Tracked& entries, core::monotonic_time now) {
  for (auto entry = entries.begin(); entry != entries.end();) {
    const auto age = now - entry->second.last_listed_at;
    if (age > kUnlistedRetention) {
      entry = entries.erase(entry);
      continue;
    }
    if (age > core::milliseconds(0)) entry->second.info.leaving = true;
    ++entry;
  }
}

}  // namespace

std::string ShardForRack(std::string_view failure_domain, std::string_view rack,
                         std::int64_t shards_per_domain) {
  const std::uint64_t number =
      core::Fnv1a(rack) % static_cast<std::uint64_t>(shards_per_domain);
  return std::string(failure_domain) + "/" + std::to_string(number);
}

host_tracker::host_tracker(std::int64_t shards_per_domain)
    : shards_per_domain_(shards_per_domain) {}

std::shared_ptr<const host_view> host_tracker::Update(
    const schema::host_list& list, core::monotonic_time now) {
  for (const auto& listed : list.workers()) {
    workers_[listed.id()] = {.info = ToInfo(listed, shards_per_domain_),
                             .last_listed_at = now};
  }
  std::map<std::string, std::map<std::string, int, std::less<>>>
      executors_by_worker;
  for (const auto& listed : list.executors()) {
    executors_[listed.id()] = {.info = ToInfo(listed), .last_listed_at = now};
    ++executors_by_worker[listed.worker()][listed.service()];
  }
  ExpireUnlisted(workers_, now);
  ExpireUnlisted(executors_, now);
  auto view = std::make_shared<host_view>();
  for (auto& [id, entry] : workers_) {
    if (entry.last_listed_at == now)
      entry.info.executors = std::move(executors_by_worker[id]);
    view->workers.emplace(id, entry.info);
  }
  for (const auto& [id, entry] : executors_) {
    view->executors[entry.info.service].push_back(entry.info);
  }
  return view;
}

}  // namespace waxwingfront::hosts
