#include "waxwingfront/front/detail/handlers.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <charconv>
#include <string_view>
#include <utility>

#include "waxwingfront/core/hash.h"
#include "waxwingfront/core/json.h"
#include "waxwingfront/core/text.h"
#include "waxwingfront/front/detail/caller_request.h"
#include "waxwingfront/front/message.h"
#include "waxwingfront/front/request_router.h"
#include "waxwingfront/jobs/job_check.h"
#include "waxwingfront/jobs/job_service.h"
#include "waxwingfront/logging/log.h"
#include "waxwingfront/metrics/registry.h"
#include "waxwingfront/net/http_status.h"
#include "waxwingfront/schema/gen/common.pb.h"

namespace waxwingfront::front::detail {
namespace {

using Poco::Net::HTTPRequestHandler;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

constexpr std::string_view kModule = "front";
constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::string_view kJobsPath = "/v1/jobs";
constexpr std::string_view kRequestIdHeader = "Waxwingfront-Request-Id";
// Longest part of a name sent by a caller that an error repeats.
constexpr std::size_t kMaxEchoedBytes = 64;
// Longest deadline that a caller may request, in milliseconds.
constexpr int kMaxDeadlineMs = 600000;

// The cast is safe because `caller_connection` creates all requests.
caller_request& AsCallerRequest(HTTPServerRequest& request) {
  return static_cast<caller_request&>(request);
}

void SendText(front_context& context, HTTPServerRequest& request, int status,
              const std::string& type, const std::string& text) {
  request.response().setContentType(type);
  AsCallerRequest(request).Respond(status, text, context.options.write_timeout);
}

void SendError(front_context& context, HTTPServerRequest& request,
               const core::error& failure, std::string_view id) {
  schema::error_body body;
  body.set_type(std::string(core::ErrorName(failure.code)));
  body.set_detail(core::Printable(failure.detail));
  body.set_id(core::Printable(id, jobs::kMaxJobIdLength));
  SendText(context, request, core::HttpStatus(failure.code), "application/json",
           core::ToJson(body));
}

// Rejects a request whose method its path does not allow.
void SendMethodError(front_context& context, HTTPServerRequest& request,
                     const std::string& allowed) {
  const core::error failure{.code = core::error_code::kMethodNotAllowed,
                            .detail = "allowed are " + allowed};
  CountRejection(context, failure);
  request.response().set("Allow", allowed);
  SendError(context, request, failure, "");
}

// Counts a request as in flight while the caller waits for its response.
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
  text_handler(front_context& context, int status, std::string type,
               std::string text)
      : context_(context),
        status_(status),
        type_(std::move(type)),
        text_(std::move(text)) {}
  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& /*response*/) override {
    const std::string& method = request.getMethod();
    if (method != "GET" && method != "HEAD") {
      SendMethodError(context_, request, "GET, HEAD");
      return;
    }
    SendText(context_, request, status_, type_, text_);
  }

 private:
  front_context& context_;
  int status_;
  std::string type_;
  std::string text_;
};

class error_handler : public HTTPRequestHandler {
 public:
  error_handler(front_context& context, core::error failure)
      : context_(context), failure_(std::move(failure)) {}
  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& /*response*/) override {
    CountRejection(context_, failure_);
    SendError(context_, request, failure_, "");
  }

 private:
  front_context& context_;
  core::error failure_;
};

class service_handler : public HTTPRequestHandler {
 public:
  explicit service_handler(front_context& context) : context_(context) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& response) override {
    const in_flight_guard guard(context_.in_flight);
    const core::monotonic_time begin = core::Now();
    const std::string id = core::RandomId();
    response.set(std::string(kRequestIdHeader), id);
    core::result<service_request> parsed = Parse(request, id);
    if (!parsed) {
      CountRejection(context_, parsed.error());
      SendError(context_, request, parsed.error(), id);
      return;
    }
    const core::result<service_reply> reply = context_.router.Route(*parsed);
    Record(*parsed, reply, core::Now() - begin);
    if (!reply) {
      SendError(context_, request, reply.error(), id);
      return;
    }
    for (const auto& [name, value] : reply->headers) response.add(name, value);
    response.set(std::string(kRequestIdHeader), id);
    AsCallerRequest(request).Respond(reply->status, reply->body,
                                     context_.options.write_timeout);
  }

 private:
  core::result<service_request> Parse(HTTPServerRequest& http,
                                      const std::string& id) {
    service_request request;
    request.id = id;
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
          "the bundle has no service '" +
              core::Printable(request.service, kMaxEchoedBytes) + "'");
    }
    if (policy->FindCustomer(request.customer) == nullptr) {
      return core::Failure(
          core::error_code::kUnknownCustomer,
          "the bundle has no customer '" +
              core::Printable(request.customer, kMaxEchoedBytes) +
              "'; the header Waxwingfront-Customer names one");
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
    auto body = AsCallerRequest(http).ReadBody(context_.options.max_body_bytes);
    if (!body) return tl::unexpected(body.error());
    request.body = std::move(*body);
    return request;
  }

  core::result<core::milliseconds> ReadDeadline(
      const HTTPServerRequest& http, std::int64_t service_default_ms) const {
    if (!http.has("Waxwingfront-Deadline-Ms")) {
      return service_default_ms > 0 ? core::milliseconds(service_default_ms)
                                    : context_.options.default_deadline;
    }
    const std::string& text = http.get("Waxwingfront-Deadline-Ms");
    const char* end = text.data() + text.size();
    int deadline_ms = 0;
    const auto [rest, failure] = std::from_chars(text.data(), end, deadline_ms);
    const bool valid = failure == std::errc() && rest == end &&
                       deadline_ms >= 1 && deadline_ms <= kMaxDeadlineMs;
    if (!valid) {
      return core::Failure(
          core::error_code::kInvalidRequest,
          "Waxwingfront-Deadline-Ms: allowed is a whole number "
          "from 1 to 600000, in ms");
    }
    return core::milliseconds(deadline_ms);
  }

  void Record(const service_request& request,
              const core::result<service_reply>& reply,
              core::monotonic_time::duration elapsed) {
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
        .Observe(std::chrono::duration<double>(elapsed).count());
    if (!reply) {
      logging::Warning(kModule, "request ", request.id, " to ", request.service,
                       " ended as ", outcome, ": ", reply.error().detail);
    }
  }

  front_context& context_;
};

