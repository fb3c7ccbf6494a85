#include "waxwingfront/bundle/bundle_check.h"

#include <set>

#include "waxwingfront/core/json.h"
#include "waxwingfront/core/resources.h"

namespace waxwingfront::bundle {
namespace {

constexpr int kMaxNameLength = 64;
constexpr int kFullPercent = 100;
constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyz0123456789-";

using problems = std::vector<bundle_problem>;

std::string Path(std::string_view list, int index, std::string_view field) {
  return std::string(list) + "[" + std::to_string(index) + "]." +
         std::string(field);
}

bool IsName(std::string_view text) {
  const bool fits = !text.empty() && text.size() <= kMaxNameLength;
  return fits &&
         text.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

void CheckName(const std::string& name, const std::string& path,
               std::set<std::string>& seen, problems& found) {
  if (!IsName(name)) {
    found.push_back(
        {.field = path, .allowed = "1 to 64 characters of a-z, 0-9 and '-'"});
  }
  if (!seen.insert(name).second) {
    found.push_back({.field = path,
                     .allowed = "a name that no other entry of the list has"});
  }
}

void CheckNonNegative(const schema::resources& amount, const std::string& path,
                      problems& found) {
  if (!core::FromSchema(amount).IsNonNegative()) {
    found.push_back({.field = path, .allowed = "amounts of 0 or more"});
  }
}

void CheckWeights(const schema::measure_weights& weights, problems& found) {
  const bool valid = weights.tail_latency() >= 0 &&
                     weights.batch_throughput() >= 0 &&
                     weights.evictions() >= 0;
  if (!valid)
    found.push_back({.field = "weights", .allowed = "numbers of 0 or more"});
}

void CheckServices(const schema::bundle& content, problems& found) {
  std::set<std::string> names;
  for (int index = 0; index < content.services_size(); ++index) {
    const schema::service_policy& service = content.services(index);
    CheckName(service.name(), Path("services", index, "name"), names, found);
    CheckNonNegative(service.reserve_per_executor(),
                     Path("services", index, "reserve_per_executor"), found);
    if (service.latency_target_ms() < 0) {
      found.push_back({.field = Path("services", index, "latency_target_ms"),
                       .allowed = "milliseconds, 0 or more"});
    }
    if (service.default_deadline_ms() < 0) {
      found.push_back({.field = Path("services", index, "default_deadline_ms"),
                       .allowed = "milliseconds, 0 or more"});
    }
  }
}

void CheckSharedServices(const schema::bundle& content, int index,
                         problems& found) {
  std::set<std::string> services;
  for (const auto& service : content.services())
    services.insert(service.name());
  for (const std::string& name :
       content.batch_classes(index).shares_hosts_with()) {
    if (!services.contains(name)) {
      found.push_back(
          {.field = Path("batch_classes", index, "shares_hosts_with"),
           .allowed = "names of services of this bundle, not " + name});
    }
  }
}

void CheckBatchClasses(const schema::bundle& content, problems& found) {
  std::set<std::string> names;
  for (int index = 0; index < content.batch_classes_size(); ++index) {
    const schema::batch_class_policy& item = content.batch_classes(index);
    CheckName(item.name(), Path("batch_classes", index, "name"), names, found);
    CheckSharedServices(content, index, found);
    if (item.host_share_percent() < 1 ||
        item.host_share_percent() > kFullPercent) {
      found.push_back(
          {.field = Path("batch_classes", index, "host_share_percent"),
           .allowed = "1 to 100 percent"});
    }
    if (item.max_failures() < 1) {
      found.push_back({.field = Path("batch_classes", index, "max_failures"),
                       .allowed = "1 or more failed attempts"});
    }
  }
}

void CheckCustomers(const schema::bundle& content, problems& found) {
  std::set<std::string> names;
  for (int index = 0; index < content.customers_size(); ++index) {
    const schema::customer_policy& customer = content.customers(index);
    CheckName(customer.name(), Path("customers", index, "name"), names, found);
    CheckNonNegative(customer.quota(), Path("customers", index, "quota"),
                     found);
    if (customer.weight() < 1) {
      found.push_back({.field = Path("customers", index, "weight"),
                       .allowed = "1 or more"});
    }
  }
}

}  // namespace

checked_bundle CheckBundle(std::string_view json) {
  checked_bundle checked;
  const auto parsed =
      core::FromJson(json, core::unknown_fields::kRefuse, checked.content);
  if (!parsed) {
    checked.problems.push_back(
        {.field = "document", .allowed = parsed.error().detail});
    return checked;
  }
  if (!IsName(checked.content.site())) {
    checked.problems.push_back(
        {.field = "site", .allowed = "1 to 64 characters of a-z, 0-9 and '-'"});
  }
  CheckWeights(checked.content.weights(), checked.problems);
  CheckServices(checked.content, checked.problems);
  CheckBatchClasses(checked.content, checked.problems);
  CheckCustomers(checked.content, checked.problems);
  return checked;
}

}  // namespace waxwingfront::bundle
