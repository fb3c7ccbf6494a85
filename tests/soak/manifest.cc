#include "soak/manifest.h"

namespace waxwingfront::soak {

std::vector<queue> AllQueues() {
  return {{"r-one", "one.example", "/one/", "serve1"},
          {"r-two", "two.example", "/two/", "serve2"},
          {"r-three", "three.example", "/three/", "serve1", false},
          {"r-four", "four.example", "/four/", "serve2", false}};
}

std::string ManifestText(std::int64_t version, const manifest_times& times,
                         std::span<const queue> queues) {
  std::string rows;
  for (const queue& one : queues) {
    if (!rows.empty()) rows += ",";
    rows += R"({"name":")" + one.name + R"(","host":")" + one.host +
            R"(","prefix":")" + one.prefix +
            R"(","kind":"unsafe","timeout_ms":)" +
            std::to_string(times.request_ms) +
            R"(,"target_duration_ms":1000,"priority":0,"service":")" +
            one.service + R"(","max_attempts":)" +
            std::to_string(kMaxAttempts) + R"(,"stretch":2.0})";
  }
  std::string services;
  for (const std::string name : {"serve1", "serve2"}) {
    if (!services.empty()) services += ",";
    services += R"({"name":")" + name +
                R"(","health_path":"/health","max_connections":64,)"
                R"("protocol":"h1","tls":false,"enforces_capacity":true,)"
                R"("spare":false})";
  }
  return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + rows +
         "],\"services\":[" + services +
         R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":)" +
         std::to_string(times.header_ms) + R"(,"idle_timeout_ms":)" +
         std::to_string(times.idle_ms) + "}}";
}

}  // namespace waxwingfront::soak
