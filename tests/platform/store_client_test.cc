#include "platform/store_client.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "support/loop_runner.h"
#include "waxwingfront/net/async_http_server.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

// A store that sends its response to one call in parts, as over a slow link. It
// shares the caller's event loop, so that whatever delays the loop delays its
// pauses and the caller's timeout alike.
class slow_link_store {
 public:
  explicit slow_link_store(net::event_loop& loop)
      : loop_(loop),
        listener_(loop.Context(), {boost::asio::ip::address_v4::loopback(), 0}),
        caller_(loop.Context()) {
    address = "127.0.0.1:" + std::to_string(listener_.local_endpoint().port());
    listener_.async_accept(caller_,
                           [this](const boost::system::error_code& failure) {
                             if (!failure) Receive();
                           });
  }

  std::string address;

 private:
  static constexpr milliseconds kPause{60};
  static constexpr std::size_t kParts = 10;
  static constexpr std::string_view kBody =
      R"({"at":7,"key":"k","value":"","revision":3})";

  void Receive() {
    caller_.async_read_some(
        boost::asio::buffer(request_),
        [this](const boost::system::error_code& failure, std::size_t) {
          if (failure) return;
          Send("HTTP/1.1 200 OK\r\nContent-Length: " +
               std::to_string(kBody.size()) + "\r\n\r\n");
          SendBodyAfter(0);
        });
  }

  // Sends the body from `position` on.
  void SendBodyAfter(std::size_t position) {
    loop_.After(kPause, [this, position] {
      constexpr std::size_t kPart = kBody.size() / kParts + 1;
      Send(kBody.substr(position, kPart));
      if (position + kPart < kBody.size()) SendBodyAfter(position + kPart);
    });
  }

  void Send(std::string_view text) {
    boost::asio::write(caller_, boost::asio::buffer(text));
  }

  net::event_loop& loop_;
  boost::asio::ip::tcp::acceptor listener_;
  boost::asio::ip::tcp::socket caller_;
  std::array<char, 4096> request_{};
};

