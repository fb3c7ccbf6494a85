// Processor time of the leader's decisions on a large fleet, without a network
// and in simulated time: submissions, rounds of planning, the journal, holds
// with reports. Prints what each entry point takes, and a digest of all
// decisions, which repeats.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "cost_table.h"
#include "fleet_load.h"
#include "waxwingfront/fleet/fleet_core.h"

namespace waxwingfront::fleet {
namespace {

constexpr std::int64_t kStepMs = 5;
constexpr std::int64_t kPlanMs = 15;
constexpr std::int64_t kTickMs = 100;
constexpr std::int64_t kHoldPauseMs = 100;
constexpr std::int64_t kBusyWaitMs = 300;
constexpr std::int64_t kHoldWaitMs = 2000;
// A transaction with its pause.
constexpr std::int64_t kWriteMs = 30;
constexpr std::int64_t kAnswerMs = 5;
constexpr std::int64_t kUnixStartMs = 1'700'000'000'000;
constexpr std::int64_t kCapacity = 32'000;
constexpr std::int64_t kMemoryMb = 128'000;
constexpr std::uint32_t kSeed = 20261204;
constexpr double kBaseTailMs = 4.0;
constexpr double kMillis = 1000.0;

struct play_options {
  int executors = 490;
  // Jobs a second, and records in a transaction.
  double jobs = 45.0;
  std::size_t records = 120;
  std::int64_t warm_ms = 4000;
  std::int64_t measured_ms = 10'000;
  bool advised = false;
};

class fleet_play {
 public:
  explicit fleet_play(const play_options& chosen) : options_(chosen) {
    manifest wanted{.version = 1};
    const std::array<int, 3> priorities{0, 2, 0};
    const std::array<double, 3> stretches{1.5, 2.0, 2.2};
    const std::array<std::int64_t, 3> aims{300, 1000, 2500};
    for (std::size_t i = 0; i < kClasses.size(); ++i) {
      wanted.queues.push_back(
          {.name = std::string(kClasses.at(i).queue),
           .service = "bucle-api",
           .priority = priorities.at(i),
           .max_attempts = 3,
           .stretch = stretches.at(i),
           .target_duration = core::milliseconds(aims.at(i)),
           .advised = options_.advised && i == 0});
    }
    core_.SetManifest(wanted);
    core_.FinishRestore(Now());
    for (int i = 0; i < options_.executors; ++i) AddExecutor(i);
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    for (auto& row : pressures_) {
      for (double& one : row) one = unit(random_) < 0.5 ? 0.003 : 0.03;
    }
    core_.Runs().on_run_ended = [this](const task_state& task, run_outcome fate,
                                       moment at) {
      Mix(task.job->Id());
      Mix(std::to_string(at.unix_ms) + "/" + std::to_string(task.index));
      if (fate == run_outcome::kDone) ++done_;
    };
    core_.Runs().on_job_final = [this](const job_state&) { ++finished_; };
  }

  void Run() {
    for (const job_class& one : kClasses) {
      for (int i = 0; i < one.filled; ++i) Submit(one);
    }
    const std::int64_t end = options_.warm_ms + options_.measured_ms;
    for (now_ = 0; now_ < end; now_ += kStepMs) {
      if (now_ == options_.warm_ms) Restart();
      Arrive();
      Work();
      Holds();
      Answers();
      if (now_ % kTickMs == 0) {
        costs_.Timed("tick", [this] { core_.Tick(Now()); });
      }
      if (now_ % kPlanMs == 0) {
        costs_.Timed("plan", [this] { core_.Plan(Now()); });
      }
      Write();
      Obey(core_.TakeOrders());
    }
  }

  void Print() const {
    const double seconds = static_cast<double>(options_.measured_ms) / kMillis;
    std::size_t active = 0;
    for (const site& one : sites_) active += one.runs.size();
    std::cout << "executors " << options_.executors << ", runs active at end "
              << active << ", jobs ended " << finished_ << "\nstarts "
              << static_cast<double>(starts_) / seconds << "/s, runs done "
              << static_cast<double>(done_) / seconds << "/s, records "
              << static_cast<double>(records_) / seconds << "/s\n";
    costs_.Print(starts_, seconds);
    std::cout << "digest " << std::hex << digest_ << "\n";
  }

