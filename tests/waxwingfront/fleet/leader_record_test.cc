#include "waxwingfront/fleet/leader_record.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

namespace waxwingfront::tests {
namespace {

using fleet::FormatLeaderRecord;
using fleet::ParseLeaderRecord;

TEST_CASE("leader records are read as they were written", "[fleet]") {
  rc::prop("claims and reservations", [] {
    fleet::leader_record record;
    record.address = "10.3.0.33:8000";
    record.reserved = *rc::gen::arbitrary<bool>();
    if (record.reserved) {
      record.reserved_by = *rc::gen::positive<std::int64_t>();
      record.leaderless =
          core::milliseconds(*rc::gen::inRange<std::int64_t>(0, 100'000));
    } else {
      record.nonce = std::to_string(*rc::gen::arbitrary<std::uint64_t>());
      record.lease = *rc::gen::positive<std::int64_t>();
      record.strength = *rc::gen::positive<std::int64_t>();
    }
    const auto read = ParseLeaderRecord(FormatLeaderRecord(record));
    RC_ASSERT(read.address == record.address);
    RC_ASSERT(read.nonce == record.nonce);
    RC_ASSERT(read.lease == record.lease);
    RC_ASSERT(read.strength == record.strength);
    RC_ASSERT(read.reserved == record.reserved);
    RC_ASSERT(read.reserved_by == record.reserved_by);
    RC_ASSERT(read.leaderless == record.leaderless);
  });
}

TEST_CASE("leader records that are cut short or damaged name no reservation",
          "[fleet]") {
  CHECK(ParseLeaderRecord("").address.empty());
  CHECK_FALSE(ParseLeaderRecord("").reserved);
  CHECK(ParseLeaderRecord("10.0.0.1:80").address == "10.0.0.1:80");
  CHECK_FALSE(ParseLeaderRecord("10.0.0.1:80").reserved);
  CHECK(ParseLeaderRecord("10.0.0.1:80 17 x").lease == 0);
}

}  // namespace
}  // namespace waxwingfront::tests
