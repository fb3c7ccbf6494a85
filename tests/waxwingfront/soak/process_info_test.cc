#include "soak/process_info.h"

#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>

#include "support/child_process.h"

namespace waxwingfront::tests {

TEST_CASE(
    "a child that shares the soak's descriptors is not taken for a process of "
    "the site",
    "[soak]") {
  const pid_t fork_only = fork();
  if (fork_only == 0) {
    pause();
    _exit(0);
  }
  CHECK_FALSE(soak::RunsOtherProgram(fork_only));
  kill(fork_only, SIGKILL);
  waitpid(fork_only, nullptr, 0);
  CHECK_FALSE(soak::RunsOtherProgram(fork_only));

  const child_process other("/bin/sh", {"-c", "echo ready; exec sleep 60"});
  REQUIRE(other.ReadLine() == "ready");
  CHECK(soak::RunsOtherProgram(other.Id()));
}

}  // namespace waxwingfront::tests
