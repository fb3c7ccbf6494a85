#include "waxwingfront/fleet/fleet_node.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <random>
#include <utility>

#include "waxwingfront/fleet/choice_log.h"
#include "waxwingfront/fleet/node_clocks.h"
#include "waxwingfront/fleet/rejection_log.h"
#include "waxwingfront/fleet/standing.h"
#include "waxwingfront/fleet/types.h"
#include "waxwingfront/net/http_status.h"

namespace waxwingfront::fleet {
namespace {

constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kKeyChanged = "the leader key was read as changed";

}  // namespace

struct fleet_node::internal {
  internal(net::event_loop& event_loop, net::async_http_client& client,
           const store_services& services,
           const executor_services& executor_calls, fleet_node_options chosen,
           logging::event_log& events)
      : loop(event_loop),
        store(services),
        executors(executor_calls),
        options(std::move(chosen)),
        log(events),
        http(client),
        random(std::random_device{}()),
        load(loop, client, options.load,
             {.levels =
                  [this] { return leader ? leader->Levels() : load_levels{}; },
              .leading = [this] { return leader != nullptr; },
              .processor = options.processor},
             metrics, log),
        work(metrics, log),
        manifests(loop, store, options.manifest, log),
        leases(loop, store, options.leases),
        check(loop, store, options.leadership_check,
              {.token = [this] { return leader ? election->Token() : 0; },
               .on_lost = [this] { election->OnSuperseded(kKeyChanged); },
               .on_failure =
                   [this](std::string_view cause) {
                     log.Write("leadership_unconfirmed", {{"cause", cause}});
                   },
               .boot_time_ms = BootTimeMs}),
        gateway(
            loop, client, options.gateway,
            {.local =
                 [this] { return HoldsValidLease() ? leader.get() : nullptr; },
             .leader = [this] { return RemoteLeader(); },
             .recheck_leader = [this] { election->RecheckLeader(); },
             .confirm_leadership =
                 std::bind_front(&leadership_check::Confirm, &check),
             .confirm_recent_leadership =
                 std::bind_front(&leadership_check::ConfirmRecent, &check),
             .now = ReadClocks,
             .on_no_room = std::bind_front(LogNoRoom, std::ref(log)),
             .on_link_full = std::bind_front(LogLinkFull, std::ref(log)),
             .on_work_refused = std::bind_front(&work_monitor::Refused, &work),
             .on_memory_full = std::bind_front(LogMemoryFull, std::ref(log))}),
        server(loop,
               {.address = options.internal_address,
                .more_addresses = options.more_internal_addresses,
                .limits = {.max_body_bytes = kMaxCallBytes},
                .on_exception =
                    [this](std::string_view cause) {
                      log.Write("call_failed", {{"cause", cause}});
                    }},
               std::bind_front(&internal::OnCall, this)) {
    log.on_event = [this](std::string_view event) {
      metrics
          .Counter("waxwingfront_events_total",
                   {{.name = "event", .value = std::string(event)}})
          .Add();
    };
  }

  // True if this process leads and its lease is valid. A leader that cannot
  // renew its lease serves no requests. One that can may have been replaced.
  bool HoldsValidLease() const { return leader && election->MayOrder(); }

  std::string RemoteLeader() const {
    if (!election || election->Leader() == server.Address()) return {};
    return election->Leader();
  }

  void StartLeadership() {
    leader_choice_options choice_options = options.choice;
    choice_options.address = server.Address();
    choice_options.strength = options.strength;
    choice.emplace(std::move(choice_options));
    announcer = std::make_unique<leader_announcer>(
        loop, http, store, server.Address(), options.announcer,
        leader_announcer_hooks{
            .strongest = [this] { return choice->StrongestReady(core::Now()); },
            .on_member_status =
                std::bind_front(&internal::OnMemberStatus, this),
            .on_round =
                [this](std::size_t members) {
                  LogSearch(log, *choice, members);
                  HandOverTo(choice->SuccessorOnRequest(core::Now()));
                }});
    announcer->Register(options.strength);
    leadership_options election_options = options.leadership;
    election_options.address = server.Address();
    election_options.nonce = std::to_string(random());
    election_options.strength = options.strength;
    election = std::make_unique<leadership>(
        loop, store, std::move(election_options),
        leadership_hooks{
            .on_elected = std::bind_front(&internal::OnElected, this),
            .on_deposed = std::bind_front(&internal::OnDeposed, this),
            .on_leader_change =
                std::bind_front(&internal::OnLeaderChange, this),
            .boot_time_ms = BootTimeMs,
            .on_stage = StageHook(),
            .random =
                [this](std::int64_t limit) {
                  return std::uniform_int_distribution<std::int64_t>(
                      0, limit - 1)(random);
                },
            .claim_delay =
                [this](core::milliseconds jitter) {
                  return choice->ClaimDelay(jitter, core::Now());
                },
            .on_reserved =
                [this](const std::string& successor) {
                  log.Write("leader_reserved", {{"address", successor}});
                  choice->OnOtherHandover(successor, core::Now());
                },
            .on_claim =
                [this](core::milliseconds delay) {
                  LogClaim(log, *choice, options.strength, delay);
                },
        });
    candidacy = std::make_unique<leader_candidacy>(
        loop, store, server.Address(), options.strength, options.candidacy,
        leader_candidacy_hooks{
            .under_weak_leader = [this] { return UnderWeakLeader(); },
            .ready = [this] { return ReadyToLead(); },
            .on_candidate =
                [this](const std::string& address, std::int64_t strength) {
                  log.Write("leader_candidate", {{"address", address}});
                  choice->OnRequest(address, strength, core::Now());
                  HandOverTo(choice->Successor(core::Now()));
                }});
    candidacy->Start();
    announcer->ReadStrongest([this](std::optional<std::int64_t> strength) {
      choice->OnRegistered(strength);
      if (!std::exchange(election_started, true)) election->Start();
    });
  }

