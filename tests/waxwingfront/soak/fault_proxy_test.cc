#include "soak/fault_proxy.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "soak/process_info.h"
#include "support/scripted_server.h"

namespace waxwingfront::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::string_view kRequest =
    "GET /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
constexpr milliseconds kQuiet{200};
constexpr milliseconds kLong{5000};

// A caller that keeps its connection.
class caller {
 public:
  explicit caller(const std::string& address) {
    socket_.connect(Poco::Net::SocketAddress(address),
                    Poco::Timespan(kLong.count() * 1000));
  }
  void Send() {
    socket_.sendBytes(kRequest.data(), static_cast<int>(kRequest.size()));
  }
  // Returns what arrives within `limit`, empty at the end of the connection,
  // and nullopt if nothing arrives. Throws if the connection is reset.
  std::optional<std::string> Receive(milliseconds limit) {
    socket_.setReceiveTimeout(Poco::Timespan(limit.count() * 1000));
    std::array<char, 1024> bytes{};
    try {
      const int count = socket_.receiveBytes(bytes.data(), bytes.size());
      return std::string(bytes.data(), static_cast<std::size_t>(count));
    } catch (const Poco::TimeoutException&) {
      return std::nullopt;
    }
  }

 private:
  Poco::Net::StreamSocket socket_;
};

bool Answers(caller& one) {
  one.Send();
  const auto reply = one.Receive(kLong);
  return reply && reply->starts_with("HTTP/1.1 200");
}

tests::scripted_response Reply(const std::string&, int) {
  return {.bytes = tests::MakeOkResponse("ok")};
}

}  // namespace

TEST_CASE("a fault proxy passes hundreds of connections on", "[soak]") {
  constexpr std::size_t kConnections = 200;
  const tests::scripted_server server(Reply);
  fault_proxy proxy(server.Address());
  std::vector<std::unique_ptr<caller>> callers;
  for (std::size_t i = 0; i < kConnections; ++i) {
    callers.push_back(std::make_unique<caller>(proxy.Address()));
    REQUIRE(Answers(*callers.back()));
  }
  CHECK(proxy.OpenCount() == kConnections);
  for (const auto& one : callers) CHECK(Answers(*one));
  callers.clear();
  const auto end = steady_clock::now() + kLong;
  while (proxy.OpenCount() > 0 && steady_clock::now() < end) {
    std::this_thread::sleep_for(milliseconds(10));
  }
  CHECK(proxy.OpenCount() == 0);
}

TEST_CASE("a fault proxy delays each direction", "[soak]") {
  const tests::scripted_server server(Reply);
  fault_proxy proxy(server.Address());
  caller one(proxy.Address());
  REQUIRE(Answers(one));
  proxy.Set({.delay = kQuiet});
  const auto start = steady_clock::now();
  CHECK(Answers(one));
  CHECK(steady_clock::now() - start >= 2 * kQuiet);
}

TEST_CASE("connections of one machine share the rate of its link", "[soak]") {
  constexpr double kBytesPerSecond = 100'000;
  constexpr std::size_t kBody = 20'000;
  const tests::scripted_server server([](const std::string&, int) {
    return tests::scripted_response{
        .bytes = tests::MakeOkResponse(std::string(kBody, 'x'))};
  });
  machine_link machine(kBytesPerSecond);
  std::vector<std::unique_ptr<fault_proxy>> proxies;
  std::vector<std::unique_ptr<caller>> callers;
  for (int i = 0; i < 2; ++i) {
    proxies.push_back(std::make_unique<fault_proxy>(server.Address()));
    proxies.back()->SetMachines(
        [&](std::uint16_t, std::uint16_t) { return &machine; });
    callers.push_back(std::make_unique<caller>(proxies.back()->Address()));
  }
  const auto start = steady_clock::now();
  for (const auto& one : callers) one->Send();
  for (const auto& one : callers) {
    for (std::size_t received = 0; received < kBody;) {
      const auto bytes = one->Receive(kLong);
      REQUIRE(bytes.has_value());
      REQUIRE_FALSE(bytes->empty());
      received += bytes->size();
    }
  }
  CHECK(steady_clock::now() - start >=
        std::chrono::duration<double>(2 * kBody / kBytesPerSecond));
  CHECK(machine.to_client.Carried() > 2 * kBody);
  CHECK(machine.to_target.Carried() == 2 * kRequest.size());
}

