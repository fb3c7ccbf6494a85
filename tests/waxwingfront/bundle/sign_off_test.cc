// Concurrent sign-offs of several operators on a faulty store.
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "waxwingfront/bundle/bundle_repository.h"
#include "waxwingfront/standins/store.h"
#include "waxwingfront/store/store_client.h"

namespace waxwingfront::bundle {
namespace {

using core::error_code;

// Fault of one store call.
enum class call_fault {
  kNone,
  // 503; the call has no effect.
  kRejected,
  kNoConnection,
  // The caller gets no response: the request or the response is lost.
  kRequestLost,
  kResponseLost,
  // The caller gets no response, and the call is executed later.
  kDelayed,
};

std::string DocumentOf(int number) {
  return R"({"site": "s", "customers": [{"name": "c)" + std::to_string(number) +
         R"(", "weight": 1}]})";
}

// An in-process store. Delayed calls are queued until `Deliver`.
class faulty_store {
 public:
  core::result<net::http_reply> Post(std::string_view path,
                                     std::string_view body, call_fault fault) {
    const standins::http_call call{
        .method = "POST", .path = std::string(path), .body = std::string(body)};
    if (fault == call_fault::kRejected) return net::http_reply{.status = 503};
    if (fault == call_fault::kNoConnection)
      return core::Failure(error_code::kUnreachable, "no connection");
    if (fault == call_fault::kDelayed) delayed_.push_back(call);
    if (fault == call_fault::kRequestLost || fault == call_fault::kDelayed)
      return core::Failure(error_code::kOutcomeUnknown, "no response");
    const standins::http_response response = store_.Handle(call);
    if (fault == call_fault::kResponseLost)
      return core::Failure(error_code::kOutcomeUnknown, "no response");
    return net::http_reply{.status = response.status, .body = response.body};
  }

  // Executes the oldest delayed call.
  void Deliver() {
    if (delayed_.empty()) return;
    static_cast<void>(store_.Handle(delayed_.front()));
    delayed_.erase(delayed_.begin());
  }

 private:
  standins::store store_;
  std::vector<standins::http_call> delayed_;
};

store::store_client ClientOf(faulty_store& store) {
  return store::store_client(
      {.post = [&store](std::string_view path, std::string_view body) {
        return store.Post(path, body, call_fault::kNone);
      }});
}

// Runs functions in threads, one at a time: the test selects the thread that
// continues until its next store call. A list of steps therefore gives the same
// execution every time.
class call_scheduler {
 public:
  call_scheduler() = default;
  call_scheduler(const call_scheduler&) = delete;
  call_scheduler& operator=(const call_scheduler&) = delete;

  struct step {
    std::size_t runner = 0;
    call_fault fault = call_fault::kNone;
  };

  // Called by a runner before each store call; waits for the next step and
  // returns its fault.
  call_fault AwaitStep(std::size_t runner) {
    std::unique_lock lock(mutex_);
    waiting_[runner] = true;
    changed_.notify_all();
    changed_.wait(lock, [&] { return !waiting_[runner]; });
    return fault_;
  }

  void Start(std::vector<std::function<void()>> runners) {
    waiting_.assign(runners.size(), false);
    done_.assign(runners.size(), false);
    for (std::size_t index = 0; index < runners.size(); ++index) {
      threads_.emplace_back([this, index, run = std::move(runners[index])] {
        run();
        const std::lock_guard lock(mutex_);
        done_[index] = true;
        changed_.notify_all();
      });
    }
    AwaitIdle();
  }

  // Lets the selected runner, or the next one that is not done, make one call.
  // Returns false if all are done.
  bool RunStep(const step& next) {
    std::unique_lock lock(mutex_);
    for (std::size_t offset = 0; offset < waiting_.size(); ++offset) {
      const std::size_t runner = (next.runner + offset) % waiting_.size();
      if (!waiting_[runner]) continue;
      fault_ = next.fault;
      waiting_[runner] = false;
      changed_.notify_all();
      lock.unlock();
      AwaitIdle();
      return true;
    }
    return false;
  }

