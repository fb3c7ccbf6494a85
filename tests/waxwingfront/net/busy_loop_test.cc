#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include "support/loop_runner.h"
#include "waxwingfront/net/async_http_client.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

// A call to a peer on the same event loop, which has received the request.
struct peer_call {
  explicit peer_call(milliseconds timeout) {
    listener.async_accept(peer, [](const boost::system::error_code&) {});
    client.Send(
        {.address =
             "127.0.0.1:" + std::to_string(listener.local_endpoint().port()),
         .method = "GET",
         .target = "/",
         .timeout = timeout,
         .total_timeout = 10 * timeout},
        [this](core::result<net::http_reply> got) { reply = std::move(got); });
    REQUIRE(RunUntil(
        loop, [this] { return peer.is_open() && peer.available() > 0; }));
  }

  void Respond(std::string_view bytes) {
    boost::asio::write(peer, boost::asio::buffer(bytes));
  }

  net::event_loop loop;
  net::async_http_client client{loop, {}};
  boost::asio::ip::tcp::acceptor listener{
      loop.Context(), {boost::asio::ip::address_v4::loopback(), 0}};
  boost::asio::ip::tcp::socket peer{loop.Context()};
  std::optional<core::result<net::http_reply>> reply;
};

// Guards against calls that fail although their response is in the socket.
TEST_CASE("a response that arrives while the loop is busy once more is read",
          "[net]") {
  constexpr milliseconds kTimeout{200};
  peer_call call(kTimeout);
  // The loop stands still for half the timeout longer than it, which extends
  // the deadline by as much, and again beyond the extended deadline.
  std::this_thread::sleep_for(kTimeout * 3 / 2);
  call.loop.After(kTimeout / 10,
                  [kTimeout] { std::this_thread::sleep_for(kTimeout); });
  call.loop.After(kTimeout / 5, [&call] {
    call.Respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  });
  REQUIRE(RunUntil(call.loop, [&call] { return call.reply.has_value(); }));
  CHECK(call.reply->has_value());
}

// Guards against a client that takes a time in which the loop stood still for
// the peer's silence, if that time ends shortly after the deadline.
TEST_CASE("time in which the loop was busy before a deadline is not counted",
          "[net]") {
  constexpr milliseconds kTimeout{200};
  constexpr milliseconds kPastDeadline{10};
  peer_call call(kTimeout);
  call.loop.After(kTimeout / 2, [&] {
    const core::monotonic_time progress = core::Now();
    call.Respond("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n");
    call.loop.After(kTimeout / 10, [=] {
      std::this_thread::sleep_until(progress + kTimeout + kPastDeadline);
    });
    // The peer stands still with the loop and sends right after it.
    call.loop.After(kTimeout * 9 / 10, [&call] { call.Respond("x"); });
  });
  REQUIRE(RunUntil(call.loop, [&call] { return call.reply.has_value(); }));
  CHECK(call.reply->has_value());
}

}  // namespace
}  // namespace waxwingfront::tests
