#include "waxwingfront/core/hash.h"

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

#include <random>

namespace waxwingfront::core {

std::uint64_t Fnv1a(std::string_view text) {
  constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffsetBasis;
  for (const char byte : text) {
    hash ^= static_cast<unsigned char>(byte);
    hash *= kPrime;
  }
  return hash;
}

std::string Sha256Hex(std::string_view content) {
  Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
  engine.update(content.data(), content.size());
  return Poco::DigestEngine::digestToHex(engine.digest());
}

std::uint64_t RandomNonce() {
  std::random_device device;
  constexpr int kHalfBits = 32;
  constexpr std::uint64_t kMask = (1ULL << 63U) - 1;
  const std::uint64_t high = device();
  const std::uint64_t low = device();
  const std::uint64_t nonce = ((high << kHalfBits) | low) & kMask;
  return nonce == 0 ? 1 : nonce;
}

std::string RandomId() {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr int kDigitBits = 4;
  constexpr std::uint64_t kDigitMask = 15;
  constexpr int kDigitsPerNonce = 16;
  std::string id;
  for (int half = 0; half < 2; ++half) {
    std::uint64_t bits = RandomNonce();
    for (int digit = 0; digit < kDigitsPerNonce; ++digit) {
      id.push_back(kDigits[bits & kDigitMask]);
      bits >>= kDigitBits;
    }
  }
  return id;
}

}  // namespace waxwingfront::core