 private:
  struct run {
    start_order order;
    std::size_t kind = 0;
    int image = 0;
    double cpu = 0.0;
    double left_ms = 0.0;
    double work_ms = 1.0;
    bool fails = false;
    int pace = kFullPace;
  };
  struct site {
    std::string id;
    std::vector<run> runs;
    std::vector<ended_report> ended;
    std::uint64_t ends = 0;
    std::int64_t held_ms = -kHoldWaitMs;
  };
  moment Now() const {
    constexpr core::milliseconds kStart{1'000'000};
    return {.now = core::monotonic_time(kStart + core::milliseconds(now_)),
            .unix_ms = kUnixStartMs + now_};
  }

  void Mix(std::string_view text) {
    constexpr std::uint64_t kPrime = 1099511628211ULL;
    for (const char letter : text) {
      digest_ = (digest_ ^ static_cast<unsigned char>(letter)) * kPrime;
    }
  }

  void AddExecutor(int index) {
    std::string number = std::to_string(index);
    number.insert(0, 3 - std::min<std::size_t>(3, number.size()), '0');
    const std::string id = "bucle-api-lima-norte-" + number;
    core_.SetExecutor(
        {.id = id,
         .born_ms = 1,
         .address = id,
         .zone = "lima-norte",
         .service = "bucle-api",
         .capacity = {.processor_milli = kCapacity, .memory_mib = kMemoryMb}});
    sites_.push_back({.id = id});
    places_[id] = sites_.size() - 1;
    core_.OnHold(id, {.born_ms = 1, .clock_ms = 0}, Now().now, Now());
  }

  void Submit(const job_class& one) {
    const auto kind = static_cast<std::size_t>(&one - kClasses.data());
    int image = 0;
    schema::fleet_job job = DrawJob(random_, kind, ++submitted_, image);
    job.set_accepted_unix_ms(Now().unix_ms);
    kinds_[job.id()] = {kind, image};
    costs_.Timed("submit", [&] { core_.Submit(job, Now()); });
  }

  void Arrive() {
    due_ += options_.jobs * static_cast<double>(kStepMs) / kMillis;
    for (; due_ >= 1.0; due_ -= 1.0) Submit(DrawClass(random_));
  }

  void Work() {
    for (site& one : sites_) {
      std::erase_if(one.runs, [&](run& task) {
        if (task.kind == 2) return false;
        task.left_ms -= static_cast<double>(kStepMs * task.pace) / kFullPace;
        if (task.left_ms > 0.0) return false;
        one.ended.push_back(
            {.number = ++one.ends,
             .task = task.order.task,
             .run = task.order.run,
             .how = task.fails ? run_end::kFailed : run_end::kDone});
        return true;
      });
    }
  }

  hold_report Report(site& one) {
    hold_report report{.born_ms = 1, .clock_ms = now_};
    for (const run& task : one.runs) {
      running_report row{.task = task.order.task, .run = task.order.run};
      if (task.kind == 2) {
        double used = 0.42 + 0.2 * std::sin(static_cast<double>(now_) / 2200.0 +
                                            task.image);
        for (const run& other : one.runs) {
          if (other.kind != 1) continue;
          used += pressures_.at(static_cast<std::size_t>(task.image))
                      .at(static_cast<std::size_t>(other.image)) *
                  other.cpu / kMillis * other.pace / kFullPace;
        }
        row.percent = 100;
        row.reported_load =
            std::lround(kBaseTailMs / std::max(0.04, 1.0 - used));
      } else {
        row.percent = static_cast<int>(
            100.0 * (1.0 - std::max(0.0, task.left_ms) / task.work_ms));
        row.reported_load = std::lround(task.cpu * task.pace / kFullPace);
        if (task.kind == 1) row.checkpoint = "checkpoint";
      }
      report.running.push_back(std::move(row));
    }
    for (const ended_report& end : one.ended) report.ended.push_back(end);
    return report;
  }

  void Holds() {
    for (site& one : sites_) {
      const executor_state& executor = *core_.FindExecutor(one.id);
      std::erase_if(one.ended, [&executor](const ended_report& end) {
        return end.number <= executor.acknowledged;
      });
      if (!core_.NeedsHold(one.id)) continue;
      const bool fresh =
          !one.ended.empty() && one.ended.back().number > executor.processed;
      const std::int64_t wait =
          fresh ? kHoldPauseMs
                : (executor.OnlyLongRunning() ? kHoldWaitMs : kBusyWaitMs);
      if (now_ - one.held_ms < wait) continue;
      one.held_ms = now_;
      const hold_report report = Report(one);
      costs_.Timed("hold",
                   [&] { core_.OnHold(one.id, report, Now().now, Now()); });
    }
  }

