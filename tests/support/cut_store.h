// Cuts the store off from one process.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_CUT_STORE_H_
#define WAXWINGFRONT_TESTS_SUPPORT_CUT_STORE_H_

#include "waxwingfront/fleet/platform_services.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::tests {

// Lets the calls of `services` fail while `cut` is true. Watches that are open
// already still respond.
void MakeInterruptible(fleet::store_services& services, net::event_loop& loop,
                       const bool& cut);

// Lets the responses to open watches of `services` fail while `cut` is true.
void SilenceOpenWatches(fleet::store_services& services, const bool& cut);

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_CUT_STORE_H_
