// An entry: all components that run on one entry host.
#ifndef WAXWINGFRONT_SERVE_ENTRY_H_
#define WAXWINGFRONT_SERVE_ENTRY_H_

#include <memory>

#include "waxwingfront/core/error.h"

namespace waxwingfront::schema {
class settings;
}

namespace waxwingfront::serve {

class entry {
 public:
  // Starts all components. Fails with `kInvalidSettings` if an address cannot
  // be listened on.
  static core::result<std::unique_ptr<entry>> Start(
      const schema::settings& settings);
  entry(const entry&) = delete;
  entry& operator=(const entry&) = delete;
  ~entry();

  // Reports that the entry is not ready, keeps serving until the balancer has
  // noticed, completes the requests in flight, and hands the shards over.
  void Shutdown();

 private:
  struct components;
  explicit entry(std::unique_ptr<components> running);
  std::unique_ptr<components> components_;
};

}  // namespace waxwingfront::serve

#endif  // WAXWINGFRONT_SERVE_ENTRY_H_
