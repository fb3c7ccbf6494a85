// Processor time of the leader's decisions on a large fleet, without a network
// and in simulated time: submissions, rounds of planning, the journal, holds
// with reports. Prints what each entry point takes, and a digest of all
// decisions, which repeats.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

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
constexpr int kServingImages = 10;
constexpr int kFillingImages = 18;
constexpr double kBaseTailMs = 4.0;
constexpr std::int64_t kTargetMs = 18;
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

double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  constexpr double kNanos = 1e-9;
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * kNanos;
}

struct job_class {
  std::string_view queue;
  double share;
  double steps;
  double most_steps;
  double width;
  double width_spread;
  double most_width;
  double cpu;
  double cpu_spread;
  double most_cpu;
  double memory;
  double work_ms;
  double most_work_ms;
  double failing;
  double apart;
  // Jobs that are there at the start.
  int filled;
};

constexpr std::array<job_class, 3> kClasses{
    {{"field-check", 16.5, 1.6, 4, 9.5, 0.8, 57, 5700, 0.45, 17'000, 11'000,
      640, 1600, 0.05, 0.15, 0},
     {"loop-design", 27.7, 2.0, 5, 20, 0.6, 80, 3500, 0.3, 7000, 6400, 1700,
      4300, 0.02, 0.0, 47},
     {"loop-watch", 0.906, 1.0, 1, 14, 0.4, 28, 6400, 0.25, 10'000, 13'000, 320,
      800, 0.0, 0.5, 163}}};

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
    core_.Runs().on_over = [this](const task_state& task, run_fate fate,
                                  moment at) {
      Mix(task.job->Id());
      Mix(std::to_string(at.unix_ms) + "/" + std::to_string(task.index));
      if (fate == run_fate::kDone) ++done_;
    };
    core_.Runs().on_final = [this](const job_state& job) {
      ++finished_;
      static_cast<void>(job);
    };
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
        Timed("tick", [this] { core_.Tick(Now()); });
      }
      if (now_ % kPlanMs == 0) {
        Timed("plan", [this] { core_.Plan(Now()); });
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
              << static_cast<double>(records_) / seconds
              << "/s\nentry point    calls      us a call  us a start   cores\n"
              << std::fixed;
    double sum = 0.0;
    constexpr double kMicros = 1e6;
    for (const auto& [name, cost] : costs_) {
      sum += cost.seconds;
      std::cout << std::left << std::setw(14) << name << " " << std::setw(8)
                << cost.calls << " " << std::right << std::setprecision(1)
                << std::setw(11)
                << cost.seconds * kMicros / static_cast<double>(cost.calls)
                << " " << std::setw(11)
                << cost.seconds * kMicros / static_cast<double>(starts_) << " "
                << std::setprecision(4) << std::setw(8)
                << cost.seconds / seconds << "\n";
    }
    std::cout << "sum of cores " << sum / seconds << "\ndigest " << std::hex
              << digest_ << "\n";
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
  struct cost {
    std::int64_t calls = 0;
    double seconds = 0.0;
  };

  moment Now() const {
    constexpr core::milliseconds kStart{1'000'000};
    return {.now = core::monotonic_time(kStart + core::milliseconds(now_)),
            .unix_ms = kUnixStartMs + now_};
  }

  void Timed(const std::string& name, const std::function<void()>& action) {
    const double before = ThreadSeconds();
    action();
    cost& entry = costs_[name];
    entry.seconds += ThreadSeconds() - before;
    ++entry.calls;
  }

  void Mix(std::string_view text) {
    constexpr std::uint64_t kPrime = 1099511628211ULL;
    for (const char letter : text) {
      digest_ = (digest_ ^ static_cast<unsigned char>(letter)) * kPrime;
    }
  }

  double Draw(double mean, double spread, double most) {
    std::lognormal_distribution<double> shape(
        std::log(mean) - spread * spread / 2, spread);
    return std::min(most, shape(random_));
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
    schema::fleet_job job;
    job.set_id("job-" + std::to_string(++submitted_) + "-0123456789abcdef");
    job.set_queue(std::string(one.queue));
    job.set_service("bucle-api");
    job.set_accepted_unix_ms(Now().unix_ms);
    job.set_payload(std::string(300, 'x'));
    std::uniform_real_distribution<double> unit(0.0, 1.0);
    const int steps = kind == 2
                          ? 1
                          : std::max(1, static_cast<int>(std::lround(Draw(
                                            one.steps, 0.4, one.most_steps))));
    const auto image = static_cast<int>(
        random_() % (kind == 1 ? kFillingImages : kServingImages));
    for (int s = 0; s < steps; ++s) {
      schema::fleet_step& step = *job.add_steps();
      step.set_task_count(static_cast<std::uint32_t>(std::max(
          1.0, std::round(Draw(one.width, one.width_spread, one.most_width)))));
      step.set_cpu_millis(static_cast<std::int64_t>(
          Draw(one.cpu, one.cpu_spread, one.most_cpu)));
      step.set_memory_mb(
          static_cast<std::int64_t>(Draw(one.memory, 0.3, 2 * one.memory)));
      step.set_estimated_ms(
          static_cast<std::int64_t>(Draw(one.work_ms, 0.5, one.most_work_ms)));
      if (s > 0) step.add_after(static_cast<std::uint32_t>(s - 1));
      if (unit(random_) < one.apart) step.set_max_per_executor(1);
      step.set_fills(kind == 1);
      step.set_checkpointing(kind == 1);
      step.set_long_running(kind == 2);
      if (kind == 2) step.set_target_ms(kTargetMs);
      if (kind != 0) {
        step.set_image((kind == 1 ? "fill-" : "serve-") +
                       std::to_string(image));
      }
    }
    kinds_[job.id()] = {kind, image};
    Timed("submit", [&] { core_.Submit(job, Now()); });
  }

  void Arrive() {
    due_ += options_.jobs * static_cast<double>(kStepMs) / kMillis;
    double all = 0.0;
    for (const job_class& one : kClasses) all += one.share;
    for (; due_ >= 1.0; due_ -= 1.0) {
      double pick = std::uniform_real_distribution<double>(0.0, all)(random_);
      const job_class* chosen = kClasses.data();
      while (pick > chosen->share && chosen + 1 < kClasses.end()) {
        pick -= chosen->share;
        ++chosen;
      }
      Submit(*chosen);
    }
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
        row.load_figure = std::lround(kBaseTailMs / std::max(0.04, 1.0 - used));
      } else {
        row.percent = static_cast<int>(
            100.0 * (1.0 - std::max(0.0, task.left_ms) / task.work_ms));
        row.load_figure = std::lround(task.cpu * task.pace / kFullPace);
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
                : (executor.OnlyLasting() ? kHoldWaitMs : kBusyWaitMs);
      if (now_ - one.held_ms < wait) continue;
      one.held_ms = now_;
      const hold_report report = Report(one);
      Timed("hold", [&] { core_.OnHold(one.id, report, Now().now, Now()); });
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
      core_.Runs().OnStopAnswer(order, true, Now());
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
    Timed("advice", [&] { core_.OnAdvice(request, reply, Now()); });
  }

  void Answers() {
    std::erase_if(sent_, [this](const sent_start& sent) {
      if (now_ < sent.due_ms) return false;
      const start_order& order = sent.order;
      const auto [kind, image] = kinds_.at(order.task.job);
      const job_class& one = kClasses.at(kind);
      std::uniform_real_distribution<double> unit(0.0, 1.0);
      const double work = Draw(one.work_ms, 0.5, one.most_work_ms);
      sites_[places_.at(order.executor)].runs.push_back(
          {.order = order,
           .kind = kind,
           .image = image,
           .cpu = one.cpu,
           .left_ms = work,
           .work_ms = work,
           .fails = unit(random_) < one.failing});
      Timed("start answer", [&] {
        core_.OnStartAnswer(order, start_outcome::kAccepted, Now());
      });
      return true;
    });
  }

  void Write() {
    if (writing_ && now_ >= written_ms_) {
      writing_ = false;
      Timed("stored", [this] { core_.Journal().Stored(++revision_, Now()); });
    }
    if (writing_) return;
    std::vector<record_write> writes;
    Timed("next batch",
          [&] { writes = core_.Journal().NextBatch(options_.records); });
    if (writes.empty()) return;
    records_ += writes.size();
    writing_ = true;
    written_ms_ = now_ + kWriteMs;
  }

  void Restart() {
    costs_.clear();
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
  std::map<std::string, cost> costs_;
  double due_ = 0.0;
  int submitted_ = 0;
  std::int64_t starts_ = 0;
  std::int64_t done_ = 0;
  std::int64_t finished_ = 0;
  std::size_t records_ = 0;
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
