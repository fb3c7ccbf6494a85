#include "soak/job_book.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <sstream>
#include <string>

namespace waxwingfront::tests {
namespace {

using soak::milliseconds;

const std::string kJob = "j";
const std::string kFirst = "j.0.0.0";
const std::string kSecond = "j.0.0.1";

struct book_scene {
  explicit book_scene(soak::job_kind kind) {
    book.Sent({.id = kJob, .kind = kind, .tasks = 2, .width = 2});
    book.Answered(kJob, 200);
  }

  void Ran(const std::string& what, const std::string& task, std::int64_t run,
           const std::string& executor, int at_ms) {
    book.Ran({.what = what,
              .task = task,
              .run = run,
              .executor = executor,
              .detail = what.starts_with("seen") ? "done" : ""},
             milliseconds(at_ms));
  }

  std::size_t Breaches() {
    std::ostringstream out;
    return log.Print(out);
  }

  soak::timeline log{"/dev/null"};
  soak::job_book book{log, {}};
};

TEST_CASE("a gang whose second begin waited for the book has not begun again",
          "[soak]") {
  book_scene scene(soak::job_kind::kGang);
  scene.Ran("begun", kFirst, 1, "a", 10);
  SECTION("while its end was recorded") {
    scene.Ran("done", kFirst, 1, "a", 30);
    scene.Ran("begun", kSecond, 1, "b", 20);
    scene.Ran("seen", kFirst, 1, "a", 40);
  }
  SECTION("while its end was acknowledged") {
    scene.Ran("done", kFirst, 1, "a", 30);
    scene.Ran("seen", kFirst, 1, "a", 40);
    scene.Ran("begun", kSecond, 1, "b", 20);
  }
  CHECK(scene.Breaches() == 0);
}

TEST_CASE("a start after an end that is acknowledged breaks a promise",
          "[soak]") {
  book_scene scene(soak::job_kind::kPlain);
  scene.Ran("begun", kFirst, 1, "a", 10);
  scene.Ran("done", kFirst, 1, "a", 20);
  SECTION("if the end is acknowledged before") {
    scene.Ran("seen", kFirst, 1, "a", 25);
    scene.Ran("begun", kFirst, 2, "b", 30);
  }
  SECTION("if it is acknowledged afterwards") {
    scene.Ran("begun", kFirst, 2, "b", 30);
    scene.Ran("seen", kFirst, 1, "a", 40);
  }
  SECTION("if an earlier start is recorded after it") {
    scene.Ran("begun", kFirst, 3, "b", 30);
    scene.Ran("done", kFirst, 3, "b", 32);
    scene.Ran("begun", kFirst, 2, "c", 5);
    scene.Ran("seen", kFirst, 1, "a", 40);
  }
  CHECK(scene.Breaches() == 1);
}

TEST_CASE("a start after an end whose executor's lease lapsed is allowed",
          "[soak]") {
  book_scene scene(soak::job_kind::kPlain);
  scene.Ran("begun", kFirst, 1, "a", 10);
  scene.Ran("done", kFirst, 1, "a", 20);
  scene.Ran("begun", kFirst, 2, "b", 30);
  SECTION("if nobody took note of the end before the lapse") {
    scene.Ran("seen_after_lapse", kFirst, 1, "a", 40);
    CHECK(scene.Breaches() == 0);
  }
  SECTION("but not if the end is taken note of") {
    scene.Ran("seen", kFirst, 1, "a", 40);
    CHECK(scene.Breaches() == 1);
  }
}

// Guards against the gap that a lapse of the lease leaves otherwise.
TEST_CASE("a start after a job was shown as completed breaks a promise",
          "[soak]") {
  book_scene scene(soak::job_kind::kPlain);
  for (const std::string& task : {kFirst, kSecond}) {
    scene.Ran("begun", task, 1, "a", 10);
    scene.Ran("done", task, 1, "a", 20);
    scene.Ran("seen_after_lapse", task, 1, "a", 40);
  }
  scene.book.Shown(kJob, 200, R"({"state":"completed"})", milliseconds(50),
                   "a");
  REQUIRE(scene.Breaches() == 0);
  scene.Ran("begun", kFirst, 2, "b", 500);
  scene.Ran("failed", kFirst, 2, "b", 600);
  CHECK(scene.Breaches() == 0);
  scene.Ran("begun", kFirst, 3, "c", 60'000);
  CHECK(scene.Breaches() == 1);
}

}  // namespace
}  // namespace waxwingfront::tests
