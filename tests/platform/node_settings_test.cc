#include "platform/node_settings.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>

namespace waxwingfront::tests {
namespace {

struct settings_file {
  explicit settings_file(const std::string& text) {
    close(mkstemp(path.data()));
    std::ofstream(path) << text;
  }
  ~settings_file() { std::remove(path.c_str()); }
  std::string path = "/tmp/waxwingfront-settings-XXXXXX";
};

constexpr const char* kCompleteSettings =
    "node_name=front-1\nzone=north\nlisten.front=10.0.0.1:8161\n"
    "listen.readiness=10.0.0.1:8167\nip_address=10.0.0.1\n"
    "internal_port_range=7720,7735\nplatform.address=10.0.0.7:8169\n"
    "bounds.grace_s=6\nbounds.max_hold_ms=10000\n"
    "bounds.drain_ms=3000\nplatform.min_ttl_ms=1000\n"
    "limits.cpu_share=0.1\nlimits.cores=2\nlimits.link_mbps=10.0\n"
    "limits.memory_mb=260\n"
    "platform.writes_per_s=1200.0\n"
    "a_field_of_tomorrow=1\n";

TEST_CASE("addresses and bounds of the platform's settings are loaded",
          "[platform]") {
  const settings_file file(kCompleteSettings);
  const auto settings = platform::LoadNodeSettings(file.path);
  REQUIRE(settings);
  CHECK(settings->internal_addresses.front() == "10.0.0.1:7720");
  CHECK(settings->internal_addresses.back() == "10.0.0.1:7735");
  CHECK(settings->store_address == "10.0.0.7:8169");
  CHECK(settings->grace == core::milliseconds(6000));
  CHECK(settings->drain_bound == core::milliseconds(3000));
  CHECK(settings->machine.cores == Approx(0.2));
  CHECK(settings->machine.link_mbps == 10.0);
  CHECK(settings->memory_mb == 260);
  CHECK(settings->store_writes_per_s == 1200.0);
}

TEST_CASE("settings without an address or a file are rejected", "[platform]") {
  const settings_file file("node_name=front-1\n");
  CHECK_FALSE(platform::LoadNodeSettings(file.path));
  CHECK_FALSE(platform::LoadNodeSettings("/nowhere/node.conf"));
}

TEST_CASE("a setting that cannot work is rejected with its name and range",
          "[platform]") {
  const std::string name =
      GENERATE(as<std::string>(), "platform.writes_per_s",
               "platform.min_ttl_ms", "limits.cpu_share", "limits.cores",
               "bounds.grace_s", "bounds.max_hold_ms", "bounds.drain_ms",
               "bounds.status_s", "bounds.remote_factor");
  const std::string value =
      GENERATE(as<std::string>(), "0", "-1", "1e99", "nan", "abc", "");
  const settings_file file(kCompleteSettings + name + "=" + value + "\n");
  const auto settings = platform::LoadNodeSettings(file.path);
  INFO(name << "=" << value);
  REQUIRE_FALSE(settings);
  CHECK(settings.error().detail.find(name + "=" + value) != std::string::npos);
  CHECK(settings.error().detail.find("a number from") != std::string::npos);
}

TEST_CASE("an address that cannot work is rejected with its name",
          "[platform]") {
  const std::string name =
      GENERATE(as<std::string>(), "listen.front", "listen.readiness",
               "platform.address", "ip_address", "internal_port_range");
  const std::string value =
      GENERATE(as<std::string>(), "10.0.0", "x", "1,0", "70000", "");
  const settings_file file(kCompleteSettings + name + "=" + value + "\n");
  const auto settings = platform::LoadNodeSettings(file.path);
  INFO(name << "=" << value);
  REQUIRE_FALSE(settings);
  CHECK(settings.error().detail.find(name) != std::string::npos);
}

TEST_CASE("settings that are still being written are read again",
          "[platform]") {
  const std::string text = kCompleteSettings;
  const std::size_t cut = GENERATE_COPY(
      std::size_t{0}, text.find("listen.readiness"), text.find(":8169") + 3);
  const settings_file file(text.substr(0, cut));
  std::thread writer([&] {
    std::this_thread::sleep_for(core::milliseconds(120));
    std::ofstream(file.path) << text;
  });
  const auto settings =
      platform::AwaitNodeSettings(file.path, [] { return false; });
  writer.join();
  REQUIRE(settings);
  CHECK(settings->store_address == "10.0.0.7:8169");
}

TEST_CASE("settings that stay invalid are reported within a bounded time",
          "[platform]") {
  const settings_file file("node_name=front-1\n");
  const core::monotonic_time start = core::Now();
  const auto settings =
      platform::AwaitNodeSettings(file.path, [] { return false; });
  REQUIRE_FALSE(settings);
  CHECK(settings.error().detail.find("zone is missing") != std::string::npos);
  CHECK(core::Now() - start < core::milliseconds(10'000));
}

}  // namespace
}  // namespace waxwingfront::tests
