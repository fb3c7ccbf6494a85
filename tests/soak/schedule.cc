#include "soak/schedule.h"

#include <thread>
#include <utility>

namespace waxwingfront::soak {
namespace {

constexpr milliseconds kStep{20};
constexpr milliseconds kFirstFault{1500};
// Long runs have calm times between the faults.
constexpr milliseconds kFaultTime{28'000};
constexpr milliseconds kCalmTime{12'000};
constexpr int kLongestStopMs = 4000;
constexpr int kCrowd = 400;
constexpr int kGraceMs = 6000;

}  // namespace

schedule::schedule(timeline& log, site& processes, surroundings outside,
                   const schedule_options& options)
    : log_(log),
      site_(processes),
      outside_(std::move(outside)),
      random_(options.seed),
      link_random_(options.seed + 1),
      clock_random_(options.seed + 2),
      write_random_(options.seed + 3),
      replaces_(options.replaces),
      late_writes_(options.late_writes) {}

int schedule::Draw(random& draw, int below) {
  return std::uniform_int_distribution<int>(0, below - 1)(draw);
}

std::size_t schedule::DrawNode() {
  return static_cast<std::size_t>(Draw(static_cast<int>(site_.Size())));
}

void schedule::After(std::int64_t delay_ms, std::function<void()> action) {
  due_.emplace(log_.Now() + milliseconds(delay_ms), std::move(action));
}

void schedule::Configure() {
  version_ += 3;
  outside_.platform.Put("op/config", ManifestText(version_, {}, AllQueues()));
  log_.Fault("manifest " + std::to_string(version_) + " with all queues");
}

void schedule::ChangeManifest() {
  version_ += 1 + Draw(4);
  std::vector<queue> queues;
  for (const queue& one : AllQueues()) {
    if (one.stays || Draw(2) == 0) queues.push_back(one);
  }
  outside_.platform.Put(
      "op/config",
      ManifestText(version_,
                   {.request_ms = 3000 + Draw(2000),
                    .header_ms = 1000 + Draw(2000),
                    .idle_ms = Draw(2) == 0 ? 15'000 : 300 + Draw(3000)},
                   queues));
  log_.Fault("manifest " + std::to_string(version_) + " with " +
             std::to_string(queues.size()) + " queues");
}

void schedule::StopAndContinue(std::size_t node, int time_ms) {
  site_.Stop(node);
  After(time_ms, [this, node] { site_.Continue(node); });
}

void schedule::Crowd(std::size_t node) {
  log_.Fault(std::to_string(kCrowd) + " idle connections to process " +
             std::to_string(node + 1));
  auto links = std::make_shared<std::vector<std::unique_ptr<caller_link>>>();
  for (int i = 0; i < kCrowd; ++i) {
    links->push_back(std::make_unique<caller_link>());
    if (!links->back()->Connect(site_.FrontPort(node))) break;
  }
  After(500 + Draw(3000), [links] { links->clear(); });
}

void schedule::Replace(std::size_t node) {
  site_.Terminate(node);
  After(Draw(kGraceMs), [this, node] { site_.Start(node, true); });
}

void schedule::EndAll() {
  const bool gently = Draw(2) == 0;
  for (std::size_t i = 0; i < site_.Size(); ++i) {
    if (gently) {
      site_.Terminate(i);
    } else {
      site_.Kill(i);
    }
  }
}

void schedule::Disturb() {
  const std::size_t node = DrawNode();
  switch (Draw(18)) {
    case 0:
    case 1:
      site_.Terminate(node);
      break;
    case 2:
      site_.Kill(node);
      break;
    case 3:
      site_.Reload(node);
      break;
    case 4:
      StopAndContinue(node, 50 + Draw(kLongestStopMs));
      break;
    case 5:
      for (int i = Draw(4); i >= 0; --i) {
        After(Draw(1500), [this] { site_.Terminate(DrawNode()); });
      }
      site_.Terminate(node);
      break;
    case 6:
      site_.Terminate(node);
      After(Draw(kGraceMs),
            [this, node] { StopAndContinue(node, 50 + Draw(kLongestStopMs)); });
      break;
    case 7:
      site_.Reload(node);
      After(Draw(400), [this, node] { site_.Terminate(node); });
      break;
    case 8:
    case 9:
      ChangeManifest();
      if (Draw(2) == 0) site_.Terminate(node);
      break;
    case 10:
    case 14:
    case 15:
      DisturbExecutor();
      break;
    case 16:
    case 17:
      DisturbStore();
      break;
    case 11:
      if (Draw(2) == 0) {
        const int time_ms = 100 + Draw(kLongestStopMs);
        for (std::size_t i = 0; i < site_.Size(); ++i) {
          StopAndContinue(i, time_ms);
        }
      } else {
        EndAll();
      }
      break;
    case 12:
      if (replaces_ && Draw(2) == 0) {
        Replace(node);
      } else {
        Crowd(node);
      }
      break;
    default:
      break;
  }
}

void schedule::Step() {
  while (!due_.empty() && due_.begin()->first <= log_.Now()) {
    const auto action = std::move(due_.begin()->second);
    due_.erase(due_.begin());
    action();
  }
  site_.Poll();
  on_step();
  std::this_thread::sleep_for(kStep);
}

void schedule::Run(milliseconds time) {
  const milliseconds end = log_.Now() + time;
  milliseconds next = log_.Now() + kFirstFault;
  milliseconds next_link = next;
  milliseconds next_clock = next;
  milliseconds next_late = next;
  milliseconds calm = next + kFaultTime;
  if (replaces_)
    After(2 * kFirstFault.count(), [this] { Replace(DrawNode()); });
  while (log_.Now() < end) {
    Step();
    if (log_.Now() >= calm) {
      log_.Fault("a calm time");
      Await([] { return false; }, kCalmTime);
      calm = log_.Now() + kFaultTime;
    }
    if (log_.Now() >= next_clock) {
      StepClock();
      next_clock = log_.Now() + milliseconds(500 + Draw(clock_random_, 9000));
    }
    if (late_writes_ && log_.Now() >= next_late) {
      const milliseconds lost = LoseWrites();
      // Some leaders get to work, since no others of these faults begin.
      if (Draw(write_random_, 3) > 0) Await([] { return false; }, lost);
      next_late = log_.Now() + milliseconds(2000 + Draw(write_random_, 4000));
    }
    if (log_.Now() >= next_link) {
      DisturbProcessLink();
      next_link = log_.Now() + milliseconds(500 + Draw(link_random_, 5000));
    }
    if (log_.Now() < next) continue;
    Disturb();
    // Bursts, and now and then a calm time.
    next = log_.Now() + milliseconds(Draw(6) == 0 ? 4000 : 50 + Draw(1400));
  }
}

bool schedule::Await(const std::function<bool()>& until, milliseconds time) {
  const milliseconds end = log_.Now() + time;
  while (!until()) {
    if (log_.Now() > end) return false;
    Step();
  }
  return true;
}

void schedule::Heal() {
  // Each fault that is due ends something or is brief; let them pass.
  for (auto& [time, action] : std::exchange(due_, {})) action();
  for (auto& [time, action] : std::exchange(due_, {})) action();
  for (std::size_t i = 0; i < site_.Size(); ++i) site_.Continue(i);
  outside_.gate.SetAll({});
  outside_.gate.SetLateWrites({});
  for (fault_proxy* const one : outside_.links) one->Set({});
  for (soak_executor* const one : outside_.executors) {
    one->Set({});
    one->Link().Set({});
    if (!one->IsUp()) one->Restart("a");
  }
  Configure();
  log_.Fault("all faults end");
}

}  // namespace waxwingfront::soak
