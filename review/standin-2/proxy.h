// Loopback TCP proxy that can fall silent: it then passes on nothing, in either
// direction, on open channels and new ones.
#ifndef WAXWINGFRONT_REVIEW_STANDIN_2_PROXY_H_
#define WAXWINGFRONT_REVIEW_STANDIN_2_PROXY_H_

#include <atomic>
#include <cstdint>

namespace waxwingfront::review_2 {

// Never destroyed.
class tcp_proxy {
 public:
  explicit tcp_proxy(std::uint16_t target);

  std::uint16_t Port() const { return port_; }
  void SetSilent(bool silent) { silent_ = silent; }

 private:
  void Accept();
  void Pass(int from, int to);

  std::uint16_t target_;
  std::uint16_t port_ = 0;
  int listener_ = -1;
  std::atomic<bool> silent_ = false;
};

}  // namespace waxwingfront::review_2

#endif  // WAXWINGFRONT_REVIEW_STANDIN_2_PROXY_H_