  void OnMemberStatus(const std::string& address,
                      const schema::fleet_standing& status,
                      core::monotonic_time sent) {
    election->OnAnnouncement(status.newer_token(), status.newer_address());
    // An earlier status may be that of a process which is ending by now.
    if (resigns_from && sent >= *resigns_from && status.ready()) {
      return election->Resign();
    }
    choice->OnMemberStatus(
        address, {.strength = status.strength(), .ready = status.ready()},
        sent);
    HandOverTo(choice->Successor(core::Now()));
  }

  void OnLeaderChange(const std::string& address) {
    log.Write("leader_known", {{"address", address}});
    choice->OnLeading(address, core::Now());
  }

  void HandOverTo(const std::optional<std::string>& successor) {
    if (!successor || !election->Leading()) return;
    log.Write("leader_hands_over",
              {{"token", election->Token()}, {"address", *successor}});
    choice->OnHandover(*successor, core::Now());
    election->HandOver(*successor);
  }

  std::string HandleAnnouncement(const schema::fleet_leadership& announcement) {
    election->OnAnnouncement(announcement.token(), announcement.address());
    // Only earlier versions announce hand-overs.
    if (!announcement.successor().empty()) {
      choice->OnOtherHandover(announcement.successor(), core::Now());
    } else if (announcement.address() == election->Leader()) {
      choice->OnLeading(announcement.address(), core::Now());
    }
    choice->OnStrongest(announcement.strongest());
    return StandingOf(*election, options.strength, ReadyToLead(),
                      announcement.token())
        .SerializeAsString();
  }

  // Without a leader the leases of all runs lapse.
  void ResignToSuccessor(core::milliseconds delay) {
    if (resigns_from || !election) return;
    resigns_from = core::Now() + delay;
    if (!election->Leading()) return election->Resign();
    log.Write("leader_awaits_successor", {{"token", election->Token()}});
    loop.After(delay, [this] { announcer->AnnounceNow(); });
  }

  bool ReadyToLead() const {
    return !resigns_from && election->EligibleToLead() && StoreAnswers() &&
           manifests.Current();
  }

  // One of these watches is answered at least every `watch_timeout`, although
  // nothing changes.
  bool StoreAnswers() const {
    const auto last = std::max(manifests.LastResponse(), leases.LastResponse());
    return last && core::Now() - *last <= options.manifest.watch_timeout +
                                              options.leadership.watch_slack;
  }

  std::optional<bool> UnderWeakLeader() const {
    if (election->Leading()) return false;
    const std::int64_t strength = election->LeaderStrength();
    if (strength == 0) return std::nullopt;
    return choice->ShouldReplace(strength);
  }

  void OnElected(std::int64_t token, core::monotonic_time claimed) {
    log.Write("leader_elected",
              {{"token", token}, {"strength", options.strength}},
              logging::line_priority::kUrgent);
    announcer->Start(token);
    candidacy->OnElected(token);
    leader = std::make_unique<fleet_leader>(
        loop, store, executors, token, claimed, options.leader,
        fleet_leader_hooks{
            .may_order = [this] { return election->MayOrder(); },
            .on_deposed =
                [this](std::string_view why) { election->OnSuperseded(why); },
            .now = ReadClocks,
            .leases_first_seen =
                [this](std::int64_t revision) {
                  return leases.FirstSeen(revision);
                },
            .suspended = SuspendedTime,
            .on_ready = [this] { OnReady(); },
            .on_stage = StageHook(),
            .work = &work,
            .processor = options.processor},
        log);
    if (manifests.Current()) leader->SetManifest(*manifests.Current());
  }

