// The start of a `waxwingfront platform` process under difficulties.
#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <fcntl.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <string>
#include <thread>

#include "support/platform_process.h"
#include "support/process_site.h"
#include "support/raw_caller.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

constexpr const char* kRequest =
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
// Without a manifest each request is answered with 503.
constexpr const char* kStatusLine = "HTTP/1.1 503";

// Listens on an address, in this process only.
class other_listener {
 public:
  explicit other_listener(const std::string& address)
      : socket_(Poco::Net::SocketAddress(address)) {
    fcntl(socket_.impl()->sockfd(), F_SETFD, FD_CLOEXEC);
  }

  void Close() { socket_.close(); }

 private:
  Poco::Net::ServerSocket socket_;
};

TEST_CASE("a start while a predecessor still listens succeeds once it has gone",
          "[process]") {
  platform_process node;
  const auto address_of =
      GENERATE(&platform_process::Front, &platform_process::Readiness,
               &platform_process::Internal);
  other_listener predecessor((node.*address_of)());
  node.Start();
  REQUIRE(node.AwaitEvent("listen_failed"));
  predecessor.Close();
  CHECK(AwaitCondition([&node] {
    try {
      return RawCall(node.Front(), kRequest).starts_with(kStatusLine) &&
             RawCall(node.Readiness(), kRequest).starts_with(kStatusLine);
    } catch (const Poco::Exception& /*refused*/) {
      return false;
    }
  }));
}

TEST_CASE("a start fails in time if an address stays in use", "[process]") {
  platform_process node("bounds.grace_s=1\n");
  const other_listener other(node.Front());
  node.Start();
  CHECK(node.Process().Wait() == 2);
}

TEST_CASE("SIGTERM ends a process that cannot listen yet",
          "[process][shutdown]") {
  platform_process node("bounds.grace_s=5\n");
  const other_listener other(node.Front());
  node.Start();
  REQUIRE(node.AwaitEvent("listen_failed"));
  node.Process().Signal(SIGTERM);
  CHECK(node.Process().Wait() == 0);
}

TEST_CASE("a process whose first internal port is in use takes the next one",
          "[process]") {
  platform_process node;
  const other_listener other(node.Internal());
  const int port = Poco::Net::SocketAddress(node.Internal()).port();
  node.WriteSettings(node.Settings() +
                     "internal_port_range=" + std::to_string(port) + "," +
                     std::to_string(port + 20) + "\n");
  node.Start();
  CHECK(node.AwaitEvent("start"));
  CHECK(RawCall(node.Front(), kRequest).starts_with(kStatusLine));
}

TEST_CASE("closed standard streams are not reused for sockets", "[process]") {
  platform_process node;
  node.Start("exec <&- >&- 2>&-;");
  REQUIRE(AwaitCondition([&node] {
    try {
      return RawCall(node.Front(), kRequest).starts_with(kStatusLine);
    } catch (const Poco::Exception& /*refused*/) {
      return false;
    }
  }));
  const std::filesystem::path streams =
      "/proc/" + std::to_string(node.Process().Id()) + "/fd";
  for (const char* const stream : {"0", "1", "2"}) {
    CHECK(std::filesystem::read_symlink(streams / stream) == "/dev/null");
  }
}

TEST_CASE("a process waits for settings that are still being written",
          "[process]") {
  platform_process node;
  node.WriteSettings(node.Settings().substr(0, node.Settings().size() / 2));
  node.Start();
  std::this_thread::sleep_for(milliseconds(300));
  node.WriteSettings(node.Settings());
  CHECK(node.AwaitEvent("start"));
}

}  // namespace
}  // namespace waxwingfront::tests
