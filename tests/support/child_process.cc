#include "support/child_process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>

namespace waxwingfront::tests {

child_process::child_process(const std::string& program,
                             const std::vector<std::string>& arguments) {
  std::array<int, 2> pipe_ends{};
  if (pipe2(pipe_ends.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("no pipe");
  posix_spawn_file_actions_t actions{};
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_ends[1], STDOUT_FILENO);
  std::vector<std::string> command_line{program};
  command_line.insert(command_line.end(), arguments.begin(), arguments.end());
  std::vector<char*> argv;
  argv.reserve(command_line.size() + 1);
  for (std::string& argument : command_line) argv.push_back(argument.data());
  argv.push_back(nullptr);
  const int status = posix_spawn(&id_, program.c_str(), &actions, nullptr,
                                 argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  close(pipe_ends[1]);
  output_ = pipe_ends[0];
  if (status != 0) throw std::runtime_error("cannot start " + program);
}

child_process::~child_process() {
  if (id_ > 0) {
    kill(id_, SIGKILL);
    Wait();
  }
  close(output_);
}

std::string child_process::ReadLine() const {
  std::string line;
  char character = 0;
  while (read(output_, &character, 1) == 1 && character != '\n')
    line += character;
  return line;
}

void child_process::Signal(int number) const { kill(id_, number); }

int child_process::Wait() {
  int status = 0;
  waitpid(id_, &status, 0);
  id_ = -1;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

std::string FreeAddress() {
  // The socket stays bound as long as the test runs, so that the system assigns
  // the port to no other process; a server with SO_REUSEADDR can still listen
  // on it.
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int reuse = 1;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  auto* const generic = reinterpret_cast<sockaddr*>(&address);
  if (descriptor < 0 ||
      setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse)) !=
          0 ||
      bind(descriptor, generic, size) != 0 ||
      getsockname(descriptor, generic, &size) != 0) {
    throw std::runtime_error("cannot reserve a port");
  }
  return "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
}

}  // namespace waxwingfront::tests
