#include "support/repeating_site.h"

#include <utility>

namespace waxwingfront::tests {
namespace {

constexpr std::size_t kMaxRecords = 30;

}  // namespace

repeating_site::repeating_site(schema::fleet_job job,
                               fleet::fleet_options options)
    : job_(std::move(job)), options_(options) {}

void repeating_site::TakeOver(std::int64_t at_ms) {
  core_ = std::make_unique<fleet::fleet_core>(options_);
  core_->SetManifest(ManifestOf({{}}));
  core_->Restore(job_, 1, progress_, progress_ ? revision_ : 0, At(at_ms));
  core_->FinishRestore(At(at_ms));
  core_->SetExecutor(
      {.id = "e",
       .born_ms = 1,
       .address = "e",
       .service = "s",
       .capacity = {.processor_milli = 1'000'000, .memory_mib = 1'000'000}});
  Hold(at_ms);
}

void repeating_site::Hold(std::int64_t at_ms) {
  core_->OnHold(
      "e",
      {.born_ms = 1, .clock_ms = at_ms, .running = running_, .ended = ended_},
      At(at_ms).now, At(at_ms));
  RecordLeases(*core_, At(at_ms).now);
}

void repeating_site::Store(std::int64_t at_ms) {
  for (;;) {
    const fleet::write_batch batch = core_->Journal().NextBatch(kMaxRecords);
    if (batch.records.empty()) return;
    for (const fleet::record_write& write : batch.records) {
      if (write.kind != fleet::record_kind::kProgress) continue;
      progress_.emplace().ParseFromString(write.value);
    }
    core_->Journal().Stored(batch.number, ++revision_, At(at_ms));
  }
}

void repeating_site::Step(std::int64_t at_ms) {
  ended_.clear();
  for (const fleet::running_report& row : std::exchange(running_, {})) {
    ended_.push_back({.number = ++ends_,
                      .task = row.task,
                      .run = row.run,
                      .how = fleet::run_end::kDone,
                      .checkpoint = {}});
  }
  Hold(at_ms);
  core_->Tick(At(at_ms));
  core_->Plan(At(at_ms));
  Store(at_ms);
  for (const fleet::start_order& start : core_->TakeOrders(At(at_ms)).starts) {
    task_starts& starts = starts_[start.task];
    if (++starts.count == 1) starts.first_unix_ms = At(at_ms).unix_ms;
    running_.push_back(
        {.task = start.task, .run = start.run, .checkpoint = {}});
    core_->OnStartResponse(start, fleet::start_outcome::kAccepted, At(at_ms));
  }
}

bool repeating_site::Ended() const {
  return core_->StoredState("job") == schema::FLEET_COMPLETED;
}

}  // namespace waxwingfront::tests
