// Stand-in for the platform's host list.
#ifndef WAXWINGFRONT_STANDINS_HOST_LIST_H_
#define WAXWINGFRONT_STANDINS_HOST_LIST_H_

#include <mutex>

#include "waxwingfront/schema/gen/host_list.pb.h"
#include "waxwingfront/standins/http_service.h"

namespace waxwingfront::standins {

// Serves `GET /v1/hosts`; `PUT /v1/hosts` replaces the list.
class host_list {
 public:
  http_response Handle(const http_call& call);
  void Replace(schema::host_list list);

 private:
  std::mutex mutex_;
  schema::host_list list_;
};

}  // namespace waxwingfront::standins

#endif  // WAXWINGFRONT_STANDINS_HOST_LIST_H_
