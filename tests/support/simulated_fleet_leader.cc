#include "support/simulated_fleet_leader.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

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

void simulated_fleet::Deliver(const std::shared_ptr<leader>& instance,
                              std::function<void()> act) {
  if (now_ms_ >= instance->busy_until_ms) {
    act();
  } else {
    After(instance->busy_until_ms - now_ms_, std::move(act));
  }
}

std::function<void(bool)> simulated_fleet::ReceiveResponse(
    const std::shared_ptr<leader>& instance, std::function<void(bool)> read) {
  return [this, instance, read = std::move(read)](bool responded) {
    const bool stalled = now_ms_ < instance->busy_until_ms;
    const bool kept =
        responded && !(stalled && ChancePerMille(options_.dropped_per_mille));
    Deliver(instance, [read, kept] { read(kept); });
  };
}

fleet::executor_info simulated_fleet::EntryOf(const fake_executor& executor) {
  return {.id = executor.Id(),
          .address = executor.Id(),
          .service = "s",
          .capacity = {.processor_milli = 4 * kCpuMillis}};
}

void simulated_fleet::ListExecutors(const std::shared_ptr<leader>& instance) {
  for (const fake_executor& executor : executors_) {
    if (lapsed_.contains(executor.Id())) continue;
    fleet::executor_info info = EntryOf(executor);
    info.draining = draining_.contains(executor.Id());
    instance->core.SetExecutor(std::move(info));
  }
}

void simulated_fleet::Watch(const std::shared_ptr<leader>& instance) {
  if (now_ms_ >= instance->lease_until_ms) return;
  After(kWatchLatencyMs, [this, instance, sent_ms = now_ms_] {
    RespondToWatch(instance, sent_ms, now_ms_ + kWatchMs);
  });
}

