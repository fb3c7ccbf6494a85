// Replay of recorded races between sign-offs of two operators.
#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <utility>

#include "support/faulty_store.h"
#include "waxwingfront/bundle/bundle_repository.h"

namespace waxwingfront::tests {
namespace {

constexpr std::string_view kDuring = "during:";

std::string Document(const std::string& name) {
  return R"({"site": "test", "customers": [{"name": ")" + name +
         R"(", "weight": 1}]})";
}

std::string Outcome(const core::result<schema::sign_off>& result) {
  if (result) return "version " + std::to_string(result->version());
  // "<winner> has signed off version <n> first"
  std::istringstream words(result.error().detail);
  std::string winner;
  std::string number;
  std::string word;
  words >> winner;
  while (words >> word && word != "version") {
  }
  words >> number;
  return result.error().code == core::error_code::kSignOffConflict
             ? "conflict " + winner + " " + number
             : std::string(core::ErrorName(result.error().code));
}

class race_replay {
 public:
  race_replay() {
    store_.SetOutcome([this](std::string_view path) {
      return path == kTxnPath ? OutcomeOfWrite() : call_outcome::kAnswered;
    });
  }

  std::string Run(const std::string& operator_name, const std::string& content,
                  const std::string& write_event) {
    const std::string digest = Submit(content);
    next_write_event_ = write_event;
    return Outcome(SignOff(operator_name, digest));
  }

  std::size_t HistorySize() const { return repository_.History()->size(); }

 private:
  std::string Submit(const std::string& content) const {
    const auto digest = repository_.Submit(Document(content));
    REQUIRE(digest.has_value());
    return *digest;
  }

  core::result<schema::sign_off> SignOff(const std::string& operator_name,
                                         const std::string& digest) const {
    return repository_.SignOff(
        {.digest = digest, .operator_name = operator_name});
  }

  // Returns the outcome of the next write. The first write after `Run` has
  // submitted the content is the sign-off.
  call_outcome OutcomeOfWrite() {
    const std::string write_event = std::exchange(next_write_event_, "");
    if (write_event == "lost_answer") return call_outcome::kLostAfter;
    if (write_event.starts_with(kDuring)) {
      const std::string names = write_event.substr(kDuring.size());
      const std::size_t colon = names.find(':');
      const std::string digest = Submit(names.substr(colon + 1));
      REQUIRE(SignOff(names.substr(0, colon), digest).has_value());
    }
    return call_outcome::kAnswered;
  }

  faulty_store store_;
  bundle::bundle_repository repository_{store_.Client()};
  // Event that occurs at the next write.
  std::string next_write_event_;
};

// Guards against a race in which the sign-offs of both operators or of none
// succeed, or in which one conflicts with its own write.
TEST_CASE("recorded sign-off races replay with the expected outcomes",
          "[bundle][trace]") {
  std::ifstream file(std::string(WAXWINGFRONT_TRACES) + "/operator_race.races");
  race_replay replay;
  std::size_t versions = 0;
  for (std::string line; std::getline(file, line);) {
    if (line.empty() || line.front() == '#') continue;
    INFO(line);
    std::istringstream words(line);
    std::string operator_name;
    std::string content;
    std::string write_event;
    words >> operator_name >> content >> write_event;
    const std::string expected = line.substr(line.find(" expect ") + 8);
    CHECK(replay.Run(operator_name, content, write_event) == expected);
    ++versions;
    CHECK(replay.HistorySize() == versions);
  }
  CHECK(versions == 6);
}

}  // namespace
}  // namespace waxwingfront::tests
