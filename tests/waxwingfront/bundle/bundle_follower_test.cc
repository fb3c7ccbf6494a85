// Followers over a store with outages, stale reads and damaged values, and with
// peers.
#include "waxwingfront/bundle/bundle_follower.h"

#include <rapidcheck/catch.h>

#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "waxwingfront/bundle/bundle_repository.h"
#include "waxwingfront/core/json.h"
#include "waxwingfront/schema/gen/store_protocol.pb.h"
#include "waxwingfront/standins/store.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::bundle {
namespace {

using core::error_code;

constexpr std::array kDomains = {"a", "b"};
constexpr int kEntries = 4;

// What is wrong with reads of the store, as one entry sees it.
enum class read_fault {
  kNone,
  kDown,
  // Heads are served, contents are not.
  kNoContent,
  kDamagedContent,
  kDamagedHead,
  // The head as it was some sign-offs ago.
  kStaleHead,
};

std::string DocumentOf(int number) {
  return R"({"site": "s", "customers": [{"name": "c)" + std::to_string(number) +
         R"(", "weight": 1}]})";
}

// Changes the customer's name, so that the document stays valid and differs.
void Damage(std::string& document) {
  constexpr std::string_view kNameBegin = ": \"c";
  document.replace(document.find(kNameBegin), kNameBegin.size(), ": \"x");
}

// Entries of two failure domains over one store, all in this process.
class site {
 public:
  site()
      : plain_({.post =
                    [this](std::string_view path, std::string_view body) {
                      return Post(path, body, read_fault::kNone);
                    }}),
        operators_(plain_) {
    for (int index = 0; index < kEntries; ++index) {
      faults_.push_back(read_fault::kNone);
      peers_up_.push_back(true);
      clients_.push_back(
          std::make_unique<store::store_client>(store::store_client_options{
              .post = [this, index](std::string_view path,
                                    std::string_view body) {
                return Post(path, body, faults_[index]);
              }}));
      repositories_.push_back(
          std::make_unique<bundle_repository>(*clients_.back()));
      followers_.push_back(nullptr);
      Restart(index);
    }
  }

  static std::string DomainOf(int entry) {
    return kDomains[static_cast<std::size_t>(entry) % kDomains.size()];
  }

  void Restart(int entry) {
    followers_[entry] = std::make_unique<bundle_follower>(
        bundle_follower_options{
            .failure_domain = DomainOf(entry),
            .peer_heads = [this, entry] { return PeerHeads(entry); },
            .peer_content =
                [this](const std::string& address, const std::string& digest) {
                  return PeerContent(std::stoi(address), digest);
                }},
        *repositories_[entry]);
  }

  bundle_follower& Entry(int entry) { return *followers_[entry]; }
  void SetFault(int entry, read_fault fault) { faults_[entry] = fault; }
  void SetPeerUp(int entry, bool up) { peers_up_[entry] = up; }
  // Damages what an entry serves to its peers.
  void SetPeerDamaged(int entry, bool damaged) {
    if (damaged) {
      damaged_peers_.insert(entry);
    } else {
      damaged_peers_.erase(entry);
    }
  }

  std::int64_t VersionAt(int entry) const {
    const auto view = followers_[entry]->InForce();
    return view == nullptr ? 0 : view->Version();
  }

  // Makes a content the next version, for some failure domains or all.
  void SignOff(int document, const std::vector<std::string>& domains) {
    const std::string digest = *operators_.Submit(DocumentOf(document));
    const auto made = operators_.SignOff(
        {.digest = digest,
         .operator_name = "op" + std::to_string(heads_.size()),
         .failure_domains = domains});
    documents_[made->version()] = document;
    heads_.push_back(*plain_.Get("bundles/head"));
  }

  std::int64_t Wanted(const std::string& domain) const {
    const auto head = operators_.Head();
    return head->has_value() ? VersionFor(**head, domain).version() : 0;
  }
  int DocumentAt(std::int64_t version) const { return documents_.at(version); }

 private:
  core::result<net::http_reply> Post(std::string_view path,
                                     std::string_view body, read_fault fault) {
    if (fault == read_fault::kDown) return net::http_reply{.status = 503};
    const auto answer = store_.Handle({.method = "POST",
                                       .path = std::string(path),
                                       .body = std::string(body)});
    schema::range_request request;
    static_cast<void>(
        core::FromJson(body, core::unknown_fields::kIgnore, request));
    schema::range_response response;
    static_cast<void>(
        core::FromJson(answer.body, core::unknown_fields::kIgnore, response));
    if (response.kvs().empty() || fault == read_fault::kNone)
      return net::http_reply{.status = answer.status, .body = answer.body};
    schema::key_value& item = *response.mutable_kvs(0);
    const bool is_head = request.key() == "bundles/head";
    if (fault == read_fault::kNoContent && !is_head)
      return net::http_reply{.status = 503};
    if (fault == read_fault::kDamagedContent && !is_head)
      Damage(*item.mutable_value());
    if (fault == read_fault::kDamagedHead && is_head)
      item.mutable_value()->resize(item.value().size() / 2);
    if (fault == read_fault::kStaleHead && is_head && !heads_.empty())
      item.set_value(heads_[heads_.size() / 2]->value);
    return net::http_reply{.status = 200, .body = core::ToJson(response)};
  }