void simulated_fleet::RespondToWatch(const std::shared_ptr<leader>& instance,
                                     std::int64_t sent_ms,
                                     std::int64_t until_ms) {
  if (entries_version_ == instance->entries_seen && now_ms_ < until_ms) {
    After(kStepMs, [this, instance, sent_ms, until_ms] {
      RespondToWatch(instance, sent_ms, until_ms);
    });
    return;
  }
  instance->entries_seen = entries_version_;
  for (const std::string& id : draining_)
    invariants_.OnDrainReported(id, now_ms_);
  After(kWatchLatencyMs,
        [this, instance, sent_ms, drains = draining_, lapsed = lapsed_] {
          Deliver(instance, [this, instance, sent_ms, drains, lapsed] {
            for (const fake_executor& executor : executors_) {
              if (lapsed.contains(executor.Id())) {
                instance->core.RemoveExecutor(executor.Id());
                continue;
              }
              const fleet::executor_state* const known =
                  instance->core.FindExecutor(executor.Id());
              fleet::executor_info info = known != nullptr && known->registered
                                              ? known->info
                                              : EntryOf(executor);
              info.draining = drains.contains(executor.Id());
              instance->core.SetExecutor(std::move(info));
            }
            instance->core.ConfirmEntries(
                core::monotonic_time(core::milliseconds(sent_ms)));
            Watch(instance);
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
  for (const std::string& id : draining_)
    invariants_.OnDrainReported(id, now_ms_);
  ListExecutors(current_);
  current_->entries_seen = entries_version_;
  core.ConfirmEntries(Now().now);
  for (int i = 0; i < options_.executors; ++i) {
    const std::int64_t wait = options_.max_takeover_delay_ms > 0 && !fault_free_
                                  ? Between(0, options_.max_takeover_delay_ms)
                                  : 0;
    current_->first_hold_ms.push_back(now_ms_ + wait);
  }
  std::optional<fleet::lease_lapses> recorded;
  if (leases_) {
    // Followers see a version soon after its writing, or not before they lead.
    const std::int64_t seen_ms =
        std::min(now_ms_, leases_written_ms_ + (ChancePerMille(kThousand / 2)
                                                    ? kWatchLatencyMs
                                                    : kWatchMs));
    recorded = fleet::ToLapses(
        *leases_, core::monotonic_time(core::milliseconds(seen_ms)));
  }
  current_->leases_revision = leases_revision_;
  core.FinishRestore(Now(), recorded);
  // Callers that got no response submit their jobs again.
  for (const std::string& id : jobs_)
    core.Submit(TwoStepJob(id, options_.gangs), Now());
  RunLeaderRound(current_);
  HoldAll(current_);
  Watch(current_);
}

void simulated_fleet::RunLeaderRound(const std::shared_ptr<leader>& instance) {
  if (now_ms_ >= instance->lease_until_ms) return;
  instance->core.Tick(Now());
  WriteLeases(instance);
  instance->core.Plan(Now());
  Send(instance, instance->core.TakeOrders(Now()));
  Write(instance);
  After(kLeaderRoundMs, [this, instance] {
    Deliver(instance, [this, instance] { RunLeaderRound(instance); });
  });
}

bool simulated_fleet::Hold(fake_executor& executor, std::int64_t born_ms,
                           std::int64_t token, std::uint64_t acknowledged,
                           std::int64_t until_ms, fleet::hold_report& report) {
  const std::vector<fleet::ended_report> before = executor.Ended();
  if (!executor.Hold(token, acknowledged, until_ms, now_ms_, report)) {
    return false;
  }
  // Leaders rely on the time that a restart takes.
  const bool restarted_at_once =
      options_.crash_downtime_ms == 0 && executor.BornMs() != born_ms;
  if (restarted_at_once) return true;
  for (const fleet::ended_report& end : before) {
    if (end.number > acknowledged) continue;
    invariants_.OnEndForgotten(executor, end, Progress(end.task.job));
  }
  return true;
}

void simulated_fleet::HoldAll(const std::shared_ptr<leader>& instance) {
  if (now_ms_ >= instance->lease_until_ms) return;
  for (int i = 0; i < options_.executors; ++i) {
    fake_executor& executor = executors_[static_cast<std::size_t>(i)];
    const std::string id = executor.Id();
    fleet::executor_state* const state = instance->core.FindExecutor(id);
    if (state == nullptr || now_ms_ < instance->first_hold_ms[i] ||
        !instance->core.NeedsHold(id) || !instance->holding.insert(i).second) {
      continue;
    }
    const core::monotonic_time sent = Now().now;
    const std::int64_t deadline_ms =
        instance->core.Deadlines().ForHold(*state, sent).value_or(0);
    auto report = std::make_shared<fleet::hold_report>();
    auto permitted = std::make_shared<bool>(false);
    const auto hold = [this, &executor, instance, report, permitted,
                       born_ms = state->info.born_ms](
                          std::uint64_t acknowledged, std::int64_t until_ms) {
      *permitted = Hold(executor, born_ms, instance->token, acknowledged,
                        until_ms, *report);
      return *permitted;
    };
    SendCall(i, {.act = [hold, deadline_ms,
                         acknowledged = state->ForgettableEnd(
                             sent)] { hold(acknowledged, deadline_ms); },
                 .reply =
                     [this, hold, &executor, report] {
                       if (hold(0, 0))
                         invariants_.OnEndsReported(executor, *report, now_ms_);
                     },
                 .wait_ms = options_.max_hold_wait_ms > 0 && deadline_ms > 0 &&
                                    !fault_free_
                                ? Between(0, options_.max_hold_wait_ms)
                                : 0,
                 .on_response = ReceiveResponse(
                     instance, [this, instance, i, id, sent, report,
                                permitted](bool responded) {
                       instance->holding.erase(i);
                       if (now_ms_ >= instance->lease_until_ms) return;
                       if (responded && *permitted) {
                         instance->core.OnHold(id, *report, sent, Now());
                       } else {
                         instance->core.Runs().OnHoldFailed(id, Now());
                       }
                     })});
  }
  After(kHoldMs, [this, instance] {
    Deliver(instance, [this, instance] { HoldAll(instance); });
  });
}

void simulated_fleet::Send(const std::shared_ptr<leader>& instance,
                           const fleet::orders& decided) {
  for (const fleet::start_order& order : decided.starts) {
    const auto deadline_ms =
        instance->core.Deadlines().ForStart(order, Now().now);
    if (!deadline_ms) {
      instance->core.OnStartResponse(order, fleet::start_outcome::kNotSent,
                                     Now());
      continue;
    }
    const int i = static_cast<int>(Index(order.executor));
    auto outcome =
        std::make_shared<fleet::start_outcome>(fleet::start_outcome::kUnknown);
    SendCall(
        i,
        {.act =
             [this, i, instance, order, until_ms = *deadline_ms, outcome] {
               fake_executor& executor =
                   executors_[static_cast<std::size_t>(i)];
               const std::size_t before = executor.Running().size();
               *outcome =
                   executor.Start(order, instance->token, until_ms, now_ms_);
               if (executor.Running().size() > before) {
                 invariants_.OnStart(order, Progress(order.task.job), now_ms_);
               }
             },
         .on_response = ReceiveResponse(
             instance, [this, instance, order, outcome](bool responded) {
               if (now_ms_ >= instance->lease_until_ms) return;
               instance->core.OnStartResponse(
                   order, responded ? *outcome : fleet::start_outcome::kUnknown,
                   Now());
             })});
  }
  for (const fleet::stop_order& order : decided.stops) {
    const int i = static_cast<int>(Index(order.executor));
    SendCall(i, {.act =
                     [this, i, instance, order] {
                       executors_[static_cast<std::size_t>(i)].Stop(
                           order, instance->token, now_ms_);
                     },
                 .on_response = ReceiveResponse(
                     instance, [this, instance, order](bool responded) {
                       if (now_ms_ >= instance->lease_until_ms) return;
                       instance->core.Runs().OnStopResponse(order, responded,
                                                            Now());
                     })});
  }
}

void simulated_fleet::Write(const std::shared_ptr<leader>& instance) {
  while (instance->writing < options_.max_open_batches) {
    const fleet::write_batch batch =
        instance->core.Journal().NextBatch(options_.max_batch_records);
    if (batch.records.empty()) return;
    ++instance->writing;
    SendBatch(instance, batch);
  }
}

void simulated_fleet::WriteLeases(const std::shared_ptr<leader>& instance) {
  const bool due = now_ms_ - instance->leases_sent_ms >= kLeaseRecordMs ||
                   instance->core.LeaseRecordOutdated(Now().now);
  if (instance->writing_leases || !due) return;
  instance->writing_leases = true;
  instance->leases_sent_ms = now_ms_;
  const bool lost = !fault_free_ && ChancePerMille(options_.lost_per_mille);
  const bool late = !fault_free_ && ChancePerMille(options_.late_per_mille);
  const auto apply = [this, instance, expected = instance->leases_revision,
                      record = instance->core.NextLeaseRecord(Now().now)] {
    if (instance->token != records_.Token() || expected != leases_revision_) {
      return false;
    }
    leases_ = record;
    ++leases_revision_;
    leases_written_ms_ = now_ms_;
    return true;
  };
  const auto respond = [this, instance](bool applied) {
    instance->writing_leases = false;
    instance->leases_revision = leases_revision_;
    if (applied) {
      instance->core.Leases().Stored();
    } else {
      instance->core.Leases().Dropped();
    }
  };
  After(late ? Between(500, 3000) : Between(2, 10),
        [this, instance, apply, respond, lost, late] {
          const bool applied = apply();
          if (lost || late) return;
          After(Between(2, 10), [this, instance, respond, applied] {
            Deliver(instance, [respond, applied] { respond(applied); });
          });
        });
  if (lost || late) {
    After(kOrderTimeoutMs, [instance] { instance->writing_leases = false; });
  }
}

void simulated_fleet::SendBatch(const std::shared_ptr<leader>& instance,
                                const fleet::write_batch& batch) {
  const bool lost = !fault_free_ && ChancePerMille(options_.lost_per_mille);
  const bool late = !fault_free_ && ChancePerMille(options_.late_per_mille);
  const auto apply = [this, token = instance->token, batch] {
    return records_.Apply(token, batch.records);
  };
  if (!fault_free_ && options_.duplicated_per_mille > 0 &&
      ChancePerMille(options_.duplicated_per_mille)) {
    After(Between(500, 3000), apply);
  }
  After(late ? Between(500, 3000) : Between(2, 10),
        [this, instance, apply, number = batch.number, lost, late] {
          const fake_record_store::outcome result = apply();
          if (lost || late) return;
          const auto read = [this, instance, number, result] {
            --instance->writing;
            if (now_ms_ >= instance->lease_until_ms) return;
            if (result.applied) {
              instance->core.Journal().Stored(number, result.revision, Now());
            } else if (instance->token != records_.Token()) {
              instance->lease_until_ms = 0;
            } else {
              instance->core.Journal().Conflicted(number, result.actual);
            }
          };
          After(Between(2, 10),
                [this, instance, read] { Deliver(instance, read); });
        });
  if (!lost && !late) return;
  After(kOrderTimeoutMs, [instance, number = batch.number] {
    --instance->writing;
    instance->core.Journal().Unanswered(number);
  });
}

}  // namespace waxwingfront::tests