TEST_CASE("a slow store response that makes progress does not time out",
          "[platform]") {
  net::event_loop loop;
  slow_link_store store(loop);
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
  core::result<fleet::store_page> Get(std::string_view key) {
    return Call<core::result<fleet::store_page>>(services.get, key);
  }
  core::result<fleet::store_page> Range() {
    return Call<core::result<fleet::store_page>>(
        services.range, std::string_view("k"), std::string_view());
  }
  core::result<fleet::store_changes> Watch() {
    return Call<core::result<fleet::store_changes>>(
        services.watch, std::string_view("k"), std::int64_t{1},
        milliseconds(0));
  }
  fleet::store_write_reply Write() {
    return Call<fleet::store_write_reply>(
        services.write,
        fleet::store_write{.expect = {{.key = "k", .revision = 2}}});
  }
  core::result<fleet::store_lease> Grant() {
    return Call<core::result<fleet::store_lease>>(services.grant_lease,
                                                  milliseconds(1500));
  }
  fleet::lease_status Renew() {
    return Call<fleet::lease_status>(services.renew_lease, std::int64_t{9});
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

// Bodies that no call can read.
const std::vector<std::string> kNoObjects = {"", "{", "[]", "null"};

std::vector<std::string> WithNoObjects(std::vector<std::string> bodies) {
  bodies.insert(bodies.end(), kNoObjects.begin(), kNoObjects.end());
  return bodies;
}

constexpr milliseconds kNoDelay{0};
constexpr int kFound = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 412;

// Guards against records that a leader takes for missing and overwrites.
TEST_CASE("an unreadable item of the store is not taken for a missing one",
          "[platform]") {
  const auto body = GENERATE(from_range(
      WithNoObjects({R"({"at":7})", R"({"at":7,"key":"k","value":""})",
                     R"({"at":7,"key":"k","revision":3})",
                     R"({"at":7,"key":"k","value":"","revision":"3"})",
                     R"({"at":7,"key":"k","value":"","revision":0})",
                     R"({"at":7,"key":"k","value":"AA","revision":3})",
                     R"({"at":7,"key":"k","value":"?+==","revision":3})",
                     R"({"at":7,"key":"other","value":"","revision":3})",
                     R"({"key":"k","value":"","revision":3})"})));
  CAPTURE(body);
  delayed_store store(kNoDelay, body, kFound);
  const auto page = store.Get("k");
  REQUIRE_FALSE(page);
  CHECK(page.error().code == core::error_code::kProtocol);
}

// Guards against a watch from the store's beginning.
TEST_CASE("a missing item needs a response with the store's revision",
          "[platform]") {
  const auto body = GENERATE(from_range(WithNoObjects({R"({"at":"7"})"})));
  CAPTURE(body);
  delayed_store store(kNoDelay, body, kNotFound);
  const auto page = store.Get("k");
  REQUIRE_FALSE(page);
  CHECK(page.error().code == core::error_code::kProtocol);
}

TEST_CASE("a missing item of the store is not an error", "[platform]") {
  delayed_store store(kNoDelay, R"({"at":7})", kNotFound);
  const auto page = store.Get("k");
  REQUIRE(page);
  CHECK(page->at == 7);
  CHECK(page->items.front().key == "k");
  CHECK(page->items.front().revision == 0);
}

// Guards against jobs and members that a leader takes for ended.
TEST_CASE("an unreadable page of the store is not taken for a shorter one",
          "[platform]") {
  const auto body = GENERATE(from_range(WithNoObjects(
      {R"({"at":7,"has_more":false})", R"({"items":[],"has_more":false})",
       R"({"at":7,"items":[]})", R"({"at":7,"items":{},"has_more":false})",
       R"({"at":7,"items":[3],"has_more":false})",
       R"({"at":7,"items":[],"has_more":true})",
       R"({"at":7,"items":[{"key":"k","value":""}],"has_more":false})",
       R"({"at":7,"items":[{"value":"","revision":3}],"has_more":false})"})));
  CAPTURE(body);
  delayed_store store(kNoDelay, body);
  const auto page = store.Range();
  REQUIRE_FALSE(page);
  CHECK(page.error().code == core::error_code::kProtocol);
}

// Guards against a page that is lost with one row.
TEST_CASE("a row whose value cannot be read does not hide the rest of its page",
          "[platform]") {
  const auto value = GENERATE(R"("%%%%")", R"("QQ=")", "7", "null");
  CAPTURE(value);
  delayed_store store(
      kNoDelay, R"({"at":7,"items":[{"key":"k","value":"QQ==","revision":3},)"
                R"({"key":"l","value":)" +
                    std::string(value) + R"(,"revision":4}],"has_more":true})");
  const auto page = store.Range();
  REQUIRE(page);
  REQUIRE(page->items.size() == 1);
  CHECK(page->items[0].value == "A");
  REQUIRE(page->unreadable.size() == 1);
  CHECK(page->unreadable[0].key == "l");
  CHECK(page->LastKey() == "l");
}

// Guards against changes that a watch skips.
TEST_CASE("unreadable changes of the store are not passed over", "[platform]") {
  const auto body = GENERATE(from_range(
      WithNoObjects({R"({"at":7})", R"({"events":[]})",
                     R"({"at":7,"events":{}})", R"({"at":7,"events":[3]})",
                     R"({"at":7,"events":[{"key":"k","revision":3}]})",
                     R"({"at":7,"events":[{"key":"k","deleted":true}]})",
                     R"({"at":7,"events":[{"value":"","revision":3}]})"})));
  CAPTURE(body);
  delayed_store store(kNoDelay, body);
  const auto changes = store.Watch();
  REQUIRE_FALSE(changes);
  CHECK(changes.error().code == core::error_code::kProtocol);
}

TEST_CASE("readable pages and changes of the store are passed on",
          "[platform]") {
  delayed_store store(
      kNoDelay,
      R"({"at":7,"items":[{"key":"k","value":"QQ==","revision":3}],)"
      R"("has_more":true,"events":[{"key":"k","value":"QQ==","revision":3},)"
      R"({"key":"l","revision":4,"deleted":true}]})");
  const auto page = store.Range();
  REQUIRE(page);
  REQUIRE(page->items.size() == 1);
  CHECK(page->items[0].value == "A");
  CHECK(page->has_more);
  const auto changes = store.Watch();
  REQUIRE(changes);
  REQUIRE(changes->changes.size() == 2);
  CHECK(changes->changes[0].value == "A");
  CHECK_FALSE(changes->changes[1].value);
}

// Guards against conditions on revisions that the store never had.
TEST_CASE("an unreadable response leaves a write's outcome unknown",
          "[platform]") {
  SECTION("applied") {
    const auto body = GENERATE(from_range(
        WithNoObjects({"{}", R"({"revision":"3"})", R"({"revision":0})"})));
    CAPTURE(body);
    delayed_store store(kNoDelay, body, kFound);
    CHECK(store.Write().status == fleet::store_write_status::kUnknown);
  }
  SECTION("conflict") {
    const auto body = GENERATE(from_range(WithNoObjects(
        {"{}", R"({"items":{}})", R"({"items":[3]})",
         R"({"items":[{"key":"k"}]})", R"({"items":[{"revision":3}]})",
         R"({"items":[{"key":"other","value":"","revision":3}]})"})));
    CAPTURE(body);
    delayed_store store(kNoDelay, body, kConflict);
    CHECK(store.Write().status == fleet::store_write_status::kUnknown);
  }
}

TEST_CASE("a readable conflict names the present revisions", "[platform]") {
  delayed_store store(kNoDelay,
                      R"({"items":[{"key":"k","value":"","revision":3}]})",
                      kConflict);
  const fleet::store_write_reply reply = store.Write();
  CHECK(reply.status == fleet::store_write_status::kConflict);
  REQUIRE(reply.actual.size() == 1);
  CHECK(reply.actual[0].revision == 3);
}

// Guards against a removal that is repeated for ever, since the response to its
// first attempt was lost.
TEST_CASE(
    "a key that a conflict leaves out or lists at revision 0 does not exist",
    "[platform]") {
  const std::string body = GENERATE(
      R"({"at":7,"items":[]})",
      R"({"at":7,"items":[{"key":"k","value":"","revision":0,"lease":0}]})");
  CAPTURE(body);
  delayed_store store(kNoDelay, body, kConflict);
  const fleet::store_write_reply reply = store.Write();
  CHECK(reply.status == fleet::store_write_status::kConflict);
  REQUIRE(reply.actual.size() == 1);
  CHECK(reply.actual[0].key == "k");
  CHECK(reply.actual[0].revision == 0);
}

// Guards against a leader that relies on a lease that it may not have.
TEST_CASE("an unreadable response neither grants nor renews a lease",
          "[platform]") {
  SECTION("grant") {
    const auto body = GENERATE(from_range(WithNoObjects(
        {"{}", R"({"lease":9})", R"({"ttl_ms":1500})",
         R"({"lease":"9","ttl_ms":1500})", R"({"lease":9,"ttl_ms":0})"})));
    CAPTURE(body);
    delayed_store store(kNoDelay, body);
    const auto lease = store.Grant();
    REQUIRE_FALSE(lease);
    CHECK(lease.error().code == core::error_code::kProtocol);
  }
  SECTION("renewal") {
    const auto body = GENERATE(from_range(kNoObjects));
    CAPTURE(body);
    delayed_store store(kNoDelay, body);
    CHECK(store.Renew() == fleet::lease_status::kUnknown);
  }
}

}  // namespace
}  // namespace waxwingfront::tests
