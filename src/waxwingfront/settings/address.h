// Addresses in settings and on the command line.
#ifndef WAXWINGFRONT_SETTINGS_ADDRESS_H_
#define WAXWINGFRONT_SETTINGS_ADDRESS_H_

#include <string>

namespace waxwingfront::settings {

// Whether `text` is "IP:PORT" with a port from 1 to 65535; an IPv6 address
// stands in brackets. Host names are refused, so that no start depends on a
// name service.
bool IsAddress(const std::string& text);

// Whether `text` is a comma-separated list of addresses; it may be empty.
bool AreAddresses(const std::string& text);

}  // namespace waxwingfront::settings

#endif  // WAXWINGFRONT_SETTINGS_ADDRESS_H_
