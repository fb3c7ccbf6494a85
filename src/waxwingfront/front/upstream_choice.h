// Choice of an executor for a request.
#ifndef WAXWINGFRONT_FRONT_UPSTREAM_CHOICE_H_
#define WAXWINGFRONT_FRONT_UPSTREAM_CHOICE_H_

#include <memory>
#include <vector>

namespace waxwingfront::front {

class upstream;

using upstream_list = std::vector<std::shared_ptr<upstream>>;

// Takes a slot at the less loaded of two random executors that were not tried;
// null if none has a free slot. Own slots go before those of other entries,
// which the executor may refuse. Executors that failed lately are passed over
// while others have slots. The caller releases the slot.
std::shared_ptr<upstream> AcquireUpstream(const upstream_list& candidates,
                                          const upstream_list& tried);

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_UPSTREAM_CHOICE_H_
