#include "platform/store_client.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "support/loop_runner.h"
#include "waxwingfront/net/async_http_server.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

// A store that sends its response to one call in parts, as over a slow link.
class slow_link_store {
 public:
  slow_link_store() : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)) {
    address = socket_.address().toString();
    thread_ = std::thread([this] { Respond(); });
  }
  slow_link_store(const slow_link_store&) = delete;
  slow_link_store& operator=(const slow_link_store&) = delete;
  ~slow_link_store() { thread_.join(); }

  std::string address;

 private:
  void Respond() {
    constexpr milliseconds kPause{60};
    constexpr std::size_t kParts = 10;
    const std::string body = R"({"at":7,"key":"k","value":"","revision":3})";
    Poco::Net::StreamSocket caller = socket_.acceptConnection();
    std::array<char, 4096> request{};
    caller.receiveBytes(request.data(), static_cast<int>(request.size()));
    Send(caller, "HTTP/1.1 200 OK\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n");
    const std::size_t part = body.size() / kParts + 1;
    for (std::size_t at = 0; at < body.size(); at += part) {
      std::this_thread::sleep_for(kPause);
      Send(caller, body.substr(at, part));
    }
  }

  static void Send(Poco::Net::StreamSocket& caller, const std::string& text) {
    caller.sendBytes(text.data(), static_cast<int>(text.size()));
  }

  Poco::Net::ServerSocket socket_;
  std::thread thread_;
};

TEST_CASE("a slow store response that makes progress does not time out",
          "[platform]") {
  slow_link_store store;
  net::event_loop loop;
  net::async_http_client client(loop, {});
  const fleet::store_services services =
      platform::MakeStoreServices(store.address, client);
  std::optional<core::result<fleet::store_page>> page;
  services.get("k", [&page](core::result<fleet::store_page> got) {
    page = std::move(got);
  });
  REQUIRE(RunUntil(loop, [&page] { return page.has_value(); }));
  REQUIRE(*page);
  CHECK((*page)->items.front().revision == 3);
}

// A store that sends the same response to every call after a delay.
struct delayed_store {
  delayed_store(milliseconds delay, std::string body, int status = 200)
      : server(loop, {.address = "127.0.0.1:0"},
               [this, delay, status, body = std::move(body)](
                   const net::server_request&,
                   const net::async_http_server::responder& respond) {
                 ++calls;
                 loop.After(delay, [respond, status, body] {
                   respond({.status = status, .body = body});
                 });
               }) {
    REQUIRE(server.Start());
    services = platform::MakeStoreServices(server.Address(), client);
  }

  // Calls the service with `arguments` and returns the response.
  template <typename Result, typename Service, typename... Arguments>
  Result Call(const Service& service, const Arguments&... arguments) {
    std::optional<Result> got;
    service(arguments..., [&got](Result result) { got = std::move(result); });
    REQUIRE(RunUntil(loop, [&got] { return got.has_value(); }));
    return *std::move(got);
  }
  fleet::store_write_reply Write() {
    return Call<fleet::store_write_reply>(
        services.write,
        fleet::store_write{.expect = {{.key = "k", .revision = 2}}});
  }

  // Repeats the write until it is applied.
  void WriteUntilApplied() {
    services.write({}, [this](const fleet::store_write_reply& reply) {
      applied = reply.status == fleet::store_write_status::kApplied;
      if (!applied) WriteUntilApplied();
    });
  }

  int calls = 0;
  bool applied = false;
  net::event_loop loop;
  net::async_http_client client{loop, {}};
  net::async_http_server server;
  fleet::store_services services;
};

TEST_CASE("a write succeeds eventually if all store responses are late",
          "[platform]") {
  delayed_store store(milliseconds(800), R"({"revision":3})");
  store.WriteUntilApplied();
  CHECK(RunUntil(store.loop, [&store] { return store.applied; }));
  // Timeouts double up to the bound, and the first late response raises them.
  CHECK(store.calls <= 6);
}

TEST_CASE("ranges and watches adapt their timeouts to late store responses",
          "[platform]") {
  delayed_store store(milliseconds(800),
                      R"({"revision":3,"at":3,"items":[],"has_more":false,)"
                      R"("events":[]})");
  store.WriteUntilApplied();
  REQUIRE(RunUntil(store.loop, [&store] { return store.applied; }));
  std::optional<core::result<fleet::store_page>> page;
  store.services.range("k", "", [&page](core::result<fleet::store_page> got) {
    page = std::move(got);
  });
  std::optional<core::result<fleet::store_changes>> changes;
  store.services.watch("k", 1, milliseconds(0),
                       [&changes](core::result<fleet::store_changes> got) {
                         changes = std::move(got);
                       });
  REQUIRE(RunUntil(store.loop, [&] { return page && changes; }));
  CHECK(page->has_value());
  CHECK(changes->has_value());
}

constexpr milliseconds kNoDelay{0};
constexpr int kConflict = 412;

// Guards against a removal that is repeated for ever, since the response to its
// first attempt was lost.
TEST_CASE("a key that a conflict leaves out does not exist", "[platform]") {
  delayed_store store(kNoDelay, R"({"at":7,"items":[]})", kConflict);
  const fleet::store_write_reply reply = store.Write();
  CHECK(reply.status == fleet::store_write_status::kConflict);
  REQUIRE(reply.actual.size() == 1);
  CHECK(reply.actual[0].key == "k");
  CHECK(reply.actual[0].revision == 0);
}

}  // namespace
}  // namespace waxwingfront::tests
