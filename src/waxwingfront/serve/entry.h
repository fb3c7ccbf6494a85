// An entry: all parts of the system that run on one entry host.
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
  // Starts all parts. Fails with `kInvalidSettings` if an address cannot be
  // used.
  static core::result<std::unique_ptr<entry>> Start(
      const schema::settings& settings);
  entry(const entry&) = delete;
  entry& operator=(const entry&) = delete;
  ~entry();

  // Becomes not ready, goes on serving while the balancer notices, finishes the
  // requests in flight, and hands its shards over.
  void Shutdown();

 private:
  struct parts;
  explicit entry(std::unique_ptr<parts> running);
  std::unique_ptr<parts> parts_;
};

}  // namespace waxwingfront::serve

#endif  // WAXWINGFRONT_SERVE_ENTRY_H_
