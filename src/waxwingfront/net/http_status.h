// HTTP status codes that the project sends or distinguishes.
#ifndef WAXWINGFRONT_NET_HTTP_STATUS_H_
#define WAXWINGFRONT_NET_HTTP_STATUS_H_

namespace waxwingfront::net {

inline constexpr int kHttpOk = 200;
inline constexpr int kHttpBadRequest = 400;
inline constexpr int kHttpNotFound = 404;
inline constexpr int kHttpMethodNotAllowed = 405;
inline constexpr int kHttpConflict = 409;
inline constexpr int kHttpGone = 410;
inline constexpr int kHttpPreconditionFailed = 412;
inline constexpr int kHttpContentTooLarge = 413;
inline constexpr int kHttpMisdirectedRequest = 421;
inline constexpr int kHttpTooManyRequests = 429;
inline constexpr int kHttpHeaderTooLarge = 431;
inline constexpr int kHttpInternalServerError = 500;
inline constexpr int kHttpServiceUnavailable = 503;
inline constexpr int kHttpGatewayTimeout = 504;

}  // namespace waxwingfront::net

#endif  // WAXWINGFRONT_NET_HTTP_STATUS_H_
