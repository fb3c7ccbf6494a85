// Validation of untrusted text, and its escaping for log lines and error
// messages.
#ifndef WAXWINGFRONT_CORE_TEXT_H_
#define WAXWINGFRONT_CORE_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace waxwingfront::core {

// Returns `text` with every byte outside printable ASCII escaped as \xNN, so
// that it stays on one line and is valid UTF-8. Text of more than `limit` bytes
// is truncated and ends in "...".
std::string Printable(std::string_view text, std::size_t limit = 1000);

// True if `text` is a valid name in a bundle or a settings file.
bool IsName(std::string_view text);

// Describes the names that `IsName` accepts, for error messages.
inline constexpr std::string_view kNameRule =
    "1 to 64 characters of a-z, 0-9 and '-'";

}  // namespace waxwingfront::core

#endif  // WAXWINGFRONT_CORE_TEXT_H_
