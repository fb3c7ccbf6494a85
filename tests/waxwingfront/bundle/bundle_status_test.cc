#include "waxwingfront/bundle/bundle_status.h"

#include <catch2/catch.hpp>
#include <string>

#include "waxwingfront/bundle/bundle_diff.h"

namespace waxwingfront::bundle {
namespace {

schema::bundle BaseBundle() {
  schema::bundle content;
  content.set_site("s");
  content.add_services()->set_name("dispatch");
  content.mutable_services(0)->set_latency_target_ms(50);
  content.add_services()->set_name("desk");
  content.mutable_services(1)->add_failure_domains("a");
  content.mutable_services(1)->add_failure_domains("b");
  content.add_batch_classes()->set_name("orders");
  content.add_customers()->set_name("town");
  return content;
}

// Guards against a change that is signed off although the diff omits it.
TEST_CASE("every difference between two bundles is reported",
          "[bundle][diff]") {
  schema::bundle after = BaseBundle();
  CHECK(ToText(DiffBundles(BaseBundle(), after)) == "no change\n");
  after.mutable_services()->SwapElements(0, 1);
  after.mutable_services(0)->mutable_failure_domains()->SwapElements(0, 1);
  CHECK(DiffBundles(BaseBundle(), after).empty());

  after.set_site("t");
  after.mutable_weights()->set_evictions(2);
  after.mutable_services(1)->set_latency_target_ms(60);
  after.clear_batch_classes();
  after.add_customers()->set_name("village");
  const std::string text = ToText(DiffBundles(BaseBundle(), after));
  CHECK(text.find("changed site\n    s -> t\n") != std::string::npos);
  CHECK(text.find("changed weights\n") != std::string::npos);
  CHECK(text.find("changed service dispatch\n    modified: "
                  "latency_target_ms: 50 -> 60\n") != std::string::npos);
  CHECK(text.find("removed batch class orders\n") != std::string::npos);
  CHECK(text.find("added customer village\n") != std::string::npos);
  CHECK(text.find("desk") == std::string::npos);
}

entry_response MakeResponse(const std::string& id, const std::string& domain,
                            std::int64_t version) {
  entry_response response;
  response.entry.set_id(id);
  response.entry.set_failure_domain(domain);
  response.reply = schema::bundle_reply();
  response.reply->set_version_in_force(version);
  return response;
}

// Guards against a rollout that is reported as complete while an entry lags,
// does not respond, or the sign-off names a misspelt failure domain.
TEST_CASE("the status reports entries without the signed-off version",
          "[bundle][status]") {
  schema::bundle_head head;
  head.set_generation(2);
  head.set_version(1);
  schema::domain_version& domain = *head.add_domains();
  domain.set_failure_domain("trebic");
  domain.set_version(2);
  std::vector<entry_response> responses{MakeResponse("e1", "trebic", 2),
                                        MakeResponse("e2", "lhota", 1)};
  CHECK(MakeBundleStatus(head, responses).in_force_everywhere());
  CHECK_FALSE(MakeBundleStatus(head, {}).in_force_everywhere());

  SECTION("an entry lags") {
    responses.push_back(MakeResponse("e3", "trebic", 1));
    const auto status = MakeBundleStatus(head, responses);
    CHECK_FALSE(status.in_force_everywhere());
    CHECK(ToText(status).find("entry e3 in trebic: version 1 in force, version "
                              "2 pending\n") != std::string::npos);
  }
  SECTION("an entry does not respond") {
    responses[1].reply =
        core::Failure(core::error_code::kUnreachable, "timeout");
    const auto status = MakeBundleStatus(head, responses);
    CHECK_FALSE(status.in_force_everywhere());
    CHECK(ToText(status).find("entry e2 in lhota: unknown, timeout\n") !=
          std::string::npos);
  }
  SECTION("a failure domain has no entry") {
    domain.set_failure_domain("trebik");
    const auto status = MakeBundleStatus(head, responses);
    REQUIRE(status.domains_without_entries_size() == 1);
    CHECK(status.domains_without_entries(0) == "trebik");
  }
}

}  // namespace
}  // namespace waxwingfront::bundle
