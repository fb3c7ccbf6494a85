#include "waxwingfront/front/message.h"

#include <Poco/String.h>

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

bool IsHopByHop(std::string_view header) {
  const std::string lower = Poco::toLower(std::string(header));
  return std::find(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), lower) !=
         kHopByHopHeaders.end();
}

}  // namespace waxwingfront::front
