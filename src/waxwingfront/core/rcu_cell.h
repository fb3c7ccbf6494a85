// A shared value with lock-free loads that writers replace as a whole.
#ifndef WAXWINGFRONT_CORE_RCU_CELL_H_
#define WAXWINGFRONT_CORE_RCU_CELL_H_

#include <atomic>
#include <memory>

namespace waxwingfront::core {

namespace detail {
// Wrap userspace RCU, so that its macros stay out of this header.
void RcuReadLock();
void RcuReadUnlock();
void RcuSynchronize();
}  // namespace detail

// Holds a shared, immutable `T` or nothing. Any thread may load or store.
template <typename T>
class rcu_cell {
 public:
  rcu_cell() = default;
  explicit rcu_cell(std::shared_ptr<const T> value) { Store(std::move(value)); }
  rcu_cell(const rcu_cell&) = delete;
  rcu_cell& operator=(const rcu_cell&) = delete;
  ~rcu_cell() { delete node_.load(); }

  // Returns the current value; null before the first store.
  std::shared_ptr<const T> Load() const {
    detail::RcuReadLock();
    const node* current = node_.load(std::memory_order_acquire);
    std::shared_ptr<const T> value =
        current == nullptr ? nullptr : current->value;
    detail::RcuReadUnlock();
    return value;
  }

  // Replaces the value. Blocks until no reader can still access the old
  // node, and then frees it.
  void Store(std::shared_ptr<const T> value) {
    node* previous =
        node_.exchange(new node{std::move(value)}, std::memory_order_acq_rel);
    if (previous == nullptr) return;
    detail::RcuSynchronize();
    delete previous;
  }

 private:
  struct node {
    std::shared_ptr<const T> value;
  };
  std::atomic<node*> node_{nullptr};
};

}  // namespace waxwingfront::core

#endif  // WAXWINGFRONT_CORE_RCU_CELL_H_
