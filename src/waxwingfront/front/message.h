// Requests to services and their responses, independent of the HTTP library.
#ifndef WAXWINGFRONT_FRONT_MESSAGE_H_
#define WAXWINGFRONT_FRONT_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::front {

using header_list = std::vector<std::pair<std::string, std::string>>;

// A request to a service, with its whole body.
struct service_request {
  std::string id;
  std::string service;
  std::string customer;
  std::string method;
  // Path and query after the service's name, beginning with '/'.
  std::string path;
  header_list headers;
  std::string body;
  bool idempotent = false;
  core::monotonic_time received;
  core::monotonic_time deadline;
};

// A complete response of a service.
struct service_reply {
  int status = 0;
  header_list headers;
  std::string body;
};

// True if HTTP defines `method` as idempotent.
bool IsIdempotentMethod(std::string_view method);

// Compares header names without regard to case.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

// True if a header concerns a single connection and is not forwarded.
bool IsHopByHop(std::string_view header);

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_MESSAGE_H_
