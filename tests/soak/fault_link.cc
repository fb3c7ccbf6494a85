#include "soak/fault_link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace waxwingfront::soak {
namespace {

namespace asio = boost::asio;

// Bytes held in one direction; reading pauses above this.
constexpr std::size_t kHeldBytes = 1U << 20U;

}  // namespace

fault_link::fault_link(tcp::socket client, const tcp::endpoint& target,
                       const link_fault& fault, const link_rewriting& rewriting,
                       machine_link* machine)
    : client_(std::move(client)),
      server_(client_.get_executor()),
      target_(target),
      fault_(fault),
      to_target_{.from = client_,
                 .to = server_,
                 .silent = fault.silent_to_target,
                 .rewrite = rewriting.to_target,
                 .rate = machine == nullptr ? nullptr : &machine->to_target,
                 .timer = asio::steady_timer(client_.get_executor())},
      to_client_{.from = server_,
                 .to = client_,
                 .silent = fault.silent_to_client,
                 .rewrite = rewriting.to_client,
                 .rate = machine == nullptr ? nullptr : &machine->to_client,
                 .timer = asio::steady_timer(client_.get_executor())} {
  failure_code ignored;
  client_.set_option(tcp::no_delay(true), ignored);
}

void fault_link::Resume() {
  if (frozen_ || !client_.is_open()) return;
  if (!connected_) {
    Connect();
    return;
  }
  Pass(to_target_);
  Pass(to_client_);
}

void fault_link::Connect() {
  if (connecting_ || fault_.silent_to_target) return;
  connecting_ = true;
  server_.async_connect(
      target_, [self = shared_from_this()](const failure_code& failure) {
        if (!self->client_.is_open()) return;
        if (failure) {
          self->Reset();
          return;
        }
        failure_code ignored;
        self->server_.set_option(tcp::no_delay(true), ignored);
        self->connected_ = true;
        self->Read(self->to_target_);
        self->Read(self->to_client_);
      });
}

void fault_link::Read(flow& one) {
  if (one.reading || one.end != flow_end::kNone || !one.from.is_open()) return;
  if (one.held_bytes >= kHeldBytes) return;
  one.reading = true;
  one.from.async_read_some(asio::buffer(one.input),
                           [self = shared_from_this(), &one](
                               const failure_code& failure, std::size_t count) {
                             self->OnRead(one, failure, count);
                           });
}

void fault_link::OnRead(flow& one, const failure_code& failure,
                        std::size_t count) {
  one.reading = false;
  if (failure == asio::error::operation_aborted) return;
  if (frozen_) {
    if (failure) {
      ResetSocket(one.from);
    } else {
      Read(one);
    }
    return;
  }
  if (failure && failure != asio::error::eof) {
    OnReset(one);
    return;
  }
  if (failure) {
    one.end = flow_end::kEof;
  } else {
    std::string bytes(one.input.data(), count);
    one.rewrite(bytes);
    one.held.push_back(
        {.due = clock::now() + fault_.delay, .bytes = std::move(bytes)});
    one.held_bytes += count;
  }
  Pass(one);
  Read(one);
}

void fault_link::Pass(flow& one) {
  if (frozen_ || one.silent || one.writing) return;
  if (one.held.empty()) {
    PassEnd(one);
    return;
  }
  if (!one.to.is_open()) return;
  chunk& next = one.held.front();
  const clock::time_point now = clock::now();
  if (next.due <= now && one.rate != nullptr && !next.carried) {
    // One chunk of a connection at a time, so that connections share the link.
    next.carried = true;
    next.due = one.rate->Carry(next.bytes.size(), now);
  }
  if (next.due > now) {
    one.timer.expires_at(next.due);
    one.timer.async_wait(
        [self = shared_from_this(), &one](const failure_code& failure) {
          if (!failure) self->Pass(one);
        });
    return;
  }
  one.writing = true;
  asio::async_write(one.to, asio::buffer(next.bytes),
                    [self = shared_from_this(), &one](
                        const failure_code& failure, std::size_t) {
                      self->OnWritten(one, failure);
                    });
}

void fault_link::OnWritten(flow& one, const failure_code& failure) {
  one.writing = false;
  if (failure == asio::error::operation_aborted) return;
  if (frozen_) return;
  if (failure) {
    OnReset(Opposite(one));
    return;
  }
  one.held_bytes -= one.held.front().bytes.size();
  one.held.pop_front();
  if (one.end == flow_end::kReset) DropHeld(one);
  Pass(one);
  Read(one);
}

void fault_link::PassEnd(flow& one) {
  if (one.end == flow_end::kReset) {
    Reset();
    return;
  }
  if (one.end != flow_end::kEof || one.end_passed) return;
  one.end_passed = true;
  failure_code ignored;
  one.to.shutdown(tcp::socket::shutdown_send, ignored);
  if (!Opposite(one).end_passed) return;
  client_.close(ignored);
  server_.close(ignored);
}

void fault_link::OnReset(flow& one) {
  if (one.end == flow_end::kReset) return;
  one.end = flow_end::kReset;
  // A write uses the bytes until it is complete.
  if (!one.writing) DropHeld(one);
  ResetSocket(one.from);
  Pass(one);
}

void fault_link::DropHeld(flow& one) {
  one.held.clear();
  one.held_bytes = 0;
}

void fault_link::ResetSocket(tcp::socket& socket) {
  failure_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

void fault_link::Reset() {
  to_target_.timer.cancel();
  to_client_.timer.cancel();
  ResetSocket(client_);
  ResetSocket(server_);
}

void fault_link::Freeze() {
  frozen_ = true;
  to_target_.timer.cancel();
  to_client_.timer.cancel();
  if (!connected_) return;
  // Read on, so that sockets that the peers close are noticed.
  if (!to_target_.writing) DropHeld(to_target_);
  if (!to_client_.writing) DropHeld(to_client_);
  Read(to_target_);
  Read(to_client_);
}

}  // namespace waxwingfront::soak
