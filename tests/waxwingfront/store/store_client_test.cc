// The store client against the stand-in store, with lost, refused and delayed
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

// Guards against a lost answer that is taken for a refusal: the caller would
// not read back.
TEST_CASE("store client tells a lost answer from a call without effect",
          "[store]") {
  faulty_store store;
  SECTION("the answer of an applied write is lost") {
    store.SetOutcome(call_outcome::kLostAfter);
    const auto written = store.Client().CreateIfAbsent("a", "1");
    REQUIRE_FALSE(written.has_value());
    CHECK(written.error().code == error_code::kOutcomeUnknown);
    store.SetOutcome(call_outcome::kAnswered);
    CHECK(ValueOf(store, "a") == "1");
  }
  SECTION("the store refuses the call") {
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

// Guards against a retry with a second effect.
TEST_CASE("store client's repeated writes have one effect", "[store]") {
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

// Guards against an entry that gives up its own lease because the answer to the
// first try was lost.
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

// Guards against a key that outlives its writer: one attached to an ended lease
// would never be deleted.
TEST_CASE("store client writes nothing under a lease that has ended",
          "[store]") {
  faulty_store store;
  const auto written = store.Client().CreateIfAbsent("a", "1", 78);
  REQUIRE_FALSE(written.has_value());
  CHECK(written.error().code == error_code::kNotRun);
  CHECK(ValueOf(store, "a") == "absent");
}

// Guards against an answer of the gateway that is taken for "nothing was done":
// it answers 503 also after it has passed a write on.
TEST_CASE("store client does not take a write's 503 for a refusal", "[store]") {
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
