#include "waxwingfront/fleet/fleet_loader.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "waxwingfront/fleet/read_retry.h"
#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::fleet {
namespace {

// How often a page is read again because rows of it cannot be read.
constexpr int kMaxDamagedReads = 4;

}  // namespace

struct fleet_loader::internal : std::enable_shared_from_this<internal> {
  internal(net::event_loop& event_loop, const store_services& services,
           fleet_core& fleet, core::milliseconds retry_time,
           fleet_loader_hooks callbacks, logging::event_log& events)
      : loop(event_loop),
        store(services),
        core(fleet),
        retry(retry_time),
        repeats(retry_time, events),
        hooks(std::move(callbacks)),
        log(events) {}

  // Calls `take` with each record with `prefix` after the key `after`, then
  // calls `next`.
  void Read(std::string_view prefix, const std::string& after,
            void (internal::*take)(const store_item&),
            void (internal::*next)()) {
    store.range(prefix, after,
                [self = shared_from_this(), prefix, after, take,
                 next](const core::result<store_page>& page) {
                  if (self->closed) return;
                  if (const auto cause = self->WhyRepeat(page)) {
                    const std::string_view from =
                        after.empty() ? prefix : std::string_view(after);
                    self->loop.After(self->repeats.OnFailure(from, *cause),
                                     [self, prefix, after, take, next] {
                                       if (self->closed) return;
                                       self->Read(prefix, after, take, next);
                                     });
                    return;
                  }
                  self->damaged_reads = 0;
                  self->repeats.OnSuccess();
                  for (const unreadable_item& item : page->unreadable) {
                    self->OnDamaged(item.key, item.cause);
                  }
                  for (const store_item& item : page->items) {
                    (*self.*take)(item);
                  }
                  if (page->has_more) {
                    self->Read(prefix, page->LastKey(), take, next);
                  } else {
                    (*self.*next)();
                  }
                });
  }

  // Returns why the page has to be read again. Rows that cannot be read may be
  // readable the next time; their jobs are given up for this leader's term.
  std::optional<core::error> WhyRepeat(const core::result<store_page>& page) {
    if (!page) return page.error();
    if (page->unreadable.empty() || damaged_reads == kMaxDamagedReads) {
      return std::nullopt;
    }
    ++damaged_reads;
    return core::error{.code = core::error_code::kProtocol,
                       .detail = page->unreadable.front().cause};
  }

  void TakeJob(const store_item& item) { jobs[item.key] = item; }

  void ReadProgress() {
    found_jobs = jobs.size();
    Read(kProgressPrefix, "", &internal::TakeProgress, &internal::RestoreRest);
  }

  // Restores the job at once: the progress of all jobs may be larger than what
  // they need in memory.
  void TakeProgress(const store_item& item) {
    const std::string id = ToRecordRevision(item.key, 0).id;
    auto job = jobs.extract(RecordKey(record_kind::kJob, id));
    if (!job.empty()) RestoreJob(job.key(), job.mapped(), &item);
  }

  void RestoreRest() {
    while (!jobs.empty()) {
      const auto job = jobs.extract(jobs.begin());
      RestoreJob(job.key(), job.mapped(), nullptr);
    }
    log.Write("jobs_loaded", {{"jobs", static_cast<std::int64_t>(found_jobs)}});
    ReadSharing();
  }

  void RestoreJob(const std::string& key, const store_item& item,
                  const store_item* progress) {
    schema::fleet_job job;
    if (!job.ParseFromString(item.value) ||
        key != RecordKey(record_kind::kJob, job.id()) || job.steps().empty()) {
      OnDamaged(key, "not the record of a job");
      return;
    }
    if (core.IsDamaged(job.id())) return;
    std::optional<schema::fleet_progress> progress_record;
    std::int64_t revision = 0;
    if (progress != nullptr) {
      revision = progress->revision;
      progress_record.emplace();
      if (!progress_record->ParseFromString(progress->value)) {
        OnDamaged(progress->key, "not the progress of a job");
        return;
      }
    }
    core.Restore(std::move(job), item.revision, progress_record, revision,
                 hooks.now());
  }

  // The job is refused instead of forgotten, since it may have been accepted.
  void OnDamaged(const std::string& key, std::string_view cause) {
    log.Write("record_damaged", {{"key", key}, {"cause", cause}});
    if (!key.starts_with(kJobPrefix) && !key.starts_with(kProgressPrefix)) {
      return;
    }
    core.MarkDamaged(ToRecordRevision(key, 0).id);
  }

  // The records of jobs suffice to take over; a read that failed is repeated
  // beside the work.
  void ReadSharing() {
    store.get(kSharingKey, [self = shared_from_this()](
                               const core::result<store_page>& page) {
      if (self->closed) return;
      if (page) {
        self->RestoreSharing(page->items.front());
      } else {
        self->loop.After(self->retry, [self] {
          if (!self->closed) self->ReadSharing();
        });
      }
      if (!std::exchange(self->loaded, true)) self->hooks.on_loaded();
    });
  }

  // Without the record the leader starts its estimates from scratch.
  void RestoreSharing(const store_item& item) {
    sharing_read = true;
    if (item.revision == 0) return;
    schema::fleet_sharing record;
    const auto whole = [&record](const auto& row) {
      return row.pressures_size() == record.filling_images_size();
    };
    if (!record.ParseFromString(item.value) ||
        !std::ranges::all_of(record.serving_images(), whole)) {
      log.Write("record_damaged", {{"key", kSharingKey}});
      return;
    }
    core.RestoreSharing(record);
  }

  net::event_loop& loop;
  const store_services& store;
  fleet_core& core;
  core::milliseconds retry;
  read_retry repeats;
  fleet_loader_hooks hooks;
  logging::event_log& log;
  // Jobs that were read and wait for their progress, by key.
  std::map<std::string, store_item> jobs;
  std::size_t found_jobs = 0;
  // Reads of the present page with rows that cannot be read.
  int damaged_reads = 0;
  bool loaded = false;
  bool sharing_read = false;
  bool closed = false;
};

fleet_loader::fleet_loader(net::event_loop& loop, const store_services& store,
                           fleet_core& core, core::milliseconds retry,
                           fleet_loader_hooks hooks, logging::event_log& log)
    : internal_(std::make_shared<internal>(loop, store, core, retry,
                                           std::move(hooks), log)) {}

fleet_loader::~fleet_loader() { internal_->closed = true; }

void fleet_loader::Start() {
  internal_->Read(kJobPrefix, "", &internal::TakeJob, &internal::ReadProgress);
}

bool fleet_loader::SharingRead() const { return internal_->sharing_read; }

}  // namespace waxwingfront::fleet
