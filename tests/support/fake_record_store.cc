#include "support/fake_record_store.h"

#include <algorithm>

namespace waxwingfront::tests {
namespace {

using fleet::record_kind;

std::string Key(record_kind kind, const std::string& id) {
  return (kind == record_kind::kJob ? "job/" : "progress/") + id;
}

bool Final(const schema::fleet_progress& record) {
  return record.state() >= schema::FLEET_COMPLETED;
}

}  // namespace

std::int64_t fake_record_store::Claim() {
  token_ = ++revision_;
  return token_;
}

std::int64_t fake_record_store::Revision(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? 0 : found->second.revision;
}

fake_record_store::outcome fake_record_store::Apply(
    std::int64_t token, std::span<const fleet::record_write> batch) {
  outcome result{.applied = token == token_};
  for (const fleet::record_write& write : batch) {
    const std::int64_t revision = Revision(Key(write.kind, write.id));
    result.applied &= revision == write.expected_revision;
    result.actual.push_back(
        {.kind = write.kind, .id = write.id, .revision = revision});
  }
  if (!result.applied) return result;
  result.revision = ++revision_;
  for (const fleet::record_write& write : batch) {
    const std::string key = Key(write.kind, write.id);
    if (write.remove) {
      items_.erase(key);
      continue;
    }
    item& record = items_[key];
    if (write.kind == record_kind::kProgress) {
      CheckProgress(write.id, record.value, write.value);
    }
    record = {.value = write.value, .revision = revision_};
  }
  return result;
}

void fake_record_store::CheckProgress(const std::string& id,
                                      const std::string& before,
                                      const std::string& after) {
  schema::fleet_progress old_record;
  schema::fleet_progress new_record;
  old_record.ParseFromString(before);
  new_record.ParseFromString(after);
  if (Final(old_record) && !Final(new_record)) {
    violations_.push_back(id + " is no longer final");
  }
  // The record of a final job omits its finished tasks.
  if (Final(new_record)) return;
  for (const schema::fleet_task& old_task : old_record.tasks()) {
    const bool kept = std::ranges::any_of(
        new_record.tasks(), [&old_task](const schema::fleet_task& task) {
          return task.step() == old_task.step() &&
                 task.index() == old_task.index() &&
                 task.run() >= old_task.run() &&
                 (task.succeeded() || !old_task.succeeded());
        });
    if (!kept) {
      violations_.push_back("an older record of " + id + " replaced a newer");
    }
  }
}

std::optional<schema::fleet_progress> fake_record_store::Progress(
    const std::string& id) const {
  const auto found = items_.find(Key(record_kind::kProgress, id));
  schema::fleet_progress progress;
  if (found == items_.end() || !progress.ParseFromString(found->second.value)) {
    return std::nullopt;
  }
  return progress;
}

std::int64_t fake_record_store::ProgressRevision(const std::string& id) const {
  return Revision(Key(record_kind::kProgress, id));
}

void fake_record_store::ForEachJob(
    const std::function<void(const schema::fleet_job&, std::int64_t)>& visit)
    const {
  for (const auto& [key, record] : items_) {
    schema::fleet_job job;
    if (!key.starts_with("job/") || !job.ParseFromString(record.value)) {
      continue;
    }
    visit(job, record.revision);
  }
}

}  // namespace waxwingfront::tests
