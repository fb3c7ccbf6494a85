// Requests to services and their answers, independent of the HTTP library.
#ifndef WAXWINGFRONT_FRONT_MESSAGE_H_
#define WAXWINGFRONT_FRONT_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "waxwingfront/core/clock.h"

namespace waxwingfront::front {

using header_list = std::vector<std::pair<std::string, std::string>>;

// One request to a service, held whole.
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

// One whole answer.
struct service_reply {
  int status = 0;
  header_list headers;
  std::string body;
};

// Whether HTTP defines `method` as idempotent.
bool IsIdempotentMethod(std::string_view method);

// Compares names of headers.
bool EqualsIgnoringCase(std::string_view left, std::string_view right);

// Whether a header concerns one connection only and is not passed on.
bool IsHopByHop(std::string_view header);

}  // namespace waxwingfront::front

#endif  // WAXWINGFRONT_FRONT_MESSAGE_H_
