#include "support/balancer.h"

#include "waxwingfront/net/http_status.h"

namespace waxwingfront::tests {
namespace {

constexpr core::milliseconds kProbeInterval{50};
constexpr core::milliseconds kProbeTimeout{500};
constexpr core::milliseconds kRequestTimeout{10000};

}  // namespace

balancer::target::target(const std::string& address)
    : probes({.address = address, .timeout = kProbeTimeout}),
      requests({.address = address, .timeout = kRequestTimeout}) {}

balancer::balancer(const std::vector<std::string>& addresses)
    : targets_([&addresses] {
        std::vector<std::unique_ptr<target>> targets;
        targets.reserve(addresses.size());
        for (const std::string& address : addresses) {
          targets.push_back(std::make_unique<target>(address));
        }
        return targets;
      }()),
      prober_(kProbeInterval, [this] { Probe(); }) {}

void balancer::Probe() {
  for (const auto& target : targets_) {
    const auto reply = target->probes.Send("GET", "/readyz", "");
    const bool ready = reply && reply->status == net::kHttpOk;
    target->ready = ready;
    // Idle connections to an entry that is shutting down must not be reused
    // for later requests.
    if (!ready) target->requests.CloseIdle();
  }
}

core::result<net::http_reply> balancer::Send(std::string_view method,
                                             std::string_view path,
                                             std::string_view body,
                                             const net::http_headers& headers) {
  for (std::size_t tried = 0; tried < targets_.size(); ++tried) {
    target& candidate = *targets_[next_++ % targets_.size()];
    if (candidate.ready) {
      return candidate.requests.Send(method, path, body, headers);
    }
  }
  return core::Failure(core::error_code::kNoUpstream, "no entry is ready");
}

}  // namespace waxwingfront::tests
