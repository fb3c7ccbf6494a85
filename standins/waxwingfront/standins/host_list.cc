#include "waxwingfront/standins/host_list.h"

#include <utility>

#include "waxwingfront/core/json.h"
#include "waxwingfront/net/http_status.h"

namespace waxwingfront::standins {

http_response host_list::Handle(const http_call& call) {
  if (call.method == "PUT") {
    schema::host_list list;
    if (!core::FromJson(call.body, core::unknown_fields::kRefuse, list)) {
      return {.status = net::kHttpBadRequest};
    }
    Replace(std::move(list));
  }
  const std::lock_guard lock(mutex_);
  return {.body = core::ToJson(list_)};
}

void host_list::Replace(schema::host_list list) {
  const std::lock_guard lock(mutex_);
  list_ = std::move(list);
}

}  // namespace waxwingfront::standins
