#include "waxwingfront/serve/entry.h"

#include <Poco/StringTokenizer.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "waxwingfront/bundle/bundle_follower.h"
#include "waxwingfront/bundle/bundle_repository.h"
#include "waxwingfront/core/hash.h"
#include "waxwingfront/core/periodic_thread.h"
#include "waxwingfront/core/rcu_cell.h"
#include "waxwingfront/front/front_server.h"
#include "waxwingfront/front/request_router.h"
#include "waxwingfront/hosts/host_list_client.h"
#include "waxwingfront/hosts/host_view.h"
#include "waxwingfront/jobs/job_service.h"
#include "waxwingfront/logging/log.h"
#include "waxwingfront/metrics/registry.h"
#include "waxwingfront/net/http_client.h"
#include "waxwingfront/peer/peer_client.h"
#include "waxwingfront/peer/peer_server.h"
#include "waxwingfront/schema/gen/settings.pb.h"
#include "waxwingfront/shard/shard_manager.h"
#include "waxwingfront/store/store_client.h"
#include "waxwingfront/worker/worker_client.h"

namespace waxwingfront::serve {
namespace {

constexpr std::string_view kModule = "entry";
// Lease renewals per time to live of the lease.
constexpr int kRenewalsPerLease = 3;
constexpr core::milliseconds kPeerBundleTimeout{1000};
constexpr core::milliseconds kResignTimeout{2000};

// Keeps one client per worker address.
class worker_clients {
 public:
  core::result<schema::sync_response> Sync(
      const std::string& address, const schema::sync_request& request) {
    return GetOrCreate(address)->Sync(request);
  }

 private:
  std::shared_ptr<worker::worker_client> GetOrCreate(
      const std::string& address) {
    const std::lock_guard lock(mutex_);
    std::shared_ptr<worker::worker_client>& client = clients_[address];
    if (client == nullptr) {
      client = std::make_shared<worker::worker_client>(
          worker::worker_client_options{.address = address});
    }
    return client;
  }

  std::mutex mutex_;
  std::map<std::string, std::shared_ptr<worker::worker_client>> clients_;
};

}  // namespace

struct entry::components {
  explicit components(const schema::settings& from)
      : settings(from),
        store_http({.address = from.platform().store_address(),
                    .timeout = core::milliseconds(
                        from.platform().store_timeout_ms())}),
        store(StoreOptions()),
        host_list(from.platform().host_list_address()),
        tracker(from.batch().shards_per_domain()),
        repository(store),
        follower(FollowerOptions(), repository),
        router(RouterOptions()),
        manager(ManagerOptions(), store),
        jobs(JobOptions(), store) {}

  store::store_client_options StoreOptions() {
    metrics::counter& reads =
        metrics.Counter("waxwingfront_store_calls_total", {{"kind", "read"}});
    metrics::counter& writes =
        metrics.Counter("waxwingfront_store_calls_total", {{"kind", "write"}});
    return {.post =
                [this](std::string_view path, std::string_view body) {
                  return store_http.Send("POST", path, body);
                },
            .on_call =
                [&reads, &writes](store::call_kind kind) {
                  (kind == store::call_kind::kRead ? reads : writes).Add();
                }};
  }

  bundle::bundle_follower_options FollowerOptions() {
    return {.failure_domain = settings.entry().failure_domain(),
            .peer_heads = [this] { return FetchPeerHeads(); },
            .peer_content =
                [this](const std::string& address, const std::string& digest) {
                  return FetchPeerContent(address, digest);
                }};
  }

  front::request_router_options RouterOptions() const {
    return {.connect_timeout =
                core::milliseconds(settings.front().connect_timeout_ms()),
            .max_body_bytes =
                static_cast<std::size_t>(settings.front().max_body_bytes()),
            .waiting = {.capacity =
                            static_cast<int>(settings.front().max_waiting())},
            .entry_id = settings.entry().id()};
  }

  shard::shard_core_options CoreOptions() const {
    const schema::batch_settings& batch = settings.batch();
    return {.owner = settings.entry().id(),
            .lease_ttl = std::chrono::seconds(batch.entry_lease_s()),
            .grace = core::milliseconds(batch.grace_ms()),
            .ticket = core::milliseconds(batch.ticket_ms()),
            .task_lease = core::milliseconds(batch.task_lease_ms()),
            .sync_period = core::milliseconds(batch.sync_ms()),
            .appends_per_second = static_cast<double>(batch.appends_per_s()),
            .append_burst = static_cast<int>(batch.append_burst()),
            .job_retention = std::chrono::seconds(batch.job_retention_s()),
            .nonce = core::RandomNonce};
  }

