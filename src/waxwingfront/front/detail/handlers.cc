#include "waxwingfront/front/detail/handlers.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/NumberParser.h>

#include <array>
#include <optional>
#include <string_view>
#include <utility>

#include "waxwingfront/core/hash.h"
#include "waxwingfront/core/json.h"
#include "waxwingfront/front/message.h"
#include "waxwingfront/front/request_router.h"
#include "waxwingfront/jobs/job_service.h"
#include "waxwingfront/logging/log.h"
#include "waxwingfront/metrics/registry.h"
#include "waxwingfront/schema/gen/common.pb.h"

namespace waxwingfront::front::detail {
namespace {

using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::string_view kPart = "front";
constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::size_t kReadChunkBytes = 16384;
constexpr int kHttpOk = 200;
constexpr int kHttpServiceUnavailable = 503;
// Longest deadline that a caller may ask for, in milliseconds.
constexpr int kMaxDeadlineMs = 600000;

void SendBody(HTTPServerResponse& response, int status, const std::string& type,
              const std::string& body) {
  response.setStatus(static_cast<HTTPServerResponse::HTTPStatus>(status));
  response.setReason(
      HTTPServerResponse::getReasonForStatus(response.getStatus()));
  response.setContentType(type);
  response.sendBuffer(body.data(), body.size());
}

void SendError(HTTPServerResponse& response, const core::error& failure,
               const std::string& id) {
  schema::error_body body;
  body.set_type(std::string(core::ErrorName(failure.code)));
  body.set_detail(failure.detail);
  body.set_id(id);
  SendBody(response, core::HttpStatus(failure.code), "application/json",
           core::ToJson(body));
}

// Reads a body of at most `limit` bytes.
core::result<std::string> ReadBody(HTTPServerRequest& request,
                                   std::size_t limit) {
  const auto too_large = [limit] {
    return core::Failure(core::error_code::kRequestTooLarge,
                         "a body may have " + std::to_string(limit) + " bytes");
  };
  if (request.hasContentLength() &&
      request.getContentLength64() > static_cast<Poco::Int64>(limit)) {
    return too_large();
  }
  std::string body;
  std::array<char, kReadChunkBytes> chunk{};
  std::istream& stream = request.stream();
  while (stream.good()) {
    stream.read(chunk.data(), chunk.size());
    body.append(chunk.data(), static_cast<std::size_t>(stream.gcount()));
    if (body.size() > limit) return too_large();
  }
  const bool whole =
      !request.hasContentLength() ||
      static_cast<Poco::Int64>(body.size()) == request.getContentLength64();
  if (!whole)
    return core::Failure(core::error_code::kInvalidRequest,
                         "the body is cut short");
  return body;
}

// Counts a request for as long as the caller waits.
class in_flight_guard {
 public:
  explicit in_flight_guard(std::atomic<int>& count) : count_(count) {
    ++count_;
  }
  in_flight_guard(const in_flight_guard&) = delete;
  in_flight_guard& operator=(const in_flight_guard&) = delete;
  ~in_flight_guard() { --count_; }

 private:
  std::atomic<int>& count_;
};

class text_handler : public HTTPRequestHandler {
 public:
  text_handler(const front_context& context, int status, std::string body)
      : context_(context), status_(status), body_(std::move(body)) {}
  void handleRequest(HTTPServerRequest& /*request*/,
                     HTTPServerResponse& response) override {
    if (context_.draining) response.setKeepAlive(false);
    SendBody(response, status_, "text/plain; version=0.0.4", body_);
  }

 private:
  const front_context& context_;
  int status_;
  std::string body_;
};

class error_handler : public HTTPRequestHandler {
 public:
  explicit error_handler(core::error failure) : failure_(std::move(failure)) {}
  void handleRequest(HTTPServerRequest& /*request*/,
                     HTTPServerResponse& response) override {
    // The body was not read, so the connection cannot carry another request.
    response.setKeepAlive(false);
    SendError(response, failure_, "");
  }

 private:
  core::error failure_;
};

class service_handler : public HTTPRequestHandler {
 public:
  explicit service_handler(front_context& context) : context_(context) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    const in_flight_guard guard(context_.in_flight);
    if (context_.draining) response.setKeepAlive(false);
    const core::monotonic_time begin = core::Now();
    core::result<service_request> parsed = Parse(request);
    if (!parsed) {
      response.setKeepAlive(false);
      SendError(response, parsed.error(), "");
      return;
    }
    const core::result<service_reply> reply = context_.router.Route(*parsed);
    Record(*parsed, reply, core::Now() - begin);
    if (!reply) {
      SendError(response, reply.error(), parsed->id);
      return;
    }
    for (const auto& [name, value] : reply->headers) response.add(name, value);
    response.set("Waxwingfront-Request-Id", parsed->id);
    response.setStatus(
        static_cast<HTTPServerResponse::HTTPStatus>(reply->status));
    response.setReason(
        HTTPServerResponse::getReasonForStatus(response.getStatus()));
    response.sendBuffer(reply->body.data(), reply->body.size());
  }

