#ifndef WAXWINGFRONT_REVIEW_STANDIN_2_MANIFEST_H_
#define WAXWINGFRONT_REVIEW_STANDIN_2_MANIFEST_H_

#include <string>

namespace waxwingfront::review_2 {

// A manifest with the queue `/one/` at host `one.example`, which the service
// `serve1` runs. `more` are further fields of the queue, each after a comma.
inline std::string ManifestText(const std::string& more = {}) {
  return R"({"version":3,"routes":[{"name":"r-one","host":"one.example",)"
         R"("prefix":"/one/","kind":"unsafe","timeout_ms":3000,)"
         R"("target_duration_ms":1000,"priority":0,"service":"serve1",)"
         R"("max_attempts":3,"stretch":2.0)" +
         more +
         R"(}],"services":[{"name":"serve1","health_path":"/health",)"
         R"("max_connections":64,"protocol":"h1","tls":false,)"
         R"("enforces_capacity":true,"spare":false}],)"
         R"("limits":{"max_header_bytes":16384,"max_body_bytes":262144,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000}})";
}

}  // namespace waxwingfront::review_2

#endif  // WAXWINGFRONT_REVIEW_STANDIN_2_MANIFEST_H_
