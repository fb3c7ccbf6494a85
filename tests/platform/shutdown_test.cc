// The end of a `waxwingfront platform` process after SIGTERM, as callers that
// keep using their connections see it.
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

#include "support/platform_process.h"
#include "support/raw_caller.h"
#include "waxwingfront/core/clock.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

constexpr const char* kRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
// Without a manifest each request is answered with 503.
constexpr const char* kStatusLine = "HTTP/1.1 503";

TEST_CASE(
    "requests that arrive while the process is late for its end are "
    "answered",
    "[process][shutdown]") {
  platform_process node("bounds.grace_s=2\n");
  node.Start();
  REQUIRE(node.AwaitEvent("start"));
  constexpr int kCallers = 20;
  std::vector<std::unique_ptr<raw_caller>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::make_unique<raw_caller>(node.Front()));
  }
  node.Process().Signal(SIGTERM);
  REQUIRE(node.AwaitEvent("end_requested"));
  node.Process().Signal(SIGSTOP);
  for (const auto& caller : callers) REQUIRE(caller->Send(kRequest));
  std::this_thread::sleep_for(milliseconds(2500));
  node.Process().Signal(SIGCONT);
  for (const auto& caller : callers) {
    CHECK(caller->ReadAll().starts_with(kStatusLine));
  }
  CHECK(node.Process().Wait() == 0);
}

}  // namespace
}  // namespace waxwingfront::tests
