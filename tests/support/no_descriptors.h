// Uses up the descriptors of the test process.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_NO_DESCRIPTORS_H_
#define WAXWINGFRONT_TESTS_SUPPORT_NO_DESCRIPTORS_H_

#include <sys/resource.h>

#include <vector>

namespace waxwingfront::tests {

// No descriptor is free while it exists, except those that are closed in the
// meantime.
class no_descriptors {
 public:
  no_descriptors();
  no_descriptors(const no_descriptors&) = delete;
  no_descriptors& operator=(const no_descriptors&) = delete;
  ~no_descriptors();

 private:
  rlimit before_{};
  std::vector<int> copies_;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_NO_DESCRIPTORS_H_
