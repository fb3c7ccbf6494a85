#include "waxwingfront/front/detail/connection_watch.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <catch2/catch.hpp>

namespace waxwingfront::front::detail {
namespace {

constexpr core::milliseconds kLimit{3600000};
constexpr int kFailureSeconds = 5;

// Guards against a phase without a time limit: a slow caller would occupy its
// thread.
TEST_CASE("a watched connection is shut down when its phase takes too long",
          "[front]") {
  const Poco::Net::ServerSocket server(Poco::Net::SocketAddress("127.0.0.1:0"));
  Poco::Net::StreamSocket caller(
      Poco::Net::SocketAddress("127.0.0.1", server.address().port()));
  Poco::Net::ServerSocket acceptor(server);
  Poco::Net::StreamSocket accepted = acceptor.acceptConnection();
  // If the watch does not work, the test must fail instead of blocking.
  accepted.setReceiveTimeout(Poco::Timespan(kFailureSeconds, 0));
  connection_watch watch;
  watched_connection watched(watch, accepted);
  char symbol = 0;

  SECTION("a connection within its limit stays open") {
    watched.BeginPhase(watched_phase::kReading, kLimit);
    watch.Expire(core::Now() + kLimit / 2);
    caller.sendBytes("a", 1);
    CHECK(accepted.receiveBytes(&symbol, 1) == 1);
    CHECK_FALSE(watched.EndPhase());
  }
  SECTION("a reading connection reaches its end and can still respond") {
    watched.BeginPhase(watched_phase::kReading, kLimit);
    watch.Expire(core::Now() + 2 * kLimit);
    CHECK(accepted.receiveBytes(&symbol, 1) == 0);
    CHECK(accepted.sendBytes("b", 1) == 1);
    CHECK(caller.receiveBytes(&symbol, 1) == 1);
    CHECK(watched.EndPhase());
  }
  SECTION("a writing connection can no longer write") {
    watched.BeginPhase(watched_phase::kWriting, kLimit);
    watch.Expire(core::Now() + 2 * kLimit);
    CHECK_THROWS_AS(accepted.sendBytes("b", 1), Poco::Exception);
  }
  SECTION("a connection whose phase has ended stays open") {
    watched.BeginPhase(watched_phase::kReading, kLimit);
    CHECK_FALSE(watched.EndPhase());
    watch.Expire(core::Now() + 2 * kLimit);
    caller.sendBytes("a", 1);
    CHECK(accepted.receiveBytes(&symbol, 1) == 1);
  }
  SECTION("a server that stops shuts down all connections") {
    watch.CloseAll();
    CHECK(accepted.receiveBytes(&symbol, 1) == 0);
  }
}

}  // namespace
}  // namespace waxwingfront::front::detail
