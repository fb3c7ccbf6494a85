// Bundle followers with peers, on a store with outages, stale reads and
// corrupted values.
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

// Fault of the store reads of one entry.
enum class read_fault {
  kNone,
  kDown,
  // Reads of heads succeed, reads of contents fail.
  kNoContent,
  kDamagedContent,
  kDamagedHead,
  // Reads return the head from before the latest sign-offs.
  kStaleHead,
};

std::string DocumentOf(int number) {
  return R"({"site": "s", "customers": [{"name": "c)" + std::to_string(number) +
         R"(", "weight": 1}]})";
}

// Changes the customer's name: the document stays valid, but its digest
// differs.
void Damage(std::string& document) {
  constexpr std::string_view kNameBegin = ": \"c";
  document.replace(document.find(kNameBegin), kNameBegin.size(), ": \"x");
}

// Entries of two failure domains that share one store, all in this process.
class follower_fixture {
 public:
  follower_fixture()
      : direct_client_(
            {.post =
                 [this](std::string_view path, std::string_view body) {
                   return Post(path, body, read_fault::kNone);
                 }}),
        direct_repository_(direct_client_) {
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
  // Corrupts the contents that an entry returns to its peers.
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

  // Signs off a document as the next version, for the given failure domains or
  // for all if there are none.
  void SignOff(int document, const std::vector<std::string>& domains) {
    const std::string digest = *direct_repository_.Submit(DocumentOf(document));
    const auto signed_off = direct_repository_.SignOff(
        {.digest = digest,
         .operator_name = "op" + std::to_string(heads_.size()),
         .failure_domains = domains});
    documents_[signed_off->version()] = document;
    heads_.push_back(*direct_client_.Get("bundles/head"));
  }

  std::int64_t SignedOffVersion(const std::string& domain) const {
    const auto head = direct_repository_.Head();
    return head->has_value() ? VersionFor(**head, domain).version() : 0;
  }
  int DocumentAt(std::int64_t version) const { return documents_.at(version); }

 private:
  core::result<net::http_reply> Post(std::string_view path,
                                     std::string_view body, read_fault fault) {
    if (fault == read_fault::kDown) return net::http_reply{.status = 503};
    const auto http_response = store_.Handle({.method = "POST",
                                              .path = std::string(path),
                                              .body = std::string(body)});
    schema::range_request request;
    static_cast<void>(
        core::FromJson(body, core::unknown_fields::kIgnore, request));
    schema::range_response response;
    static_cast<void>(core::FromJson(http_response.body,
                                     core::unknown_fields::kIgnore, response));
    if (response.kvs().empty() || fault == read_fault::kNone)
      return net::http_reply{.status = http_response.status,
                             .body = http_response.body};
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

  std::vector<peer_head> PeerHeads(int requester) const {
    std::vector<peer_head> heads;
    for (int peer = 0; peer < kEntries; ++peer) {
      if (peer == requester || !peers_up_[peer]) continue;
      schema::bundle_reply reply = followers_[peer]->MakeReply("");
      if (reply.head().generation() == 0) continue;
      // Peers with an even number corrupt the contents only.
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
  store::store_client direct_client_;
  bundle_repository direct_repository_;
  std::vector<read_fault> faults_;
  std::vector<bool> peers_up_;
  std::set<int> damaged_peers_;
  std::vector<std::unique_ptr<store::store_client>> clients_;
  std::vector<std::unique_ptr<bundle_repository>> repositories_;
  std::vector<std::unique_ptr<bundle_follower>> followers_;
  // The head after each sign-off, and the document number of each version.
  std::vector<std::optional<store::stored_value>> heads_;
  std::map<std::int64_t, int> documents_;
};

int RandomBelow(int end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

// Executes one generated event; polls are the most frequent.
void RunRandomEvent(follower_fixture& fixture,
                    std::vector<std::int64_t>& lowest_allowed,
                    std::vector<std::int64_t>& lowest_generation) {
  const int entry = RandomBelow(kEntries);
  const int kind = RandomBelow(12);
  if (kind == 0) {
    // A restarted entry may have an older bundle while the store is down.
    fixture.Restart(entry);
    lowest_allowed[entry] = 0;
    lowest_generation[entry] = 0;
  } else if (kind == 1) {
    fixture.SetFault(
        entry,
        *rc::gen::element(read_fault::kNone, read_fault::kDown,
                          read_fault::kNoContent, read_fault::kDamagedContent,
                          read_fault::kDamagedHead, read_fault::kStaleHead));
  } else if (kind == 2) {
    for (int each = 0; each < kEntries; ++each)
      fixture.SetFault(each, read_fault::kDown);
  } else if (kind == 3) {
    for (int each = 0; each < kEntries; ++each)
      fixture.SetFault(each, read_fault::kNone);
  } else if (kind == 4) {
    fixture.SetPeerUp(entry, RandomBelow(2) == 0);
  } else if (kind == 5) {
    fixture.SetPeerDamaged(entry, RandomBelow(2) == 0);
  } else if (kind <= 7) {
    fixture.SignOff(RandomBelow(4),
                    *rc::gen::elementOf(std::vector<std::vector<std::string>>{
                        {}, {"a"}, {"b"}, {"a", "b"}}));
  } else {
    static_cast<void>(fixture.Entry(entry).Poll());
  }
}

// Guards against a bundle in force that reverts to an older version, that does
// not match the content signed off as its version, or that never reaches an
// entry.
TEST_CASE("the bundle in force never reverts and reaches every entry",
          "[bundle][follower][property]") {
  rc::prop("versions at an entry only grow, and the last one arrives", [] {
    constexpr int kMaxEvents = 150;
    follower_fixture fixture;
    std::vector<std::int64_t> lowest_allowed(kEntries, 0);
    std::vector<std::int64_t> lowest_generation(kEntries, 0);
    const int events = RandomBelow(kMaxEvents);
    for (int event = 0; event < events; ++event) {
      RunRandomEvent(fixture, lowest_allowed, lowest_generation);
      for (int entry = 0; entry < kEntries; ++entry) {
        const std::int64_t version = fixture.VersionAt(entry);
        RC_ASSERT(version >= lowest_allowed[entry]);
        RC_ASSERT(version <=
                  fixture.SignedOffVersion(follower_fixture::DomainOf(entry)));
        lowest_allowed[entry] = version;
        // The generation reported to peers must not decrease either.
        const std::int64_t generation =
            fixture.Entry(entry).MakeReply("").head().generation();
        RC_ASSERT(generation >= lowest_generation[entry]);
        lowest_generation[entry] = generation;
        if (version == 0) continue;
        const std::string customer =
            "c" + std::to_string(fixture.DocumentAt(version));
        RC_ASSERT(fixture.Entry(entry).InForce()->FindCustomer(customer) !=
                  nullptr);
      }
    }
    for (int entry = 0; entry < kEntries; ++entry) {
      fixture.SetFault(entry, read_fault::kNone);
      RC_ASSERT(fixture.Entry(entry).Poll().has_value());
      RC_ASSERT(fixture.VersionAt(entry) ==
                fixture.SignedOffVersion(follower_fixture::DomainOf(entry)));
    }
  });
}

// Guards against peers that only return the content of their own failure
// domain.
TEST_CASE(
    "an entry starts during an outage from a peer of another failure domain",
    "[bundle][follower]") {
  follower_fixture fixture;
  fixture.SignOff(1, {});
  fixture.SignOff(2, {"b"});
  REQUIRE(fixture.Entry(0).Poll());
  fixture.SetFault(1, read_fault::kDown);
  REQUIRE(fixture.Entry(1).Poll());
  CHECK(fixture.VersionAt(1) == 2);

  // An entry that started from a peer also serves the bundle to other entries.
  fixture.SetPeerUp(0, false);
  fixture.SetFault(2, read_fault::kDown);
  REQUIRE(fixture.Entry(2).Poll());
  CHECK(fixture.VersionAt(2) == 1);
}

// Guards against an entry that keeps the bundle of the first peer, or that
// reverts to it.
TEST_CASE("an entry that started from an older peer never reverts its bundle",
          "[bundle][follower]") {
  follower_fixture fixture;
  fixture.SignOff(1, {});
  REQUIRE(fixture.Entry(2).Poll());
  fixture.SignOff(2, {});
  fixture.SetFault(0, read_fault::kDown);
  REQUIRE(fixture.Entry(0).Poll());
  REQUIRE(fixture.VersionAt(0) == 1);

  SECTION("to a newer peer during the outage") {
    REQUIRE(fixture.Entry(1).Poll());
    REQUIRE(fixture.Entry(0).Poll());
  }
  SECTION("to the store after the outage") {
    fixture.SetFault(0, read_fault::kNone);
    REQUIRE(fixture.Entry(0).Poll());
  }
  CHECK(fixture.VersionAt(0) == 2);
  // Only the older peer responds.
  fixture.SetFault(0, read_fault::kDown);
  fixture.SetPeerUp(1, false);
  static_cast<void>(fixture.Entry(0).Poll());
  CHECK(fixture.VersionAt(0) == 2);
}

// Guards against applying the bundle of whichever peer responds first.
TEST_CASE("the newest bundle of all peers is applied", "[bundle][follower]") {
  follower_fixture fixture;
  fixture.SignOff(1, {});
  REQUIRE(fixture.Entry(1).Poll());
  fixture.SignOff(2, {});
  REQUIRE(fixture.Entry(3).Poll());
  fixture.SetFault(0, read_fault::kDown);
  REQUIRE(fixture.Entry(0).Poll());
  CHECK(fixture.VersionAt(0) == 2);

  fixture.Restart(0);
  fixture.SetPeerUp(3, false);
  REQUIRE(fixture.Entry(0).Poll());
  CHECK(fixture.VersionAt(0) == 1);
}

TEST_CASE("polling fails if the store is down and no peer has a bundle",
          "[bundle][follower]") {
  follower_fixture fixture;
  fixture.SignOff(1, {});
  fixture.SetFault(0, read_fault::kDown);
  const auto polled = fixture.Entry(0).Poll();
  REQUIRE_FALSE(polled);
  CHECK(polled.error().code == error_code::kNoBundle);
}

// Guards against a damaged content that replaces a valid one, and against a
// follower that does not retry reading it.
TEST_CASE("an unreadable content leaves the previous bundle in force",
          "[bundle][follower]") {
  follower_fixture fixture;
  fixture.SignOff(1, {});
  REQUIRE(fixture.Entry(0).Poll());
  fixture.SignOff(2, {});
  const auto fault =
      GENERATE(read_fault::kNoContent, read_fault::kDamagedContent);
  fixture.SetFault(0, fault);
  CHECK_FALSE(fixture.Entry(0).Poll());
  CHECK(fixture.VersionAt(0) == 1);
  fixture.SetFault(0, read_fault::kNone);
  CHECK(fixture.Entry(0).Poll());
  CHECK(fixture.VersionAt(0) == 2);
}

}  // namespace
}  // namespace waxwingfront::bundle
