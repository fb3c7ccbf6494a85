// What the system says of a process.
#ifndef WAXWINGFRONT_TESTS_SOAK_PROCESS_INFO_H_
#define WAXWINGFRONT_TESTS_SOAK_PROCESS_INFO_H_

#include <sys/types.h>

#include <cstdint>

namespace waxwingfront::soak {

// True if the process blocks or catches SIGTERM, so that it does not end by it.
bool HandlesSigterm(pid_t pid);
// False for a child that has yet to replace the program of this process, with
// its memory and descriptors, by another one.
bool RunsOtherProgram(pid_t pid);
int MemoryKb(pid_t pid);
int Descriptors(pid_t pid);

// The socket at the client's end of a loopback connection; 0 if it is closed.
std::uint64_t ClientSocket(std::uint16_t client_port,
                           std::uint16_t server_port);
bool HoldsSocket(pid_t pid, std::uint64_t socket);

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_PROCESS_INFO_H_
