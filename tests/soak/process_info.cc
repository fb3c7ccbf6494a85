#include "soak/process_info.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <string>

namespace waxwingfront::soak {
namespace {

struct socket_query {
  nlmsghdr header;
  inet_diag_req_v2 body;
};

std::filesystem::path DescriptorsOf(pid_t pid) {
  return "/proc/" + std::to_string(pid) + "/fd";
}

}  // namespace

bool HandlesSigterm(pid_t pid) {
  constexpr int kHexadecimal = 16;
  constexpr std::uint64_t kSigterm = std::uint64_t{1} << (SIGTERM - 1);
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::uint64_t masks = 0;
  for (std::string word; file >> word;) {
    if (word != "SigBlk:" && word != "SigCgt:") continue;
    file >> word;
    masks |= std::stoull(word, nullptr, kHexadecimal);
  }
  return (masks & kSigterm) != 0;
}

bool RunsOtherProgram(pid_t pid) {
  std::error_code gone;
  const auto program = std::filesystem::read_symlink(
      "/proc/" + std::to_string(pid) + "/exe", gone);
  return !gone && program != std::filesystem::read_symlink("/proc/self/exe");
}

int MemoryKb(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (file >> word) {
    if (word != "VmRSS:") continue;
    int kb = 0;
    file >> kb;
    return kb;
  }
  return 0;
}

int Descriptors(pid_t pid) {
  std::error_code gone;
  const std::filesystem::directory_iterator files(
      "/proc/" + std::to_string(pid) + "/fd", gone);
  return gone ? 0 : static_cast<int>(std::distance(begin(files), end(files)));
}

std::uint64_t ClientSocket(std::uint16_t client_port,
                           std::uint16_t server_port) {
  socket_query query{};
  query.header = {.nlmsg_len = sizeof(query),
                  .nlmsg_type = SOCK_DIAG_BY_FAMILY,
                  .nlmsg_flags = NLM_F_REQUEST,
                  .nlmsg_seq = 0,
                  .nlmsg_pid = 0};
  query.body.sdiag_family = AF_INET;
  query.body.sdiag_protocol = IPPROTO_TCP;
  query.body.idiag_states = ~0U;
  query.body.id.idiag_sport = htons(client_port);
  query.body.id.idiag_dport = htons(server_port);
  query.body.id.idiag_src[0] = htonl(INADDR_LOOPBACK);
  query.body.id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
  query.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
  query.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
  const int link =
      socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
  std::array<char, 4096> answer{};
  const bool sent = send(link, &query, sizeof(query), 0) == sizeof(query);
  const ssize_t size = sent ? recv(link, answer.data(), answer.size(), 0) : 0;
  close(link);
  nlmsghdr header{};
  inet_diag_msg found{};
  if (size < static_cast<ssize_t>(NLMSG_HDRLEN + sizeof(found))) return 0;
  std::memcpy(&header, answer.data(), sizeof(header));
  if (header.nlmsg_type != SOCK_DIAG_BY_FAMILY) return 0;
  std::memcpy(&found, answer.data() + NLMSG_HDRLEN, sizeof(found));
  return found.idiag_inode;
}

bool HoldsSocket(pid_t pid, std::uint64_t socket) {
  const std::string name = "socket:[" + std::to_string(socket) + "]";
  std::error_code failure;
  std::filesystem::directory_iterator files(DescriptorsOf(pid), failure);
  while (!failure && files != std::filesystem::directory_iterator()) {
    std::error_code closed;
    if (read_symlink(files->path(), closed) == name) return true;
    files.increment(failure);
  }
  return false;
}

}  // namespace waxwingfront::soak
