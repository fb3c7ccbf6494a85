#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/executor_client.h"
#include "support/loop_runner.h"
#include "waxwingfront/fleet/executor_connections.h"
#include "waxwingfront/net/async_http_client.h"
#include "waxwingfront/net/event_loop.h"

namespace waxwingfront::tests {
namespace {

using asio_tcp = boost::asio::ip::tcp;
using core::milliseconds;

// Answers each request at once, or when told to, and resets connections beyond
// a limit. It never closes one that it has accepted.
class limited_server {
 public:
  limited_server(net::event_loop& loop, std::size_t max_connections)
      : max_connections_(max_connections),
        acceptor_(loop.Context(), asio_tcp::endpoint(asio_tcp::v4(), 0)) {
    Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  std::size_t Connections() const { return connections_.size(); }
  std::size_t Resets() const { return resets_; }
  // Targets of the requests in the order of their arrival.
  const std::vector<std::string>& Targets() const { return targets_; }
  std::size_t Unanswered() const { return unanswered_.size(); }

  void AnswerAll() {
    for (const auto& connection : std::exchange(unanswered_, {})) {
      Answer(*connection);
    }
  }

  // Requests wait until `AnswerAll`.
  bool silent = false;

 private:
  struct connection {
    explicit connection(asio_tcp::socket accepted)
        : socket(std::move(accepted)) {}
    asio_tcp::socket socket;
    std::string input;
    std::array<char, 4096> buffer{};
  };

  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error,
                                  asio_tcp::socket peer) {
      if (error) return;
      if (connections_.size() >= max_connections_) {
        ++resets_;
        peer.set_option(asio_tcp::socket::linger(true, 0));
        peer.close();
      } else {
        connections_.push_back(std::make_shared<connection>(std::move(peer)));
        Read(connections_.back());
      }
      Accept();
    });
  }

  void Read(const std::shared_ptr<connection>& from) {
    from->socket.async_read_some(
        boost::asio::buffer(from->buffer),
        [this, from](const boost::system::error_code& error, std::size_t size) {
          if (error) return;
          from->input.append(from->buffer.data(), size);
          const std::size_t head_end = from->input.find("\r\n\r\n");
          // The requests of these tests have no body or a short one, which
          // arrives with its head.
          if (head_end != std::string::npos) {
            const std::size_t begin = from->input.find(' ') + 1;
            targets_.push_back(from->input.substr(
                begin, from->input.find(' ', begin) - begin));
            from->input.clear();
            if (silent) {
              unanswered_.push_back(from);
            } else {
              Answer(*from);
            }
          }
          Read(from);
        });
  }

  static void Answer(connection& to) {
    constexpr std::string_view kBody = R"({"clock_ms":1,"born":1})";
    boost::asio::write(
        to.socket, boost::asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                       std::to_string(kBody.size()) +
                                       "\r\n\r\n" + std::string(kBody)));
  }

  std::size_t max_connections_;
  asio_tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<connection>> connections_;
  std::vector<std::shared_ptr<connection>> unanswered_;
  std::vector<std::string> targets_;
  std::size_t resets_ = 0;
};

net::http_call CallTo(const limited_server& server, std::string target,
                      net::call_turn turn = net::call_turn::kOrdinary) {
  return {.address = server.Address(),
          .method = "POST",
          .target = std::move(target),
          .max_connections = 2,
          .turn = turn};
}

TEST_CASE("calls to a limited address wait for its connections", "[net]") {
  net::event_loop loop;
  limited_server server(loop, 64);
  net::async_http_client client(loop, {});
  int answered = 0;
  const auto count = [&answered](const core::result<net::http_reply>& reply) {
    if (reply) ++answered;
  };
  for (int i = 0; i < 20; ++i) client.Send(CallTo(server, "/start"), count);
  client.Send(CallTo(server, "/hold", net::call_turn::kReserved), count);
  CHECK(client.Totals().waiting == 19);
  REQUIRE(RunUntil(loop, [&answered] { return answered == 21; }));
  CHECK(server.Connections() <= 2);
  CHECK(client.Totals().waiting == 0);
}

