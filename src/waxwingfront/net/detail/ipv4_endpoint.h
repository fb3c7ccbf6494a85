// Conversion of textual addresses to socket endpoints.
#ifndef WAXWINGFRONT_NET_DETAIL_IPV4_ENDPOINT_H_
#define WAXWINGFRONT_NET_DETAIL_IPV4_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace waxwingfront::net::detail {

// Parses text of the form "1.2.3.4:80". Returns nullopt for any other form.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

}  // namespace waxwingfront::net::detail

#endif  // WAXWINGFRONT_NET_DETAIL_IPV4_ENDPOINT_H_
