#include "waxwingfront/net/detail/ipv4_endpoint.h"

#include <charconv>

namespace waxwingfront::net::detail {

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  boost::system::error_code failure;
  const auto ip =
      boost::asio::ip::make_address_v4(text.substr(0, colon), failure);
  unsigned short port = 0;
  const std::string_view digits = text.substr(colon + 1);
  const char* const last = digits.data() + digits.size();
  const auto [end, code] = std::from_chars(digits.data(), last, port);
  if (failure || code != std::errc() || end != last) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(ip, port);
}

}  // namespace waxwingfront::net::detail
