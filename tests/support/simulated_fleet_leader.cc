#include "support/simulated_fleet_leader.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>

namespace waxwingfront::tests {
namespace {

fleet::manifest Manifest() {
  fleet::manifest wanted;
  wanted.version = 1;
  wanted.queues.push_back(
      {.name = "q", .service = "s", .max_attempts = kMaxAttempts});
  wanted.services.push_back({.name = "s"});
  return wanted;
}

}  // namespace

void simulated_fleet::Deliver(const std::shared_ptr<leader>& who,
                              std::function<void()> act) {
  if (now_ms_ >= who->busy_until_ms) {
    act();
  } else {
    After(who->busy_until_ms - now_ms_, std::move(act));
  }
}

std::function<void(bool)> simulated_fleet::Reader(
    const std::shared_ptr<leader>& who, std::function<void(bool)> read) {
  return [this, who, read = std::move(read)](bool answered) {
    const bool stalled = now_ms_ < who->busy_until_ms;
    const bool kept =
        answered && !(stalled && Chance(options_.dropped_per_mille));
    Deliver(who, [read, kept] { read(kept); });
  };
}

void simulated_fleet::ListExecutors(const std::shared_ptr<leader>& who) {
  for (const fake_executor& executor : executors_) {
    const std::string& id = executor.Id();
    who->core.SetExecutor({.id = id,
                           .address = id,
                           .service = "s",
                           .draining = draining_.contains(id),
                           .capacity = {.processor_milli = 4 * kCpuMillis}});
  }
}

void simulated_fleet::Watch(const std::shared_ptr<leader>& who) {
  if (now_ms_ >= who->lease_until_ms) return;
  After(kWatchLinkMs, [this, who, sent_ms = now_ms_] {
    AnswerWatch(who, sent_ms, now_ms_ + kWatchMs);
  });
}

void simulated_fleet::AnswerWatch(const std::shared_ptr<leader>& who,
                                  std::int64_t sent_ms, std::int64_t until_ms) {
  if (entries_version_ == who->entries_seen && now_ms_ < until_ms) {
    After(kStepMs, [this, who, sent_ms, until_ms] {
      AnswerWatch(who, sent_ms, until_ms);
    });
    return;
  }
  who->entries_seen = entries_version_;
  for (const std::string& id : draining_) rules_.OnDrainTold(id, now_ms_);
  After(kWatchLinkMs, [this, who, sent_ms, drains = draining_] {
    Deliver(who, [this, who, sent_ms, drains] {
      for (const fake_executor& executor : executors_) {
        fleet::executor_info info = who->core.FindExecutor(executor.Id())->info;
        info.draining = drains.contains(executor.Id());
        who->core.SetExecutor(std::move(info));
      }
      who->core.ConfirmEntries(
          core::monotonic_time(core::milliseconds(sent_ms)));
      Watch(who);
    });
  });
}

void simulated_fleet::Elect() {
  if (current_) current_->lease_until_ms = now_ms_ + Between(0, kLeaseMs);
  current_ = std::make_shared<leader>(records_.Claim());
  fleet::fleet_core& core = current_->core;
  core.SetManifest(Manifest());
  records_.ForEachJob([&](const schema::fleet_job& job, std::int64_t revision) {
    core.Restore(job, revision, records_.Progress(job.id()),
                 records_.ProgressRevision(job.id()), Now());
  });
  for (const std::string& id : draining_) rules_.OnDrainTold(id, now_ms_);
  ListExecutors(current_);
  current_->entries_seen = entries_version_;
  core.ConfirmEntries(Now().now);
  for (int i = 0; i < options_.executors; ++i) {
    const std::int64_t wait = options_.max_takeover_delay_ms > 0 && !calm_
                                  ? Between(0, options_.max_takeover_delay_ms)
                                  : 0;
    current_->first_hold_ms.push_back(now_ms_ + wait);
  }
  core.FinishRestore(Now());
  // A caller without an answer submits again.
  for (const std::string& id : jobs_) core.Submit(WorldJob(id), Now());
  Pump(current_);
  HoldAll(current_);
  Watch(current_);
}

void simulated_fleet::Pump(const std::shared_ptr<leader>& who) {
  if (now_ms_ >= who->lease_until_ms) return;
  who->core.Tick(Now());
  who->core.Plan(Now());
  Send(who, who->core.TakeOrders());
  Write(who);
  After(kPumpMs, [this, who] { Deliver(who, [this, who] { Pump(who); }); });
}

void simulated_fleet::HoldAll(const std::shared_ptr<leader>& who) {
  if (now_ms_ >= who->lease_until_ms) return;
  for (int i = 0; i < options_.executors; ++i) {
    fake_executor& executor = executors_[static_cast<std::size_t>(i)];
    const std::string id = executor.Id();
    fleet::executor_state* const state = who->core.FindExecutor(id);
    if (state == nullptr || now_ms_ < who->first_hold_ms[i] ||
        !who->core.NeedsHold(id) || !who->holding.insert(i).second) {
      continue;
    }
    const core::monotonic_time sent = Now().now;
    const std::int64_t deadline_ms =
        who->core.Deadlines().ForHold(*state, sent).value_or(0);
    auto report = std::make_shared<fleet::hold_report>();
    auto permitted = std::make_shared<bool>(false);
    const auto hold = [this, &executor, who, report, permitted](
                          std::uint64_t acknowledged, std::int64_t until_ms) {
      *permitted =
          executor.Hold(who->token, acknowledged, until_ms, now_ms_, *report);
      return *permitted;
    };
    Message(i, {.act =
                    [hold, deadline_ms, acknowledged = state->MayForget()] {
                      hold(acknowledged, deadline_ms);
                    },
                .reply =
                    [this, hold, &executor, report] {
                      if (hold(0, 0))
                        rules_.OnListed(executor, *report, now_ms_);
                    },
                .wait_ms =
                    options_.max_hold_wait_ms > 0 && deadline_ms > 0 && !calm_
                        ? Between(0, options_.max_hold_wait_ms)
                        : 0,
                .answer = Reader(who, [this, who, i, id, sent, report,
                                       permitted](bool answered) {
                  who->holding.erase(i);
                  if (now_ms_ >= who->lease_until_ms) return;
                  if (answered && *permitted) {
                    who->core.OnHold(id, *report, sent, Now());
                  } else {
                    who->core.Runs().OnHoldFailed(id);
                  }
                })});
  }
  After(kHoldMs, [this, who] { Deliver(who, [this, who] { HoldAll(who); }); });
}

void simulated_fleet::Send(const std::shared_ptr<leader>& who,
                           const fleet::orders& decided) {
  for (const fleet::start_order& order : decided.starts) {
    const auto deadline_ms = who->core.Deadlines().ForStart(order, Now().now);
    if (!deadline_ms) {
      who->core.OnStartAnswer(order, fleet::start_outcome::kNotSent, Now());
      continue;
    }
    const int i = static_cast<int>(Index(order.executor));
    auto outcome =
        std::make_shared<fleet::start_outcome>(fleet::start_outcome::kUnknown);
    Message(i,
            {.act =
                 [this, i, who, order, until_ms = *deadline_ms, outcome] {
                   fake_executor& executor =
                       executors_[static_cast<std::size_t>(i)];
                   const std::size_t before = executor.Running().size();
                   *outcome =
                       executor.Start(order, who->token, until_ms, now_ms_);
                   if (executor.Running().size() > before) {
                     rules_.OnStart(order, Progress(order.task.job), now_ms_);
                   }
                 },
             .answer = Reader(who, [this, who, order, outcome](bool answered) {
               if (now_ms_ >= who->lease_until_ms) return;
               who->core.OnStartAnswer(
                   order, answered ? *outcome : fleet::start_outcome::kUnknown,
                   Now());
             })});
  }
  for (const fleet::stop_order& order : decided.stops) {
    const int i = static_cast<int>(Index(order.executor));
    Message(i, {.act =
                    [this, i, who, order] {
                      executors_[static_cast<std::size_t>(i)].Stop(
                          order, who->token, now_ms_);
                    },
                .answer = Reader(who, [this, who, order](bool answered) {
                  if (now_ms_ >= who->lease_until_ms) return;
                  who->core.Runs().OnStopResponse(order, answered, Now());
                })});
  }
}

void simulated_fleet::Write(const std::shared_ptr<leader>& who) {
  while (who->writing < options_.max_open_batches) {
    const fleet::write_batch batch =
        who->core.Journal().NextBatch(options_.max_batch_records);
    if (batch.records.empty()) return;
    ++who->writing;
    SendBatch(who, batch);
  }
}

void simulated_fleet::SendBatch(const std::shared_ptr<leader>& who,
                                const fleet::write_batch& batch) {
  const bool lost = !calm_ && Chance(options_.lost_per_mille);
  const bool late = !calm_ && Chance(options_.late_per_mille);
  const auto apply = [this, token = who->token, batch] {
    return records_.Apply(token, batch.records);
  };
  if (!calm_ && options_.duplicated_per_mille > 0 &&
      Chance(options_.duplicated_per_mille)) {
    After(Between(500, 3000), apply);
  }
  After(late ? Between(500, 3000) : Between(2, 10),
        [this, who, apply, number = batch.number, lost, late] {
          const fake_record_store::outcome result = apply();
          if (lost || late) return;
          const auto read = [this, who, number, result] {
            --who->writing;
            if (now_ms_ >= who->lease_until_ms) return;
            if (result.applied) {
              who->core.Journal().Stored(number, result.revision, Now());
            } else if (who->token != records_.Token()) {
              who->lease_until_ms = 0;
            } else {
              who->core.Journal().Conflicted(number, result.actual);
            }
          };
          After(Between(2, 10), [this, who, read] { Deliver(who, read); });
        });
  if (!lost && !late) return;
  After(kOrderTimeoutMs, [who, number = batch.number] {
    --who->writing;
    who->core.Journal().Unanswered(number);
  });
}

}  // namespace waxwingfront::tests
