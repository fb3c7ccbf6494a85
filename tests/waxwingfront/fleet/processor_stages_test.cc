#include "waxwingfront/fleet/processor_stages.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <set>
#include <stdexcept>
#include <string_view>

namespace waxwingfront::tests {
namespace {

using fleet::processor_scope;
using fleet::processor_stage;
using std::chrono::nanoseconds;

struct measured_thread {
  void Work(int time_ns) { now += nanoseconds(time_ns); }

  fleet::processor_usage Usage(processor_stage stage) {
    return stages.Totals().at(static_cast<std::size_t>(stage));
  }

  nanoseconds now{1000};
  int readings = 0;
  fleet::processor_stages stages{[this] {
    ++readings;
    return now;
  }};
};

TEST_CASE("the time of an inner stage is not counted in the outer one",
          "[fleet]") {
  measured_thread thread;
  thread.Work(1);
  {
    const processor_scope report(&thread.stages, processor_stage::kReport);
    thread.Work(10);
    {
      const processor_scope log(&thread.stages, processor_stage::kLogging);
      thread.Work(100);
    }
    {
      const processor_scope log(&thread.stages, processor_stage::kLogging);
      thread.Work(200);
    }
    thread.Work(1000);
  }
  thread.Work(10'000);
  CHECK(thread.Usage(processor_stage::kReport).time == nanoseconds(1010));
  CHECK(thread.Usage(processor_stage::kReport).count == 1);
  CHECK(thread.Usage(processor_stage::kLogging).time == nanoseconds(300));
  CHECK(thread.Usage(processor_stage::kLogging).count == 2);
  CHECK(thread.Usage(processor_stage::kOther).time == nanoseconds(10'001));
}

TEST_CASE("a stage within a scope of the same stage is counted once",
          "[fleet]") {
  measured_thread thread;
  {
    const processor_scope outer(&thread.stages, processor_stage::kHold);
    thread.Work(10);
    const processor_scope inner(&thread.stages, processor_stage::kHold);
    thread.Work(100);
  }
  CHECK(thread.Usage(processor_stage::kHold).time == nanoseconds(110));
  CHECK(thread.Usage(processor_stage::kHold).count == 1);
}

TEST_CASE("a scope that switches returns to the outer stage", "[fleet]") {
  measured_thread thread;
  {
    const processor_scope tick(&thread.stages, processor_stage::kTick);
    {
      processor_scope scope(&thread.stages, processor_stage::kReportDecode);
      thread.Work(10);
      scope.SwitchTo(processor_stage::kReport);
      thread.Work(100);
    }
    thread.Work(1000);
  }
  CHECK(thread.Usage(processor_stage::kReportDecode).time == nanoseconds(10));
  CHECK(thread.Usage(processor_stage::kReport).time == nanoseconds(100));
  CHECK(thread.Usage(processor_stage::kTick).time == nanoseconds(1000));
}

TEST_CASE("a stage ends when its work throws", "[fleet]") {
  measured_thread thread;
  try {
    const processor_scope scope(&thread.stages, processor_stage::kCallers);
    thread.Work(10);
    throw std::runtime_error("failed");
  } catch (const std::runtime_error&) {
    thread.Work(100);
  }
  CHECK(thread.Usage(processor_stage::kCallers).time == nanoseconds(10));
  CHECK(thread.Usage(processor_stage::kOther).time == nanoseconds(100));
}

TEST_CASE("totals include the stage in progress", "[fleet]") {
  measured_thread thread;
  const processor_scope scope(&thread.stages, processor_stage::kTick);
  thread.Work(10);
  CHECK(thread.Usage(processor_stage::kTick).time == nanoseconds(10));
  thread.Work(5);
  CHECK(thread.Usage(processor_stage::kTick).time == nanoseconds(15));
}

TEST_CASE("a scope reads the clock twice", "[fleet]") {
  measured_thread thread;
  const int before = thread.readings;
  { const processor_scope scope(&thread.stages, processor_stage::kTick); }
  CHECK(thread.readings - before == 2);
}

TEST_CASE("work is not measured without stages", "[fleet]") {
  processor_scope scope(nullptr, processor_stage::kTick);
  CHECK_NOTHROW(scope.SwitchTo(processor_stage::kHold));
}

TEST_CASE("each processor stage has a name of its own", "[fleet]") {
  std::set<std::string_view> names;
  for (std::size_t i = 0; i < fleet::kProcessorStages; ++i) {
    names.insert(fleet::StageName(static_cast<processor_stage>(i)));
  }
  CHECK(names.size() == fleet::kProcessorStages);
  CHECK_FALSE(names.contains(""));
}

TEST_CASE("the thread's processor time does not run backwards", "[fleet]") {
  const nanoseconds before = fleet::ThreadProcessorTime();
  CHECK(before > nanoseconds(0));
  CHECK(fleet::ThreadProcessorTime() >= before);
}

}  // namespace
}  // namespace waxwingfront::tests