  void Obey(const orders& decided) {
    for (const start_order& order : decided.starts) {
      sent_.push_back({now_ + kAnswerMs, order});
      ++starts_;
      Mix(order.task.job);
      Mix(order.executor);
      Mix(std::to_string(now_) + "/" + std::to_string(order.task.index));
    }
    for (const stop_order& order : decided.stops) {
      const auto place = places_.find(order.executor);
      if (place == places_.end()) continue;
      site& one = sites_[place->second];
      std::erase_if(one.runs, [&](const run& task) {
        if (task.order.task != order.task || task.order.run != order.run) {
          return false;
        }
        one.ended.push_back({.number = ++one.ends,
                             .task = order.task,
                             .run = order.run,
                             .how = run_end::kStopped});
        return true;
      });
      core_.Runs().OnStopResponse(order, true, Now());
      Mix(order.executor + order.task.job);
    }
    for (const pace_order& order : decided.paces) {
      for (run& task : sites_[places_.at(order.executor)].runs) {
        if (task.order.task == order.task) task.pace = order.percent;
      }
      Mix(order.executor + std::to_string(order.percent));
    }
    for (const advice_request& request : decided.advice) Advise(request);
  }

  void Advise(const advice_request& request) {
    advice_reply reply{.valid = core::milliseconds(3000)};
    for (const std::string& executor : request.executors) {
      reply.permits.push_back({.executor = executor, .ticket = "t"});
    }
    costs_.Timed("advice", [&] { core_.OnAdvice(request, reply, Now()); });
  }

  void Answers() {
    std::erase_if(sent_, [this](const sent_start& sent) {
      if (now_ < sent.due_ms) return false;
      const start_order& order = sent.order;
      const auto [kind, image] = kinds_.at(order.task.job);
      const job_class& one = kClasses.at(kind);
      std::uniform_real_distribution<double> unit(0.0, 1.0);
      const double work = Draw(random_, one.work_ms, 0.5, one.most_work_ms);
      sites_[places_.at(order.executor)].runs.push_back(
          {.order = order,
           .kind = kind,
           .image = image,
           .cpu = one.cpu,
           .left_ms = work,
           .work_ms = work,
           .fails = unit(random_) < one.failing});
      costs_.Timed("start answer", [&] {
        core_.OnStartResponse(order, start_outcome::kAccepted, Now());
      });
      return true;
    });
  }

  void Write() {
    if (writing_ && now_ >= written_ms_) {
      writing_ = false;
      costs_.Timed("stored", [this] {
        core_.Journal().Stored(batch_, ++revision_, Now());
      });
    }
    if (writing_) return;
    write_batch writes;
    costs_.Timed("next batch",
                 [&] { writes = core_.Journal().NextBatch(options_.records); });
    if (writes.records.empty()) return;
    batch_ = writes.number;
    records_ += writes.records.size();
    writing_ = true;
    written_ms_ = now_ + kWriteMs;
  }

  void Restart() {
    costs_ = {};
    starts_ = 0;
    done_ = 0;
    finished_ = 0;
    records_ = 0;
  }

  struct sent_start {
    std::int64_t due_ms;
    start_order order;
  };

  play_options options_;
  fleet_core core_{{}};
  std::mt19937 random_{kSeed};
  std::int64_t now_ = 0;
  std::vector<site> sites_;
  std::map<std::string, std::size_t> places_;
  std::map<std::string, std::pair<std::size_t, int>> kinds_;
  std::array<std::array<double, kFillingImages>, kServingImages> pressures_{};
  std::vector<sent_start> sent_;
  cost_table costs_;
  double due_ = 0.0;
  int submitted_ = 0;
  std::int64_t starts_ = 0;
  std::int64_t done_ = 0;
  std::int64_t finished_ = 0;
  std::size_t records_ = 0;
  // Number of the batch on its way.
  std::uint64_t batch_ = 0;
  bool writing_ = false;
  std::int64_t written_ms_ = 0;
  std::int64_t revision_ = 1;
  std::uint64_t digest_ = 14695981039346656037ULL;
};

}  // namespace
}  // namespace waxwingfront::fleet

// Arguments: executors, jobs a second, records in a transaction, measured
// milliseconds; "advised" last for an adviser.
int main(int count, char** arguments) {
  const std::vector<std::string> given(arguments + 1, arguments + count);
  waxwingfront::fleet::play_options options;
  if (!given.empty()) options.executors = std::stoi(given[0]);
  if (given.size() > 1) options.jobs = std::stod(given[1]);
  if (given.size() > 2) options.records = std::stoul(given[2]);
  if (given.size() > 3) options.measured_ms = std::stoll(given[3]);
  options.advised = given.size() > 4 && given[4] == "advised";
  waxwingfront::fleet::fleet_play play(options);
  play.Run();
  play.Print();
  return 0;
}
