// One connection through a `fault_proxy`.
#ifndef WAXWINGFRONT_TESTS_SOAK_FAULT_LINK_H_
#define WAXWINGFRONT_TESTS_SOAK_FAULT_LINK_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "soak/fault_proxy.h"
#include "soak/link_rate.h"

namespace waxwingfront::soak {

class fault_link : public std::enable_shared_from_this<fault_link> {
 public:
  using tcp = boost::asio::ip::tcp;

  // `fault`, `rewriting` and `machine` outlive the link; without `machine` it
  // has no limit.
  fault_link(tcp::socket client, const tcp::endpoint& target,
             const link_fault& fault, const link_rewriting& rewriting,
             machine_link* machine);

  // Goes on with what the fault allows now.
  void Resume();
  void Reset();
  void Freeze();
  // False once both sockets are closed.
  bool IsOpen() const { return client_.is_open() || server_.is_open(); }

 private:
  using failure_code = boost::system::error_code;
  using clock = std::chrono::steady_clock;

  enum class flow_end { kNone, kEof, kReset };

  struct chunk {
    clock::time_point due;
    std::string bytes;
    // Takes its time on the machine's link once it is due.
    bool carried = false;
  };

  static constexpr std::size_t kReadBytes = 16'384;

  struct flow {
    tcp::socket& from;
    tcp::socket& to;
    const bool& silent;
    const std::function<void(std::string&)>& rewrite;
    link_rate* rate;
    boost::asio::steady_timer timer;
    std::array<char, kReadBytes> input{};
    std::deque<chunk> held;
    std::size_t held_bytes = 0;
    bool reading = false;
    bool writing = false;
    flow_end end = flow_end::kNone;
    bool end_passed = false;
  };

  void Connect();
  void Read(flow& one);
  void OnRead(flow& one, const failure_code& failure, std::size_t count);
  void Pass(flow& one);
  void PassEnd(flow& one);
  void OnWritten(flow& one, const failure_code& failure);
  // The sender of `one` has reset the connection.
  void OnReset(flow& one);
  flow& Opposite(flow& one) {
    return &one == &to_target_ ? to_client_ : to_target_;
  }
  static void DropHeld(flow& one);
  static void ResetSocket(tcp::socket& socket);

  tcp::socket client_;
  tcp::socket server_;
  tcp::endpoint target_;
  const link_fault& fault_;
  flow to_target_;
  flow to_client_;
  bool connecting_ = false;
  bool connected_ = false;
  bool frozen_ = false;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_FAULT_LINK_H_