  // Runs all runners to completion.
  ~call_scheduler() {
    while (RunStep({})) {
    }
    for (std::thread& thread : threads_) thread.join();
  }

 private:
  void AwaitIdle() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] {
      for (std::size_t index = 0; index < waiting_.size(); ++index) {
        if (!waiting_[index] && !done_[index]) return false;
      }
      return true;
    });
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<bool> waiting_;
  std::vector<bool> done_;
  call_fault fault_ = call_fault::kNone;
  std::vector<std::thread> threads_;
};

// An operator's sign-off request and the responses to its attempts.
struct tracked_request {
  sign_off_request request;
  std::vector<core::result<schema::sign_off>> responses;
};

// Simulates an operator who signs off the bundles with `digests` one after the
// other. After an unknown outcome or an unavailable store the same request is
// retried, at most `max_repeats` times.
std::vector<tracked_request> RunOperator(
    const bundle_repository& repository, const std::string& name,
    const std::vector<std::string>& digests,
    const std::vector<std::string>& domains, int max_repeats) {
  std::vector<tracked_request> tracked_requests;
  std::uint64_t nonce = std::hash<std::string>{}(name) >> 1U;
  for (const std::string& digest : digests) {
    const auto head = repository.Head();
    if (!head) continue;
    tracked_request tracked;
    tracked.request = {
        .digest = digest,
        .operator_name = name,
        .failure_domains = domains,
        .expected_version = head->has_value() ? NewestVersion(**head) : 0,
        .nonce = ++nonce};
    for (int repeat = 0; repeat <= max_repeats; ++repeat) {
      tracked.responses.push_back(repository.SignOff(tracked.request));
      const auto& response = tracked.responses.back();
      const bool should_retry =
          !response && (response.error().code == error_code::kOutcomeUnknown ||
                        response.error().code == error_code::kStoreUnavailable);
      if (!should_retry) break;
    }
    tracked_requests.push_back(std::move(tracked));
  }
  return tracked_requests;
}

std::size_t CountNonce(const std::vector<schema::sign_off>& history,
                       std::uint64_t nonce) {
  return static_cast<std::size_t>(std::count_if(
      history.begin(), history.end(),
      [nonce](const auto& made) { return made.nonce() == nonce; }));
}

void CheckHistory(const std::vector<schema::sign_off>& history,
                  const std::optional<schema::bundle_head>& head) {
  RC_ASSERT(head.has_value() == !history.empty());
  for (std::size_t index = 0; index < history.size(); ++index)
    RC_ASSERT(history[index].version() == static_cast<std::int64_t>(index + 1));
  if (!head.has_value()) return;
  RC_ASSERT(NewestVersion(*head) == history.back().version());
  RC_ASSERT(head->nonce() == history.back().nonce());
  RC_ASSERT(head->operator_name() == history.back().operator_name());
  RC_ASSERT(head->generation() == static_cast<std::int64_t>(history.size()));
}

void CheckRequest(const tracked_request& tracked,
                  const std::vector<schema::sign_off>& history) {
  const std::uint64_t nonce = tracked.request.nonce;
  RC_ASSERT(CountNonce(history, nonce) <= 1U);
  for (const auto& response : tracked.responses) {
    if (response) {
      const auto& made = history.at(response->version() - 1);
      RC_ASSERT(made.nonce() == nonce);
      RC_ASSERT(made.digest() == tracked.request.digest);
      continue;
    }
    RC_ASSERT(response.error().code != error_code::kProtocol);
    if (response.error().code != error_code::kSignOffConflict) continue;
    RC_ASSERT(CountNonce(history, nonce) == 0U);
    // The detail contains the winning operator and the version.
    bool names_winner = false;
    for (const auto& made : history) {
      const std::string text = made.operator_name() +
                               " has signed off version " +
                               std::to_string(made.version()) + " first";
      names_winner = names_winner ||
                     (response.error().detail == text && made.nonce() != nonce);
    }
    RC_ASSERT(names_winner);
  }
  // `kStoreUnavailable` means that nothing was changed.
  const bool all_unavailable =
      std::all_of(tracked.responses.begin(), tracked.responses.end(),
                  [](const auto& response) {
                    return !response && response.error().code ==
                                            error_code::kStoreUnavailable;
                  });
  if (all_unavailable) RC_ASSERT(CountNonce(history, nonce) == 0U);
}

