#include "waxwingfront/logging/event_log.h"

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

namespace waxwingfront::tests {
namespace {

struct pipe_pair {
  pipe_pair() { REQUIRE(pipe(ends.data()) == 0); }
  ~pipe_pair() {
    close(ends[0]);
    close(ends[1]);
  }
  std::string Read() const {
    std::string text(65'536, '\0');
    const ssize_t size = read(ends[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }
  std::array<int, 2> ends{};
};

TEST_CASE("an event is written as one JSON line with its fields", "[logging]") {
  const pipe_pair stream;
  logging::event_log log({.descriptor = stream.ends[1]});
  log.SetNode("front-1");
  log.Write("job_refused", {{"job", "a\"b"}, {"waiting", 12}});
  log.Flush();
  const std::string line = stream.Read();
  CHECK(line.find(R"("node":"front-1","event":"job_refused")") !=
        std::string::npos);
  CHECK(line.find(R"("job":"a\"b","waiting":12})") != std::string::npos);
  CHECK(line.back() == '\n');
}

TEST_CASE(
    "a stalled reader never blocks the log, and dropped lines are counted",
    "[logging]") {
  const pipe_pair stream;
  logging::event_log log({.max_buffer_bytes = 10'000,
                          .max_lines_per_second = 1'000'000,
                          .descriptor = stream.ends[1]});
  for (int i = 0; i < 20'000; ++i) {
    log.Write("event", {{"number", i}});
    if (i % 50 == 0) log.Flush();
  }
  CHECK(log.Dropped() > 0);
}

TEST_CASE("lines of one event are rate-limited, and dropped lines are reported",
          "[logging]") {
  const pipe_pair stream;
  logging::event_log log(
      {.max_lines_per_second = 10, .descriptor = stream.ends[1]});
  for (int i = 0; i < 500; ++i) log.Write("event", {{"number", i}});
  // At most 10 lines per second are kept, and the loop may span two seconds.
  CHECK(log.Dropped() >= 480);
  log.Flush();
  CHECK(stream.Read().find("log_dropped") != std::string::npos);
}

}  // namespace
}  // namespace waxwingfront::tests
