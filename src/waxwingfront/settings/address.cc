#include "waxwingfront/settings/address.h"

#include <Poco/Net/IPAddress.h>
#include <Poco/StringTokenizer.h>

#include <charconv>
#include <string_view>

namespace waxwingfront::settings {
namespace {

bool IsPort(std::string_view text) {
  constexpr int kMaxPort = 65535;
  int port = 0;
  const char* end = text.data() + text.size();
  const auto [rest, failure] = std::from_chars(text.data(), end, port);
  return failure == std::errc() && rest == end && port >= 1 && port <= kMaxPort;
}

bool IsIpLiteral(std::string_view text) {
  const bool bracketed =
      text.size() > 2 && text.front() == '[' && text.back() == ']';
  const std::string bare(bracketed ? text.substr(1, text.size() - 2) : text);
  Poco::Net::IPAddress host;
  if (!Poco::Net::IPAddress::tryParse(bare, host)) return false;
  const bool is_v6 = host.family() == Poco::Net::IPAddress::IPv6;
  return is_v6 == bracketed;
}

}  // namespace

bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  const std::string_view view(text);
  return IsIpLiteral(view.substr(0, colon)) && IsPort(view.substr(colon + 1));
}

bool IsAddressList(const std::string& text) {
  const Poco::StringTokenizer parts(
      text, ",",
      Poco::StringTokenizer::TOK_TRIM |
          Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  for (const std::string& part : parts) {
    if (!IsAddress(part)) return false;
  }
  return true;
}

}  // namespace waxwingfront::settings
