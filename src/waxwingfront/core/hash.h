// Hashes and random numbers.
#ifndef WAXWINGFRONT_CORE_HASH_H_
#define WAXWINGFRONT_CORE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingfront::core {

// Returns the 64-bit FNV-1a hash of `text`. The result must be equal on all
// hosts and in all versions, since shard membership depends on it.
std::uint64_t Fnv1a(std::string_view text);

// Returns the SHA-256 of `content` in lower-case hexadecimal.
std::string Sha256Hex(std::string_view content);

// Returns a random number from the operating system, non-zero and below 2^63.
std::uint64_t RandomNonce();

// Returns a 128-bit id of random digits in hexadecimal.
std::string RandomId();

}  // namespace waxwingfront::core

#endif  // WAXWINGFRONT_CORE_HASH_H_
