// Input of callers that an entry rejects.
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "support/process_site.h"
#include "support/raw_caller.h"

namespace waxwingfront::tests {
namespace {

constexpr std::size_t kBodyLimit = 2048;

process_site_options SiteOptions(int read_timeout_ms = 400) {
  return {.entries = 1,
          .workers = 1,
          .executors = 1,
          .more_settings =
              QuickBatchSettings() +
              "[front]\nread_timeout_ms = " + std::to_string(read_timeout_ms) +
              "\nidle_timeout_ms = 400\nmax_body_bytes = " +
              std::to_string(kBodyLimit) + "\n"};
}

// Returns a request with the given headers and a body with its Content-Length.
std::string Request(const std::string& line, const std::string& headers = "",
                    const std::string& body = "") {
  return line + " HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string kCustomer = "Waxwingfront-Customer: jihlava\r\n";
const std::string kService = "/v1/services/dispatch/orders";

std::string JobBody(const std::string& id, const std::string& batch_class,
                    const std::string& customer, int processor_milli,
                    const std::string& more = "") {
  return R"({"id": ")" + id + R"(", "customer": ")" + customer +
         R"(", "batch_class": ")" + batch_class +
         R"(", "task_count": 1, "command": "sleep:60000", "task_size":
         {"processor_milli": )" +
         std::to_string(processor_milli) + "}" + more + "}";
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

// Checks the status and the error type of a rejection.
void CheckRejection(const std::string& response, int status,
                    const std::string& type) {
  CAPTURE(response);
  CHECK(response.rfind("HTTP/1.1 " + std::to_string(status) + " ", 0) == 0);
  CHECK(Contains(response, "Content-Type: application/json"));
  CHECK(Contains(response, "{\"type\":\"" + type + "\",\"detail\":\""));
}

// Checks that the entry still serves requests.
void CheckServes(const process_site& site) {
  const std::string response = RawCall(
      site.EntryAddress(0), Request("POST " + kService, kCustomer, "next"));
  CAPTURE(response);
  CHECK(Contains(response, "HTTP/1.1 200 "));
  CHECK(Contains(response, "executor-0 POST /orders next"));
}

struct rejection {
  std::string name;
  std::string request;
  int status;
  std::string type;
};

// Guards against invalid input that is rejected without an error type, or that
// reaches an executor.
TEST_CASE("invalid requests to services are rejected with their error type",
          "[front][process]") {
  const process_site site(SiteOptions());
  REQUIRE(site.AwaitReady());
  const std::string id = "test-id: refused\r\n";
  const auto with_deadline = [&id](const std::string& value) {
    return Request(
        "POST " + kService,
        kCustomer + id + "Waxwingfront-Deadline-Ms: " + value + "\r\n");
  };
  const auto with_length = [&id](const std::string& lengths) {
    return "POST " + kService + " HTTP/1.1\r\n" + kCustomer + id + lengths +
           "\r\nab";
  };
  std::string many_headers;
  for (int index = 0; index < 101; ++index)
    many_headers += "x-" + std::to_string(index) + ": 1\r\n";
  const std::vector<rejection> rejections = {
      {"unknown path", Request("GET /nothing", id), 404, "unknown_path"},
      {"unknown service",
       Request("POST /v1/services/nothing/orders", kCustomer + id), 404,
       "unknown_service"},
      {"unknown customer",
       Request("POST " + kService, "Waxwingfront-Customer: nobody\r\n" + id),
       403, "unknown_customer"},
      {"no customer", Request("POST " + kService, id), 403, "unknown_customer"},
      {"deadline 0", with_deadline("0"), 400, "invalid_request"},
      {"deadline too long", with_deadline("600001"), 400, "invalid_request"},
      {"deadline with separator", with_deadline("1,0"), 400, "invalid_request"},
      {"deadline of letters", with_deadline("soon"), 400, "invalid_request"},
      {"body too large",
       Request("POST " + kService, kCustomer + id,
               std::string(kBodyLimit + 1, 'a')),
       413, "request_too_large"},
      {"body far too large",
       Request("POST " + kService, kCustomer + id, std::string(1000000, 'a')),
       413, "request_too_large"},
      {"chunked body",
       "POST " + kService + " HTTP/1.1\r\n" + kCustomer + id +
           "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
       411, "length_required"},
      {"two lengths", with_length("Content-Length: 2\r\nContent-Length: 0\r\n"),
       400, "invalid_request"},
      {"length of letters", with_length("Content-Length: two\r\n"), 400,
       "invalid_request"},
      {"length with separator", with_length("Content-Length: 0,2\r\n"), 400,
       "invalid_request"},
      {"negative length", with_length("Content-Length: -2\r\n"), 400,
       "invalid_request"},
      {"long URI",
       Request("POST " + kService + std::string(20000, 'a'), kCustomer + id),
       400, "invalid_request"},
      {"long header value",
       Request("POST " + kService,
               kCustomer + id + "x: " + std::string(9000, 'a') + "\r\n"),
       400, "invalid_request"},
      {"long header name",
       Request("POST " + kService,
               kCustomer + id + std::string(300, 'a') + ": 1\r\n"),
       400, "invalid_request"},
      {"many headers",
       Request("POST " + kService, kCustomer + id + many_headers), 400,
       "invalid_request"},
      {"no HTTP", std::string(20000, 'x') + "\r\n\r\n", 400, "invalid_request"},
      {"control characters",
       Request("POST /v1/services/\x1b[31m\xff/x", kCustomer + id), 404,
       "unknown_service"}};
  for (const rejection& item : rejections) {
    CAPTURE(item.name);
    CheckRejection(RawCall(site.EntryAddress(0), item.request), item.status,
                   item.type);
    CheckServes(site);
  }
  CHECK_FALSE(Contains(site.Journal(site.ExecutorAddress(0)), "refused"));
}

TEST_CASE("invalid job calls are rejected with their error type",
          "[front][process]") {
  const process_site site(SiteOptions());
  REQUIRE(site.AwaitReady());
  REQUIRE(site.AwaitAccepted(0, JobBody("orders-1", "orders", "jihlava", 100)));
  const auto submit = [](const std::string& body) {
    return Request("POST /v1/jobs", "", body);
  };
  const std::vector<rejection> rejections = {
      {"malformed JSON", submit("{\"id\": "), 400, "invalid_request"},
      {"no JSON", submit(""), 400, "invalid_request"},
      {"unknown field",
       submit(JobBody("a", "orders", "jihlava", 100, R"(, "colour": 1)")), 400,
       "invalid_request"},
      {"unknown customer", submit(JobBody("a", "orders", "nobody", 100)), 403,
       "unknown_customer"},
      {"unknown batch class", submit(JobBody("a", "none", "jihlava", 100)), 400,
       "unknown_batch_class"},
      {"invalid id", submit(JobBody("a/b", "orders", "jihlava", 100)), 400,
       "invalid_request"},
      {"no host is large enough",
       submit(JobBody("a", "orders", "jihlava", 1000000)), 422, "unplaceable"},
      {"conflicting resubmission",
       submit(JobBody("orders-1", "orders", "jihlava", 200)), 409,
       "job_conflict"},
      {"too large", submit(std::string(kBodyLimit + 1, ' ')), 413,
       "request_too_large"},
      {"unknown job", Request("GET /v1/jobs/nothing"), 404, "unknown_job"},
      {"cancel of an unknown job", Request("DELETE /v1/jobs/nothing"), 404,
       "unknown_job"},
      {"invalid id in the path", Request("GET /v1/jobs/a%20b"), 400,
       "invalid_request"},
      {"no id in the path", Request("GET /v1/jobs/"), 400, "invalid_request"},
      {"wrong method for jobs", Request("GET /v1/jobs"), 405,
       "method_not_allowed"},
      {"wrong method for a job", Request("PUT /v1/jobs/orders-1"), 405,
       "method_not_allowed"},
      {"wrong method for health", Request("POST /healthz"), 405,
       "method_not_allowed"}};
  for (const rejection& item : rejections) {
    CAPTURE(item.name);
    const std::string response = RawCall(site.EntryAddress(0), item.request);
    CheckRejection(response, item.status, item.type);
    CHECK(Contains(response, "Allow: ") == (item.status == 405));
    // The accepted job is still there.
    CHECK(Contains(
        RawCall(site.EntryAddress(0), Request("GET /v1/jobs/orders-1")),
        "HTTP/1.1 200 "));
  }
  // A rejected submission leaves no state behind: its id can still be used.
  CHECK(Contains(RawCall(site.EntryAddress(0),
                         submit(JobBody("a", "orders", "jihlava", 100))),
                 "HTTP/1.1 200 "));
}

// Guards against a request that runs although its end never arrived, and
// against a slow caller that occupies a thread.
TEST_CASE("requests that do not arrive whole are rejected",
          "[front][process]") {
  const process_site site(SiteOptions());
  REQUIRE(site.AwaitReady());
  const std::string head = "POST " + kService + " HTTP/1.1\r\n" + kCustomer +
                           "test-id: partial\r\nContent-Length: 4\r\n";
  const std::string& address = site.EntryAddress(0);
  const auto cut_after = [&address](const std::string& part) {
    raw_caller caller(address);
    caller.Send(part);
    caller.EndOutput();
    return caller.ReadAll();
  };
  const auto stop_after = [&address](const std::string& part) {
    return RawCall(address, part);
  };
  CheckRejection(cut_after(head + "\r\nab"), 400, "invalid_request");
  // A head that is truncated within a header's value, without a body.
  CheckRejection(cut_after("POST " + kService + " HTTP/1.1\r\n" + kCustomer +
                           "test-id: partial"),
                 400, "invalid_request");
  CheckRejection(cut_after("POST " + kService + " HTTP/1.1\r\n" + kCustomer +
                           "test-id: partial\r\n"),
                 400, "invalid_request");
  CheckRejection(stop_after(head), 408, "request_timeout");
  CheckRejection(stop_after(head + "\r\nab"), 408, "request_timeout");

  // Every byte arrives well within the time limit of a single read.
  raw_caller slow(address);
  constexpr int kMaxBytes = 1000;
  const std::string endless = "POST /" + std::string(kMaxBytes, 'a');
  int sent = 0;
  while (sent < kMaxBytes && !slow.HasInput()) {
    slow.Send(endless.substr(static_cast<std::size_t>(sent), 1));
    std::this_thread::sleep_for(core::milliseconds(20));
    ++sent;
  }
  CHECK(sent < kMaxBytes);
  CheckRejection(slow.ReadAll(), 408, "request_timeout");

  // An idle connection is closed without a response.
  raw_caller idle(address);
  CHECK(idle.ReadAll().empty());
  CHECK(idle.HasInput());

  CheckServes(site);
  CHECK_FALSE(Contains(site.Journal(site.ExecutorAddress(0)), "partial"));
}

// Guards against the rest of a rejected request being parsed as the next
// request of the connection.
TEST_CASE("a connection serves the next request after a rejection",
          "[front][process]") {
  const process_site site(SiteOptions());
  REQUIRE(site.AwaitReady());
  const std::string first =
      "GET /v1/services/nothing/x HTTP/1.1\r\n" + kCustomer + "\r\n";
  // The body of a rejected request must not be parsed as a request.
  const std::string hidden = "GET /healthz HTTP/1.1\r\n\r\n";
  raw_caller caller(site.EntryAddress(0));
  caller.Send(first + first + "POST /v1/services/nothing/x HTTP/1.1\r\n" +
              kCustomer + "Content-Length: " + std::to_string(hidden.size()) +
              "\r\n\r\n" + hidden);
  const std::string responses = caller.ReadAll();
  CAPTURE(responses);
  std::size_t count = 0;
  for (std::size_t at = responses.find("unknown_service");
       at != std::string::npos; at = responses.find("unknown_service", at + 1))
    ++count;
  CHECK(count == 3);
  CHECK_FALSE(Contains(responses, " 200 "));
}

// Guards against a connection that is reset while the caller still sends: most
// HTTP clients then report the reset and never read the rejection.
TEST_CASE("a caller can send the rest of a rejected request",
          "[front][process]") {
  const process_site site(SiteOptions(20000));
  REQUIRE(site.AwaitReady());
  const std::string request =
      Request("POST " + kService, kCustomer, std::string(2 * kBodyLimit, 'a'));
  raw_caller caller(site.EntryAddress(0));
  CHECK(caller.Send(request.substr(0, request.size() - 2)));
  // The entry has closed its output here, but still reads the caller's.
  CheckRejection(caller.ReadAll(), 413, "request_too_large");
  // A closed connection is detected at the latest by the second byte sent to
  // it.
  CHECK_FALSE(AwaitCondition([&caller] { return !caller.Send("a"); },
                             core::milliseconds(300)));
}

// Guards against metrics whose number grows with names that callers invent.
TEST_CASE("metrics have labels of the bundle only", "[front][process]") {
  const process_site site(SiteOptions());
  REQUIRE(site.AwaitReady());
  const std::string& address = site.EntryAddress(0);
  REQUIRE(site.AwaitAccepted(0, JobBody("orders-1", "orders", "jihlava", 100)));
  CheckServes(site);
  for (const std::string name : {"made-up-1", "made-up-2"}) {
    RawCall(address, Request("POST /v1/services/" + name + "/x", kCustomer));
    RawCall(address, Request("POST " + kService,
                             "Waxwingfront-Customer: " + name + "\r\n"));
    RawCall(address,
            Request("POST /v1/jobs", "", JobBody("a", name, "jihlava", 100)));
    RawCall(address, Request("GET /" + name));
    RawCall(address, Request(name + " /healthz"));
  }
  const std::string metrics = RawCall(address, Request("GET /metrics"));
  CHECK(Contains(metrics, "Content-Type: text/plain; version=0.0.4"));
  CHECK_FALSE(Contains(metrics, "made-up"));
  CHECK(Contains(metrics,
                 "waxwingfront_request_seconds_count{service=\"dispatch\","
                 "customer=\"jihlava\"} 1\n"));
  CHECK(Contains(
      metrics,
      "waxwingfront_job_submission_seconds_bucket{batch_class=\"orders\","
      "le=\"+Inf\"}"));
  CHECK(Contains(metrics,
                 "waxwingfront_refusals_total{type=\"unknown_service\"} 2"));
  const std::string head = RawCall(address, Request("HEAD /healthz"));
  CHECK(Contains(head, "HTTP/1.1 200 "));
  CHECK(head.substr(head.size() - 4) == "\r\n\r\n");
}

}  // namespace
}  // namespace waxwingfront::tests
