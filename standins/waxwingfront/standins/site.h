// Stand-in for a small platform in one process: store, host list, workers and
// executors.
#ifndef WAXWINGFRONT_STANDINS_SITE_H_
#define WAXWINGFRONT_STANDINS_SITE_H_

#include <memory>
#include <string>
#include <vector>

#include "waxwingfront/schema/gen/host_list.pb.h"

namespace waxwingfront::standins {

class store;
class host_list;
class worker;
class executor;
class http_service;

struct site_options {
  int workers = 4;
  int executors = 2;
  std::string service = "dispatch";
  std::string failure_domain = "local";
};

class site {
 public:
  explicit site(const site_options& options);
  site(const site&) = delete;
  site& operator=(const site&) = delete;
  ~site();

  std::string StoreAddress() const;
  std::string HostListAddress() const;

 private:
  void AddWorker(const site_options& options, int index);
  void AddExecutor(const site_options& options, int index);
  template <typename Service>
  std::string Serve(Service& service);

  std::unique_ptr<store> store_;
  std::unique_ptr<host_list> hosts_;
  std::vector<std::unique_ptr<worker>> workers_;
  std::vector<std::unique_ptr<executor>> executors_;
  schema::host_list list_;
  std::string store_address_;
  std::string host_list_address_;
  // Declared last, so that no server calls a stand-in that is already
  // destroyed.
  std::vector<std::unique_ptr<http_service>> services_;
};

}  // namespace waxwingfront::standins

#endif  // WAXWINGFRONT_STANDINS_SITE_H_