class job_handler : public HTTPRequestHandler {
 public:
  explicit job_handler(front_context& context) : context_(context) {}

  void handleRequest(HTTPServerRequest& request,
                     HTTPServerResponse& /*response*/) override {
    const in_flight_guard guard(context_.in_flight);
    std::string job(request.getURI().substr(kJobsPath.size()));
    const bool is_collection = job.empty();
    if (!is_collection) job.erase(0, 1);
    const std::string& method = request.getMethod();
    if (is_collection && method != "POST") {
      SendMethodError(context_, request, "POST");
      return;
    }
    if (!is_collection && method != "GET" && method != "DELETE") {
      SendMethodError(context_, request, "GET, DELETE");
      return;
    }
    const core::result<schema::job_status> status =
        is_collection ? Submit(request, job) : GetOrCancel(method, job);
    if (!status) {
      CountRejection(context_, status.error());
      logging::Info(kModule, "job ",
                    core::Printable(job, jobs::kMaxJobIdLength), " ", method,
                    " ended as ", core::ErrorName(status.error().code), ": ",
                    status.error().detail);
      SendError(context_, request, status.error(), job);
      return;
    }
    SendText(context_, request, net::kHttpOk, "application/json",
             core::ToJson(*status));
  }

 private:
  core::result<schema::job_status> GetOrCancel(const std::string& method,
                                               const std::string& job) {
    if (!jobs::IsValidJobId(job)) {
      return core::Failure(core::error_code::kInvalidRequest,
                           std::string(jobs::kJobIdRule));
    }
    return method == "GET" ? context_.jobs.Status(job)
                           : context_.jobs.Cancel(job);
  }

  core::result<schema::job_status> Submit(HTTPServerRequest& request,
                                          std::string& job) {
    const core::monotonic_time begin = core::Now();
    const auto body =
        AsCallerRequest(request).ReadBody(context_.options.max_body_bytes);
    if (!body) return tl::unexpected(body.error());
    schema::job_spec spec;
    const auto parsed =
        core::FromJson(*body, core::unknown_fields::kRefuse, spec);
    if (!parsed) return tl::unexpected(parsed.error());
    job = spec.id();
    const std::string batch_class = spec.batch_class();
    core::result<schema::job_status> status =
        context_.jobs.Submit(std::move(spec));
    if (status) job = status->id();
    Record(batch_class, status, core::Now() - begin);
    return status;
  }

  // The label comes from the caller, so only batch classes of the bundle are
  // counted. Otherwise callers could create any number of time series.
  void Record(const std::string& batch_class,
              const core::result<schema::job_status>& status,
              core::monotonic_time::duration elapsed) {
    const auto policy = context_.options.policy();
    if (policy == nullptr || policy->FindBatchClass(batch_class) == nullptr)
      return;
    const std::string outcome =
        status ? "accepted" : std::string(core::ErrorName(status.error().code));
    context_.metrics
        .Counter("waxwingfront_job_submissions_total",
                 {{"batch_class", batch_class}, {"outcome", outcome}})
        .Add();
    context_.metrics
        .Histogram("waxwingfront_job_submission_seconds",
                   {{"batch_class", batch_class}})
        .Observe(std::chrono::duration<double>(elapsed).count());
  }

  front_context& context_;
};

bool StartsWith(std::string_view text, std::string_view prefix) {
  return text.substr(0, prefix.size()) == prefix;
}

HTTPRequestHandler* MakeText(front_context& context, std::string text) {
  return new text_handler(context, net::kHttpOk, "text/plain", std::move(text));
}

}  // namespace

void CountRejection(front_context& context, const core::error& failure) {
  context.metrics
      .Counter("waxwingfront_refusals_total",
               {{"type", std::string(core::ErrorName(failure.code))}})
      .Add();
}

HTTPRequestHandler* handler_factory::createRequestHandler(
    const HTTPServerRequest& request) {
  const std::string& uri = request.getURI();
  if (uri == "/healthz") return MakeText(context_, "ok\n");
  if (uri == "/readyz") {
    const std::string reason = context_.options.unready_reason();
    if (reason.empty()) return MakeText(context_, "ready\n");
    return new text_handler(context_, net::kHttpServiceUnavailable,
                            "text/plain", reason + "\n");
  }
  if (uri == "/metrics") {
    return new text_handler(context_, net::kHttpOk,
                            "text/plain; version=0.0.4; charset=utf-8",
                            context_.metrics.Text());
  }
  if (StartsWith(uri, kServicesPrefix)) return new service_handler(context_);
  if (uri == kJobsPath || StartsWith(uri, std::string(kJobsPath) + "/")) {
    return new job_handler(context_);
  }
  return new error_handler(
      context_,
      {.code = core::error_code::kUnknownPath,
       .detail = "allowed are /v1/services/<service>/<path>, /v1/jobs, "
                 "/v1/jobs/<id>, /healthz, /readyz and /metrics"});
}

}  // namespace waxwingfront::front::detail
