// In-memory store of job records with the conditional writes that leaders use.
#ifndef WAXWINGFRONT_TESTS_SUPPORT_FAKE_RECORD_STORE_H_
#define WAXWINGFRONT_TESTS_SUPPORT_FAKE_RECORD_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "waxwingfront/fleet/fleet_journal.h"

namespace waxwingfront::tests {

class fake_record_store {
 public:
  struct outcome {
    bool applied = false;
    std::int64_t revision = 0;
    std::vector<fleet::record_revision> actual;
  };

  // Elects a new leader and returns its token, the only valid one from now on.
  std::int64_t Claim();
  std::int64_t Token() const { return token_; }

  outcome Apply(std::int64_t token, std::span<const fleet::record_write> batch);

  // Returns the job's progress record and its revision.
  std::optional<schema::fleet_progress> Progress(const std::string& id) const;
  std::int64_t ProgressRevision(const std::string& id) const;
  void ForEachJob(
      const std::function<void(const schema::fleet_job&,
                               std::int64_t revision)>& visit) const;

  // Returns the cases in which an older record replaced a newer one.
  const std::vector<std::string>& Violations() const { return violations_; }

 private:
  struct item {
    std::string value;
    std::int64_t revision = 0;
  };

  std::int64_t Revision(const std::string& key) const;
  void CheckProgress(const std::string& id, const std::string& before,
                     const std::string& after);

  std::map<std::string, item> items_;
  std::int64_t revision_ = 100;
  std::int64_t token_ = 0;
  std::vector<std::string> violations_;
};

}  // namespace waxwingfront::tests

#endif  // WAXWINGFRONT_TESTS_SUPPORT_FAKE_RECORD_STORE_H_
