#include "waxwingfront/front/request_router.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "support/child_process.h"
#include "support/scripted_server.h"

namespace waxwingfront::front {
namespace {

using core::error_code;
using tests::after_response;
using tests::MakeOkResponse;
using tests::scripted_response;
using tests::scripted_server;

constexpr core::milliseconds kLongDeadline{10000};
constexpr core::milliseconds kShortDeadline{200};

hosts::host_view ViewOf(const std::vector<std::string>& addresses) {
  hosts::host_view view;
  for (const std::string& address : addresses) {
    view.executors["dispatch"].push_back({.id = "executor-" + address,
                                          .service = "dispatch",
                                          .address = address,
                                          .slots = 8,
                                          .connections = 64});
  }
  return view;
}

service_request Request(const std::string& method,
                        core::milliseconds time = kLongDeadline) {
  return {.id = "1",
          .service = "dispatch",
          .method = method,
          .path = "/",
          .body = "order",
          .idempotent = IsIdempotentMethod(method),
          .received = core::Now(),
          .deadline = core::Now() + time};
}

error_code FailureOf(const core::result<service_reply>& reply) {
  REQUIRE_FALSE(reply.has_value());
  return reply.error().code;
}

// Guards against a non-idempotent request that runs twice.
TEST_CASE("a non-idempotent request that may have run is not retried",
          "[front][at-most-once]") {
  const scripted_server cut([](const std::string&, int) {
    return scripted_response{
        .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        .then = after_response::kClose};
  });
  const scripted_server silent([](const std::string&, int) {
    return scripted_response{.then = after_response::kStaySilent};
  });
  request_router router({});
  SECTION("the response is truncated") {
    router.OnHosts(ViewOf({cut.Address()}));
    CHECK(FailureOf(router.Route(Request("POST"))) ==
          error_code::kOutcomeUnknown);
    CHECK(cut.Requests() == 1);
  }
  SECTION("no response arrives before the deadline") {
    router.OnHosts(ViewOf({silent.Address()}));
    CHECK(FailureOf(router.Route(Request("POST", kShortDeadline))) ==
          error_code::kOutcomeUnknown);
    CHECK(silent.Requests() == 1);
  }
  SECTION("all executors close the connection early") {
    const scripted_server other([](const std::string&, int) {
      return scripted_response{.then = after_response::kClose};
    });
    router.OnHosts(ViewOf({cut.Address(), other.Address()}));
    CHECK(FailureOf(router.Route(Request("POST"))) ==
          error_code::kOutcomeUnknown);
    CHECK(cut.Requests() + other.Requests() == 1);
  }
}

// Guards against avoidable failures, and against a false "not run".
TEST_CASE("a request that certainly did not run is sent to another executor",
          "[front][at-most-once]") {
  const scripted_server healthy([](const std::string&, int) {
    return scripted_response{.bytes = MakeOkResponse("done")};
  });
  request_router router({});
  SECTION("the executor does not accept connections") {
    router.OnHosts(ViewOf({tests::FreeAddress(), healthy.Address()}));
  }
  SECTION("the executor reports that it did not start the request") {
    const scripted_server refusing([](const std::string&, int) {
      return scripted_response{.bytes =
                                   "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
                                   "waxwingfront-not-started: 1\r\n\r\n"};
    });
    router.OnHosts(ViewOf({refusing.Address(), healthy.Address()}));
    for (int call = 0; call < 10; ++call) {
      const auto reply = router.Route(Request("POST"));
      REQUIRE(reply.has_value());
      CHECK(reply->body == "done");
    }
    CHECK(healthy.Requests() == 10);
    return;
  }
  for (int call = 0; call < 10; ++call) {
    const auto reply = router.Route(Request("POST"));
    REQUIRE(reply.has_value());
    CHECK(reply->body == "done");
  }
  CHECK(healthy.Requests() == 10);
}

TEST_CASE("an idempotent request is retried at another executor",
          "[front][retry]") {
  const scripted_server cut([](const std::string&, int) {
    return scripted_response{.bytes = "HTTP/1.1 200 OK\r\n",
                             .then = after_response::kClose};
  });
  const scripted_server healthy([](const std::string&, int) {
    return scripted_response{.bytes = MakeOkResponse("done")};
  });
  request_router router({});
  router.OnHosts(ViewOf({cut.Address(), healthy.Address()}));
  for (int call = 0; call < 5; ++call) {
    const auto reply = router.Route(Request("GET"));
    REQUIRE(reply.has_value());
    CHECK(reply->body == "done");
  }
}

// Guards against reporting "not run" when an earlier attempt of an idempotent
// request may have run.
TEST_CASE("a later rejection does not hide an attempt that may have run",
          "[front][at-most-once]") {
  const scripted_server cut([](const std::string&, int) {
    return scripted_response{.then = after_response::kClose};
  });
  request_router router({});
  router.OnHosts(ViewOf({cut.Address(), tests::FreeAddress()}));
  int may_have_run = 0;
  for (int call = 0; call < 10; ++call) {
    const int before = cut.Requests();
    const error_code code = FailureOf(router.Route(Request("GET")));
    if (cut.Requests() > before) {
      ++may_have_run;
      CHECK(code == error_code::kOutcomeUnknown);
    } else {
      CHECK(code == error_code::kNotRun);
    }
  }
  CHECK(may_have_run > 0);
}

// Guards against the response to an abandoned request being taken for that of
// the next one.
TEST_CASE("a connection with a pending response is not reused",
          "[front][whole-answer]") {
  const scripted_server late([](const std::string&, int number) {
    if (number == 1)
      return scripted_response{.then = after_response::kStaySilent};
    return scripted_response{.bytes = MakeOkResponse(std::to_string(number))};
  });
  request_router router({});
  router.OnHosts(ViewOf({late.Address()}));
  CHECK(FailureOf(router.Route(Request("POST", kShortDeadline))) ==
        error_code::kOutcomeUnknown);
  const auto second = router.Route(Request("POST"));
  REQUIRE(second.has_value());
  CHECK(second->body == "2");
  CHECK(late.Connections() == 2);
}

// Guards against sending a request on an idle connection that the executor has
// closed.
TEST_CASE("a closed idle connection causes no failed request",
          "[front][connections]") {
  const scripted_server closing([](const std::string&, int) {
    return scripted_response{.bytes = MakeOkResponse("done"),
                             .then = after_response::kClose};
  });
  request_router router({});
  router.OnHosts(ViewOf({closing.Address()}));
  for (int call = 0; call < 20; ++call) {
    REQUIRE(router.Route(Request("POST")).has_value());
    while (closing.Closed() <= call) std::this_thread::yield();
  }
  CHECK(closing.Requests() == 20);
}

// A clock that only rejections advance, so that the deadline does not depend on
// the machine's load. It is ahead of the real clock, so that no socket times
// out.
class rejection_clock {
 public:
  explicit rejection_clock(core::milliseconds step) : step_(step) {}
  core::monotonic_time Now() const {
    return start_ + rejections_.load() * step_;
  }
  scripted_response Reject() {
    ++rejections_;
    return {.bytes =
                "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
                "Waxwingfront-Not-Started: 1\r\n\r\n"};
  }

