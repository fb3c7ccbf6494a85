// A pipe whose written text tests read back.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_PIPE_PAIR_H_
#define WAXWINGFRONT_TESTS_SUPPORT_PIPE_PAIR_H_

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

namespace waxwingfront::tests {

struct pipe_pair {
  pipe_pair() { REQUIRE(pipe(ends.data()) == 0); }
  pipe_pair(const pipe_pair&) = delete;
  pipe_pair& operator=(const pipe_pair&) = delete;
  ~pipe_pair() {
    close(ends[0]);
    close(ends[1]);
  }
  // Blocks until something was written.
  std::string Read() const {
    std::string text(65'536, '\0');
    const ssize_t size = read(ends[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }
  std::array<int, 2> ends{};
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_PIPE_PAIR_H_
