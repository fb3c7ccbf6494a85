// A TCP server that answers each HTTP request with bytes that a test chose.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_SCRIPTED_SERVER_H_
#define WAXWINGFRONT_TESTS_SUPPORT_SCRIPTED_SERVER_H_

#include <functional>
#include <memory>
#include <string>

namespace waxwingfront::tests {

// What happens after the bytes of an answer were sent.
enum class after_answer { kKeepOpen, kClose, kStaySilent };

struct scripted_answer {
  std::string bytes;
  after_answer then = after_answer::kKeepOpen;
};

class scripted_server {
 public:
  // `answer` gets the request's head and body, and the number of the request
  // over all connections, from 1.
  explicit scripted_server(
      std::function<scripted_answer(const std::string& request, int number)>
          answer);
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;
  ~scripted_server();

  std::string Address() const;
  // Requests that arrived whole.
  int Requests() const;
  // Connections that were accepted.
  int Connections() const;
  // Connections that this side has closed.
  int Closed() const;

 private:
  struct internal;
  std::unique_ptr<internal> internal_;
};

// An HTTP/1.1 answer 200 with a length.
std::string PlainAnswer(const std::string& body);

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_SCRIPTED_SERVER_H_