 private:
  core::result<service_request> Parse(HTTPServerRequest& http) {
    service_request request;
    request.id = core::RandomId();
    request.method = http.getMethod();
    const std::string_view rest =
        std::string_view(http.getURI()).substr(kServicesPrefix.size());
    const std::size_t slash = rest.find('/');
    request.service = std::string(rest.substr(0, slash));
    request.path =
        slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
    request.customer = http.get("Waxwingfront-Customer", "");
    const auto policy = context_.options.policy();
    if (policy == nullptr) {
      return core::Failure(core::error_code::kNoBundle,
                           "no bundle is in force yet");
    }
    const auto* service = policy->FindService(request.service);
    if (service == nullptr) {
      return core::Failure(
          core::error_code::kUnknownService,
          "the bundle has no service '" + request.service + "'");
    }
    if (policy->FindCustomer(request.customer) == nullptr) {
      return core::Failure(
          core::error_code::kUnknownCustomer,
          "the bundle has no customer '" + request.customer + "'");
    }
    const auto deadline = ReadDeadline(http, service->default_deadline_ms());
    if (!deadline) return tl::unexpected(deadline.error());
    request.received = core::Now();
    request.deadline = request.received + *deadline;
    request.idempotent = IsIdempotentMethod(request.method) ||
                         http.get("Waxwingfront-Idempotent", "") == "true";
    for (const auto& [name, value] : http) {
      if (!IsHopByHop(name)) request.headers.emplace_back(name, value);
    }
    auto body = ReadBody(http, context_.options.max_body_bytes);
    if (!body) return tl::unexpected(body.error());
    request.body = std::move(*body);
    return request;
  }

  core::result<core::milliseconds> ReadDeadline(const HTTPServerRequest& http,
                                                std::int64_t of_service) const {
    if (!http.has("Waxwingfront-Deadline-Ms")) {
      return of_service > 0 ? core::milliseconds(of_service)
                            : context_.options.default_deadline;
    }
    int deadline_ms = 0;
    const bool valid = Poco::NumberParser::tryParse(
                           http.get("Waxwingfront-Deadline-Ms"), deadline_ms) &&
                       deadline_ms >= 1 && deadline_ms <= kMaxDeadlineMs;
    if (!valid) {
      return core::Failure(core::error_code::kInvalidRequest,
                           "Waxwingfront-Deadline-Ms: 1 to 600000 ms");
    }
    return core::milliseconds(deadline_ms);
  }

  void Record(const service_request& request,
              const core::result<service_reply>& reply,
              core::monotonic_time::duration taken) {
    const std::string outcome =
        reply ? "answered" : std::string(core::ErrorName(reply.error().code));
    context_.metrics
        .Counter("waxwingfront_requests_total", {{"service", request.service},
                                                 {"customer", request.customer},
                                                 {"outcome", outcome}})
        .Add();
    context_.metrics
        .Histogram(
            "waxwingfront_request_seconds",
            {{"service", request.service}, {"customer", request.customer}})
        .Observe(std::chrono::duration<double>(taken).count());
    if (!reply) {
      logging::Warning(kPart, "request ", request.id, " to ", request.service,
                       " ended as ", outcome, ": ", reply.error().detail);
    }
  }

  front_context& context_;
};

class job_handler : public HTTPRequestHandler {
 public:
  explicit job_handler(front_context& context) : context_(context) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    const in_flight_guard guard(context_.in_flight);
    if (context_.draining) response.setKeepAlive(false);
    std::string job(request.getURI().substr(kJobsPath.size()));
    if (!job.empty()) job.erase(0, 1);
    const core::result<schema::job_status> status = Carry(request, job);
    if (!status) {
      response.setKeepAlive(false);
      SendError(response, status.error(), job);
      return;
    }
    SendBody(response, kHttpOk, "application/json", core::ToJson(*status));
  }

 private:
  core::result<schema::job_status> Carry(HTTPServerRequest& request,
                                         std::string& job) {
    const std::string& method = request.getMethod();
    if (job.empty() && method == "POST") return Submit(request, job);
    if (!job.empty() && method == "GET") return context_.jobs.Status(job);
    if (!job.empty() && method == "DELETE") return context_.jobs.Cancel(job);
    return core::Failure(
        core::error_code::kInvalidRequest,
        "use POST /v1/jobs, GET /v1/jobs/<id> or DELETE /v1/jobs/<id>");
  }

  core::result<schema::job_status> Submit(HTTPServerRequest& request,
                                          std::string& job) {
    const auto body = ReadBody(request, context_.options.max_body_bytes);
    if (!body) return tl::unexpected(body.error());
    schema::job_spec spec;
    const auto parsed =
        core::FromJson(*body, core::unknown_fields::kRefuse, spec);
    if (!parsed) return tl::unexpected(parsed.error());
    job = spec.id();
    return context_.jobs.Submit(std::move(spec));
  }

  front_context& context_;
};

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

}  // namespace

HTTPRequestHandler* handler_factory::createRequestHandler(
    const HTTPServerRequest& request) {
  const std::string& uri = request.getURI();
  if (uri == "/healthz") return new text_handler(context_, kHttpOk, "ok\n");
  if (uri == "/readyz") {
    const std::string reason = context_.options.unready_reason();
    if (reason.empty()) return new text_handler(context_, kHttpOk, "ready\n");
    return new text_handler(context_, kHttpServiceUnavailable, reason + "\n");
  }
  if (uri == "/metrics")
    return new text_handler(context_, kHttpOk, context_.metrics.Text());
  if (StartsWith(uri, kServicesPrefix)) return new service_handler(context_);
  if (uri == kJobsPath || StartsWith(uri, std::string(kJobsPath) + "/")) {
    return new job_handler(context_);
  }
  return new error_handler(
      {.code = core::error_code::kInvalidRequest,
       .detail = "unknown path; use /v1/services/<name>/ or /v1/jobs"});
}

}  // namespace waxwingfront::front::detail
