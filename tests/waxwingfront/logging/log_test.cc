#include "waxwingfront/logging/log.h"

#include <Poco/TemporaryFile.h>
#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>
#include <string>

namespace waxwingfront::logging {
namespace {

// Returns what `action` writes to standard error.
template <typename Action>
std::string CaptureStderr(const Action& action) {
  const Poco::TemporaryFile file;
  const int target = open(file.path().c_str(), O_CREAT | O_WRONLY | O_CLOEXEC,
                          S_IRUSR | S_IWUSR);
  const int saved = dup(STDERR_FILENO);
  dup2(target, STDERR_FILENO);
  action();
  dup2(saved, STDERR_FILENO);
  close(saved);
  close(target);
  std::ifstream stream(file.path());
  return {std::istreambuf_iterator<char>(stream), {}};
}

// Guards against text from a caller that forges a line or controls a terminal.
TEST_CASE("a log line starts with its module and has no control characters",
          "[logging]") {
  const std::string text = CaptureStderr([] {
    Error("front", "request r1 to ", "x\nE1204 shard: forged\x1b[2J", " ended");
  });
  CHECK(text.find("front: request r1 to x\\x0AE1204 shard: forged\\x1B[2J "
                  "ended\n") != std::string::npos);
  const std::string large =
      CaptureStderr([] { Error("front", std::string(100000, 'a')); });
  CHECK(large.size() < 3000);
}

}  // namespace
}  // namespace waxwingfront::logging