  void OnReady() {
    const auto leaderless = election->OnReady();
    if (leaderless) load.Observe(load_stage::kLeaderless, *leaderless);
  }

  void OnDeposed(std::string_view why) {
    log.Write("leader_deposed", {{"token", election->Token()}, {"cause", why}},
              logging::line_priority::kUrgent);
    leader.reset();
    announcer->Stop();
    candidacy->OnDeposed();
    if (resigns_from) election->Resign();
  }

  void OnCall(net::server_request request,
              net::async_http_server::responder respond) {
    const processor_scope reading(options.processor,
                                  processor_stage::kProcesses);
    if (request.target == kMetricsPath) {
      respond({.body = metrics.Text()});
      return;
    }
    if (request.target == kAnnouncePath) {
      schema::fleet_leadership announcement;
      if (!announcement.ParseFromString(request.body) || !election) {
        respond({.status = net::kHttpBadRequest});
        return;
      }
      respond({.body = HandleAnnouncement(announcement)});
      return;
    }
    schema::fleet_request call;
    if (request.target != kFleetCallPath ||
        !call.ParseFromString(request.body)) {
      respond({.status = net::kHttpBadRequest});
      return;
    }
    gateway.Handle(call, [processor = options.processor,
                          respond = std::move(respond)](
                             const schema::fleet_reply& reply) {
      const processor_scope answering(processor, processor_stage::kProcesses);
      respond({.body = reply.SerializeAsString()});
    });
  }

  stage_hook StageHook() {
    return [this](load_stage stage, std::chrono::steady_clock::duration took) {
      load.Observe(stage, took);
    };
  }

  void FlushLog() {
    log.Flush();
    loop.After(options.log_flush, [this] { FlushLog(); });
  }

  // Fits a submission with the largest body that callers may send, and its
  // framing.
  static constexpr std::uint64_t kMaxCallBytes = 1024ULL * 1024;

  net::event_loop& loop;
  const store_services& store;
  const executor_services& executors;
  fleet_node_options options;
  logging::event_log& log;
  net::async_http_client& http;
  std::mt19937_64 random;
  metrics::registry metrics;
  load_monitor load;
  work_monitor work;
  manifest_follower manifests;
  lease_observer leases;
  std::optional<leader_choice> choice;
  std::unique_ptr<leader_announcer> announcer;
  std::unique_ptr<leader_candidacy> candidacy;
  std::unique_ptr<leadership> election;
  bool election_started = false;
  // From when on this process gives up leadership to one that is ready.
  std::optional<core::monotonic_time> resigns_from;
  std::unique_ptr<fleet_leader> leader;
  leadership_check check;
  job_gateway gateway;
  net::async_http_server server;
};

fleet_node::fleet_node(net::event_loop& loop, net::async_http_client& client,
                       const store_services& store,
                       const executor_services& executors,
                       fleet_node_options options, logging::event_log& log)
    : internal_(std::make_unique<internal>(loop, client, store, executors,
                                           std::move(options), log)) {}

fleet_node::~fleet_node() = default;

core::result<void> fleet_node::Start() {
  internal_->manifests.on_change = [this](const manifest& wanted) {
    if (internal_->leader) internal_->leader->SetManifest(wanted);
    if (on_manifest) on_manifest(wanted);
  };
  auto listening = internal_->server.Start();
  if (!listening) return listening;
  internal_->manifests.Start();
  internal_->leases.Start();
  internal_->StartLeadership();
  internal_->load.Start();
  internal_->FlushLog();
  return {};
}

const std::string& fleet_node::Address() const {
  return internal_->server.Address();
}

const std::optional<manifest>& fleet_node::Manifest() const {
  return internal_->manifests.Current();
}

bool fleet_node::Ready() const {
  return Manifest().has_value() && internal_->election &&
         !internal_->election->Leader().empty();
}

void fleet_node::Call(schema::fleet_request request,
                      core::monotonic_time deadline,
                      job_gateway::callback done) {
  internal_->gateway.Call(std::move(request), deadline, std::move(done));
}

void fleet_node::ResignToSuccessor(core::milliseconds delay) {
  internal_->ResignToSuccessor(delay);
}

bool fleet_node::Leads() const { return internal_->leader != nullptr; }

void fleet_node::Resign() {
  if (internal_->election) internal_->election->Resign();
}

metrics::registry& fleet_node::Metrics() { return internal_->metrics; }

logging::event_log& fleet_node::Log() { return internal_->log; }

}  // namespace waxwingfront::fleet
