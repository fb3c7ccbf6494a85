#include "platform/front.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <utility>

#include "support/fake_store.h"
#include "support/loop_runner.h"
#include "waxwingfront/logging/event_log.h"
#include "waxwingfront/net/async_http_client.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

TEST_CASE("an open request with a long timeout is answered before the end",
          "[platform][shutdown]") {
  net::event_loop loop;
  fake_store shared(loop);
  shared.Put("manifest", "1");
  fleet::store_services store = shared.Services();
  store.read_manifest = [](std::string_view) {
    fleet::manifest content;
    content.version = 1;
    content.queues.push_back({.name = "queue",
                              .host = "queue.example",
                              .path_prefix = "/",
                              .service = "s",
                              .request_timeout = milliseconds(60'000)});
    return core::result<fleet::manifest>(content);
  };
  net::async_http_client client(loop, {});
  const fleet::executor_services executors;
  logging::event_log log({});
  fleet::fleet_node_options options;
  options.internal_address = "127.0.0.1:0";
  fleet::fleet_node node(loop, client, store, executors, options, log);
  REQUIRE(node.Start());
  platform::front front(loop, node);
  REQUIRE(RunUntil(loop, [&] { return node.Ready(); }));
  RunFor(loop, milliseconds(300));
  // The job's record is never stored.
  shared.down = true;
  std::optional<int> status;
  front.Handle({.method = "POST",
                .target = "/0123456789abcdef",
                .host = "queue.example",
                .body = R"({"spec":"x","steps":[{"count":1,"cpu":100}]})",
                .received = core::Now()},
               [&status](const net::server_response& response) {
                 CHECK_FALSE(status);
                 status = response.status;
               });
  RunFor(loop, milliseconds(100));
  REQUIRE_FALSE(status);
  front.SetShutdownDeadline(core::Now() + milliseconds(200));
  RunUntil(
      loop, [&status] { return status.has_value(); }, milliseconds(600));
  REQUIRE(status);
  CHECK(*status == 504);
}

TEST_CASE("unknown methods of callers add no metrics of their own",
          "[platform]") {
  net::event_loop loop;
  fake_store shared(loop);
  const fleet::store_services store = shared.Services();
  net::async_http_client client(loop, {});
  const fleet::executor_services executors;
  logging::event_log log({});
  fleet::fleet_node_options options;
  options.internal_address = "127.0.0.1:0";
  fleet::fleet_node node(loop, client, store, executors, options, log);
  platform::front front(loop, node);
  for (const char* const method : {"BREW", "WHEN"}) {
    front.Handle({.method = method, .target = "/", .received = core::Now()},
                 [](const net::server_response&) {});
  }
  const std::string text = node.Metrics().Text();
  CHECK(text.find("method=\"other\"") != std::string::npos);
  CHECK(text.find("BREW") == std::string::npos);
  CHECK(text.find("WHEN") == std::string::npos);
}

// Guards against a promise that the job is not known or will never run.
TEST_CASE("callers learn that the record of their job cannot be read",
          "[platform]") {
  net::event_loop loop;
  fake_store shared(loop);
  shared.Put("manifest", "1");
  shared.Put("wf/jobs/0123456789abcdef", "damaged");
  fleet::store_services store = shared.Services();
  store.read_manifest = [](std::string_view) {
    fleet::manifest content;
    content.version = 1;
    content.queues.push_back({.name = "queue",
                              .host = "queue.example",
                              .path_prefix = "/",
                              .service = "s",
                              .request_timeout = milliseconds(2000)});
    return core::result<fleet::manifest>(content);
  };
  net::async_http_client client(loop, {});
  const fleet::executor_services executors;
  logging::event_log log({});
  fleet::fleet_node_options options;
  options.internal_address = "127.0.0.1:0";
  fleet::fleet_node node(loop, client, store, executors, options, log);
  REQUIRE(node.Start());
  platform::front front(loop, node);
  REQUIRE(RunUntil(loop, [&] { return node.Ready(); }));
  for (const char* const method : {"POST", "GET", "DELETE", "POST"}) {
    CAPTURE(method);
    std::optional<net::server_response> response;
    front.Handle(
        {.method = method,
         .target = "/0123456789abcdef",
         .host = "queue.example",
         .body = R"({"spec":"x","steps":[{"count":1,"cpu":100}]})",
         .received = core::Now()},
        [&response](net::server_response got) { response = std::move(got); });
    REQUIRE(RunUntil(loop, [&response] { return response.has_value(); }));
    CHECK(response->status == 500);
    CHECK(response->body.find(R"("type":"record_damaged")") !=
          std::string::npos);
  }
}

}  // namespace
}  // namespace waxwingfront::tests
