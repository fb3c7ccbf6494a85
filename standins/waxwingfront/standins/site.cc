#include "waxwingfront/standins/site.h"

#include "waxwingfront/core/resources.h"
#include "waxwingfront/standins/executor.h"
#include "waxwingfront/standins/host_list.h"
#include "waxwingfront/standins/http_service.h"
#include "waxwingfront/standins/store.h"
#include "waxwingfront/standins/worker.h"

namespace waxwingfront::standins {
namespace {

constexpr core::resources kWorkerCapacity{.processor_milli = 32000,
                                          .memory_mib = 128000};
constexpr int kSlots = 8;
constexpr int kConnections = 64;
constexpr int kServiceThreads = 32;

}  // namespace

site::site(const site_options& options)
    : store_(std::make_unique<store>()), hosts_(std::make_unique<host_list>()) {
  store_address_ = Serve(*store_);
  host_list_address_ = Serve(*hosts_);
  for (int index = 0; index < options.workers; ++index)
    AddWorker(options, index);
  for (int index = 0; index < options.executors; ++index)
    AddExecutor(options, index);
  hosts_->Replace(list_);
}

site::~site() { services_.clear(); }

template <typename Service>
std::string site::Serve(Service& service) {
  services_.push_back(std::make_unique<http_service>(
      "127.0.0.1:0",
      [&service](const http_call& call) { return service.Handle(call); },
      kServiceThreads));
  return services_.back()->Address();
}

void site::AddWorker(const site_options& options, int index) {
  workers_.push_back(
      std::make_unique<worker>(worker_options{.capacity = kWorkerCapacity}));
  schema::listed_worker& listed = *list_.add_workers();
  listed.set_id("worker-" + std::to_string(index + 1));
  listed.set_address(Serve(*workers_.back()));
  listed.set_failure_domain(options.failure_domain);
  listed.set_rack("rack-1");
  *listed.mutable_capacity() = core::ToSchema(kWorkerCapacity);
}

void site::AddExecutor(const site_options& options, int index) {
  const std::string id = "executor-" + std::to_string(index + 1);
  executors_.push_back(std::make_unique<executor>(id, kSlots));
  schema::listed_executor& listed = *list_.add_executors();
  listed.set_id(id);
  listed.set_service(options.service);
  listed.set_address(Serve(*executors_.back()));
  listed.set_worker("worker-" + std::to_string(index % options.workers + 1));
  listed.set_failure_domain(options.failure_domain);
  listed.set_slots(kSlots);
  listed.set_connections(kConnections);
}

std::string site::StoreAddress() const { return store_address_; }

std::string site::HostListAddress() const { return host_list_address_; }

}  // namespace waxwingfront::standins
