// A small site of separate processes: stand-ins for the platform, and entries.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_PROCESS_SITE_H_
#define WAXWINGFRONT_TESTS_SUPPORT_PROCESS_SITE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "support/child_process.h"
#include "waxwingfront/core/clock.h"
#include "waxwingfront/core/error.h"
#include "waxwingfront/net/http_client.h"
#include "waxwingfront/schema/gen/host_list.pb.h"
#include "waxwingfront/schema/gen/job.pb.h"

namespace waxwingfront::tests {

struct process_site_options {
  int entries = 2;
  int workers = 2;
  int executors = 1;
  // Bundle to sign off, in JSON; if empty, a default bundle is used.
  std::string bundle;
  // Lines added to the entries' settings file, with their section headers.
  std::string more_settings;
  // Times of the workers, short so that tests of expired leases are quick.
  int ticket_ms = 600;
  int task_lease_ms = 1500;
  // Time between two reads of the bundle head by an entry.
  int bundle_poll_ms = 100;
  // Time limit of an entry's store call; three fit into the lease of
  // `QuickBatchSettings`.
  int store_timeout_ms = 333;
};

// Returns batch settings with short times: a lease of 1 s, a grace period of
// 1 s, and a sync every 100 ms.
std::string QuickBatchSettings();

class process_site {
 public:
  explicit process_site(const process_site_options& options);
  ~process_site();

  child_process& Store() { return *store_; }
  child_process& HostList() { return *host_list_; }
  child_process& Worker(int index) { return *workers_.at(index); }
  child_process& Executor(int index) { return *executors_.at(index); }
  child_process& Entry(int index) { return *entries_.at(index); }

  const std::string& StoreAddress() const { return store_address_; }
  const std::string& WorkerAddress(int index) const;
  const std::string& ExecutorAddress(int index) const;
  const std::string& EntryAddress(int index) const {
    return entry_addresses_.at(index);
  }

  // Restarts an entry with its previous settings.
  void RestartEntry(int index);
  // Restarts a worker at the same address, without its previous state.
  void RestartWorker(int index);

  // Waits until one of the entries that respond owns the only shard; returns
  // its index.
  int AwaitOwner() const;
  // Returns the journals of all workers.
  std::vector<std::string> Journals() const;

  // Stores a bundle; returns its digest.
  std::string Submit(const std::string& bundle) const;
  // Signs a bundle off for all failure domains; returns its version.
  std::int64_t SignOff(const std::string& bundle) const;

  // Sets the store's faults; `json` is described in `standins/store.h`.
  void SetStoreFaults(std::string_view json) const;
  // Applies `change` to the host list and publishes the result.
  void ChangeHosts(const std::function<void(schema::host_list&)>& change);

  core::result<net::http_reply> Call(
      const std::string& address, std::string_view method,
      std::string_view path, std::string_view body = "",
      const net::http_headers& headers = {}) const;
  // Returns the journal of a worker or an executor.
  std::string Journal(const std::string& address) const;

  // Waits until every entry responds to `/readyz` with 200.
  bool AwaitReady() const;
  // Waits until `entry` responds to `/readyz` with 200.
  bool AwaitReady(int entry) const;
  // Resubmits a job through an entry until it is accepted.
  bool AwaitAccepted(int entry, std::string_view job_json) const;
  // Waits until an entry reports `state` for a job.
  bool AwaitState(int entry, const std::string& job,
                  schema::job_state state) const;

 private:
  std::unique_ptr<child_process> StartWorker(std::string& address) const;
  std::unique_ptr<child_process> StartStandin(
      const std::vector<std::string>& arguments, std::string& address) const;
  void WriteSettings(int index, const process_site_options& options);
  core::result<net::http_reply> PostToStore(std::string_view path,
                                            std::string_view body) const;

  process_site_options options_;
  std::string folder_;
  std::string store_address_;
  std::string host_list_address_;
  std::vector<std::string> entry_addresses_;
  std::vector<std::string> peer_addresses_;
  schema::host_list hosts_;
  std::unique_ptr<child_process> store_;
  std::unique_ptr<child_process> host_list_;
  std::vector<std::unique_ptr<child_process>> workers_;
  std::vector<std::unique_ptr<child_process>> executors_;
  std::vector<std::unique_ptr<child_process>> entries_;
};

// Polls `condition` until it returns true or `limit` has passed; returns the
// last result.
bool AwaitCondition(const std::function<bool()>& condition,
                    core::milliseconds limit = core::milliseconds(30000));

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_PROCESS_SITE_H_
