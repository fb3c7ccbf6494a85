#include "waxwingfront/core/rcu_cell.h"

#include <urcu-bp.h>

namespace waxwingfront::core::detail {

void RcuReadLock() { rcu_read_lock(); }
void RcuReadUnlock() { rcu_read_unlock(); }
void RcuSynchronize() { synchronize_rcu(); }

}  // namespace waxwingfront::core::detail
