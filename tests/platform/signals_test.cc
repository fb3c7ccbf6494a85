// Signals to a `waxwingfront platform` process at any time of its life.
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <thread>

#include "support/platform_process.h"
#include "support/process_site.h"
#include "waxwingfront/core/clock.h"

namespace waxwingfront::tests {
namespace {

constexpr const char* kShortGrace = "bounds.grace_s=1\n";

// Replaces a settings file by a named pipe, so that a process that reads it
// waits for `Write`.
class settings_pipe {
 public:
  explicit settings_pipe(const platform_process& node) : node_(node) {
    std::remove(node.Path().c_str());
    REQUIRE(mkfifo(node.Path().c_str(), S_IRUSR | S_IWUSR) == 0);
  }
  settings_pipe(const settings_pipe&) = delete;
  settings_pipe& operator=(const settings_pipe&) = delete;
  ~settings_pipe() { close(writer_); }

  bool AwaitReader() {
    return AwaitCondition([this] {
      writer_ = open(node_.Path().c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
      return writer_ >= 0;
    });
  }

  // Sends the settings and puts the file back for later reads.
  void Write() {
    const std::string& text = node_.Settings();
    REQUIRE(write(writer_, text.data(), text.size()) ==
            static_cast<ssize_t>(text.size()));
    std::remove(node_.Path().c_str());
    node_.WriteSettings(text);
  }

 private:
  const platform_process& node_;
  int writer_ = -1;
};

TEST_CASE("a signal during the start does not end the process abnormally",
          "[process][shutdown]") {
  const int number = GENERATE(SIGHUP, SIGTERM, SIGINT);
  platform_process node(kShortGrace);
  {
    settings_pipe pipe(node);
    node.Start();
    REQUIRE(pipe.AwaitReader());
    node.Process().Signal(number);
    pipe.Write();
  }
  if (number == SIGHUP) {
    CHECK(node.AwaitEvent("reload"));
    node.Process().Signal(SIGTERM);
  }
  CHECK(node.Process().Wait() == 0);
}

TEST_CASE("repeated signals at the end do not end the process abnormally",
          "[process][shutdown]") {
  const int number = GENERATE(SIGHUP, SIGTERM, SIGINT);
  for (int i = 0; i < 5; ++i) {
    platform_process node(kShortGrace);
    node.Start();
    REQUIRE(node.AwaitEvent("start"));
    node.Process().Signal(SIGTERM);
    std::atomic<bool> ended{false};
    std::thread sender([&node, &ended, number] {
      while (!ended) {
        node.Process().Signal(number);
        std::this_thread::sleep_for(core::milliseconds(1));
      }
    });
    const bool stopped = node.AwaitEvent("stop");
    // The end of the output is the end of the process.
    while (!node.Process().ReadLine().empty()) {
    }
    ended = true;
    sender.join();
    CHECK(stopped);
    CHECK(node.Process().Wait() == 0);
  }
}

TEST_CASE("SIGTERM ends a process whose starter had blocked it",
          "[process][shutdown]") {
  platform_process node(kShortGrace);
  sigset_t blocked;
  sigset_t before;
  sigemptyset(&blocked);
  sigaddset(&blocked, SIGTERM);
  pthread_sigmask(SIG_BLOCK, &blocked, &before);
  node.Start();
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  REQUIRE(node.AwaitEvent("start"));
  node.Process().Signal(SIGTERM);
  CHECK(node.AwaitEvent("end_requested"));
}

}  // namespace
}  // namespace waxwingfront::tests
