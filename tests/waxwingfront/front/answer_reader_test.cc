#include "waxwingfront/front/detail/answer_reader.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <sstream>

namespace waxwingfront::front::detail {
namespace {

std::string WithLength(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string Chunked(const std::string& body, std::size_t chunk_size) {
  std::ostringstream text;
  text << "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (std::size_t at = 0; at < body.size(); at += chunk_size) {
    const std::string chunk = body.substr(at, chunk_size);
    text << std::hex << chunk.size() << "\r\n" << chunk << "\r\n";
  }
  text << "0\r\n\r\n";
  return text.str();
}

std::string AnyEncoding(const std::string& body) {
  const auto chunk_size = *rc::gen::inRange<std::size_t>(0, 9);
  return chunk_size == 0 ? WithLength(body) : Chunked(body, chunk_size);
}

// Feeds `text` in pieces of generated sizes.
answer_progress FeedInPieces(answer_reader& reader, std::string_view text) {
  auto progress = answer_progress::kNeedMore;
  while (!text.empty() && progress == answer_progress::kNeedMore) {
    const auto size = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
    progress = reader.Feed(text.substr(0, size));
    text.remove_prefix(size);
  }
  return progress;
}

// Guards against answers that depend on how the network cuts them.
TEST_CASE("an answer is the same however its bytes arrive", "[front]") {
  rc::prop("any cut gives the whole body", [](const std::string& body) {
    const std::string text = AnyEncoding(body);
    answer_reader reader({});
    RC_ASSERT(FeedInPieces(reader, text) == answer_progress::kWhole);
    RC_ASSERT(reader.IsConnectionReusable());
    RC_ASSERT(reader.Take().body == body);
  });
}

// Guards against a short body that passes as whole.
TEST_CASE("an answer that was cut off is never whole", "[front]") {
  rc::prop("no proper prefix is whole", [](const std::string& body) {
    const std::string text = AnyEncoding(body);
    const auto size = *rc::gen::inRange<std::size_t>(0, text.size());
    answer_reader reader({});
    RC_ASSERT(FeedInPieces(reader, text.substr(0, size)) ==
              answer_progress::kNeedMore);
  });
}

// Guards against an answer of another request that passes as this one's.
TEST_CASE("a connection with bytes after the answer is not used again",
          "[front]") {
  answer_reader reader({});
  const std::string text = WithLength("one");
  REQUIRE(reader.Feed(text + text) == answer_progress::kWhole);
  CHECK(reader.Take().body == "one");
  CHECK_FALSE(reader.IsConnectionReusable());
}

TEST_CASE("answers without a provable end are not whole", "[front]") {
  answer_reader reader({});
  SECTION("a body that ends with the connection") {
    CHECK(reader.Feed("HTTP/1.1 200 OK\r\n\r\nbody") ==
          answer_progress::kNeedMore);
  }
  SECTION("a chunk with a malformed length") {
    CHECK(reader.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "zz\r\nbody\r\n0\r\n\r\n") == answer_progress::kBroken);
  }
  SECTION("two lengths that differ") {
    CHECK(reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                      "Content-Length: 2\r\n\r\nab") ==
          answer_progress::kBroken);
  }
  SECTION("bytes that are no answer") {
    CHECK(reader.Feed("nonsense\r\n\r\n") == answer_progress::kBroken);
  }
}

TEST_CASE("limits and special answers are kept", "[front]") {
  SECTION("a body over the limit is refused") {
    answer_reader reader({.max_body_bytes = 3});
    CHECK(reader.Feed(WithLength("four")) == answer_progress::kBroken);
  }
  SECTION("an answer to HEAD has no body") {
    answer_reader reader({.has_body = false});
    CHECK(reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n") ==
          answer_progress::kWhole);
  }
  SECTION("interim answers are skipped") {
    answer_reader reader({});
    CHECK(reader.Feed("HTTP/1.1 100 Continue\r\n\r\n" + WithLength("body")) ==
          answer_progress::kWhole);
    CHECK(reader.Take().body == "body");
  }
  SECTION("a connection that the executor closes is not used again") {
    answer_reader reader({});
    CHECK(reader.Feed("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                      "Content-Length: 0\r\n\r\n") == answer_progress::kWhole);
    CHECK_FALSE(reader.IsConnectionReusable());
  }
}

}  // namespace
}  // namespace waxwingfront::front::detail
