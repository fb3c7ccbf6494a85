// A validated bundle with its version, indexed by name.
#ifndef WAXWINGFRONT_BUNDLE_BUNDLE_VIEW_H_
#define WAXWINGFRONT_BUNDLE_BUNDLE_VIEW_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "waxwingfront/core/resources.h"
#include "waxwingfront/schema/gen/bundle.pb.h"

namespace waxwingfront::bundle {

// Immutable after construction.
class bundle_view {
 public:
  bundle_view(const bundle_view&) = delete;
  bundle_view& operator=(const bundle_view&) = delete;
  bundle_view(schema::bundle content, std::int64_t version);

  std::int64_t Version() const { return version_; }
  const schema::bundle& Content() const { return content_; }

  // Each returns null if the bundle does not contain the name.
  const schema::service_policy* FindService(std::string_view name) const;
  const schema::batch_class_policy* FindBatchClass(std::string_view name) const;
  const schema::customer_policy* FindCustomer(std::string_view name) const;

 private:
  schema::bundle content_;
  std::int64_t version_;
  std::map<std::string, const schema::service_policy*, std::less<>> services_;
  std::map<std::string, const schema::batch_class_policy*, std::less<>>
      batch_classes_;
  std::map<std::string, const schema::customer_policy*, std::less<>> customers_;
};

}  // namespace waxwingfront::bundle

#endif  // WAXWINGFRONT_BUNDLE_BUNDLE_VIEW_H_
