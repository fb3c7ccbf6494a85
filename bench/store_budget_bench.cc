// Measures the store calls of shard owners at the design's peak rate of task
// starts. The owners are production code; the store is the stand-in over
// loopback with enforced rate limits, and workers are stand-ins called in
// process.
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "waxwingfront/bundle/bundle_view.h"
#include "waxwingfront/core/hash.h"
#include "waxwingfront/hosts/host_view.h"
#include "waxwingfront/net/http_client.h"
#include "waxwingfront/shard/shard_owner.h"
#include "waxwingfront/standins/http_service.h"
#include "waxwingfront/standins/store.h"
#include "waxwingfront/standins/worker.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::bench {
namespace {

struct bench_options {
  int shards = 40;
  int workers_per_shard = 42;
  int warm_up_s = 25;
  int measured_s = 30;
  // Maximum number of running tasks in a shard, over all customers.
  int running_per_shard = 165;
  int max_writes_per_second = 300;
  int max_reads_per_second = 2000;
};

// Run times of the customers' tasks, in milliseconds. They differ so that tasks
// do not all end at the same time.
constexpr int kRunTimesMs[] = {7000, 9000, 11000, 13000};
constexpr int kCustomers = 4;
constexpr int kTasksPerJob = 100000;
constexpr int kProcessorMilli = 1000;
constexpr core::resources kWorkerCapacity{.processor_milli = 32000,
                                          .memory_mib = 128000};
constexpr core::milliseconds kSubmitTimeout{10000};

std::shared_ptr<const bundle::bundle_view> MakePolicy(
    const bench_options& options) {
  schema::bundle content;
  schema::batch_class_policy& orders = *content.add_batch_classes();
  orders.set_name("orders");
  orders.set_host_share_percent(100);
  orders.set_max_failures(3);
  for (int index = 0; index < kCustomers; ++index) {
    schema::customer_policy& customer = *content.add_customers();
    customer.set_name("customer-" + std::to_string(index));
    customer.set_weight(1);
    customer.mutable_quota()->set_processor_milli(
        kProcessorMilli * options.running_per_shard / kCustomers);
    customer.mutable_quota()->set_memory_mib(kWorkerCapacity.memory_mib *
                                             options.workers_per_shard);
  }
  return std::make_shared<bundle::bundle_view>(content, 1);
}

schema::job_spec MakeJob(int shard, int customer) {
  schema::job_spec spec;
  spec.set_id("job-" + std::to_string(shard) + "-" + std::to_string(customer));
  spec.set_customer("customer-" + std::to_string(customer));
  spec.set_batch_class("orders");
  spec.set_task_count(kTasksPerJob);
  spec.set_command("sleep:" + std::to_string(kRunTimesMs[customer]));
  spec.mutable_task_size()->set_processor_milli(kProcessorMilli);
  spec.mutable_task_size()->set_memory_mib(1);
  return spec;
}

std::int64_t ToMs(core::monotonic_time time) {
  return std::chrono::duration_cast<core::milliseconds>(time.time_since_epoch())
      .count();
}

// Counts the starts in the journal from `begin_ms` until before `end_ms`.
std::int64_t CountStarts(const std::string& journal, std::int64_t begin_ms,
                         std::int64_t end_ms) {
  std::istringstream lines(journal);
  std::string event;
  std::string job;
  std::string checkpoint;
  std::int64_t task = 0;
  std::int64_t attempt = 0;
  std::int64_t at_ms = 0;
  std::int64_t starts = 0;
  while (lines >> event >> job >> task >> attempt >> at_ms >> checkpoint) {
    const bool counted =
        event == "start" && at_ms >= begin_ms && at_ms < end_ms;
    starts += counted ? 1 : 0;
  }
  return starts;
}

double ProcessorSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    constexpr double kSecondsPerMicro = 1e-6;
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * kSecondsPerMicro;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

struct simulated_shard {
  std::vector<std::unique_ptr<standins::worker>> workers;
  std::shared_ptr<hosts::host_view> view = std::make_shared<hosts::host_view>();
  std::unique_ptr<shard::shard_owner> owner;
};

void AddWorkers(simulated_shard& simulated, const std::string& shard,
                int count) {
  for (int index = 0; index < count; ++index) {
    const std::string id = shard + "-worker-" + std::to_string(index);
    simulated.workers.push_back(std::make_unique<standins::worker>(
        standins::worker_options{.capacity = kWorkerCapacity}));
    simulated.view->workers.emplace(
        id, hosts::worker_info{.id = id,
                               .address = std::to_string(index),
                               .failure_domain = "local",
                               .shard = shard,
                               .capacity = kWorkerCapacity});
  }
}

shard::shard_owner_options OwnerOptions(
    simulated_shard& simulated, const std::string& shard,
    const std::shared_ptr<const bundle::bundle_view>& policy) {
  return {
      .core = {.shard = shard, .owner = "bench", .nonce = core::RandomNonce},
      .sync =
          [&simulated](const std::string& address,
                       const schema::sync_request& request) {
            return core::result<schema::sync_response>(
                simulated.workers[std::stoul(address)]->Sync(request,
                                                             core::Now()));
          },
      .policy = [policy] { return policy; },
      .hosts = [&simulated] { return simulated.view; },
      .sync_threads = 1};
}

void RenewLeases(
    const std::vector<std::unique_ptr<simulated_shard>>& simulated_shards) {
  for (const auto& simulated : simulated_shards)
    simulated->owner->OnLeaseRenewed(core::Now());
}

// Highest numbers of calls within one second.
struct peak_counts {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
};

peak_counts Wait(
    int seconds, const standins::store& store,
    const std::vector<std::unique_ptr<simulated_shard>>& simulated_shards) {
  peak_counts peak;
  standins::store_counts before = store.Counts();
  for (int second = 0; second < seconds; ++second) {
    std::this_thread::sleep_for(std::chrono::seconds(1));
    RenewLeases(simulated_shards);
    const standins::store_counts now = store.Counts();
    peak.reads = std::max(peak.reads, now.reads - before.reads);
    peak.writes = std::max(peak.writes, now.writes - before.writes);
    before = now;
  }
  return peak;
}

void Report(const bench_options& options, double seconds, std::int64_t starts,
            const standins::store_counts& calls, const peak_counts& peak,
            double processor_seconds) {
  const auto per_second = [seconds](auto count) {
    return static_cast<double>(count) / seconds;
  };
  const auto per_start = [starts](std::uint64_t count) {
    return static_cast<double>(count) / static_cast<double>(starts);
  };
  std::cout << "shards " << options.shards << ", workers "
            << options.shards * options.workers_per_shard << ", measured "
            << seconds << " s\n"
            << "task starts/s " << per_second(starts) << "\n"
            << "store writes/s " << per_second(calls.writes) << ", peak "
            << peak.writes << ", per start " << per_start(calls.writes) << "\n"
            << "store reads/s " << per_second(calls.reads) << ", peak "
            << peak.reads << ", per start " << per_start(calls.reads) << "\n"
            << "calls refused " << calls.rejected << "\n"
            << "CPU seconds per second, including all stand-ins "
            << per_second(processor_seconds) << std::endl;
}

int Run(const bench_options& options) {
  standins::store state;
  state.SetFaults({.max_reads_per_second = options.max_reads_per_second,
                   .max_writes_per_second = options.max_writes_per_second});
  const standins::http_service service(
      "127.0.0.1:0",
      [&state](const standins::http_call& call) { return state.Handle(call); });
  net::http_client http({.address = service.Address()});
  const store::store_client client(
      {.post = [&http](std::string_view path, std::string_view body) {
        return http.Send("POST", path, body);
      }});
  const auto policy = MakePolicy(options);
  std::vector<std::unique_ptr<simulated_shard>> simulated_shards;
  for (int index = 0; index < options.shards; ++index) {
    const std::string shard = "local/" + std::to_string(index);
    simulated_shards.push_back(std::make_unique<simulated_shard>());
    AddWorkers(*simulated_shards.back(), shard, options.workers_per_shard);
    simulated_shards.back()->owner = std::make_unique<shard::shard_owner>(
        OwnerOptions(*simulated_shards.back(), shard, policy), client,
        core::Now());
  }
  std::this_thread::sleep_for(std::chrono::seconds(2));
  for (int index = 0; index < options.shards; ++index) {
    for (int customer = 0; customer < kCustomers; ++customer) {
      const auto submitted = simulated_shards[index]->owner->Submit(
          MakeJob(index, customer), kSubmitTimeout);
      if (submitted) continue;
      std::cerr << "job not accepted: " << submitted.error().detail << "\n";
      return 1;
    }
  }
  static_cast<void>(Wait(options.warm_up_s, state, simulated_shards));
  const core::monotonic_time begin = core::Now();
  const standins::store_counts before = state.Counts();
  const double processor_before = ProcessorSeconds();
  const peak_counts peak = Wait(options.measured_s, state, simulated_shards);
  const core::monotonic_time end = core::Now();
  standins::store_counts calls = state.Counts();
  calls.reads -= before.reads;
  calls.writes -= before.writes;
  calls.rejected -= before.rejected;
  const double processor_seconds = ProcessorSeconds() - processor_before;
  std::int64_t starts = 0;
  for (const auto& simulated : simulated_shards) {
    for (const auto& worker : simulated->workers)
      starts += CountStarts(worker->Journal(), ToMs(begin), ToMs(end));
  }
  Report(options, std::chrono::duration<double>(end - begin).count(), starts,
         calls, peak, processor_seconds);
  return 0;
}

}  // namespace
}  // namespace waxwingfront::bench

int main(int argc, char** argv) {
  waxwingfront::bench::bench_options options;
  CLI::App app("Store calls of shard owners under load");
  app.add_option("--shards", options.shards);
  app.add_option("--workers-per-shard", options.workers_per_shard);
  app.add_option("--warm-up-s", options.warm_up_s);
  app.add_option("--measured-s", options.measured_s);
  app.add_option("--running-per-shard", options.running_per_shard,
                 "Maximum number of running tasks in a shard");
  app.add_option("--max-writes-per-second", options.max_writes_per_second);
  app.add_option("--max-reads-per-second", options.max_reads_per_second);
  CLI11_PARSE(app, argc, argv);
  return waxwingfront::bench::Run(options);
}
