// Faults of the store, of executors and of the links to them.
#include <array>
#include <utility>

#include "soak/schedule.h"

namespace waxwingfront::soak {
namespace {

constexpr int kLongestFaultMs = 5000;
constexpr int kShortestFaultMs = 200;
constexpr int kLongestStepMs = 4000;
// Orders are carried out this much later at most.
constexpr int kLongestDelayMs = 2500;
constexpr int kSlowestWriteMs = 300;
constexpr int kLongestLapseMs = 100;

}  // namespace

void schedule::Outside(const std::string& text, int time_ms,
                       std::function<void()> end) {
  log_.Fault(text + " for " + std::to_string(time_ms) + " ms");
  disturbed_until_ms_ = std::max<std::int64_t>(
      disturbed_until_ms_, log_.Now().count() + time_ms + kLongestDelayMs);
  After(time_ms, [this, text, end = std::move(end)] {
    log_.Fault("end of: " + text);
    end();
  });
}

void schedule::DisturbStore() {
  constexpr std::array kRefusals = {
      store_refusal::kUnavailable, store_refusal::kTooMany,
      store_refusal::kReset, store_refusal::kSilence};
  constexpr std::array kNames = {"503", "429", "a reset", "silence"};
  const std::size_t node = DrawNode();
  const std::string to = " to process " + std::to_string(node + 1);
  const int time_ms = kShortestFaultMs + Draw(kLongestFaultMs);
  store_gate& gate = outside_.gate;
  const auto kind = static_cast<std::size_t>(Draw(4));
  switch (Draw(7)) {
    case 0:
      gate.Set(node, {.refusal = kRefusals[kind]});
      Outside("the store answers " + std::string(kNames[kind]) + to, time_ms,
              [&gate, node] { gate.Set(node, {}); });
      break;
    case 1:
      gate.SetAll({.refusal = kRefusals[kind]});
      Outside("the store answers " + std::string(kNames[kind]) + " to all",
              time_ms, [&gate] { gate.SetAll({}); });
      break;
    case 2:
      gate.SetAll({.lose_every = 2 + Draw(6)});
      Outside("the store loses answers", time_ms, [&gate] { gate.SetAll({}); });
      break;
    case 3:
      gate.Set(node, {.write_delay = milliseconds(Draw(kLongestDelayMs))});
      Outside("the store is late for writes" + to, time_ms,
              [&gate, node] { gate.Set(node, {}); });
      break;
    case 4:
      gate.SetAll({.response_delay = milliseconds(Draw(1500))});
      Outside("the store answers late", time_ms, [&gate] { gate.SetAll({}); });
      break;
    case 5:
      gate.ForgetHistory();
      Outside("the store forgets its history", 0, [] {});
      break;
    default:
      gate.EndLeaderLease();
      Outside("the leader's lease ends", 0, [] {});
      break;
  }
}

void schedule::LoseExecutor(soak_executor& target) {
  const std::string kind = Draw(2) == 0 ? "a" : "b";
  if (Draw(3) == 0) {
    target.Restart(kind);
    Outside(target.Id() + " starts anew at once", 0, [] {});
    return;
  }
  const bool drains = Draw(2) == 0;
  if (drains) {
    target.Drain();
  } else {
    target.Crash();
  }
  Outside(target.Id() + (drains ? " drains" : " is lost"),
          (drains ? 2100 : 200) + Draw(6000),
          [&target, kind] { target.Restart(kind); });
}

void schedule::DisturbLink(random& draw, fault_proxy& link,
                           const std::string& about) {
  const int time_ms = kShortestFaultMs + Draw(draw, kLongestFaultMs);
  const auto end = [&link] { link.Set({}); };
  switch (Draw(draw, 6)) {
    case 0:
      link.Set({.delay = milliseconds(20 + Draw(draw, 800))});
      Outside(about + " is slow", time_ms, end);
      break;
    case 1:
      link.Set({.silent_to_target = true});
      Outside(about + " is silent to it", time_ms, end);
      break;
    case 2:
      link.Set({.silent_to_client = true});
      Outside(about + " is silent from it", time_ms, end);
      break;
    case 3:
      link.Set({.refuse = true});
      link.ResetAll();
      Outside(about + " refuses", time_ms, end);
      break;
    case 4:
      link.ResetAll();
      Outside(about + " is reset", 0, [] {});
      break;
    default:
      link.FreezeOpen();
      Outside(about + " is frozen where it is open", 0, [] {});
      break;
  }
}

void schedule::DisturbProcessLink() {
  const auto node = static_cast<std::size_t>(
      Draw(link_random_, static_cast<int>(outside_.links.size())));
  DisturbLink(link_random_, *outside_.links[node],
              "link to process " + std::to_string(node + 1));
}

void schedule::StepClock() {
  const auto number = static_cast<std::size_t>(
      Draw(clock_random_, static_cast<int>(outside_.executors.size())));
  const milliseconds step(100 + Draw(clock_random_, kLongestStepMs));
  outside_.executors[number]->StepClock(step);
  Outside("the clock of " + outside_.executors[number]->Id() + " steps by " +
              std::to_string(step.count()) + " ms",
          0, [] {});
}

void schedule::ChangeLeader(int how) {
  const std::optional<std::size_t> leader = outside_.gate.Leader();
  if (!leader) return;
  switch (how) {
    case 0:
      site_.Kill(*leader);
      break;
    case 1:
    case 2:
      site_.Terminate(*leader);
      break;
    default:
      outside_.gate.EndLeaderLease();
      Outside("the leader's lease ends", 0, [] {});
      break;
  }
}

milliseconds schedule::LoseWrites() {
  random& draw = write_random_;
  const late_writes late = {
      .percent = 15 + Draw(draw, 50),
      .latest = milliseconds(3000 + Draw(draw, kLongestFaultMs)),
      .delay = milliseconds(Draw(draw, kSlowestWriteMs)),
      .seed = draw()};
  const int time_ms = 4000 + Draw(draw, kLongestFaultMs);
  outside_.gate.SetLateWrites(late);
  Outside("the store answers " + std::to_string(late.percent) +
              " % of the writes not at all and is up to " +
              std::to_string(late.latest.count()) +
              " ms late for these, and entries lapse",
          time_ms, [this] { outside_.gate.SetLateWrites({}); });
  for (soak_executor* const one : outside_.executors) {
    for (int at = Draw(draw, 500); at < time_ms; at += 200 + Draw(draw, 500)) {
      After(at, [one, time = milliseconds(20 + Draw(draw, kLongestLapseMs))] {
        one->Lapse(time);
      });
    }
  }
  for (int at = 1000 + Draw(draw, 1500); at < time_ms;
       at += 1500 + Draw(draw, 1500)) {
    After(at, [this, how = Draw(draw, 6)] { ChangeLeader(how); });
  }
  return milliseconds(time_ms);
}

void schedule::DisturbExecutor() {
  constexpr std::array kAnswers = {
      odd_answer::kUnavailable,   odd_answer::kTooMany,
      odd_answer::kInternalError, odd_answer::kNoJson,
      odd_answer::kCutOff,        odd_answer::kClosed};
  const auto number = static_cast<std::size_t>(
      Draw(static_cast<int>(outside_.executors.size())));
  soak_executor& target = *outside_.executors[number];
  const int time_ms = kShortestFaultMs + Draw(kLongestFaultMs);
  const auto end = [&target] { target.Set({}); };
  if (!target.IsUp()) return;
  switch (Draw(6)) {
    case 0:
      LoseExecutor(target);
      break;
    case 1:
      target.Set({.start = kAnswers[static_cast<std::size_t>(
                      Draw(static_cast<int>(kAnswers.size())))],
                  .start_every = 1 + Draw(3)});
      Outside(target.Id() + " answers starts oddly", time_ms, end);
      break;
    case 2:
      target.Set({.order_delay = milliseconds(Draw(kLongestDelayMs))});
      Outside(target.Id() + " is late for orders", time_ms, end);
      break;
    case 3:
      target.Set({.response_delay = milliseconds(Draw(kLongestDelayMs)),
                  .unreported = Draw(2) == 0});
      Outside(target.Id() + " answers late", time_ms, end);
      break;
    default:
      DisturbLink(random_, target.Link(), "link to " + target.Id());
      break;
  }
}

}  // namespace waxwingfront::soak
