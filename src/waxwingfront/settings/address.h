// Validation of addresses in settings and on the command line.
#ifndef WAXWINGFRONT_SETTINGS_ADDRESS_H_
#define WAXWINGFRONT_SETTINGS_ADDRESS_H_

#include <string>

namespace waxwingfront::settings {

// True if `text` is "IP:PORT" with a port from 1 to 65535; an IPv6 address
// must be in brackets. Host names are rejected, so that starting does not
// depend on name resolution.
bool IsAddress(const std::string& text);

// True if `text` is a comma-separated list of addresses. The list may be
// empty.
bool IsAddressList(const std::string& text);

}  // namespace waxwingfront::settings

#endif  // WAXWINGFRONT_SETTINGS_ADDRESS_H_