TEST_CASE("a reserved call does not wait for unanswered ordinary ones",
          "[net]") {
  net::event_loop loop;
  limited_server server(loop, 64);
  server.silent = true;
  net::async_http_client client(loop, {});
  const auto ignore = [](const core::result<net::http_reply>&) {};
  for (int i = 0; i < 3; ++i) client.Send(CallTo(server, "/start"), ignore);
  REQUIRE(RunUntil(loop, [&server] { return server.Unanswered() == 1; }));
  client.Send(CallTo(server, "/hold", net::call_turn::kReserved), ignore);
  REQUIRE(RunUntil(loop, [&server] { return server.Unanswered() == 2; }));
  CHECK(server.Targets().back() == "/hold");
}

TEST_CASE("calls that follow each other on a connection leave it free in turn",
          "[net]") {
  constexpr int kCalls = 100;
  net::event_loop loop;
  limited_server server(loop, 64);
  net::async_http_client client(loop, {});
  int answered = 0;
  // Each answer to a start is followed by a hold, and the other way round.
  const std::function<void(net::call_turn)> send = [&](net::call_turn turn) {
    client.Send(CallTo(server, "/call", turn),
                [&, turn](const core::result<net::http_reply>& reply) {
                  if (!reply || ++answered >= kCalls) return;
                  send(turn == net::call_turn::kOrdinary
                           ? net::call_turn::kReserved
                           : net::call_turn::kOrdinary);
                });
  };
  send(net::call_turn::kOrdinary);
  send(net::call_turn::kReserved);
  send(net::call_turn::kOrdinary);
  CHECK(RunUntil(loop, [&answered] { return answered >= kCalls; }));
}

TEST_CASE("urgent calls precede ordinary ones that wait", "[net]") {
  net::event_loop loop;
  limited_server server(loop, 64);
  server.silent = true;
  net::async_http_client client(loop, {});
  int answered = 0;
  const auto count = [&answered](const core::result<net::http_reply>&) {
    ++answered;
  };
  for (int i = 0; i < 3; ++i) client.Send(CallTo(server, "/start"), count);
  client.Send(CallTo(server, "/stop", net::call_turn::kUrgent), count);
  REQUIRE(RunUntil(loop, [&server] { return server.Unanswered() == 1; }));
  server.silent = false;
  server.AnswerAll();
  REQUIRE(RunUntil(loop, [&answered] { return answered == 4; }));
  CHECK(server.Targets() ==
        std::vector<std::string>{"/start", "/stop", "/start", "/start"});
}

