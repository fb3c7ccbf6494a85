#include "waxwingfront/settings/contradictions.h"

#include <cstdint>

#include "waxwingfront/schema/gen/settings.pb.h"

namespace waxwingfront::settings {
namespace {

constexpr std::int64_t kRenewalsPerLease = 3;
constexpr std::int64_t kMsPerSecond = 1000;

std::string Ms(std::int64_t value) { return std::to_string(value) + " ms"; }

void CheckDurations(const schema::settings& values,
                    std::vector<contradiction>& found) {
  const schema::batch_settings& batch = values.batch();
  // A ticket must stay valid over one lost exchange, otherwise its holder
  // cannot renew tasks.
  const std::int64_t two_exchanges = 2 * batch.sync_ms();
  if (batch.ticket_ms() <= two_exchanges) {
    found.push_back({.section = "batch",
                     .key = "ticket_ms",
                     .other_section = "batch",
                     .other_key = "sync_ms",
                     .detail = Ms(batch.ticket_ms()) +
                               " contradicts [batch] sync_ms; allowed is more "
                               "than twice sync_ms, that is above " +
                               Ms(two_exchanges)});
  }
  // A shorter task lease would expire while the task's owner may still renew
  // it.
  if (batch.task_lease_ms() <= batch.ticket_ms()) {
    found.push_back({.section = "batch",
                     .key = "task_lease_ms",
                     .other_section = "batch",
                     .other_key = "ticket_ms",
                     .detail = Ms(batch.task_lease_ms()) +
                               " contradicts [batch] ticket_ms; allowed is "
                               "more than ticket_ms, that is above " +
                               Ms(batch.ticket_ms())});
  }
  const std::int64_t lease_ms = batch.entry_lease_s() * kMsPerSecond;
  const std::int64_t renewals_ms =
      kRenewalsPerLease * values.platform().store_timeout_ms();
  if (lease_ms < renewals_ms) {
    found.push_back(
        {.section = "batch",
         .key = "entry_lease_s",
         .other_section = "platform",
         .other_key = "store_timeout_ms",
         .detail = std::to_string(batch.entry_lease_s()) +
                   " s contradicts [platform] store_timeout_ms; allowed is "
                   "time for three renewals, that is at least " +
                   Ms(renewals_ms)});
  }
  const schema::front_settings& front = values.front();
  if (front.connect_timeout_ms() > front.default_deadline_ms()) {
    found.push_back({.section = "front",
                     .key = "connect_timeout_ms",
                     .other_section = "front",
                     .other_key = "default_deadline_ms",
                     .detail = Ms(front.connect_timeout_ms()) +
                               " contradicts [front] default_deadline_ms; "
                               "allowed is at most " +
                               Ms(front.default_deadline_ms())});
  }
}

struct named_address {
  std::string section;
  std::string key;
  std::string value;
};

void CheckAddresses(const schema::settings& values,
                    std::vector<contradiction>& found) {
  const std::vector<named_address> own = {
      {"entry", "peer_address", values.entry().peer_address()},
      {"entry", "caller_address", values.entry().caller_address()}};
  const std::vector<named_address> all = {
      own[1],
      {"platform", "store_address", values.platform().store_address()},
      {"platform", "host_list_address", values.platform().host_list_address()}};
  for (const named_address& mine : own) {
    for (const named_address& other : all) {
      const bool same_key = mine.key == other.key;
      if (same_key || mine.value != other.value) continue;
      found.push_back({.section = mine.section,
                       .key = mine.key,
                       .other_section = other.section,
                       .other_key = other.key,
                       .detail = mine.value + " contradicts [" + other.section +
                                 "] " + other.key +
                                 "; allowed is an address that differs from "
                                 "it"});
    }
  }
}

}  // namespace

std::vector<contradiction> FindContradictions(const schema::settings& values) {
  std::vector<contradiction> found;
  CheckDurations(values, found);
  CheckAddresses(values, found);
  return found;
}

}  // namespace waxwingfront::settings
