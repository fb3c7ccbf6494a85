#include "gate.h"

#include <chrono>
#include <string_view>
#include <thread>

#include "text.h"

namespace waxwingfront::review_2 {
namespace {

constexpr std::chrono::milliseconds kCheck{5};
constexpr std::string_view kValue = "\"value\":\"";

std::string Local(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

void Replace(std::string& text,
             const std::vector<std::pair<std::string, std::string>>& table) {
  for (const auto& [from, to] : table) {
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size())) {
      text.replace(at, from.size(), to);
    }
  }
}

// Replaces addresses in keys and in values, which are base64 text. All ports
// have five digits, so that the lengths within values stay true.
void Translate(std::string& body,
               const std::vector<std::pair<std::string, std::string>>& table) {
  Replace(body, table);
  for (std::size_t at = body.find(kValue); at != std::string::npos;
       at = body.find(kValue, at)) {
    at += kValue.size();
    const std::size_t size = body.find('"', at) - at;
    std::string value = Decode(body.substr(at, size));
    Replace(value, table);
    value = Encode(value);
    body.replace(at, size, value);
    at += value.size();
  }
}

}  // namespace

gate::gate(store& platform, const std::vector<std::uint16_t>& internal_ports)
    : platform_(platform) {
  for (const std::uint16_t port : internal_ports) {
    auto process = std::make_unique<process_state>();
    process->proxy = std::make_unique<tcp_proxy>(port);
    const std::string own = Local(port);
    const std::string known = Local(process->proxy->Port());
    process->written = {{own, known}};
    process->read = {{known, own}};
    process->server = std::make_unique<http_server>(
        [this, state = process.get()](const http_request& request) {
          return Handle(*state, request);
        });
    processes_.push_back(std::move(process));
  }
}

std::string gate::StoreAddress(std::size_t process) const {
  return processes_[process]->server->Address();
}

std::uint16_t gate::KnownPort(std::size_t process) const {
  return processes_[process]->proxy->Port();
}

void gate::SetCut(std::size_t process, bool cut) {
  processes_[process]->cut = cut;
  // Each channel between processes passes one proxy; those of the others fall
  // silent as well, since they carry what the process sends.
  for (const auto& one : processes_) one->proxy->SetSilent(cut);
}

http_response gate::Handle(process_state& process, http_request request) {
  const auto await_path = [&process] {
    while (process.cut) std::this_thread::sleep_for(kCheck);
  };
  await_path();
  Translate(request.body, process.written);
  for (auto& [name, value] : request.query) Replace(value, process.written);
  http_response response = platform_.Handle(request);
  await_path();
  Translate(response.body, process.read);
  return response;
}

}  // namespace waxwingfront::review_2