TEST_CASE("a call on a connection without an answer does not block its address",
          "[net]") {
  net::event_loop loop;
  limited_server server(loop, 64);
  server.silent = true;
  net::async_http_client client(loop, {});
  net::http_call lost = CallTo(server, "/lost");
  lost.timeout = milliseconds(50);
  lost.late_response_timeout = milliseconds(10'000);
  lost.on_late_response = [](const net::http_reply&) {};
  std::optional<bool> lost_answered;
  client.Send(std::move(lost), [&](const core::result<net::http_reply>& reply) {
    lost_answered = reply.has_value();
  });
  REQUIRE(RunUntil(loop, [&] { return lost_answered.has_value(); }));
  CHECK_FALSE(*lost_answered);
  server.silent = false;
  for (int i = 0; i < 3; ++i) {
    std::optional<bool> answered;
    client.Send(CallTo(server, "/next"),
                [&answered](const core::result<net::http_reply>& reply) {
                  answered = reply.has_value();
                });
    REQUIRE(RunUntil(loop, [&answered] { return answered.has_value(); }));
    CHECK(*answered);
  }
  CHECK(server.Connections() == 2);
}

TEST_CASE("a call that may no longer be sent when its turn comes is not sent",
          "[net]") {
  net::event_loop loop;
  limited_server server(loop, 64);
  server.silent = true;
  net::async_http_client client(loop, {});
  bool leads = true;
  std::vector<std::optional<core::error_code>> outcomes;
  for (int i = 0; i < 3; ++i) {
    net::http_call start = CallTo(server, "/start");
    start.may_send = [&leads] { return leads; };
    client.Send(std::move(start),
                [&outcomes](const core::result<net::http_reply>& reply) {
                  outcomes.push_back(reply ? std::nullopt
                                           : std::optional(reply.error().code));
                });
  }
  REQUIRE(RunUntil(loop, [&server] { return server.Unanswered() == 1; }));
  leads = false;
  server.AnswerAll();
  REQUIRE(RunUntil(loop, [&outcomes] { return outcomes.size() == 3; }));
  CHECK(server.Targets().size() == 1);
  CHECK(outcomes[1] == core::error_code::kNotRun);
  CHECK(outcomes[2] == core::error_code::kNotRun);
}

TEST_CASE("a call that waits too long for a connection counts as expired",
          "[net]") {
  net::event_loop loop;
  limited_server server(loop, 64);
  server.silent = true;
  net::async_http_client client(loop, {});
  client.Send(CallTo(server, "/slow"),
              [](const core::result<net::http_reply>&) {});
  std::optional<core::error_code> outcome;
  net::http_call waiting = CallTo(server, "/waiting");
  waiting.timeout = milliseconds(50);
  client.Send(std::move(waiting),
              [&outcome](const core::result<net::http_reply>& reply) {
                REQUIRE_FALSE(reply);
                outcome = reply.error().code;
              });
  loop.After(milliseconds(100), [&server] { server.AnswerAll(); });
  REQUIRE(RunUntil(loop, [&outcome] { return outcome.has_value(); }));
  CHECK(outcome == core::error_code::kOverloaded);
  CHECK(client.Totals().expired == 1);
}

TEST_CASE("a server that resets new connections is called on the one it has",
          "[net]") {
  net::event_loop loop;
  limited_server server(loop, 1);
  net::async_http_client client(loop, {});
  int answered = 0;
  int failed = 0;
  const auto count = [&](const core::result<net::http_reply>& reply) {
    ++(reply ? answered : failed);
  };
  client.Send(CallTo(server, "/hold", net::call_turn::kReserved), count);
  REQUIRE(RunUntil(loop, [&answered] { return answered == 1; }));
  server.silent = true;
  client.Send(CallTo(server, "/hold", net::call_turn::kReserved), count);
  client.Send(CallTo(server, "/start"), count);
  REQUIRE(RunUntil(loop, [&failed] { return failed == 1; }));
  CHECK(client.Totals().resets == 1);
  client.Send(CallTo(server, "/start"), count);
  server.silent = false;
  server.AnswerAll();
  REQUIRE(RunUntil(loop, [&answered] { return answered == 3; }));
  CHECK(server.Resets() == 1);
  CHECK(client.Totals().connections == 2);
}

TEST_CASE(
    "leaders that are lost leave their successor connections to executors",
    "[net]") {
  constexpr int kLostLeaders = 24;
  constexpr int kStarts = 10;
  constexpr std::size_t kMaxConnections = 64;
  net::event_loop loop;
  limited_server executor(loop, kMaxConnections);
  const std::optional<fleet::manifest> manifest = fleet::manifest{
      .services = {{.name = "s", .max_connections = kMaxConnections}}};
  // Clients that are not used any more close nothing, like a machine that is
  // gone.
  std::vector<std::unique_ptr<net::async_http_client>> lost;
  for (int leader = 0; leader <= kLostLeaders; ++leader) {
    lost.push_back(std::make_unique<net::async_http_client>(
        loop, net::async_http_client_options{}));
    const fleet::executor_services services = platform::MakeExecutorServices(
        *lost.back(), "", nullptr,
        [&manifest] { return fleet::ConnectionsPerExecutor(manifest); });
    int confirmed = 0;
    int held = 0;
    for (int i = 0; i < kStarts; ++i) {
      services.start(executor.Address(), {.executor = "e"}, leader + 1, 1000,
                     [&confirmed](fleet::start_outcome outcome) {
                       confirmed += outcome == fleet::start_outcome::kAccepted;
                     });
    }
    services.hold({.address = executor.Address(), .executor = "e"},
                  [&held](const core::result<fleet::hold_report>& report) {
                    held += report.has_value();
                  });
    CHECK(RunUntil(loop, [&] { return confirmed == kStarts && held == 1; }));
  }
  CHECK(executor.Resets() == 0);
}

}  // namespace
}  // namespace waxwingfront::tests