struct schedule {
  std::vector<call_scheduler::step> steps;
  // For each step, whether a delayed call is delivered before it.
  std::vector<bool> deliver;
};

// Generates numbers over the whole range from the first case on. RapidCheck
// starts with small ones, for which operators would rarely run concurrently.
int RandomBelow(int end) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

// Faults occur in runs, as in outages: after a lost response followed by
// rejected reads an operator cannot determine the outcome.
schedule GenerateSchedule(int operators) {
  constexpr int kMaxRuns = 24;
  constexpr int kMaxRunLength = 10;
  schedule made;
  const int runs = RandomBelow(kMaxRuns);
  for (int run = 0; run < runs; ++run) {
    const auto fault =
        *rc::gen::weightedElement<call_fault>({{9, call_fault::kNone},
                                               {2, call_fault::kRejected},
                                               {1, call_fault::kNoConnection},
                                               {1, call_fault::kRequestLost},
                                               {3, call_fault::kResponseLost},
                                               {1, call_fault::kDelayed}});
    const int length = RandomBelow(kMaxRunLength) + 1;
    for (int step = 0; step < length; ++step) {
      made.steps.push_back(
          {.runner = static_cast<std::size_t>(RandomBelow(operators)),
           .fault = fault});
      made.deliver.push_back(RandomBelow(4) == 0);
    }
  }
  return made;
}

// Guards against versions that are skipped, overwritten or written twice,
// against a reported success that is not in the history, against a reported
// conflict with the operator's own sign-off, and against a head that differs
// from the history.
TEST_CASE("sign-offs of several operators form one sequence of versions",
          "[bundle][sign_off][property]") {
  rc::prop("history, head and answers agree", [] {
    constexpr int kDocuments = 3;
    const int operators = RandomBelow(3) + 1;
    faulty_store store;
    const store::store_client direct_client = ClientOf(store);
    const bundle_repository direct(direct_client);
    std::vector<std::string> digests;
    digests.reserve(kDocuments);
    for (int number = 0; number < kDocuments; ++number)
      digests.push_back(*direct.Submit(DocumentOf(number)));

    std::vector<std::unique_ptr<store::store_client>> clients;
    std::vector<std::vector<tracked_request>> results(
        static_cast<std::size_t>(operators));
    call_scheduler steps;
    std::vector<std::function<void()>> runners;
    for (std::size_t index = 0; index < results.size(); ++index) {
      clients.push_back(
          std::make_unique<store::store_client>(store::store_client_options{
              .post = [&store, &steps, index](std::string_view path,
                                              std::string_view body) {
                const call_fault fault = steps.AwaitStep(index);
                return store.Post(path, body, fault);
              }}));
      const auto domains = *rc::gen::elementOf(
          std::vector<std::vector<std::string>>{{}, {"a"}, {"a", "b"}});
      const int repeats = RandomBelow(3);
      runners.emplace_back([&, index, domains, repeats] {
        const bundle_repository repository(*clients[index]);
        results[index] = RunOperator(repository, "op" + std::to_string(index),
                                     digests, domains, repeats);
      });
    }
    const schedule made = GenerateSchedule(operators);
    steps.Start(std::move(runners));
    std::int64_t generation = 0;
    for (std::size_t index = 0; index < made.steps.size(); ++index) {
      if (made.deliver[index]) store.Deliver();
      static_cast<void>(steps.RunStep(made.steps[index]));
      const auto head = direct.Head();
      const std::int64_t now =
          head->has_value() ? (**head).generation() : std::int64_t{0};
      RC_ASSERT(now >= generation);
      generation = now;
    }
    while (steps.RunStep({})) store.Deliver();
    for (std::size_t index = 0; index <= made.steps.size(); ++index)
      store.Deliver();

    const auto history = direct.History();
    const auto head = direct.Head();
    CheckHistory(*history, *head);
    std::size_t successes = 0;
    for (const auto& operator_results : results) {
      for (const tracked_request& tracked : operator_results) {
        CheckRequest(tracked, *history);
        successes += tracked.responses.back() ? 1 : 0;
      }
    }
    RC_CLASSIFY(successes > 0, "some sign-off succeeded");
  });
}

