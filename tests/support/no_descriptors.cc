#include "support/no_descriptors.h"

#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>

namespace waxwingfront::tests {

no_descriptors::no_descriptors() {
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before_) == 0);
  const rlimit low{.rlim_cur = std::min<rlim_t>(256, before_.rlim_cur),
                   .rlim_max = before_.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
  for (int copy = 0; (copy = dup(STDOUT_FILENO)) >= 0;) copies_.push_back(copy);
}

no_descriptors::~no_descriptors() {
  for (const int copy : copies_) close(copy);
  setrlimit(RLIMIT_NOFILE, &before_);
}

}  // namespace waxwingfront::tests
