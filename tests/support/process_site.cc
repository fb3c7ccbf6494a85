#include "support/process_site.h"

#include <Poco/TemporaryFile.h>

#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "waxwingfront/bundle/bundle_repository.h"
#include "waxwingfront/core/json.h"
#include "waxwingfront/net/http_status.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::tests {
namespace {

constexpr core::milliseconds kPollInterval{20};
constexpr std::int64_t kProcessorMilli = 4000;
constexpr std::int64_t kMemoryMib = 8000;
constexpr int kSlots = 4;
constexpr int kConnections = 64;

constexpr std::string_view kDefaultBundle = R"({
  "site": "test",
  "services": [{"name": "dispatch", "default_deadline_ms": 5000}],
  "batch_classes": [{"name": "orders", "priority": 10, "preemptible": true,
                     "host_share_percent": 100, "max_failures": 3}],
  "customers": [{"name": "jihlava", "weight": 1}]
})";

}  // namespace

bool AwaitCondition(const std::function<bool()>& condition,
                    core::milliseconds limit) {
  const core::monotonic_time end = core::Now() + limit;
  while (core::Now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(kPollInterval);
  }
  return condition();
}

std::string QuickBatchSettings() {
  return "[batch]\nentry_lease_s = 1\ngrace_ms = 1000\nticket_ms = "
         "600\ntask_lease_ms = 1500\n"
         "sync_ms = 100\nappends_per_s = 50\nappend_burst = 50\n";
}

process_site::process_site(const process_site_options& options)
    : options_(options), folder_(Poco::TemporaryFile::tempName()) {
  std::filesystem::create_directories(folder_);
  store_ = StartStandin({"store"}, store_address_);
  host_list_ = StartStandin({"host-list"}, host_list_address_);
  for (int index = 0; index < options.workers; ++index) {
    schema::listed_worker& listed = *hosts_.add_workers();
    listed.set_id("worker-" + std::to_string(index));
    listed.set_failure_domain("local");
    listed.set_rack("rack-1");
    listed.mutable_capacity()->set_processor_milli(kProcessorMilli);
    listed.mutable_capacity()->set_memory_mib(kMemoryMib);
    *listed.mutable_address() = "127.0.0.1:0";
    workers_.push_back(StartWorker(*listed.mutable_address()));
  }
  for (int index = 0; index < options.executors; ++index) {
    schema::listed_executor& listed = *hosts_.add_executors();
    listed.set_id("executor-" + std::to_string(index));
    listed.set_service("dispatch");
    listed.set_failure_domain("local");
    listed.set_slots(kSlots);
    listed.set_connections(kConnections);
    executors_.push_back(StartStandin(
        {"executor", "--id", listed.id(), "--slots", std::to_string(kSlots)},
        *listed.mutable_address()));
  }
  ChangeHosts([](schema::host_list& /*list*/) {});
  SignOff(options.bundle.empty() ? std::string(kDefaultBundle)
                                 : options.bundle);
  for (int index = 0; index < options.entries; ++index) {
    entry_addresses_.push_back(FreeAddress());
    peer_addresses_.push_back(FreeAddress());
  }
  for (int index = 0; index < options.entries; ++index) {
    WriteSettings(index, options);
    entries_.push_back(nullptr);
    RestartEntry(index);
  }
}

process_site::~process_site() { std::filesystem::remove_all(folder_); }

std::unique_ptr<child_process> process_site::StartStandin(
    const std::vector<std::string>& arguments, std::string& address) const {
  auto started =
      std::make_unique<child_process>(WAXWINGFRONT_STANDINS_PROGRAM, arguments);
  address = started->ReadLine();
  if (address.empty()) throw std::runtime_error("a stand-in did not start");
  return started;
}

std::unique_ptr<child_process> process_site::StartWorker(
    std::string& address) const {
  return StartStandin({"worker", "--address", address, "--processor-milli",
                       std::to_string(kProcessorMilli), "--memory-mib",
                       std::to_string(kMemoryMib), "--ticket-ms",
                       std::to_string(options_.ticket_ms), "--task-lease-ms",
                       std::to_string(options_.task_lease_ms)},
                      address);
}

void process_site::WriteSettings(int index,
                                 const process_site_options& options) {
  std::ofstream file(folder_ + "/entry-" + std::to_string(index) + ".ini");
  file << "[entry]\nid = entry-" << index
       << "\nfailure_domain = local\ncaller_address = "
       << entry_addresses_[index]
       << "\npeer_address = " << peer_addresses_[index] << "\npeers = ";
  for (const std::string& peer : peer_addresses_) file << peer << ",";
  file << "\n[platform]\nstore_address = " << store_address_
       << "\nhost_list_address = " << host_list_address_
       << "\nstore_timeout_ms = " << options.store_timeout_ms
       << "\nhost_poll_ms = 100\nbundle_poll_ms = " << options.bundle_poll_ms
       << "\n";
  file << (options.more_settings.empty() ? QuickBatchSettings()
                                         : options.more_settings);
}

