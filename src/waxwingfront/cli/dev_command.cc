#include "waxwingfront/cli/dev_command.h"

#include <CLI/CLI.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "waxwingfront/bundle/bundle_repository.h"
#include "waxwingfront/cli/output.h"
#include "waxwingfront/cli/signals.h"
#include "waxwingfront/core/json.h"
#include "waxwingfront/logging/log.h"
#include "waxwingfront/net/http_client.h"
#include "waxwingfront/net/http_status.h"
#include "waxwingfront/schema/gen/job.pb.h"
#include "waxwingfront/schema/gen/settings.pb.h"
#include "waxwingfront/serve/entry.h"
#include "waxwingfront/settings/settings_loader.h"
#include "waxwingfront/standins/site.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::cli {
namespace {

constexpr int kEntries = 2;
// The last of the four consecutive ports is then 65535.
constexpr int kMaxFirstPort = 65532;
constexpr core::milliseconds kDemoTimeout{30000};
constexpr core::milliseconds kDemoRetryInterval{100};

constexpr std::string_view kDevBundle = R"({
  "site": "dev",
  "weights": {"tail_latency": 1, "batch_throughput": 1, "evictions": 1},
  "services": [{"name": "dispatch", "latency_target_ms": 50, "default_deadline_ms": 5000,
                "reserve_per_executor": {"processor_milli": 8000, "memory_mib": 16000}}],
  "batch_classes": [{"name": "orders", "priority": 10, "preemptible": true,
                     "host_share_percent": 75, "max_failures": 3}],
  "customers": [{"name": "demo", "weight": 1}]
})";

constexpr std::string_view kDevJob = R"({
  "id": "demo-job", "customer": "demo", "batch_class": "orders", "task_count": 4,
  "task_size": {"processor_milli": 1000, "memory_mib": 512}, "command": "sleep:300"
})";

struct dev_arguments {
  int port = 8080;
  bool once = false;
};

schema::settings EntrySettings(const standins::site& site, int index,
                               int port) {
  // The periods are shorter than in production, so that the demonstration is
  // quick.
  schema::settings values = settings::DefaultSettings();
  const auto address = [port](int offset) {
    return "127.0.0.1:" + std::to_string(port + offset);
  };
  values.mutable_entry()->set_id("entry-" + std::to_string(index + 1));
  values.mutable_entry()->set_failure_domain("local");
  values.mutable_entry()->set_caller_address(address(index));
  values.mutable_entry()->set_peer_address(address(kEntries + index));
  values.mutable_platform()->set_store_address(site.StoreAddress());
  values.mutable_platform()->set_host_list_address(site.HostListAddress());
  values.mutable_platform()->set_host_poll_ms(500);
  values.mutable_platform()->set_bundle_poll_ms(500);
  values.mutable_front()->set_default_deadline_ms(5000);
  values.mutable_front()->set_drain_ms(2000);
  values.mutable_batch()->set_entry_lease_s(3);
  values.mutable_batch()->set_grace_ms(60000);
  values.mutable_batch()->set_sync_ms(200);
  values.mutable_batch()->set_appends_per_s(5);
  values.mutable_batch()->set_append_burst(5);
  return values;
}

core::result<void> SignOffBundle(const std::string& store_address) {
  net::http_client http({.address = store_address});
  const store::store_client store(
      {.post = [&http](std::string_view path, std::string_view body) {
        return http.Send("POST", path, body);
      }});
  const bundle::bundle_repository repository(store);
  const auto digest = repository.Submit(kDevBundle);
  if (!digest) return tl::unexpected(digest.error());
  const auto signed_off =
      repository.SignOff({.digest = *digest, .operator_name = "dev"});
  if (!signed_off) return tl::unexpected(signed_off.error());
  return {};
}

