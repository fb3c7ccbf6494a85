#include "soak/address_map.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Base64Encoder.h>
#include <Poco/StreamCopier.h>

#include <sstream>
#include <string_view>

namespace waxwingfront::soak {
namespace {

constexpr std::string_view kValue = "\"value\":\"";

std::string Decode(const std::string& text) {
  std::istringstream source(text);
  Poco::Base64Decoder decoder(source);
  std::string bytes;
  Poco::StreamCopier::copyToString(decoder, bytes);
  return bytes;
}

std::string Encode(const std::string& bytes) {
  std::ostringstream text;
  Poco::Base64Encoder encoder(text);
  encoder.rdbuf()->setLineLength(0);
  encoder << bytes;
  encoder.close();
  return text.str();
}

}  // namespace

void address_map::Add(std::string from, std::string to) {
  pairs_.emplace_back(std::move(from), std::move(to));
}

void address_map::Translate(std::string& bytes) const {
  for (const auto& [from, to] : pairs_) {
    for (std::size_t at = bytes.find(from); at != std::string::npos;
         at = bytes.find(from, at + to.size())) {
      bytes.replace(at, from.size(), to);
    }
  }
}

void address_map::TranslateItems(std::string& json) const {
  Translate(json);
  for (std::size_t at = json.find(kValue); at != std::string::npos;
       at = json.find(kValue, at)) {
    at += kValue.size();
    const std::size_t size = json.find('"', at) - at;
    const std::string bytes = Decode(json.substr(at, size));
    std::string translated = bytes;
    Translate(translated);
    if (translated != bytes) json.replace(at, size, Encode(translated));
  }
}

}  // namespace waxwingfront::soak