TEST_CASE("the socket of a loopback connection's client is found", "[soak]") {
  const tests::scripted_server server(Reply);
  std::uint64_t socket = 0;
  fault_proxy proxy(server.Address());
  proxy.SetMachines([&](std::uint16_t client, std::uint16_t own) {
    socket = ClientSocket(client, own);
    return nullptr;
  });
  caller one(proxy.Address());
  REQUIRE(Answers(one));
  CHECK(socket != 0);
  CHECK(HoldsSocket(getpid(), socket));
  CHECK_FALSE(HoldsSocket(getpid(), socket + 1'000'000'000));
}

TEST_CASE("a silent direction holds bytes back until it is open again",
          "[soak]") {
  const tests::scripted_server server(Reply);
  fault_proxy proxy(server.Address());
  caller one(proxy.Address());
  REQUIRE(Answers(one));
  const bool to_target = GENERATE(true, false);
  proxy.Set({.silent_to_target = to_target, .silent_to_client = !to_target});
  one.Send();
  CHECK_FALSE(one.Receive(kQuiet).has_value());
  CHECK(server.Requests() == (to_target ? 1 : 2));
  proxy.Set({});
  const auto reply = one.Receive(kLong);
  REQUIRE(reply.has_value());
  CHECK(reply->starts_with("HTTP/1.1 200"));
  CHECK(server.Requests() == 2);
}

TEST_CASE("a reset loses the bytes that a silent direction holds", "[soak]") {
  const tests::scripted_server server(Reply);
  fault_proxy proxy(server.Address());
  caller one(proxy.Address());
  REQUIRE(Answers(one));
  proxy.Set({.silent_to_target = true});
  one.Send();
  CHECK_FALSE(one.Receive(kQuiet).has_value());
  proxy.ResetAll();
  CHECK_THROWS_AS(one.Receive(kLong), Poco::Net::ConnectionResetException);
  proxy.Set({});
  caller other(proxy.Address());
  CHECK(Answers(other));
  CHECK(server.Requests() == 2);
}

TEST_CASE("frozen connections stay silent while new ones work", "[soak]") {
  const tests::scripted_server server(Reply);
  fault_proxy proxy(server.Address());
  caller one(proxy.Address());
  REQUIRE(Answers(one));
  proxy.FreezeOpen();
  one.Send();
  caller other(proxy.Address());
  CHECK(Answers(other));
  proxy.Set({});
  CHECK_FALSE(one.Receive(kQuiet).has_value());
  CHECK(server.Requests() == 2);
}

TEST_CASE("a refusing proxy keeps its open connections", "[soak]") {
  const tests::scripted_server server(Reply);
  fault_proxy proxy(server.Address());
  caller one(proxy.Address());
  REQUIRE(Answers(one));
  proxy.Set({.refuse = true});
  CHECK_THROWS_AS(caller(proxy.Address()),
                  Poco::Net::ConnectionRefusedException);
  CHECK(Answers(one));
  proxy.Set({});
  caller other(proxy.Address());
  CHECK(Answers(other));
}

TEST_CASE("a fault proxy passes ends on", "[soak]") {
  const tests::scripted_server server([](const std::string&, int) {
    return tests::scripted_response{.bytes = tests::MakeOkResponse("ok"),
                                    .then = tests::after_response::kClose};
  });
  fault_proxy proxy(server.Address());
  caller one(proxy.Address());
  REQUIRE(Answers(one));
  const auto end = one.Receive(kLong);
  REQUIRE(end.has_value());
  CHECK(end->empty());
}

}  // namespace waxwingfront::soak
