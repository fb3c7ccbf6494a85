// Division of executors' slots and connections among entries. Each entry
// computes it from the list of live entries, without coordination.
#ifndef WAXWINGFRONT_FRONT_SLOT_SHARE_H_
#define WAXWINGFRONT_FRONT_SLOT_SHARE_H_

#include <span>
#include <string>
#include <string_view>

namespace waxwingfront::front {

// Returns how many of an executor's `slots` belong to `self`. Rendezvous
// hashing: each slot belongs to the entry with the largest hash of entry,
// executor and slot number, so that the shares of all `entries` add up to
// `slots` and a change of the list moves few slots.
int OwnSlots(std::string_view executor, int slots,
             std::span<const std::string> entries, std::string_view self);

// Returns how many connections one entry may hold to an executor that accepts
// `connections` in total; at least 1.
int ConnectionLimit(int connections, std::span<const std::string> entries);

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_SLOT_SHARE_H_
