#include "waxwingfront/fleet/lease_recorder.h"

#include <string>
#include <utility>

#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::fleet {
namespace {

// Tolerance when the suspended time is computed from two clocks.
constexpr core::milliseconds kClockTolerance{50};

}  // namespace

struct lease_recorder::internal : std::enable_shared_from_this<internal> {
  internal(net::event_loop& event_loop, const store_services& services,
           fleet_core& fleet, std::int64_t leader_token,
           lease_recorder_options chosen, lease_recorder_hooks callbacks,
           logging::event_log& events)
      : loop(event_loop),
        store(services),
        core(fleet),
        token(leader_token),
        options(chosen),
        hooks(std::move(callbacks)),
        log(events),
        suspended_at_stored(Suspended()) {}

  void Load(std::function<void(std::optional<lease_lapses>)> done) {
    store.get(kLeasesKey, [self = shared_from_this(), done = std::move(done)](
                              const core::result<store_page>& page) mutable {
      if (self->closed) return;
      if (!page) {
        self->loop.After(self->options.retry,
                         [self, done = std::move(done)]() mutable {
                           if (!self->closed) self->Load(std::move(done));
                         });
        return;
      }
      done(self->Read(page->items.front()));
    });
  }

  std::optional<lease_lapses> Read(const store_item& item) {
    revision = item.revision;
    if (revision == 0) return std::nullopt;
    schema::fleet_leases record;
    if (!record.ParseFromString(item.value)) {
      log.Write("record_damaged", {{"key", kLeasesKey}});
      return std::nullopt;
    }
    const core::monotonic_time now = hooks.now().now;
    const core::monotonic_time seen = hooks.first_seen(revision).value_or(now);
    const auto age = std::chrono::duration_cast<core::milliseconds>(now - seen);
    log.Write("leases_loaded",
              {{"silent", std::int64_t{record.silent_size()}},
               {"lapse_ms", record.lapse_ms()},
               {"age_ms", std::int64_t{age.count()}}},
              logging::line_priority::kUrgent);
    return ToLapses(record, seen);
  }

  void Update() {
    if (in_flight || !hooks.may_order()) return;
    const core::monotonic_time now = hooks.now().now;
    const bool due = !last_sent || now - *last_sent >= options.period;
    if (due || core.LeaseRecordOutdated(now)) Write(now);
  }

  void Write(core::monotonic_time now) {
    in_flight = true;
    last_sent = now;
    const core::milliseconds suspended = Suspended();
    store_write write;
    write.expect.push_back({.key = std::string(kLeaderKey), .revision = token});
    write.expect.push_back(
        {.key = std::string(kLeasesKey), .revision = revision});
    write.put.push_back({.key = std::string(kLeasesKey),
                         .value = core.NextLeaseRecord(now).SerializeAsString(),
                         .lease = 0});
    store.write(write, [self = shared_from_this(),
                        suspended](const store_write_reply& reply) {
      if (self->closed) return;
      self->in_flight = false;
      self->OnWritten(reply, suspended);
    });
  }

  void OnWritten(const store_write_reply& reply, core::milliseconds suspended) {
    switch (reply.status) {
      case store_write_status::kApplied:
        revision = reply.revision;
        suspended_at_stored = suspended;
        core.Leases().Stored();
        return;
      case store_write_status::kUnknown:
        return;
      case store_write_status::kConflict:
        OnConflict(reply);
        break;
      default:
        break;
    }
    core.Leases().Dropped();
    last_sent.reset();
  }

  void OnConflict(const store_write_reply& reply) {
    for (const store_item& item : reply.actual) {
      if (item.key == kLeasesKey) revision = item.revision;
      if (item.key == kLeaderKey && item.revision != token) {
        hooks.on_deposed("the leader key belongs to another process");
      }
    }
  }

  core::milliseconds Suspended() const {
    return hooks.suspended ? hooks.suspended() : core::milliseconds(0);
  }

  net::event_loop& loop;
  const store_services& store;
  fleet_core& core;
  std::int64_t token;
  lease_recorder_options options;
  lease_recorder_hooks hooks;
  logging::event_log& log;
  std::int64_t revision = 0;
  bool in_flight = false;
  bool closed = false;
  std::optional<core::monotonic_time> last_sent;
  core::milliseconds suspended_at_stored;
};

lease_recorder::lease_recorder(net::event_loop& loop,
                               const store_services& store, fleet_core& core,
                               std::int64_t token,
                               lease_recorder_options options,
                               lease_recorder_hooks hooks,
                               logging::event_log& log)
    : internal_(std::make_shared<internal>(loop, store, core, token, options,
                                           std::move(hooks), log)) {}

lease_recorder::~lease_recorder() { internal_->closed = true; }

void lease_recorder::Load(
    std::function<void(std::optional<lease_lapses>)> done) {
  internal_->Load(std::move(done));
}

void lease_recorder::Update() { internal_->Update(); }

bool lease_recorder::Valid() const {
  return internal_->Suspended() <=
         internal_->suspended_at_stored + kClockTolerance;
}

}  // namespace waxwingfront::fleet
