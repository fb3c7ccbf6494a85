// Division of executors' slots and connections among entries, computed by each
// entry alone from the list of live entries.
#ifndef WAXWINGFRONT_FRONT_SLOT_SHARE_H_
#define WAXWINGFRONT_FRONT_SLOT_SHARE_H_

#include <span>
#include <string>
#include <string_view>

namespace waxwingfront::front {

// How many of an executor's `slots` belong to `self`. Each slot belongs to the
// entry with the largest hash of entry, executor and slot number, so the shares
// of all `entries` add up to `slots`, and a change of the list moves few slots.
int OwnSlots(std::string_view executor, int slots,
             std::span<const std::string> entries, std::string_view self);

// Connections that one entry may hold to an executor that takes `connections`
// in all; at least 1.
int ConnectionLimit(int connections, std::span<const std::string> entries);

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_SLOT_SHARE_H_
