#include "waxwingfront/net/address.h"

#include "waxwingfront/net/detail/ipv4_endpoint.h"

namespace waxwingfront::net {

bool IsAddress(std::string_view text) {
  return detail::ParseEndpoint(text).has_value();
}

}  // namespace waxwingfront::net
