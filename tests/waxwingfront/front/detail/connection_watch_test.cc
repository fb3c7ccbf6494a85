#include "waxwingfront/front/detail/connection_watch.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>

namespace waxwingfront::front::detail {
namespace {

constexpr core::milliseconds kLimit{3600000};
constexpr int kFailureSeconds = 5;

// Guards against a phase without an end: a slow caller would keep its thread.
TEST_CASE("a watched connection ends when its phase takes too long",
          "[front]") {
  const Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1:0"));
  Poco::Net::StreamSocket caller(
      Poco::Net::SocketAddress("127.0.0.1", server.address().port()));
  Poco::Net::ServerSocket acceptor(server);
  Poco::Net::StreamSocket accepted = acceptor.acceptConnection();
  // A watch that fails must not block the test.
  accepted.setReceiveTimeout(Poco::Timespan(kFailureSeconds, 0));
  connection_watch watch;
  watched_connection watched(watch, accepted);
  char symbol = 0;

  SECTION("not before its limit") {
    watched.Begin(watched_phase::kReading, kLimit);
    watch.Expire(core::Now() + kLimit / 2);
    caller.sendBytes("a", 1);
    CHECK(accepted.receiveBytes(&symbol, 1) == 1);
    CHECK_FALSE(watched.End());
  }
  SECTION("a reading connection sees its end and may still answer") {
    watched.Begin(watched_phase::kReading, kLimit);
    watch.Expire(core::Now() + 2 * kLimit);
    CHECK(accepted.receiveBytes(&symbol, 1) == 0);
    CHECK(accepted.sendBytes("b", 1) == 1);
    CHECK(caller.receiveBytes(&symbol, 1) == 1);
    CHECK(watched.End());
  }
  SECTION("a writing connection cannot write any more") {
    watched.Begin(watched_phase::kWriting, kLimit);
    watch.Expire(core::Now() + 2 * kLimit);
    CHECK_THROWS_AS(accepted.sendBytes("b", 1), Poco::Exception);
  }
  SECTION("not after its phase has ended") {
    watched.Begin(watched_phase::kReading, kLimit);
    CHECK_FALSE(watched.End());
    watch.Expire(core::Now() + 2 * kLimit);
    caller.sendBytes("a", 1);
    CHECK(accepted.receiveBytes(&symbol, 1) == 1);
  }
  SECTION("a server that stops ends all") {
    watch.CloseAll();
    CHECK(accepted.receiveBytes(&symbol, 1) == 0);
  }
}

}  // namespace
}  // namespace waxwingfront::front::detail