// Guards against a retry after an unknown outcome that creates a second version
// or reports a conflict with the operator's own sign-off.
TEST_CASE("a retried sign-off returns the version of the first attempt",
          "[bundle][sign_off]") {
  faulty_store store;
  const store::store_client client = ClientOf(store);
  const bundle_repository repository(client);
  const std::string first = *repository.Submit(DocumentOf(1));
  const std::string second = *repository.Submit(DocumentOf(2));
  const sign_off_request request{.digest = first,
                                 .operator_name = "eva",
                                 .expected_version = 0,
                                 .nonce = 7};
  REQUIRE(repository.SignOff(request)->version() == 1);

  SECTION("with the nonce, also after another operator's version") {
    REQUIRE(repository.SignOff({.digest = second, .operator_name = "petr"})
                ->version() == 2);
    CHECK(repository.SignOff(request)->version() == 1);
  }
  SECTION("without the nonce, while it is the newest") {
    const auto repeated = repository.SignOff(
        {.digest = first, .operator_name = "eva", .expected_version = 0});
    REQUIRE(repeated.has_value());
    CHECK(repeated->version() == 1);
  }
  SECTION("not for another operator with the same content") {
    const auto other = repository.SignOff(
        {.digest = first, .operator_name = "petr", .expected_version = 0});
    REQUIRE_FALSE(other.has_value());
    CHECK(other.error().code == error_code::kSignOffConflict);
    CHECK(other.error().detail == "eva has signed off version 1 first");
  }
  CHECK(repository.History()->front().operator_name() == "eva");
}

// Guards against a sign-off that overwrites the history after the head was
// deleted.
TEST_CASE("a sign-off never overwrites a version in the history",
          "[bundle][sign_off]") {
  faulty_store store;
  const store::store_client client = ClientOf(store);
  const bundle_repository repository(client);
  const std::string first = *repository.Submit(DocumentOf(1));
  const std::string second = *repository.Submit(DocumentOf(2));
  REQUIRE(repository.SignOff({.digest = first, .operator_name = "eva"}));
  REQUIRE(client.DeleteRange("bundles/head", "bundles/heae"));
  const auto late =
      repository.SignOff({.digest = second, .operator_name = "petr"});
  REQUIRE_FALSE(late.has_value());
  CHECK(repository.History()->front().operator_name() == "eva");
}

// Guards against a rollback that changes the history instead of appending to
// it.
TEST_CASE("a rollback adds a new version with earlier content",
          "[bundle][sign_off]") {
  faulty_store store;
  const store::store_client client = ClientOf(store);
  const bundle_repository repository(client);
  const std::string first = *repository.Submit(DocumentOf(1));
  const std::string second = *repository.Submit(DocumentOf(2));
  REQUIRE(repository.SignOff({.digest = first, .operator_name = "eva"}));
  REQUIRE(repository.SignOff({.digest = second,
                              .operator_name = "eva",
                              .failure_domains = {"trebic"}}));
  REQUIRE(VersionFor(**repository.Head(), "trebic").digest() == second);
  REQUIRE(VersionFor(**repository.Head(), "lhota").digest() == first);
  REQUIRE(repository.SignOff({.digest = first, .operator_name = "eva"})
              ->version() == 3);
  CHECK(VersionFor(**repository.Head(), "trebic").version() == 3);
  CHECK(VersionFor(**repository.Head(), "lhota").version() == 3);
  CHECK(repository.History()->size() == 3U);
}

}  // namespace
}  // namespace waxwingfront::bundle