// Repeats a request until the response has status 200 and a body for which
// `accept` returns true.
core::result<std::string> RetryUntilAccepted(
    net::http_client& http, std::string_view method, std::string_view path,
    std::string_view body,
    const std::function<bool(const std::string&)>& accept) {
  const core::monotonic_time end = core::Now() + kDemoTimeout;
  std::string last = "no response";
  while (core::Now() < end) {
    const auto reply =
        http.Send(method, path, body, {{"Waxwingfront-Customer", "demo"}});
    if (reply && reply->status == net::kHttpOk && accept(reply->body))
      return reply->body;
    last = reply ? reply->body : reply.error().detail;
    std::this_thread::sleep_for(kDemoRetryInterval);
  }
  return core::Failure(core::error_code::kDeadlineExceeded, last);
}

core::result<void> WaitUntilReady(net::http_client& http) {
  const auto ready =
      RetryUntilAccepted(http, "GET", "/readyz", "",
                         [](const std::string& /*body*/) { return true; });
  if (!ready) return tl::unexpected(ready.error());
  return {};
}

// Sends a request and runs a job to its end through the first entry.
core::result<void> RunDemo(const std::string& address) {
  net::http_client http(
      {.address = address, .timeout = core::milliseconds(10000)});
  const auto any = [](const std::string& /*body*/) { return true; };
  if (const auto ready = WaitUntilReady(http); !ready) return ready;
  const auto response =
      RetryUntilAccepted(http, "GET", "/v1/services/dispatch/hello", "", any);
  if (!response) return tl::unexpected(response.error());
  std::cout << "request answered: " << *response << "\n";
  const auto job = RetryUntilAccepted(http, "POST", "/v1/jobs", kDevJob, any);
  if (!job) return tl::unexpected(job.error());
  std::cout << "job accepted: " << *job << "\n";
  const auto finished = RetryUntilAccepted(
      http, "GET", "/v1/jobs/demo-job", "", [](const std::string& body) {
        schema::job_status status;
        return core::FromJson(body, core::unknown_fields::kIgnore, status)
                   .has_value() &&
               status.state() == schema::JOB_STATE_FINISHED;
      });
  if (!finished) return tl::unexpected(finished.error());
  std::cout << "job finished: " << *finished << std::endl;
  return {};
}

exit_code RunDev(const dev_arguments& arguments) {
  logging::Start(logging::level::kWarning);
  const stop_signals signals;
  const standins::site site(standins::site_options{});
  if (const auto signed_off = SignOffBundle(site.StoreAddress()); !signed_off) {
    return ReportFailure(signed_off.error());
  }
  std::vector<std::unique_ptr<serve::entry>> entries;
  for (int index = 0; index < kEntries; ++index) {
    auto started =
        serve::entry::Start(EntrySettings(site, index, arguments.port));
    if (!started) return ReportFailure(started.error());
    entries.push_back(std::move(*started));
  }
  const std::string address = "127.0.0.1:" + std::to_string(arguments.port);
  if (const auto demo = RunDemo(address); !demo)
    return ReportFailure(demo.error());
  std::cout << "try: curl -H 'Waxwingfront-Customer: demo' http://" << address
            << "/v1/services/dispatch/hello\nstop with Ctrl-C" << std::endl;
  if (!arguments.once) signals.Wait();
  for (const auto& running : entries) running->Shutdown();
  return exit_code::kOk;
}

}  // namespace

void AddDevCommand(CLI::App& app, std::function<exit_code()>& action) {
  const auto arguments = std::make_shared<dev_arguments>();
  CLI::App& dev = *app.add_subcommand("dev",
                                      "Runs a small site with stand-ins of the "
                                      "platform on loopback, in one process");
  dev.footer(
      "Starts a store, a host list, workers, executors and two entries, signs "
      "off a bundle,\nanswers a request and finishes a job, and prints how to "
      "send more.\nExamples:\n"
      "  waxwingfront dev\n"
      "  waxwingfront dev --port 9000 --once");
  dev.add_option("--port", arguments->port, "First of four ports in a row")
      ->capture_default_str()
      ->check(CLI::Range(1, kMaxFirstPort));
  dev.add_flag("--once", arguments->once, "Ends after the demonstration");
  dev.callback([arguments, &action] {
    action = [arguments] { return RunDev(*arguments); };
  });
}

}  // namespace waxwingfront::cli
