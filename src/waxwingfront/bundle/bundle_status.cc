#include "waxwingfront/bundle/bundle_status.h"

#include <set>
#include <sstream>

#include "waxwingfront/bundle/bundle_repository.h"

namespace waxwingfront::bundle {

schema::bundle_status MakeBundleStatus(
    const schema::bundle_head& head,
    const std::vector<entry_response>& responses) {
  schema::bundle_status status;
  *status.mutable_head() = head;
  std::set<std::string> live_domains;
  bool everywhere = true;
  for (const entry_response& response : responses) {
    const std::string& domain = response.entry.failure_domain();
    live_domains.insert(domain);
    schema::entry_bundle& entry = *status.add_entries();
    entry.set_entry(response.entry.id());
    entry.set_failure_domain(domain);
    entry.set_wanted_version(VersionFor(head, domain).version());
    if (response.reply) {
      entry.set_version_in_force(response.reply->version_in_force());
    } else {
      entry.set_failure(response.reply.error().detail);
    }
    // An entry with a higher version has read a newer head than `head`.
    const bool in_force = response.reply.has_value() &&
                          entry.version_in_force() >= entry.wanted_version();
    everywhere = everywhere && in_force;
  }
  for (const auto& domain : head.domains()) {
    if (live_domains.contains(domain.failure_domain())) continue;
    status.add_domains_without_entries(domain.failure_domain());
  }
  status.set_in_force_everywhere(everywhere && !responses.empty());
  return status;
}

std::string ToText(const schema::bundle_status& status) {
  std::ostringstream text;
  const schema::bundle_head& head = status.head();
  text << "newest version: " << NewestVersion(head) << ", signed off by "
       << head.operator_name() << "\n";
  text << "signed off for all failure domains: ";
  if (head.version() == 0) {
    text << "none\n";
  } else {
    text << "version " << head.version() << " " << head.digest() << "\n";
  }
  for (const auto& domain : head.domains()) {
    text << "signed off for " << domain.failure_domain() << ": version "
         << domain.version() << " " << domain.digest() << "\n";
  }
  for (const schema::entry_bundle& entry : status.entries()) {
    text << "entry " << entry.entry() << " in " << entry.failure_domain()
         << ": ";
    if (!entry.failure().empty()) {
      text << "unknown, " << entry.failure() << "\n";
      continue;
    }
    text << "version " << entry.version_in_force() << " in force";
    if (entry.version_in_force() < entry.wanted_version())
      text << ", version " << entry.wanted_version() << " pending";
    text << "\n";
  }
  for (const std::string& domain : status.domains_without_entries()) {
    text << "warning: failure domain " << domain
         << " has a version of its own and no live entry\n";
  }
  text << "in force at every live entry: "
       << (status.in_force_everywhere() ? "yes" : "no") << "\n";
  return text.str();
}

}  // namespace waxwingfront::bundle
