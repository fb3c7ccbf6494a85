// Text from outside: made safe for log lines and error messages, and checked.
#ifndef WAXWINGFRONT_CORE_TEXT_H_
#define WAXWINGFRONT_CORE_TEXT_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace waxwingfront::core {

// `text` with every byte outside printable ASCII written as \xNN, so that it
// stays on one line and is valid UTF-8. Texts of more than `limit` bytes are
// cut and end in "...".
std::string Printable(std::string_view text, std::size_t limit = 1000);

// Whether `text` may name something in a bundle or a settings file.
bool IsName(std::string_view text);

// What `IsName` allows, for error messages.
inline constexpr std::string_view kNameRule =
    "1 to 64 characters of a-z, 0-9 and '-'";

}  // namespace waxwingfront::core

#endif  // WAXWINGFRONT_CORE_TEXT_H_
