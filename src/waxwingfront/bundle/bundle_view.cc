#include "waxwingfront/bundle/bundle_view.h"

#include <utility>

namespace waxwingfront::bundle {
namespace {

template <typename Policy>
const Policy* Find(
    const std::map<std::string, const Policy*, std::less<>>& index,
    std::string_view name) {
  const auto found = index.find(name);
  return found == index.end() ? nullptr : found->second;
}

}  // namespace

bundle_view::bundle_view(schema::bundle content, std::int64_t version)
    : content_(std::move(content)), version_(version) {
  for (const auto& service : content_.services())
    services_.emplace(service.name(), &service);
  for (const auto& item : content_.batch_classes())
    batch_classes_.emplace(item.name(), &item);
  for (const auto& customer : content_.customers())
    customers_.emplace(customer.name(), &customer);
}

const schema::service_policy* bundle_view::FindService(
    std::string_view name) const {
  return Find(services_, name);
}

const schema::batch_class_policy* bundle_view::FindBatchClass(
    std::string_view name) const {
  return Find(batch_classes_, name);
}

const schema::customer_policy* bundle_view::FindCustomer(
    std::string_view name) const {
  return Find(customers_, name);
}

}  // namespace waxwingfront::bundle
