#include "soak/address_map.h"

#include <catch2/catch.hpp>
#include <string>

namespace waxwingfront::soak {

TEST_CASE("addresses are translated in plain text and in items' values",
          "[soak]") {
  address_map names;
  names.Add("127.0.0.1:20001", "127.0.0.1:29999");
  // "leader 127.0.0.1:20001!" and "other" in base64.
  std::string items =
      R"({"items":[{"key":"wf/members/127.0.0.1:20001","value":)"
      R"("bGVhZGVyIDEyNy4wLjAuMToyMDAwMSE=","revision":2},)"
      R"({"key":"b","value":"b3RoZXI=","revision":3},)"
      R"({"key":"c","value":""}]})";
  names.TranslateItems(items);
  CHECK(items == R"({"items":[{"key":"wf/members/127.0.0.1:29999","value":)"
                 R"("bGVhZGVyIDEyNy4wLjAuMToyOTk5OSE=","revision":2},)"
                 R"({"key":"b","value":"b3RoZXI=","revision":3},)"
                 R"({"key":"c","value":""}]})");
}

}  // namespace waxwingfront::soak
