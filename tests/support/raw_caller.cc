#include "support/raw_caller.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <array>

namespace waxwingfront::tests {
namespace {

constexpr int kReadTimeoutSeconds = 20;
constexpr std::size_t kChunkBytes = 4096;

}  // namespace

raw_caller::raw_caller(const std::string& address)
    : socket_(Poco::Net::SocketAddress(address)) {
  socket_.setReceiveTimeout(Poco::Timespan(kReadTimeoutSeconds, 0));
}

bool raw_caller::Send(std::string_view bytes) {
  try {
    while (!bytes.empty()) {
      const int sent =
          socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  } catch (const Poco::Exception& /*closed*/) {
    return false;
  }
}

void raw_caller::EndOutput() { socket_.shutdownSend(); }

bool raw_caller::HasInput() {
  return socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
}

std::string raw_caller::ReadAll() {
  std::string all;
  std::array<char, kChunkBytes> chunk{};
  try {
    int count = 0;
    while ((count = socket_.receiveBytes(chunk.data(), chunk.size())) > 0)
      all.append(chunk.data(), static_cast<std::size_t>(count));
  } catch (const Poco::TimeoutException& /*open*/) {
    return "";
  } catch (const Poco::Exception& /*reset*/) {
    return all;
  }
  return all;
}

std::string RawCall(const std::string& address, std::string_view bytes) {
  raw_caller caller(address);
  caller.Send(bytes);
  return caller.ReadAll();
}

}  // namespace waxwingfront::tests
