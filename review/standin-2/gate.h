// The way of each process to the store and to the other processes, which can be
// cut for one of them. Others know a process by the address of a proxy, which
// the gate puts in the place of its own address in all that it writes.
#ifndef WAXWINGFRONT_REVIEW_STANDIN_2_GATE_H_
#define WAXWINGFRONT_REVIEW_STANDIN_2_GATE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "http.h"
#include "proxy.h"
#include "store.h"

namespace waxwingfront::review_2 {

// Never destroyed.
class gate {
 public:
  // `internal_ports` are those at which the processes listen for each other.
  gate(store& platform, const std::vector<std::uint16_t>& internal_ports);

  std::string StoreAddress(std::size_t process) const;
  // The port by which the others know the process.
  std::uint16_t KnownPort(std::size_t process) const;
  // While it is cut off, nothing passes between the process and the store, nor
  // between it and the others.
  void SetCut(std::size_t process, bool cut);

 private:
  // Texts to replace and what replaces them.
  using replacements = std::vector<std::pair<std::string, std::string>>;

  struct process_state {
    std::unique_ptr<http_server> server;
    // By which the others reach the process.
    std::unique_ptr<tcp_proxy> proxy;
    replacements written;
    replacements read;
    std::atomic<bool> cut = false;
  };

  http_response Handle(process_state& process, http_request request);

  store& platform_;
  std::vector<std::unique_ptr<process_state>> processes_;
};

}  // namespace waxwingfront::review_2

#endif  // WAXWINGFRONT_REVIEW_STANDIN_2_GATE_H_
