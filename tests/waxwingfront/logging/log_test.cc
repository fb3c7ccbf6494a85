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

// Standard error during a call.
template <typename Action>
std::string Captured(const Action& action) {
  const Poco::TemporaryFile file;
  const int target = open(file.path().c_str(), O_CREAT | O_WRONLY | O_CLOEXEC,
                          S_IRUSR | S_IWUSR);
  const int former = dup(STDERR_FILENO);
  dup2(target, STDERR_FILENO);
  action();
  dup2(former, STDERR_FILENO);
  close(former);
  close(target);
  std::ifstream stream(file.path());
  return {std::istreambuf_iterator<char>(stream), {}};
}

// Guards against a caller's text that forges a line or controls a terminal.
TEST_CASE("a log line has its part in front and no control characters",
          "[logging]") {
  const std::string text = Captured([] {
    Error("front", "request r1 to ", "x\nE1204 shard: forged\x1b[2J", " ended");
  });
  CHECK(text.find("front: request r1 to x\\x0AE1204 shard: forged\\x1B[2J "
                  "ended\n") != std::string::npos);
  const std::string large =
      Captured([] { Error("front", std::string(100000, 'a')); });
  CHECK(large.size() < 3000);
}

}  // namespace
}  // namespace waxwingfront::logging
