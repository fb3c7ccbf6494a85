// Choice of an executor for a request.
#ifndef WAXWINGFRONT_FRONT_UPSTREAM_CHOICE_H_
#define WAXWINGFRONT_FRONT_UPSTREAM_CHOICE_H_

#include <memory>
#include <vector>

namespace waxwingfront::front {

class upstream;

using upstream_list = std::vector<std::shared_ptr<upstream>>;

// Acquires a slot at the less loaded of two random executors that were not
// tried yet. Returns null if no such executor has a free slot. Prefers slots of
// this entry to those of other entries, because the executor may reject
// requests for the latter. Skips executors that failed recently while others
// have slots. The caller releases the slot.
std::shared_ptr<upstream> AcquireUpstream(const upstream_list& candidates,
                                          const upstream_list& tried);

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_UPSTREAM_CHOICE_H_