  std::vector<peer_head> PeerHeads(int asking) const {
    std::vector<peer_head> heads;
    for (int peer = 0; peer < kEntries; ++peer) {
      if (peer == asking || !peers_up_[peer]) continue;
      schema::bundle_reply reply = followers_[peer]->MakeReply("");
      if (reply.head().generation() == 0) continue;
      // Some damage the contents only.
      if (damaged_peers_.contains(peer) && peer % 2 == 1)
        reply.mutable_head()->set_generation(reply.head().generation() + 5);
      heads.push_back({.address = std::to_string(peer), .head = reply.head()});
    }
    return heads;
  }

  core::result<std::string> PeerContent(int peer, const std::string& digest) {
    const schema::bundle_reply reply = followers_[peer]->MakeReply(digest);
    const auto found = reply.contents().find(digest);
    if (!peers_up_[peer] || found == reply.contents().end())
      return core::Failure(error_code::kUnreachable, "no content");
    std::string content = found->second;
    if (damaged_peers_.contains(peer)) Damage(content);
    return content;
  }

  standins::store store_;
  store::store_client plain_;
  bundle_repository operators_;
  std::vector<read_fault> faults_;
  std::vector<bool> peers_up_;
  std::set<int> damaged_peers_;
  std::vector<std::unique_ptr<store::store_client>> clients_;
  std::vector<std::unique_ptr<bundle_repository>> repositories_;
  std::vector<std::unique_ptr<bundle_follower>> followers_;
  // The head after each sign-off, and the document of each version.
  std::vector<std::optional<store::stored_value>> heads_;
  std::map<std::int64_t, int> documents_;
};

