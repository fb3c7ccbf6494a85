#include "waxwingfront/front/detail/response_reader.h"

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
response_progress FeedInPieces(response_reader& reader, std::string_view text) {
  auto progress = response_progress::kNeedMore;
  while (!text.empty() && progress == response_progress::kNeedMore) {
    const auto size = *rc::gen::inRange<std::size_t>(1, text.size() + 1);
    progress = reader.Feed(text.substr(0, size));
    text.remove_prefix(size);
  }
  return progress;
}

// Guards against parse results that depend on how the network splits the bytes.
TEST_CASE("a response is parsed identically however its bytes are split",
          "[front]") {
  rc::prop("any split yields the whole body", [](const std::string& body) {
    const std::string text = AnyEncoding(body);
    response_reader reader({});
    RC_ASSERT(FeedInPieces(reader, text) == response_progress::kComplete);
    RC_ASSERT(reader.IsConnectionReusable());
    RC_ASSERT(reader.Take().body == body);
  });
}

// Guards against a truncated body that is accepted as complete.
TEST_CASE("a truncated response is never complete", "[front]") {
  rc::prop("no proper prefix is complete", [](const std::string& body) {
    const std::string text = AnyEncoding(body);
    const auto size = *rc::gen::inRange<std::size_t>(0, text.size());
    response_reader reader({});
    RC_ASSERT(FeedInPieces(reader, text.substr(0, size)) ==
              response_progress::kNeedMore);
  });
}

// Guards against a response that is taken for that of another request.
TEST_CASE("a connection with bytes after the response is not reused",
          "[front]") {
  response_reader reader({});
  const std::string text = WithLength("one");
  REQUIRE(reader.Feed(text + text) == response_progress::kComplete);
  CHECK(reader.Take().body == "one");
  CHECK_FALSE(reader.IsConnectionReusable());
}

TEST_CASE("responses without a provable end are not complete", "[front]") {
  response_reader reader({});
  SECTION("a body that is delimited by the end of the connection") {
    CHECK(reader.Feed("HTTP/1.1 200 OK\r\n\r\nbody") ==
          response_progress::kNeedMore);
  }
  SECTION("a chunk with a malformed length") {
    CHECK(reader.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                      "zz\r\nbody\r\n0\r\n\r\n") ==
          response_progress::kInvalid);
  }
  SECTION("two lengths that differ") {
    CHECK(reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n"
                      "Content-Length: 2\r\n\r\nab") ==
          response_progress::kInvalid);
  }
  SECTION("bytes that are not an HTTP response") {
    CHECK(reader.Feed("nonsense\r\n\r\n") == response_progress::kInvalid);
  }
}

TEST_CASE("response limits, HEAD, interim responses and close are honoured",
          "[front]") {
  SECTION("a body over the limit is rejected") {
    response_reader reader({.max_body_bytes = 3});
    CHECK(reader.Feed(WithLength("four")) == response_progress::kInvalid);
  }
  SECTION("a response to HEAD has no body") {
    response_reader reader({.has_body = false});
    CHECK(reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n") ==
          response_progress::kComplete);
  }
  SECTION("interim responses are skipped") {
    response_reader reader({});
    CHECK(reader.Feed("HTTP/1.1 100 Continue\r\n\r\n" + WithLength("body")) ==
          response_progress::kComplete);
    CHECK(reader.Take().body == "body");
  }
  SECTION("a connection that the executor closes is not reused") {
    response_reader reader({});
    CHECK(reader.Feed("HTTP/1.1 200 OK\r\nConnection: close\r\n"
                      "Content-Length: 0\r\n\r\n") ==
          response_progress::kComplete);
    CHECK_FALSE(reader.IsConnectionReusable());
  }
}

}  // namespace
}  // namespace waxwingfront::front::detail
