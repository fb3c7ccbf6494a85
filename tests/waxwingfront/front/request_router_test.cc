#include "waxwingfront/front/request_router.h"

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "support/child_process.h"
#include "support/scripted_server.h"

namespace waxwingfront::front {
namespace {

using core::error_code;
using tests::after_answer;
using tests::PlainAnswer;
using tests::scripted_answer;
using tests::scripted_server;

constexpr core::milliseconds kPlenty{10000};
constexpr core::milliseconds kShort{200};

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
                        core::milliseconds time = kPlenty) {
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
TEST_CASE("a non-idempotent request that may have run is not sent again",
          "[front][at-most-once]") {
  const scripted_server cut([](const std::string&, int) {
    return scripted_answer{
        .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        .then = after_answer::kClose};
  });
  const scripted_server silent([](const std::string&, int) {
    return scripted_answer{.then = after_answer::kStaySilent};
  });
  request_router router({});
  SECTION("the answer is cut short") {
    router.OnHosts(ViewOf({cut.Address()}));
    CHECK(FailureOf(router.Route(Request("POST"))) ==
          error_code::kOutcomeUnknown);
    CHECK(cut.Requests() == 1);
  }
  SECTION("no answer comes before the deadline") {
    router.OnHosts(ViewOf({silent.Address()}));
    CHECK(FailureOf(router.Route(Request("POST", kShort))) ==
          error_code::kOutcomeUnknown);
    CHECK(silent.Requests() == 1);
  }
  SECTION("all executors cut their answers") {
    const scripted_server other([](const std::string&, int) {
      return scripted_answer{.then = after_answer::kClose};
    });
    router.OnHosts(ViewOf({cut.Address(), other.Address()}));
    CHECK(FailureOf(router.Route(Request("POST"))) ==
          error_code::kOutcomeUnknown);
    CHECK(cut.Requests() + other.Requests() == 1);
  }
}

// Guards against needless failures, and against "not run" that is not true.
TEST_CASE("a request that surely did not run goes to another executor",
          "[front][at-most-once]") {
  const scripted_server healthy([](const std::string&, int) {
    return scripted_answer{.bytes = PlainAnswer("done")};
  });
  request_router router({});
  SECTION("the executor does not accept connections") {
    router.OnHosts(ViewOf({tests::FreeAddress(), healthy.Address()}));
  }
  SECTION("the executor says that it did not start") {
    const scripted_server refusing([](const std::string&, int) {
      return scripted_answer{.bytes =
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

TEST_CASE("an idempotent request gets its answer from another executor",
          "[front][retry]") {
  const scripted_server cut([](const std::string&, int) {
    return scripted_answer{.bytes = "HTTP/1.1 200 OK\r\n",
                           .then = after_answer::kClose};
  });
  const scripted_server healthy([](const std::string&, int) {
    return scripted_answer{.bytes = PlainAnswer("done")};
  });
  request_router router({});
  router.OnHosts(ViewOf({cut.Address(), healthy.Address()}));
  for (int call = 0; call < 5; ++call) {
    const auto reply = router.Route(Request("GET"));
    REQUIRE(reply.has_value());
    CHECK(reply->body == "done");
  }
}

// Guards against "not run" when an earlier try of an idempotent request ran.
TEST_CASE("a later refusal does not hide a try that may have run",
          "[front][at-most-once]") {
  const scripted_server cut([](const std::string&, int) {
    return scripted_answer{.then = after_answer::kClose};
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

// Guards against an answer to an abandoned request that reaches the next one.
TEST_CASE("a connection with an unanswered request is not used again",
          "[front][whole-answer]") {
  const scripted_server late([](const std::string&, int number) {
    if (number == 1) return scripted_answer{.then = after_answer::kStaySilent};
    return scripted_answer{.bytes = PlainAnswer(std::to_string(number))};
  });
  request_router router({});
  router.OnHosts(ViewOf({late.Address()}));
  CHECK(FailureOf(router.Route(Request("POST", kShort))) ==
        error_code::kOutcomeUnknown);
  const auto second = router.Route(Request("POST"));
  REQUIRE(second.has_value());
  CHECK(second->body == "2");
  CHECK(late.Connections() == 2);
}

// Guards against an idle connection whose executor closed it.
TEST_CASE("an idle connection that was closed costs no request",
          "[front][connections]") {
  const scripted_server closing([](const std::string&, int) {
    return scripted_answer{.bytes = PlainAnswer("done"),
                           .then = after_answer::kClose};
  });
  request_router router({});
  router.OnHosts(ViewOf({closing.Address()}));
  for (int call = 0; call < 20; ++call) {
    REQUIRE(router.Route(Request("POST")).has_value());
    while (closing.Closed() <= call) std::this_thread::yield();
  }
  CHECK(closing.Requests() == 20);
}

// Guards against requests that go on asking busy executors with no time left.
TEST_CASE("a request that all executors refuse ends as not run in time",
          "[front][deadline]") {
  const scripted_server busy([](const std::string&, int) {
    return scripted_answer{.bytes =
                               "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
                               "Waxwingfront-Not-Started: 1\r\n\r\n"};
  });
  request_router router({});
  router.OnHosts(ViewOf({busy.Address()}));
  CHECK(FailureOf(router.Route(Request("POST", kShort))) ==
        error_code::kDeadlineExceeded);
  // One refusal every 5 ms at most.
  CHECK(busy.Requests() <= kShort.count() / 5);
}

TEST_CASE("requests without an executor did not run", "[front]") {
  request_router router({});
  CHECK(FailureOf(router.Route(Request("POST"))) == error_code::kNoUpstream);
  router.OnHosts(ViewOf({}));
  CHECK(FailureOf(router.Route(Request("POST"))) == error_code::kNoUpstream);
}

}  // namespace
}  // namespace waxwingfront::front
