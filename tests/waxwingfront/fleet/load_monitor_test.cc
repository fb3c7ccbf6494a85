#include "waxwingfront/fleet/load_monitor.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>

#include "support/loop_runner.h"
#include "support/pipe_pair.h"
#include "waxwingfront/core/clock.h"

namespace waxwingfront::tests {
namespace {

using core::milliseconds;

struct monitored_process {
  net::event_loop loop;
  net::async_http_client client{loop, {}};
  metrics::registry metrics;
  const pipe_pair output;
  logging::event_log log{{.descriptor = output.ends[1]}};
  fleet::processor_stages processor;
  int lines = 0;
  bool leading = true;
  fleet::load_monitor monitor{
      loop,
      client,
      {.probe_interval = milliseconds(5), .report_interval = milliseconds(20)},
      {.levels =
           [this] {
             ++lines;
             return fleet::load_levels{};
           },
       .leading = [this] { return leading; },
       .processor = &processor},
      metrics,
      log};
};

TEST_CASE("a blocked event loop shows in the lag metric", "[fleet]") {
  monitored_process process;
  process.monitor.Start();
  const auto& lag = process.metrics.Histogram("waxwingfront_loop_lag_seconds");
  process.loop.After(milliseconds(20),
                     [] { std::this_thread::sleep_for(milliseconds(120)); });
  REQUIRE(
      RunUntil(process.loop, [&lag] { return lag.Totals().maximum >= 0.1; }));
}

TEST_CASE("only a leader logs its load", "[fleet]") {
  monitored_process process;
  process.leading = false;
  process.monitor.Start();
  RunFor(process.loop, milliseconds(100));
  CHECK(process.lines == 0);
  process.leading = true;
  CHECK(RunUntil(process.loop, [&process] { return process.lines > 0; }));
}

TEST_CASE("connections that a server resets are counted", "[fleet]") {
  monitored_process process;
  process.monitor.Start();
  boost::asio::ip::tcp::acceptor full(
      process.loop.Context(), boost::asio::ip::tcp::endpoint(
                                  boost::asio::ip::address_v4::loopback(), 0));
  full.async_accept([](const boost::system::error_code& error,
                       boost::asio::ip::tcp::socket peer) {
    if (error) return;
    // Closing then resets the connection; the destructor would not.
    peer.set_option(boost::asio::socket_base::linger(true, 0));
    peer.close();
  });
  bool failed = false;
  process.client.Send(
      {.address = "127.0.0.1:" + std::to_string(full.local_endpoint().port()),
       .method = "GET",
       .target = "/"},
      [&failed](const core::result<net::http_reply>& reply) {
        failed = !reply;
      });
  REQUIRE(RunUntil(process.loop, [&failed] { return failed; }));
  CHECK(process.client.Totals().resets == 1);
  CHECK(RunUntil(process.loop, [&process] {
    return process.metrics.Counter("waxwingfront_connections_reset_total")
               .Value() == 1;
  }));
  process.log.Flush();
  CHECK(process.output.Read().find(R"("connection_resets":1)") !=
        std::string::npos);
}

TEST_CASE("stage durations are exported as metrics", "[fleet]") {
  monitored_process process;
  process.monitor.Observe(fleet::load_stage::kStoreWrite, milliseconds(40));
  const auto totals =
      process.metrics.Histogram("waxwingfront_store_write_seconds").Totals();
  CHECK(totals.count == 1);
  CHECK(totals.maximum == Approx(0.04));
}

TEST_CASE("each stage of a restart has a metric", "[fleet]") {
  monitored_process process;
  process.monitor.Observe(fleet::load_stage::kRestartSend, milliseconds(700));
  const std::string text = process.metrics.Text();
  for (const char* const stage : {"wait", "store", "send", "confirm"}) {
    CHECK(text.find("waxwingfront_restart_" + std::string(stage) +
                    "_seconds") != std::string::npos);
  }
  const auto sent =
      process.metrics.Histogram("waxwingfront_restart_send_seconds").Totals();
  CHECK(sent.maximum == Approx(0.7));
}

TEST_CASE("a leader's load line has each processor stage", "[fleet]") {
  monitored_process process;
  process.monitor.Start();
  {
    const fleet::processor_scope scope(&process.processor,
                                       fleet::processor_stage::kTick);
  }
  REQUIRE(RunUntil(process.loop, [&process] { return process.lines > 0; }));
  process.log.Flush();
  const std::string text = process.output.Read();
  CHECK(text.find(R"("processor_tick_count":1)") != std::string::npos);
  for (std::size_t i = 0; i < fleet::kProcessorStages; ++i) {
    const std::string name(
        fleet::StageName(static_cast<fleet::processor_stage>(i)));
    CHECK(text.find("\"processor_" + name + "_us\":") != std::string::npos);
  }
}

TEST_CASE("a follower's processor stages are exported as metrics", "[fleet]") {
  monitored_process process;
  process.leading = false;
  process.monitor.Start();
  {
    const fleet::processor_scope scope(&process.processor,
                                       fleet::processor_stage::kTick);
  }
  CHECK(RunUntil(process.loop, [&process] {
    return process.metrics.Text().find(
               "waxwingfront_processor_entries_total{stage=\"tick\"} 1") !=
           std::string::npos;
  }));
}

}  // namespace
}  // namespace waxwingfront::tests
