// The store client on the stand-in store, with lost, rejected and delayed
// calls.
#include "waxwingfront/store/store_client.h"

#include <catch2/catch.hpp>

#include "support/faulty_store.h"

namespace waxwingfront::tests {
namespace {

using core::error_code;
using store::write_outcome;

std::string ValueOf(const faulty_store& store, std::string_view key) {
  const auto found = store.Client().Get(key);
  REQUIRE(found.has_value());
  return found->has_value() ? (*found)->value : "absent";
}

// Guards against a lost response that is reported as a rejection: the caller
// would not read the write back.
TEST_CASE("store client distinguishes a lost response from a rejected call",
          "[store]") {
  faulty_store store;
  SECTION("the response to an applied write is lost") {
    store.SetOutcome(call_outcome::kLostAfter);
    const auto written = store.Client().CreateIfAbsent("a", "1");
    REQUIRE_FALSE(written.has_value());
    CHECK(written.error().code == error_code::kOutcomeUnknown);
    store.SetOutcome(call_outcome::kAnswered);
    CHECK(ValueOf(store, "a") == "1");
  }
  SECTION("the store rejects the call") {
    store.SetOutcome(call_outcome::kRefused);
    const auto written = store.Client().CreateIfAbsent("a", "1");
    REQUIRE_FALSE(written.has_value());
    CHECK(written.error().code == error_code::kStoreUnavailable);
    store.SetOutcome(call_outcome::kAnswered);
    CHECK(ValueOf(store, "a") == "absent");
  }
  SECTION("the store cannot be reached") {
    store.SetOutcome(call_outcome::kUnreachable);
    const auto written = store.Client().CreateIfAbsent("a", "1");
    REQUIRE_FALSE(written.has_value());
    CHECK(written.error().code == error_code::kStoreUnavailable);
  }
}

// Guards against a retried write that takes effect twice.
TEST_CASE("a retried write of the store client takes effect once", "[store]") {
  faulty_store store;
  store.SetOutcome(call_outcome::kHeld);
  CHECK_FALSE(store.Client().CreateIfAbsent("a", "1").has_value());
  store.SetOutcome(call_outcome::kAnswered);
  CHECK(store.Client().CreateIfAbsent("a", "1") == write_outcome::kApplied);
  const auto first = store.Client().Get("a");
  store.DeliverHeld();
  const auto second = store.Client().Get("a");
  REQUIRE((first.has_value() && second.has_value()));
  CHECK((*first)->mod_revision == (*second)->mod_revision);
  CHECK(store.Client().CreateIfAbsent("a", "2") == write_outcome::kConflict);
}

// Guards against an entry that abandons its own lease because the response to
// the first attempt was lost.
TEST_CASE("store client recognises its own lease on a retry", "[store]") {
  faulty_store store;
  constexpr std::int64_t kLease = 77;
  store.SetOutcome(call_outcome::kLostAfter);
  CHECK_FALSE(store.Client().GrantLease(kLease, 9).has_value());
  store.SetOutcome(call_outcome::kAnswered);
  CHECK(store.Client().GrantLease(kLease, 9).has_value());
  CHECK(store.Client().KeepAlive(kLease) == true);
  CHECK(store.Client().CreateIfAbsent("a", "1", kLease) ==
        write_outcome::kApplied);
  store.EndLeaseOf("a");
  CHECK(store.Client().KeepAlive(kLease) == false);
  CHECK(ValueOf(store, "a") == "absent");
}

// Guards against a key that outlives its writer: a key attached to an expired
// lease would never be deleted.
TEST_CASE("store client writes nothing under an expired lease", "[store]") {
  faulty_store store;
  const auto written = store.Client().CreateIfAbsent("a", "1", 78);
  REQUIRE_FALSE(written.has_value());
  CHECK(written.error().code == error_code::kNotRun);
  CHECK(ValueOf(store, "a") == "absent");
}

// Guards against a 503 response of the gateway that is reported as "no effect":
// the gateway also responds with 503 after it has forwarded a write.
TEST_CASE("store client treats a write's 503 as an unknown outcome",
          "[store]") {
  const store::store_client client(
      {.post = [](std::string_view /*path*/, std::string_view /*body*/) {
        return net::http_reply{.status = 503, .body = "{}"};
      }});
  CHECK(client.CreateIfAbsent("a", "1").error().code ==
        error_code::kOutcomeUnknown);
  CHECK(client.Get("a").error().code == error_code::kStoreUnavailable);
}

}  // namespace
}  // namespace waxwingfront::tests
