#include "waxwingfront/fleet/record_keys.h"

namespace waxwingfront::fleet {

std::string RecordKey(record_kind kind, std::string_view id) {
  return std::string(kind == record_kind::kJob ? kJobPrefix : kProgressPrefix)
      .append(id);
}

record_revision ToRecordRevision(std::string_view key, std::int64_t revision) {
  const bool job = key.starts_with(kJobPrefix);
  key.remove_prefix(job ? kJobPrefix.size() : kProgressPrefix.size());
  return {.kind = job ? record_kind::kJob : record_kind::kProgress,
          .id = std::string(key),
          .revision = revision};
}

}  // namespace waxwingfront::fleet
