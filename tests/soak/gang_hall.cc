#include "soak/gang_hall.h"

namespace waxwingfront::soak {

gang_hall::gang_key gang_hall::KeyOf(const std::string& task,
                                     std::int64_t run) {
  return {task.substr(0, task.rfind('.')), run};
}

void gang_hall::Join(const std::string& task, std::int64_t run,
                     std::int64_t size) {
  const std::scoped_lock lock(mutex_);
  gang& one = gangs_[KeyOf(task, run)];
  one.members.insert(task);
  if (!one.state.complete && std::cmp_equal(one.members.size(), size)) {
    one.state.complete = clock::now();
  }
}

void gang_hall::Leave(const std::string& task, std::int64_t run, bool done) {
  const std::scoped_lock lock(mutex_);
  gang& one = gangs_[KeyOf(task, run)];
  one.state.done |= done;
  one.state.broken |= !done && !one.state.done;
}

gang_hall::gang_state gang_hall::Look(const std::string& task,
                                      std::int64_t run) const {
  const std::scoped_lock lock(mutex_);
  const auto found = gangs_.find(KeyOf(task, run));
  return found == gangs_.end() ? gang_state{} : found->second.state;
}

}  // namespace waxwingfront::soak
