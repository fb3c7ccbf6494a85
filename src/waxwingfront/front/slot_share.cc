#include "waxwingfront/front/slot_share.h"

#include <algorithm>
#include <cstdint>

#include "waxwingfront/core/hash.h"

namespace waxwingfront::front {
namespace {

// Finaliser of MurmurHash3. Spreads the bits of hashes whose inputs differ in
// few characters.
std::uint64_t Mix(std::uint64_t hash) {
  hash ^= hash >> 33U;
  hash *= 0xff51afd7ed558ccdULL;
  hash ^= hash >> 33U;
  hash *= 0xc4ceb9fe1a85ec53ULL;
  return hash ^ (hash >> 33U);
}

std::string_view OwnerOfSlot(std::string_view executor, int slot,
                             std::span<const std::string> entries) {
  std::string_view owner;
  std::uint64_t highest = 0;
  for (const std::string& entry : entries) {
    const std::string text =
        entry + "|" + std::string(executor) + "|" + std::to_string(slot);
    const std::uint64_t weight = Mix(core::Fnv1a(text));
    const bool wins = owner.empty() || weight > highest ||
                      (weight == highest && entry < owner);
    if (!wins) continue;
    owner = entry;
    highest = weight;
  }
  return owner;
}

}  // namespace

int OwnSlots(std::string_view executor, int slots,
             std::span<const std::string> entries, std::string_view self) {
  int own = 0;
  for (int slot = 0; slot < slots; ++slot) {
    if (OwnerOfSlot(executor, slot, entries) == self) ++own;
  }
  return own;
}

int ConnectionLimit(int connections, std::span<const std::string> entries) {
  const int count = std::max(1, static_cast<int>(entries.size()));
  return std::max(1, connections / count);
}

}  // namespace waxwingfront::front
