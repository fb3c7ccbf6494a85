#include "waxwingfront/fleet/leader_record.h"

#include <sstream>

namespace waxwingfront::fleet {
namespace {

// In place of the nonce, which is a number.
constexpr std::string_view kReservedMark = "-";

}  // namespace

std::string FormatLeaderRecord(const leader_record& record) {
  std::ostringstream text;
  text << record.address << ' ';
  if (record.reserved) {
    text << kReservedMark << ' ' << record.reserved_by << ' '
         << record.leaderless.count();
  } else {
    text << record.nonce << ' ' << record.lease << ' ' << record.strength;
  }
  return text.str();
}

leader_record ParseLeaderRecord(std::string_view value) {
  std::istringstream text{std::string(value)};
  leader_record record;
  text >> record.address >> record.nonce;
  if (record.nonce == kReservedMark) {
    record.nonce.clear();
    record.reserved = true;
    core::milliseconds::rep leaderless = 0;
    text >> record.reserved_by >> leaderless;
    record.leaderless = core::milliseconds(leaderless);
  } else {
    text >> record.lease >> record.strength;
  }
  return record;
}

}  // namespace waxwingfront::fleet
