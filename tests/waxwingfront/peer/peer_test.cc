// Messages between entries over loopback.
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <string>

#include "support/call_gate.h"
#include "support/child_process.h"
#include "support/process_site.h"
#include "waxwingfront/peer/peer_client.h"
#include "waxwingfront/peer/peer_server.h"
#include "waxwingfront/schema/gen/peer.pb.h"

namespace waxwingfront::tests {
namespace {

using core::error_code;

constexpr core::milliseconds kLimit{5000};
constexpr core::milliseconds kShortLimit{200};

schema::peer_request StatusRequest(const std::string& job) {
  schema::peer_request request;
  request.mutable_status()->set_job(job);
  return request;
}

// Guards against reporting "unreachable" for a request that the peer may have
// carried out.
TEST_CASE("peer client distinguishes unsent requests from unknown outcomes",
          "[peer]") {
  const std::string address = FreeAddress();
  peer::peer_client client;
  SECTION("nobody listens") {
    const auto response = client.Call(address, StatusRequest("a"), kShortLimit);
    REQUIRE_FALSE(response.has_value());
    CHECK(response.error().code == error_code::kUnreachable);
  }
  SECTION("the peer takes longer than the limit") {
    call_gate gate;
    const auto server = peer::peer_server::Start(
        {.address = address, .handle = [&gate](const schema::peer_request&) {
           gate.Pass();
           return schema::peer_response();
         }});
    REQUIRE(server.has_value());
    const auto response = client.Call(address, StatusRequest("a"), kShortLimit);
    REQUIRE_FALSE(response.has_value());
    CHECK(response.error().code == error_code::kOutcomeUnknown);
    gate.Open();
  }
  SECTION("the peer reports an error") {
    const auto server = peer::peer_server::Start(
        {.address = address, .handle = [](const schema::peer_request&) {
           schema::peer_response response;
           response.mutable_failure()->set_code("no_owner");
           return response;
         }});
    REQUIRE(server.has_value());
    const auto response = client.Call(address, StatusRequest("a"), kLimit);
    REQUIRE_FALSE(response.has_value());
    CHECK(response.error().code == error_code::kNoOwner);
  }
}

// Sends `count` requests in nng's TCP framing without reading any reply.
void SendWithoutReading(Poco::Net::StreamSocket& socket, int count) {
  // Protocol header of a request socket (0x30), then each message with its
  // length in 8 bytes and a request id whose highest bit is set.
  const std::array<unsigned char, 8> header = {0, 'S', 'P', 0, 0, 0x30, 0, 0};
  socket.sendBytes(header.data(), header.size());
  for (int index = 0; index < count; ++index) {
    const std::string body = StatusRequest("a").SerializeAsString();
    std::string message(7, '\0');
    message += static_cast<char>(body.size() + 4);
    message += std::string{'\x80', '\0', '\0', static_cast<char>(index + 1)};
    message += body;
    socket.sendBytes(message.data(), static_cast<int>(message.size()));
  }
}

// Guards against a server that loses a thread with each reply that a frozen
// peer does not read, until no thread is left.
TEST_CASE("peer server keeps serving after a peer that reads no replies",
          "[peer]") {
  const std::string address = FreeAddress();
  // Larger than the buffers of both sockets together.
  constexpr std::size_t kReplyBytes = 16U << 20U;
  std::atomic<int> unread{0};
  const auto server = peer::peer_server::Start(
      {.address = address,
       .threads = 1,
       .handle = [&unread](const schema::peer_request& request) {
         if (request.status().job() == "a") ++unread;
         schema::peer_response response;
         response.mutable_status()->set_id(request.status().job() == "a"
                                               ? std::string(kReplyBytes, 'x')
                                               : "answered");
         return response;
       }});
  REQUIRE(server.has_value());
  Poco::Net::StreamSocket frozen;
  frozen.connect(Poco::Net::SocketAddress(address));
  SendWithoutReading(frozen, 3);
  // The first reply fills the buffers; the second one cannot be sent.
  REQUIRE(AwaitCondition([&unread] { return unread >= 2; }));
  peer::peer_client client;
  const auto response = client.Call(address, StatusRequest("b"), kLimit);
  REQUIRE(response.has_value());
  CHECK(response->status().id() == "answered");
}

}  // namespace
}  // namespace waxwingfront::tests
