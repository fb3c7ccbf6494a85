// Textual addresses of servers.
#ifndef WAXWINGFRONT_NET_ADDRESS_H_
#define WAXWINGFRONT_NET_ADDRESS_H_

#include <string_view>

namespace waxwingfront::net {

// Returns true for text of the form "1.2.3.4:80".
bool IsAddress(std::string_view text);

}  // namespace waxwingfront::net

#endif  // WAXWINGFRONT_NET_ADDRESS_H_
