#include "soak/fault_proxy.h"

#include <algorithm>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/system_error.hpp>
#include <cstdint>
#include <future>
#include <thread>
#include <utility>
#include <vector>

#include "review/standin/http.h"
#include "soak/fault_link.h"

namespace waxwingfront::soak {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using failure_code = boost::system::error_code;

constexpr int kBacklog = 512;
constexpr int kBindAttempts = 20;
constexpr std::chrono::milliseconds kAcceptPause{20};

tcp::endpoint Loopback(std::uint16_t port) {
  return {asio::ip::address_v4::loopback(), port};
}

tcp::endpoint Parse(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))};
}

// Opens and binds `acceptor`; it refuses connections until it listens.
failure_code Bind(tcp::acceptor& acceptor, std::uint16_t port) {
  failure_code failure;
  acceptor.open(tcp::v4(), failure);
  acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  acceptor.bind(Loopback(port), failure);
  if (failure) acceptor.close();
  return failure;
}

}  // namespace

struct fault_proxy::internal {
  internal(const std::string& target_address, link_rewriting changes)
      : target(Parse(target_address)),
        rewriting(std::move(changes)),
        acceptor(context),
        pause(context),
        work(asio::make_work_guard(context)) {}

  void Accept();
  void OnAccept(const failure_code& failure, tcp::socket client);
  void Apply(link_fault next);
  void Listen();
  void Refuse();
  void Sweep();

  tcp::endpoint target;
  link_rewriting rewriting;
  asio::io_context context{1};
  tcp::acceptor acceptor;
  asio::steady_timer pause;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::uint16_t port = 0;
  link_fault fault;
  link_finder find_machine = [](std::uint16_t, std::uint16_t) {
    return nullptr;
  };
  std::vector<std::shared_ptr<fault_link>> links;
  std::thread thread;
};

fault_proxy::fault_proxy(std::string target_address)
    : fault_proxy(std::move(target_address), link_rewriting{}) {}

fault_proxy::fault_proxy(std::string target_address, link_rewriting rewriting)
    : internal_(
          std::make_unique<internal>(target_address, std::move(rewriting))) {
  failure_code failure;
  for (int i = 0; i < kBindAttempts; ++i) {
    internal_->port = review::FreePort();
    failure = Bind(internal_->acceptor, internal_->port);
    if (!failure) break;
  }
  if (failure) throw boost::system::system_error(failure, "fault_proxy");
  address_ = "127.0.0.1:" + std::to_string(internal_->port);
  internal_->Listen();
  internal_->thread = std::thread([this] { internal_->context.run(); });
}

fault_proxy::~fault_proxy() {
  ResetAll();
  internal_->context.stop();
  internal_->thread.join();
}

void fault_proxy::Run(const std::function<void()>& action) {
  std::promise<void> done;
  asio::post(internal_->context, [&] {
    action();
    done.set_value();
  });
  done.get_future().wait();
}

void fault_proxy::Set(link_fault fault) {
  Run([&] { internal_->Apply(fault); });
}

void fault_proxy::SetMachines(link_finder find) {
  Run([&] { internal_->find_machine = std::move(find); });
}

void fault_proxy::ResetAll() {
  Run([this] {
    for (const auto& link : internal_->links) link->Reset();
    internal_->links.clear();
  });
}

void fault_proxy::FreezeOpen() {
  Run([this] {
    for (const auto& link : internal_->links) link->Freeze();
  });
}

std::size_t fault_proxy::OpenCount() {
  std::size_t count = 0;
  Run([&] {
    internal_->Sweep();
    count = internal_->links.size();
  });
  return count;
}

void fault_proxy::internal::Sweep() {
  std::erase_if(links, [](const auto& link) { return !link->IsOpen(); });
}

void fault_proxy::internal::Accept() {
  acceptor.async_accept(
      [this](const failure_code& failure, tcp::socket client) {
        OnAccept(failure, std::move(client));
      });
}

void fault_proxy::internal::OnAccept(const failure_code& failure,
                                     tcp::socket client) {
  if (failure == asio::error::operation_aborted) return;
  if (failure) {
    // Out of descriptors, for example.
    pause.expires_after(kAcceptPause);
    pause.async_wait([this](const failure_code& stopped) {
      if (!stopped) Accept();
    });
    return;
  }
  Sweep();
  failure_code gone;
  const tcp::endpoint caller = client.remote_endpoint(gone);
  machine_link* const machine =
      gone ? nullptr : find_machine(caller.port(), port);
  links.push_back(std::make_shared<fault_link>(std::move(client), target, fault,
                                               rewriting, machine));
  links.back()->Resume();
  Accept();
}

void fault_proxy::internal::Apply(link_fault next) {
  const bool refused = fault.refuse;
  fault = next;
  if (fault.refuse && !refused) Refuse();
  if (!fault.refuse && refused) Listen();
  for (const auto& link : links) link->Resume();
}

void fault_proxy::internal::Listen() {
  acceptor.listen(kBacklog);
  Accept();
}

void fault_proxy::internal::Refuse() {
  pause.cancel();
  acceptor.close();
  // Bound again, so that no other process takes the port.
  const failure_code failure = Bind(acceptor, port);
  if (failure) throw boost::system::system_error(failure, "fault_proxy");
}

}  // namespace waxwingfront::soak
