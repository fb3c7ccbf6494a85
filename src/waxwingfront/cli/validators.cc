#include "waxwingfront/cli/validators.h"

#include "waxwingfront/core/text.h"
#include "waxwingfront/jobs/job_check.h"
#include "waxwingfront/settings/address.h"

namespace waxwingfront::cli {
namespace {

constexpr std::size_t kMaxEchoedBytes = 100;

}  // namespace

std::string CheckAddress(const std::string& text) {
  if (settings::IsAddress(text)) return "";
  return "'" + core::Printable(text, kMaxEchoedBytes) +
         "' is not valid; allowed is an IP address with a port from 1 to "
         "65535, such as 127.0.0.1:8080";
}

std::string CheckJobId(const std::string& text) {
  if (jobs::IsValidJobId(text)) return "";
  return "'" + core::Printable(text, kMaxEchoedBytes) +
         "' is not valid; allowed is " + std::string(jobs::kJobIdRule);
}

}  // namespace waxwingfront::cli