  shard::shard_manager_options ManagerOptions() {
    return {.entry_id = settings.entry().id(),
            .peer_address = settings.entry().peer_address(),
            .failure_domain = settings.entry().failure_domain(),
            .lease_ttl_seconds = settings.batch().entry_lease_s(),
            .owner = {.core = CoreOptions(),
                      .sync =
                          [this](const std::string& address,
                                 const schema::sync_request& request) {
                            return workers.Sync(address, request);
                          },
                      .policy = [this] { return follower.InForce(); },
                      .hosts = [this] { return hosts.Load(); }}};
  }

  jobs::job_service_options JobOptions() {
    return {.policy = [this] { return follower.InForce(); },
            .hosts = [this] { return hosts.Load(); },
            .local_owner =
                [this](std::string_view shard) {
                  return manager.LocalOwner(shard);
                },
            .owner_address =
                [this](std::string_view shard) {
                  return manager.OwnerAddress(shard);
                },
            .call_peer =
                [this](const std::string& address,
                       const schema::peer_request& request,
                       core::milliseconds limit) {
                  return peers.Call(address, request, limit);
                }};
  }

  front::front_server_options FrontOptions() {
    return {
        .address = settings.entry().caller_address(),
        .threads = static_cast<int>(settings.front().threads()),
        .max_body_bytes =
            static_cast<std::size_t>(settings.front().max_body_bytes()),
        .default_deadline =
            core::milliseconds(settings.front().default_deadline_ms()),
        .read_timeout = core::milliseconds(settings.front().read_timeout_ms()),
        .write_timeout =
            core::milliseconds(settings.front().write_timeout_ms()),
        .idle_timeout = core::milliseconds(settings.front().idle_timeout_ms()),
        .policy = [this] { return follower.InForce(); },
        .unready_reason = [this] { return UnreadyReason(); }};
  }

  peer::peer_server_options PeerOptions() {
    return {.address = settings.entry().peer_address(),
            .handle = [this](const schema::peer_request& request) {
              return HandlePeer(request);
            }};
  }

  std::string UnreadyReason() {
    if (stopping)
      return std::string(core::ErrorName(core::error_code::kShuttingDown));
    if (follower.InForce() == nullptr) {
      return std::string(core::ErrorName(core::error_code::kNoBundle));
    }
    if (hosts.Load() == nullptr) return "no_hosts";
    return "";
  }

  schema::peer_response HandlePeer(const schema::peer_request& request) {
    if (!request.has_bundle()) return jobs.HandlePeer(request);
    schema::peer_response response;
    *response.mutable_bundle() = follower.MakeReply(request.bundle().digest());
    return response;
  }

  core::result<schema::bundle_reply> QueryPeer(const std::string& address,
                                               const std::string& digest) {
    schema::peer_request request;
    request.mutable_bundle()->set_digest(digest);
    const auto response = peers.Call(address, request, kPeerBundleTimeout);
    if (!response) return tl::unexpected(response.error());
    return response->bundle();
  }

  // Queries all peers in parallel, since each peer that is down takes the whole
  // timeout.
  std::vector<bundle::peer_head> FetchPeerHeads() {
    const Poco::StringTokenizer addresses(
        settings.entry().peers(), ",",
        Poco::StringTokenizer::TOK_TRIM |
            Poco::StringTokenizer::TOK_IGNORE_EMPTY);
    std::vector<
        std::pair<std::string, std::future<core::result<schema::bundle_reply>>>>
        calls;
    for (const std::string& address : addresses) {
      if (address == settings.entry().peer_address()) continue;
      calls.emplace_back(address,
                         std::async(std::launch::async, [this, address] {
                           return QueryPeer(address, "");
                         }));
    }
    std::vector<bundle::peer_head> heads;
    for (auto& [address, call] : calls) {
      const auto reply = call.get();
      if (!reply || reply->head().generation() == 0) continue;
      heads.push_back({.address = address, .head = reply->head()});
    }
    return heads;
  }

