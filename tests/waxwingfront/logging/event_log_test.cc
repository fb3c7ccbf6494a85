#include "waxwingfront/logging/event_log.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "support/pipe_pair.h"

namespace waxwingfront::tests {
namespace {

// Returns the number of lines of `event` in `text`.
std::size_t LinesOf(const std::string& text, const std::string& event) {
  const std::string name = R"("event":")" + event + '"';
  std::size_t lines = 0;
  for (std::size_t at = text.find(name); at != std::string::npos;
       at = text.find(name, at + 1)) {
    ++lines;
  }
  return lines;
}

// Returns the number of lines of `event` that `text` reports as dropped.
std::size_t DroppedOf(const std::string& text, const std::string& event) {
  const std::string start =
      R"("event":"log_dropped","of":")" + event + R"(","lines":)";
  const std::size_t found = text.find(start);
  if (found == std::string::npos) return 0;
  return std::stoul(text.substr(found + start.size()));
}

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

TEST_CASE("dropped lines are reported by event, once", "[logging]") {
  const pipe_pair stream;
  logging::event_log log(
      {.max_lines_per_second = 10, .descriptor = stream.ends[1]});
  for (int i = 0; i < 300; ++i) log.Write("first", {{"number", i}});
  for (int i = 0; i < 200; ++i) log.Write("second", {{"number", i}});
  log.Write("third", {});
  log.Flush();
  log.Flush();
  const std::string text = stream.Read();
  CHECK(DroppedOf(text, "first") + LinesOf(text, "first") == 300);
  CHECK(DroppedOf(text, "second") + LinesOf(text, "second") == 200);
  CHECK(LinesOf(text, "log_dropped") == 2);
}

TEST_CASE("drops of an earlier second are still reported", "[logging]") {
  const pipe_pair stream;
  logging::event_log log(
      {.max_lines_per_second = 1, .descriptor = stream.ends[1]});
  constexpr std::size_t kLines = 3;
  for (std::size_t i = 0; i < kLines; ++i) {
    log.Write("event", {});
    log.Write("event", {});
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
  }
  log.Flush();
  const std::string text = stream.Read();
  CHECK(DroppedOf(text, "event") + LinesOf(text, "event") == 2 * kLines);
}

TEST_CASE("ordinary lines do not use up the budget of urgent ones",
          "[logging]") {
  // Else the lines of an interrupted task are missing in just the seconds in
  // which many tasks are placed.
  const pipe_pair stream;
  logging::event_log log({.max_lines_per_second = 10,
                          .max_urgent_lines_per_second = 20,
                          .descriptor = stream.ends[1]});
  for (int i = 0; i < 500; ++i) log.Write("event", {{"number", i}});
  for (int i = 0; i < 20; ++i) {
    log.Write("event", {{"urgent", i}}, logging::line_priority::kUrgent);
  }
  log.Flush();
  const std::string text = stream.Read();
  for (int i = 0; i < 20; ++i) {
    CHECK(text.find("\"urgent\":" + std::to_string(i) + "}") !=
          std::string::npos);
  }
}

TEST_CASE("urgent lines are rate-limited as well", "[logging]") {
  const pipe_pair stream;
  logging::event_log log(
      {.max_urgent_lines_per_second = 10, .descriptor = stream.ends[1]});
  for (int i = 0; i < 300; ++i) {
    log.Write("event", {{"number", i}}, logging::line_priority::kUrgent);
  }
  // The loop may span two seconds.
  CHECK(log.Dropped() >= 280);
  log.Flush();
  CHECK(stream.Read().find(R"("urgent":2)") != std::string::npos);
}

TEST_CASE("a stalled reader leaves room for some urgent lines", "[logging]") {
  const pipe_pair stream;
  logging::event_log log({.max_buffer_bytes = 2'000,
                          .urgent_buffer_bytes = 1'000,
                          .max_lines_per_second = 1'000'000,
                          .max_urgent_lines_per_second = 1'000'000,
                          .descriptor = stream.ends[1]});
  for (int i = 0; i < 1'000; ++i) log.Write("event", {{"number", i}});
  for (int i = 0; i < 1'000; ++i) {
    log.Write("event", {{"urgent", i}}, logging::line_priority::kUrgent);
  }
  log.Flush();
  const std::string text = stream.Read();
  CHECK(text.find(R"("urgent":0})") != std::string::npos);
  constexpr std::size_t kLongestLine = 100;
  CHECK(text.size() <= 3'000 + kLongestLine);
}

TEST_CASE("fields in a container are written like listed ones", "[logging]") {
  const pipe_pair stream;
  logging::event_log log({.descriptor = stream.ends[1]});
  const std::vector<logging::event_field> fields = {{"job", "a"},
                                                    {"waiting", 12}};
  log.Write("job_refused", fields);
  log.Flush();
  CHECK(stream.Read().find(R"("job":"a","waiting":12})") != std::string::npos);
}

TEST_CASE("each line and flush is within the hooks for its work", "[logging]") {
  const pipe_pair stream;
  logging::event_log log(
      {.max_lines_per_second = 1, .descriptor = stream.ends[1]});
  int begun = 0;
  int ended = 0;
  log.on_work_begin = [&] {
    CHECK(begun == ended);
    ++begun;
  };
  log.on_work_end = [&] { ++ended; };
  // The second line is over the limit.
  log.Write("event", {});
  log.Write("event", {});
  log.Flush();
  CHECK(begun == 3);
  CHECK(ended == 3);
}

}  // namespace
}  // namespace waxwingfront::tests
