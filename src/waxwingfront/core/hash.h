// Hashes and random numbers.
#ifndef WAXWINGFRONT_CORE_HASH_H_
#define WAXWINGFRONT_CORE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace waxwingfront::core {

// 64-bit FNV-1a. Equal on all hosts and in all versions, since shard membership
// depends on it.
std::uint64_t Fnv1a(std::string_view text);

// SHA-256 of `content` in lower-case hexadecimal.
std::string Sha256Hex(std::string_view content);

// A random number from the operating system, never zero and below 2^63.
std::uint64_t RandomNonce();

// A random 128-bit id in hexadecimal.
std::string RandomId();

}  // namespace waxwingfront::core

#endif  // WAXWINGFRONT_CORE_HASH_H_