 private:
  core::milliseconds step_;
  core::monotonic_time start_ = core::Now() + std::chrono::hours(1);
  std::atomic<int> rejections_{0};
};

// Guards against requests that keep retrying busy executors with no time left,
// and against a last rejection that arrives after the deadline, so that the
// outcome is unknown.
TEST_CASE("a request that all executors refuse ends as not run in time",
          "[front][deadline]") {
  const auto step = GENERATE(core::milliseconds(1), core::milliseconds(5),
                             core::milliseconds(30), core::milliseconds(70));
  rejection_clock clock(step);
  const scripted_server busy(
      [&clock](const std::string&, int) { return clock.Reject(); });
  request_router router({.now = [&clock] { return clock.Now(); }});
  router.OnHosts(ViewOf({busy.Address()}));
  service_request request = Request("POST");
  request.received = clock.Now();
  request.deadline = clock.Now() + kShortDeadline;
  const core::monotonic_time begin = core::Now();
  CHECK(FailureOf(router.Route(request)) == error_code::kDeadlineExceeded);
  CHECK(clock.Now() < request.deadline);
  CHECK(busy.Requests() <= kShortDeadline / step);
  // At most one rejection every 5 ms.
  CHECK(busy.Requests() * core::milliseconds(5) <= core::Now() - begin);
}

TEST_CASE("requests to a service without executors fail with no_upstream",
          "[front]") {
  request_router router({});
  CHECK(FailureOf(router.Route(Request("POST"))) == error_code::kNoUpstream);
  router.OnHosts(ViewOf({}));
  CHECK(FailureOf(router.Route(Request("POST"))) == error_code::kNoUpstream);
}

}  // namespace
}  // namespace waxwingfront::front
