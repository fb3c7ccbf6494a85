// Client of the platform's host list service.
#ifndef WAXWINGFRONT_HOSTS_HOST_LIST_CLIENT_H_
#define WAXWINGFRONT_HOSTS_HOST_LIST_CLIENT_H_

#include <string>

#include "waxwingfront/core/error.h"
#include "waxwingfront/net/http_client.h"
#include "waxwingfront/schema/gen/host_list.pb.h"

namespace waxwingfront::hosts {

class host_list_client {
 public:
  // `address` is an IP address and port.
  explicit host_list_client(std::string address);

  // Reads the host list. Fails with `kUnreachable` or `kProtocol`.
  core::result<schema::host_list> Read();

 private:
  net::http_client http_;
};

}  // namespace waxwingfront::hosts

#endif  // WAXWINGFRONT_HOSTS_HOST_LIST_CLIENT_H_
