#include "waxwingfront/fleet/lease_ledger.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace waxwingfront::fleet {
namespace {

std::int64_t CeilMs(core::monotonic_time::duration time) {
  return std::max<std::int64_t>(
      0, std::chrono::ceil<core::milliseconds>(time).count());
}

}  // namespace

core::monotonic_time lease_lapses::Of(std::string_view executor) const {
  const auto found = silent.find(executor);
  return found == silent.end() ? others : found->second;
}

lease_lapses ToLapses(const schema::fleet_leases& record,
                      core::monotonic_time seen) {
  lease_lapses lapses{.silent = {},
                      .others = seen + core::milliseconds(record.lapse_ms())};
  for (const schema::fleet_leases::silent_executor& one : record.silent()) {
    lapses.silent[one.executor()] = seen + core::milliseconds(one.lapse_ms());
  }
  return lapses;
}

std::optional<core::monotonic_time> lease_ledger::Limit(
    std::string_view executor) const {
  if (!stored_) return std::nullopt;
  core::monotonic_time limit = stored_->Of(executor);
  for (const lease_lapses& version : unconfirmed_) {
    limit = std::min(limit, version.Of(executor));
  }
  return limit;
}

bool lease_ledger::ListsSilent(std::string_view executor) const {
  const auto lists = [executor](const lease_lapses& version) {
    return version.silent.contains(executor);
  };
  return (stored_ && lists(*stored_)) ||
         std::ranges::any_of(unconfirmed_, lists);
}

schema::fleet_leases lease_ledger::Begin(lease_lapses lapses,
                                         core::monotonic_time now) {
  schema::fleet_leases record;
  record.set_lapse_ms(CeilMs(lapses.others - now));
  for (const auto& [executor, lapse] : lapses.silent) {
    schema::fleet_leases::silent_executor& entry = *record.add_silent();
    entry.set_executor(executor);
    entry.set_lapse_ms(CeilMs(lapse - now));
  }
  unconfirmed_.push_back(std::move(lapses));
  return record;
}

void lease_ledger::Stored() {
  if (unconfirmed_.empty()) return;
  stored_ = std::move(unconfirmed_.back());
  unconfirmed_.clear();
}

void lease_ledger::Dropped() {
  if (!unconfirmed_.empty()) unconfirmed_.pop_back();
}

}  // namespace waxwingfront::fleet
