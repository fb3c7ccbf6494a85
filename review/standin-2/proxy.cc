#include "proxy.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <thread>

#include "http.h"

namespace waxwingfront::review_2 {
namespace {

constexpr std::chrono::milliseconds kCheck{5};

}  // namespace

tcp_proxy::tcp_proxy(std::uint16_t target) : target_(target) {
  listener_ = Listen(FreePort(), &port_);
  std::thread([this] { Accept(); }).detach();
}

void tcp_proxy::Accept() {
  while (true) {
    const int client = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (client < 0) continue;
    std::thread([this, client] {
      while (silent_) std::this_thread::sleep_for(kCheck);
      const int server = Connect(target_);
      if (server < 0) {
        close(client);
        return;
      }
      std::thread back([this, server, client] { Pass(server, client); });
      Pass(client, server);
      back.join();
      close(client);
      close(server);
    }).detach();
  }
}

void tcp_proxy::Pass(int from, int to) {
  std::array<char, 16384> chunk;
  while (true) {
    const ssize_t count = recv(from, chunk.data(), chunk.size(), 0);
    while (silent_) std::this_thread::sleep_for(kCheck);
    if (count <= 0) break;
    if (send(to, chunk.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL) !=
        count) {
      break;
    }
  }
  shutdown(to, SHUT_WR);
}

}  // namespace waxwingfront::review_2