int AnyBelow(int end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

// One generated event; polls are most of them.
void DoAnyEvent(site& tested, std::vector<std::int64_t>& lowest_allowed,
                std::vector<std::int64_t>& lowest_generation) {
  const int entry = AnyBelow(kEntries);
  const int kind = AnyBelow(12);
  if (kind == 0) {
    // A restarted entry may know less than before while the store is down.
    tested.Restart(entry);
    lowest_allowed[entry] = 0;
    lowest_generation[entry] = 0;
  } else if (kind == 1) {
    tested.SetFault(
        entry,
        *rc::gen::element(read_fault::kNone, read_fault::kDown,
                          read_fault::kNoContent, read_fault::kDamagedContent,
                          read_fault::kDamagedHead, read_fault::kStaleHead));
  } else if (kind == 2) {
    for (int each = 0; each < kEntries; ++each)
      tested.SetFault(each, read_fault::kDown);
  } else if (kind == 3) {
    for (int each = 0; each < kEntries; ++each)
      tested.SetFault(each, read_fault::kNone);
  } else if (kind == 4) {
    tested.SetPeerUp(entry, AnyBelow(2) == 0);
  } else if (kind == 5) {
    tested.SetPeerDamaged(entry, AnyBelow(2) == 0);
  } else if (kind <= 7) {
    tested.SignOff(AnyBelow(4),
                   *rc::gen::elementOf(std::vector<std::vector<std::string>>{
                       {}, {"a"}, {"b"}, {"a", "b"}}));
  } else {
    static_cast<void>(tested.Entry(entry).Poll());
  }
}

// Guards against a bundle in force that goes back, that is not the content
// signed off as its version, or that an entry never gets to.
TEST_CASE("the bundle in force never reverts and reaches every entry",
          "[bundle][follower][property]") {
  rc::prop("versions at an entry only grow, and the last one arrives", [] {
    constexpr int kMaxEvents = 150;
    site tested;
    std::vector<std::int64_t> lowest_allowed(kEntries, 0);
    std::vector<std::int64_t> lowest_generation(kEntries, 0);
    const int events = AnyBelow(kMaxEvents);
    for (int event = 0; event < events; ++event) {
      DoAnyEvent(tested, lowest_allowed, lowest_generation);
      for (int entry = 0; entry < kEntries; ++entry) {
        const std::int64_t version = tested.VersionAt(entry);
        RC_ASSERT(version >= lowest_allowed[entry]);
        RC_ASSERT(version <= tested.Wanted(site::DomainOf(entry)));
        lowest_allowed[entry] = version;
        // What peers are told must not go back either.
        const std::int64_t generation =
            tested.Entry(entry).MakeReply("").head().generation();
        RC_ASSERT(generation >= lowest_generation[entry]);
        lowest_generation[entry] = generation;
        if (version == 0) continue;
        const std::string customer =
            "c" + std::to_string(tested.DocumentAt(version));
        RC_ASSERT(tested.Entry(entry).InForce()->FindCustomer(customer) !=
                  nullptr);
      }
    }
    for (int entry = 0; entry < kEntries; ++entry) {
      tested.SetFault(entry, read_fault::kNone);
      RC_ASSERT(tested.Entry(entry).Poll().has_value());
      RC_ASSERT(tested.VersionAt(entry) ==
                tested.Wanted(site::DomainOf(entry)));
    }
  });
}

// Guards against peers that serve the content of their own failure domain only.
TEST_CASE("an entry starts during an outage from a peer of another domain",
          "[bundle][follower]") {
  site tested;
  tested.SignOff(1, {});
  tested.SignOff(2, {"b"});
  REQUIRE(tested.Entry(0).Poll());
  tested.SetFault(1, read_fault::kDown);
  REQUIRE(tested.Entry(1).Poll());
  CHECK(tested.VersionAt(1) == 2);

  // The entry that started from a peer is a source for others too.
  tested.SetPeerUp(0, false);
  tested.SetFault(2, read_fault::kDown);
  REQUIRE(tested.Entry(2).Poll());
  CHECK(tested.VersionAt(2) == 1);
}

// Guards against an entry that stays with the first peer's bundle.
TEST_CASE("an entry that started from an older peer moves forward only",
          "[bundle][follower]") {
  site tested;
  tested.SignOff(1, {});
  REQUIRE(tested.Entry(2).Poll());
  tested.SignOff(2, {});
  tested.SetFault(0, read_fault::kDown);
  REQUIRE(tested.Entry(0).Poll());
  REQUIRE(tested.VersionAt(0) == 1);

  SECTION("to a newer peer during the outage") {
    REQUIRE(tested.Entry(1).Poll());
    REQUIRE(tested.Entry(0).Poll());
  }
  SECTION("to the store after the outage") {
    tested.SetFault(0, read_fault::kNone);
    REQUIRE(tested.Entry(0).Poll());
  }
  CHECK(tested.VersionAt(0) == 2);
  // The older peer alone is heard.
  tested.SetFault(0, read_fault::kDown);
  tested.SetPeerUp(1, false);
  static_cast<void>(tested.Entry(0).Poll());
  CHECK(tested.VersionAt(0) == 2);
}

// Guards against taking the bundle of whichever peer answers first.
TEST_CASE("the newest bundle of all peers is taken", "[bundle][follower]") {
  site tested;
  tested.SignOff(1, {});
  REQUIRE(tested.Entry(1).Poll());
  tested.SignOff(2, {});
  REQUIRE(tested.Entry(3).Poll());
  tested.SetFault(0, read_fault::kDown);
  REQUIRE(tested.Entry(0).Poll());
  CHECK(tested.VersionAt(0) == 2);

  tested.Restart(0);
  tested.SetPeerUp(3, false);
  REQUIRE(tested.Entry(0).Poll());
  CHECK(tested.VersionAt(0) == 1);
}

TEST_CASE("without the store and peers there is no bundle",
          "[bundle][follower]") {
  site tested;
  tested.SignOff(1, {});
  tested.SetFault(0, read_fault::kDown);
  const auto polled = tested.Entry(0).Poll();
  REQUIRE_FALSE(polled);
  CHECK(polled.error().code == error_code::kNoBundle);
}

// Guards against a damaged content that takes the place of a valid one, and
// against giving up on it.
TEST_CASE("a content that cannot be read keeps the former one in force",
          "[bundle][follower]") {
  site tested;
  tested.SignOff(1, {});
  REQUIRE(tested.Entry(0).Poll());
  tested.SignOff(2, {});
  const auto fault =
      GENERATE(read_fault::kNoContent, read_fault::kDamagedContent);
  tested.SetFault(0, fault);
  CHECK_FALSE(tested.Entry(0).Poll());
  CHECK(tested.VersionAt(0) == 1);
  tested.SetFault(0, read_fault::kNone);
  CHECK(tested.Entry(0).Poll());
  CHECK(tested.VersionAt(0) == 2);
}

}  // namespace
}  // namespace waxwingfront::bundle
