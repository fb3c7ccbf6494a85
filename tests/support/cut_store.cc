#include "support/cut_store.h"

#include <cstdint>
#include <string_view>
#include <tuple>
#include <utility>

namespace waxwingfront::tests {
namespace {

tl::unexpected<core::error> CutOff() {
  return core::Failure(core::error_code::kStoreUnavailable, "cut off");
}

}  // namespace

void MakeInterruptible(fleet::store_services& services, net::event_loop& loop,
                       const bool& cut) {
  const auto unless_cut = [&loop, &cut]<typename Call, typename Reply>(
                              Call call, Reply failure) {
    return [&loop, &cut, call = std::move(call),
            failure = std::move(failure)](auto&&... arguments) {
      if (!cut) return call(std::forward<decltype(arguments)>(arguments)...);
      auto done = std::get<sizeof...(arguments) - 1>(std::tie(arguments...));
      loop.Post([done = std::move(done), failure] { done(failure); });
    };
  };
  services.get =
      unless_cut(services.get, core::result<fleet::store_page>(CutOff()));
  services.range =
      unless_cut(services.range, core::result<fleet::store_page>(CutOff()));
  services.watch =
      unless_cut(services.watch, core::result<fleet::store_changes>(CutOff()));
  services.write = unless_cut(services.write, fleet::store_write_reply{});
  services.grant_lease = unless_cut(services.grant_lease,
                                    core::result<fleet::store_lease>(CutOff()));
  services.renew_lease =
      unless_cut(services.renew_lease, fleet::lease_status::kUnknown);
}

void SilenceOpenWatches(fleet::store_services& services, const bool& cut) {
  services.watch = [&cut, watch = services.watch](
                       std::string_view prefix, std::int64_t after,
                       core::milliseconds wait, auto done) {
    watch(prefix, after, wait,
          [&cut, done](const core::result<fleet::store_changes>& reply) {
            if (!cut) return done(reply);
            done(CutOff());
          });
  };
}

}  // namespace waxwingfront::tests