  core::result<std::string> FetchPeerContent(const std::string& address,
                                             const std::string& digest) {
    const auto reply = QueryPeer(address, digest);
    if (!reply) return tl::unexpected(reply.error());
    const auto found = reply->contents().find(digest);
    if (found == reply->contents().end()) {
      return core::Failure(core::error_code::kNoBundle,
                           address + " does not have the content " + digest);
    }
    return found->second;
  }

  void PollHosts() {
    const auto list = host_list.Read();
    if (!list) {
      logging::Warning(kModule,
                       "failed to read the host list: ", list.error().detail);
      return;
    }
    auto view = tracker.Update(*list, core::Now());
    router.OnHosts(*view);
    hosts.Store(std::move(view));
  }

  void PollBundle() {
    const auto polled = follower.Poll();
    if (!polled)
      logging::Warning(kModule,
                       "failed to read the bundle: ", polled.error().detail);
    const auto policy = follower.InForce();
    if (policy != nullptr)
      metrics.Gauge("waxwingfront_bundle_version").Set(policy->Version());
  }

  void PollShards() {
    const auto polled = manager.Poll();
    if (!polled)
      logging::Warning(kModule,
                       "failed to read the shards: ", polled.error().detail);
    router.OnEntries(manager.LiveEntries());
    metrics.Gauge("waxwingfront_shards_owned")
        .Set(static_cast<std::int64_t>(manager.OwnedCount()));
  }

  void StartPolling() {
    pollers.push_back(std::make_unique<core::periodic_thread>(
        core::milliseconds(settings.platform().host_poll_ms()),
        [this] { PollHosts(); }));
    pollers.push_back(std::make_unique<core::periodic_thread>(
        core::milliseconds(settings.platform().bundle_poll_ms()),
        [this] { PollBundle(); }));
    const core::milliseconds lease =
        std::chrono::seconds(settings.batch().entry_lease_s());
    pollers.push_back(std::make_unique<core::periodic_thread>(
        lease / kRenewalsPerLease, [this] { PollShards(); }));
  }

  schema::settings settings;
  metrics::registry metrics;
  std::atomic<bool> stopping{false};
  net::http_client store_http;
  store::store_client store;
  hosts::host_list_client host_list;
  hosts::host_tracker tracker;
  core::rcu_cell<hosts::host_view> hosts;
  peer::peer_client peers;
  bundle::bundle_repository repository;
  bundle::bundle_follower follower;
  worker_clients workers;
  front::request_router router;
  shard::shard_manager manager;
  jobs::job_service jobs;
  std::unique_ptr<front::front_server> front;
  std::unique_ptr<peer::peer_server> peer_server;
  std::vector<std::unique_ptr<core::periodic_thread>> pollers;
};

core::result<std::unique_ptr<entry>> entry::Start(
    const schema::settings& settings) {
  auto running = std::make_unique<components>(settings);
  auto peer_server = peer::peer_server::Start(running->PeerOptions());
  if (!peer_server) return tl::unexpected(peer_server.error());
  running->peer_server = std::move(*peer_server);
  auto front =
      front::front_server::Start(running->FrontOptions(), running->router,
                                 running->jobs, running->metrics);
  if (!front) return tl::unexpected(front.error());
  running->front = std::move(*front);
  running->StartPolling();
  logging::Info(kModule, settings.entry().id(), " listens for callers on ",
                settings.entry().caller_address());
  return std::unique_ptr<entry>(new entry(std::move(running)));
}

entry::entry(std::unique_ptr<components> running)
    : components_(std::move(running)) {}

entry::~entry() = default;

void entry::Shutdown() {
  components_->stopping = true;
  components_->front->BeginDrain();
  // The lease is renewed until the shards are handed over, since draining may
  // take longer than the lease's time to live.
  components_->manager.StopClaiming();
  logging::Info(kModule, components_->settings.entry().id(),
                " is shutting down");
  std::this_thread::sleep_for(
      core::milliseconds(components_->settings.front().unready_ms()));
  components_->front->Drain(
      core::milliseconds(components_->settings.front().drain_ms()));
  components_->pollers.clear();
  components_->manager.Stop(kResignTimeout);
  logging::Info(kModule, components_->settings.entry().id(), " has shut down");
}

}  // namespace waxwingfront::serve