void process_site::RestartEntry(int index) {
  // The former process must release its addresses before the new one binds
  // them.
  entries_[index].reset();
  entries_[index] = std::make_unique<child_process>(
      WAXWINGFRONT_PROGRAM,
      std::vector<std::string>{
          "serve", "--config",
          folder_ + "/entry-" + std::to_string(index) + ".ini"});
}

void process_site::RestartWorker(int index) {
  workers_[index].reset();
  workers_[index] =
      StartWorker(*hosts_.mutable_workers(index)->mutable_address());
}

int process_site::AwaitOwner() const {
  int owner = -1;
  const bool found = AwaitCondition([this, &owner] {
    for (int index = 0; index < static_cast<int>(entries_.size()); ++index) {
      const auto reply = Call(EntryAddress(index), "GET", "/metrics");
      const bool owns =
          reply &&
          reply->body.find("waxwingfront_shards_owned 1") != std::string::npos;
      if (owns) owner = index;
    }
    return owner >= 0;
  });
  if (!found) throw std::runtime_error("the shard has no owner");
  return owner;
}

std::vector<std::string> process_site::Journals() const {
  std::vector<std::string> journals;
  for (const schema::listed_worker& worker : hosts_.workers())
    journals.push_back(Journal(worker.address()));
  return journals;
}

core::result<net::http_reply> process_site::PostToStore(
    std::string_view path, std::string_view body) const {
  return Call(store_address_, "POST", path, body);
}

std::string process_site::Submit(const std::string& bundle) const {
  const store::store_client client(
      {.post = [this](std::string_view path, std::string_view body) {
        return PostToStore(path, body);
      }});
  const auto digest = bundle::bundle_repository(client).Submit(bundle);
  if (!digest) throw std::runtime_error(digest.error().detail);
  return *digest;
}

std::int64_t process_site::SignOff(const std::string& bundle) const {
  const std::string digest = Submit(bundle);
  const store::store_client client(
      {.post = [this](std::string_view path, std::string_view body) {
        return PostToStore(path, body);
      }});
  const auto signed_off = bundle::bundle_repository(client).SignOff(
      {.digest = digest, .operator_name = "test"});
  if (!signed_off) throw std::runtime_error(signed_off.error().detail);
  return signed_off->version();
}

const std::string& process_site::WorkerAddress(int index) const {
  return hosts_.workers(index).address();
}

const std::string& process_site::ExecutorAddress(int index) const {
  return hosts_.executors(index).address();
}

void process_site::SetStoreFaults(std::string_view json) const {
  const auto set = Call(store_address_, "POST", "/faults", json);
  if (!set) throw std::runtime_error(set.error().detail);
}

void process_site::ChangeHosts(
    const std::function<void(schema::host_list&)>& change) {
  change(hosts_);
  const auto set =
      Call(host_list_address_, "PUT", "/v1/hosts", core::ToJson(hosts_));
  if (!set) throw std::runtime_error(set.error().detail);
}

core::result<net::http_reply> process_site::Call(
    const std::string& address, std::string_view method, std::string_view path,
    std::string_view body, const net::http_headers& headers) const {
  net::http_client http(
      {.address = address, .timeout = core::milliseconds(10000)});
  return http.Send(method, path, body, headers);
}

std::string process_site::Journal(const std::string& address) const {
  const auto reply = Call(address, "GET", "/journal");
  return reply ? reply->body : "";
}

bool process_site::AwaitReady(int entry) const {
  return AwaitCondition([this, entry] {
    const auto reply = Call(EntryAddress(entry), "GET", "/readyz");
    return reply && reply->status == net::kHttpOk;
  });
}

bool process_site::AwaitReady() const {
  for (int entry = 0; entry < static_cast<int>(entries_.size()); ++entry) {
    if (!AwaitReady(entry)) return false;
  }
  return true;
}

bool process_site::AwaitAccepted(int entry, std::string_view job_json) const {
  return AwaitCondition([this, entry, job_json] {
    const auto reply = Call(EntryAddress(entry), "POST", "/v1/jobs", job_json);
    return reply && reply->status == net::kHttpOk;
  });
}

bool process_site::AwaitState(int entry, const std::string& job,
                              schema::job_state state) const {
  return AwaitCondition([this, entry, &job, state] {
    const auto reply = Call(EntryAddress(entry), "GET", "/v1/jobs/" + job);
    if (!reply || reply->status != net::kHttpOk) return false;
    schema::job_status status;
    return core::FromJson(reply->body, core::unknown_fields::kIgnore, status)
               .has_value() &&
           status.state() == state;
  });
}

}  // namespace waxwingfront::tests
