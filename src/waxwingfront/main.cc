// The `waxwingfront` program.
#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

#include "waxwingfront/cli/command_line.h"

namespace {

// Sockets would otherwise take the numbers of closed standard streams, and
// receive what is written to these.
void OpenStandardStreams() {
  for (int stream = STDIN_FILENO; stream <= STDERR_FILENO; ++stream) {
    if (fcntl(stream, F_GETFD) < 0 && errno == EBADF) {
      open("/dev/null", O_RDWR);
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  OpenStandardStreams();
  return waxwingfront::cli::RunCommandLine(argc, argv);
}
