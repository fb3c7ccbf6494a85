#include "waxwingfront/net/detail/connection_pool.h"

#include <algorithm>
#include <utility>

namespace waxwingfront::net::detail {
namespace {

bool IsGone(const std::weak_ptr<client_connection>& tracked) {
  const auto link = tracked.lock();
  return link == nullptr || !link->socket.is_open();
}

// True if only a late response may arrive.
bool IsUnanswered(const client_connection& link) {
  return !link.done && link.stage != call_stage::kIdle;
}

}  // namespace

client_connection_ptr connection_pool::TakeIdle(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) return nullptr;
  std::vector<client_connection_ptr>& list = found->second;
  const core::monotonic_time now = core::Now();
  while (!list.empty()) {
    client_connection_ptr link = std::move(list.back());
    list.pop_back();
    if (now - link->idle_since < options_.max_idle_time) return link;
  }
  return nullptr;
}

void connection_pool::KeepIdle(client_connection_ptr link,
                               core::monotonic_time now) {
  std::vector<client_connection_ptr>& list = idle_[link->address];
  if (list.size() >= options_.max_idle_per_address) return;
  link->idle_since = now;
  list.push_back(std::move(link));
}

void connection_pool::CloseOutdated(core::monotonic_time now) {
  for (auto& [address, list] : idle_) {
    std::erase_if(list, [&](const client_connection_ptr& link) {
      return now - link->idle_since >= options_.max_idle_time;
    });
  }
  std::erase_if(idle_, [](const auto& entry) { return entry.second.empty(); });
  for (auto& [address, links] : open_) std::erase_if(links, IsGone);
  std::erase_if(open_, [](const auto& entry) { return entry.second.empty(); });
}

std::size_t connection_pool::CountIdle() const {
  std::size_t count = 0;
  for (const auto& [address, list] : idle_) count += list.size();
  return count;
}

void connection_pool::Track(const client_connection_ptr& link) {
  open_[link->address].push_back(link);
}

std::size_t connection_pool::CountOpen(const std::string& address) {
  const auto found = open_.find(address);
  if (found == open_.end()) return 0;
  std::erase_if(found->second, IsGone);
  return found->second.size();
}

std::size_t connection_pool::CountUsable(const std::string& address) const {
  const auto found = open_.find(address);
  if (found == open_.end()) return 0;
  return static_cast<std::size_t>(
      std::ranges::count_if(found->second, [](const auto& tracked) {
        const auto link = tracked.lock();
        return link != nullptr && link->socket.is_open() &&
               !IsUnanswered(*link);
      }));
}

bool connection_pool::CloseUnanswered(const std::string& address) {
  const auto found = open_.find(address);
  if (found == open_.end()) return false;
  for (const auto& tracked : found->second) {
    const auto link = tracked.lock();
    if (link == nullptr || !link->socket.is_open() || !IsUnanswered(*link)) {
      continue;
    }
    link->on_late_response = nullptr;
    link->stage = call_stage::kIdle;
    boost::system::error_code ignored;
    link->socket.close(ignored);
    return true;
  }
  return false;
}

}  // namespace waxwingfront::net::detail
