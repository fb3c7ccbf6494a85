#include "waxwingfront/bundle/bundle_check.h"

#include <array>
#include <cmath>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "waxwingfront/core/json.h"
#include "waxwingfront/core/text.h"

namespace waxwingfront::bundle {
namespace {

constexpr int kFullPercent = 100;
// Ten times the design target of 68 teams and 20 failure domains, rounded up.
constexpr int kMaxServices = 256;
constexpr int kMaxBatchClasses = 256;
constexpr int kMaxCustomers = 1024;
constexpr int kMaxFailureDomains = 256;
// Sums of amounts up to this limit do not overflow 64-bit integers.
constexpr std::int64_t kMaxAmount = 1'000'000'000'000;
// Maximum deadline that a request may specify, in milliseconds.
constexpr std::int64_t kMaxTimeMs = 600'000;
constexpr int kMaxWeight = 1'000'000;
constexpr int kMaxFailuresLimit = 1'000'000;

using problems = std::vector<bundle_problem>;
using name_list = google::protobuf::RepeatedPtrField<std::string>;

std::string Path(std::string_view list, int index, std::string_view field) {
  return std::string(list) + "[" + std::to_string(index) + "]." +
         std::string(field);
}

std::string Range(std::int64_t lowest, std::int64_t highest) {
  return std::to_string(lowest) + " to " + std::to_string(highest);
}

void CheckRange(std::int64_t number, std::int64_t lowest, std::int64_t highest,
                const std::string& path, const std::string& unit,
                problems& found) {
  if (number >= lowest && number <= highest) return;
  found.push_back({.field = path, .allowed = Range(lowest, highest) + unit});
}

void CheckCount(int count, int highest, const std::string& path,
                problems& found) {
  if (count <= highest) return;
  found.push_back(
      {.field = path,
       .allowed = "at most " + std::to_string(highest) + " entries"});
}

void CheckName(const std::string& name, const std::string& path,
               std::set<std::string>& seen, problems& found) {
  if (!core::IsName(name)) {
    found.push_back({.field = path, .allowed = std::string(core::kNameRule)});
  }
  if (!seen.insert(name).second) {
    found.push_back({.field = path,
                     .allowed = "a name that no other entry of the list has"});
  }
}

// Checks that all entries of a list are valid names and distinct.
void CheckNames(const name_list& list, const std::string& path,
                problems& found) {
  std::set<std::string> seen;
  for (int index = 0; index < list.size(); ++index) {
    CheckName(list.Get(index), path + "[" + std::to_string(index) + "]", seen,
              found);
  }
}

void CheckFailureDomains(const name_list& list, const std::string& path,
                         problems& found) {
  CheckCount(list.size(), kMaxFailureDomains, path, found);
  CheckNames(list, path, found);
}

void CheckAmounts(const schema::resources& amount, const std::string& path,
                  problems& found) {
  CheckRange(amount.processor_milli(), 0, kMaxAmount, path + ".processor_milli",
             " thousandths of a processor", found);
  CheckRange(amount.memory_mib(), 0, kMaxAmount, path + ".memory_mib", " MiB",
             found);
  CheckRange(amount.accelerators(), 0, kMaxAmount, path + ".accelerators",
             " accelerators", found);
}

void CheckWeights(const schema::bundle& content, problems& found) {
  if (!content.has_weights()) return;
  const schema::measure_weights& weights = content.weights();
  const std::array fields = {
      std::pair{"tail_latency", weights.tail_latency()},
      std::pair{"batch_throughput", weights.batch_throughput()},
      std::pair{"evictions", weights.evictions()}};
  bool any_positive = false;
  for (const auto& [name, weight] : fields) {
    any_positive = any_positive || weight > 0;
    if (std::isfinite(weight) && weight >= 0) continue;
    found.push_back({.field = std::string("weights.") + name,
                     .allowed = "a number of 0 or more"});
  }
  if (!any_positive) {
    found.push_back({.field = "weights",
                     .allowed = "at least one weight above 0, or no weights"});
  }
}

void CheckServices(const schema::bundle& content, problems& found) {
  CheckCount(content.services_size(), kMaxServices, "services", found);
  std::set<std::string> seen;
  for (int index = 0; index < content.services_size(); ++index) {
    const schema::service_policy& service = content.services(index);
    const auto path = [index](std::string_view field) {
      return Path("services", index, field);
    };
    CheckName(service.name(), path("name"), seen, found);
    CheckFailureDomains(service.failure_domains(), path("failure_domains"),
                        found);
    CheckAmounts(service.reserve_per_executor(), path("reserve_per_executor"),
                 found);
    CheckRange(service.latency_target_ms(), 0, kMaxTimeMs,
               path("latency_target_ms"), " ms", found);
    CheckRange(service.default_deadline_ms(), 0, kMaxTimeMs,
               path("default_deadline_ms"), " ms", found);
  }
}

void CheckSharedServices(const schema::bundle& content, int index,
                         problems& found) {
  const std::string path = Path("batch_classes", index, "shares_hosts_with");
  const name_list& shared = content.batch_classes(index).shares_hosts_with();
  CheckCount(shared.size(), kMaxServices, path, found);
  CheckNames(shared, path, found);
  std::set<std::string> services;
  for (const auto& service : content.services())
    services.insert(service.name());
  for (int position = 0; position < shared.size(); ++position) {
    if (services.contains(shared.Get(position))) continue;
    found.push_back({.field = path + "[" + std::to_string(position) + "]",
                     .allowed = "the name of a service of this bundle"});
  }
}

void CheckBatchClasses(const schema::bundle& content, problems& found) {
  CheckCount(content.batch_classes_size(), kMaxBatchClasses, "batch_classes",
             found);
  std::set<std::string> seen;
  for (int index = 0; index < content.batch_classes_size(); ++index) {
    const schema::batch_class_policy& item = content.batch_classes(index);
    const auto path = [index](std::string_view field) {
      return Path("batch_classes", index, field);
    };
    CheckName(item.name(), path("name"), seen, found);
    CheckFailureDomains(item.failure_domains(), path("failure_domains"), found);
    CheckSharedServices(content, index, found);
    CheckRange(item.host_share_percent(), 1, kFullPercent,
               path("host_share_percent"), " percent", found);
    CheckRange(item.max_failures(), 1, kMaxFailuresLimit, path("max_failures"),
               " failed attempts", found);
    if (item.urgent() && item.preemptible()) {
      found.push_back(
          {.field = path("preemptible"),
           .allowed = "false for an urgent class, which preempts others"});
    }
  }
}

void CheckCustomers(const schema::bundle& content, problems& found) {
  CheckCount(content.customers_size(), kMaxCustomers, "customers", found);
  std::set<std::string> seen;
  for (int index = 0; index < content.customers_size(); ++index) {
    const schema::customer_policy& customer = content.customers(index);
    const auto path = [index](std::string_view field) {
      return Path("customers", index, field);
    };
    CheckName(customer.name(), path("name"), seen, found);
    CheckAmounts(customer.quota(), path("quota"), found);
    CheckRange(customer.weight(), 1, kMaxWeight, path("weight"), "", found);
  }
}

}  // namespace

checked_bundle CheckBundle(std::string_view json) {
  checked_bundle checked;
  if (json.size() > kMaxDocumentBytes) {
    checked.problems.push_back(
        {.field = "document",
         .allowed = "at most " + std::to_string(kMaxDocumentBytes) + " bytes"});
    return checked;
  }
  checked.problems = CheckDocument(json, *schema::bundle::descriptor());
  // The checks of the content require values of the types in the schema.
  if (!checked.problems.empty()) return checked;
  const auto parsed =
      core::FromJson(json, core::unknown_fields::kRefuse, checked.content);
  if (!parsed) {
    checked.problems.push_back(
        {.field = "document", .allowed = parsed.error().detail});
    return checked;
  }
  if (!core::IsName(checked.content.site())) {
    checked.problems.push_back(
        {.field = "site", .allowed = std::string(core::kNameRule)});
  }
  CheckWeights(checked.content, checked.problems);
  CheckServices(checked.content, checked.problems);
  CheckBatchClasses(checked.content, checked.problems);
  CheckCustomers(checked.content, checked.problems);
  return checked;
}

}  // namespace waxwingfront::bundle
