#include "waxwingfront/front/message.h"

#include <Poco/Ascii.h>

#include <algorithm>
#include <array>

namespace waxwingfront::front {
namespace {

constexpr std::array<std::string_view, 6> kIdempotentMethods = {
    "GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"};
constexpr std::array<std::string_view, 10> kHopByHopHeaders = {
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host"};

}  // namespace

bool IsIdempotentMethod(std::string_view method) {
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   method) != kIdempotentMethods.end();
}

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char first, char second) {
                      return Poco::Ascii::toLower(first) ==
                             Poco::Ascii::toLower(second);
                    });
}

bool IsHopByHop(std::string_view header) {
  return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(),
                     [header](std::string_view name) {
                       return EqualsIgnoringCase(header, name);
                     });
}

}  // namespace waxwingfront::front
