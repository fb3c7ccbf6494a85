#include "overload_model/report.h"

#include <Poco/Exception.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <string_view>
#include <vector>

#include "overload_model/plot.h"

namespace waxwingfront::overload_model {
namespace {

constexpr double kMillisPerSecond = 1000.0;

struct column {
  std::string_view name;
  double value;
  int decimals;
};

std::vector<column> Columns(const load_result& run, const class_result& jobs) {
  const auto ended = [&](job_outcome outcome) {
    return static_cast<double>(jobs.Ended(outcome));
  };
  const auto core_s = [&](job_outcome outcome) {
    return jobs.core_s.at(static_cast<std::size_t>(outcome));
  };
  const sharing_sums& sharing = run.sharing;
  const double best_effort = std::max(1.0, sharing.best_effort_ms);
  const double serving = std::max(1.0, sharing.serving_ms);
  return {
      {"asked", static_cast<double>(jobs.asked), 0},
      {"on_time", ended(job_outcome::kOnTime), 0},
      {"late", ended(job_outcome::kLate), 0},
      {"refused", ended(job_outcome::kRefused), 0},
      {"failed", ended(job_outcome::kUseless), 0},
      {"refusals", static_cast<double>(jobs.refusals), 0},
      {"half_s", QuantileOf(jobs.served_ms, 0.5) / kMillisPerSecond, 1},
      {"p90_s", QuantileOf(jobs.served_ms, 0.9) / kMillisPerSecond, 1},
      {"worth", jobs.worth / std::max(1e-9, jobs.worth_owed), 3},
      {"core_s_on_time", core_s(job_outcome::kOnTime), 0},
      {"core_s_late", core_s(job_outcome::kLate), 0},
      {"core_s_failed", core_s(job_outcome::kUseless), 0},
      {"core_s_cancelled", core_s(job_outcome::kCancelled), 0},
      {"first_wait_s", MeanOf(jobs.first_wait_ms) / kMillisPerSecond, 2},
      {"later_wait_s", MeanOf(jobs.later_wait_ms) / kMillisPerSecond, 2},
      {"waiting", run.waiting, 0},
      {"running", run.running, 0},
      {"runs_done", static_cast<double>(sharing.best_effort_runs_done), 0},
      {"pace", sharing.paced_ms / best_effort, 3},
      {"speed", sharing.worked_ms / best_effort, 3},
      {"headroom", sharing.headroom / serving, 3},
      {"interference", sharing.interference / serving, 3},
      {"over_target", sharing.over_target_ms / serving, 3},
  };
}

std::ofstream Open(const std::string& path) {
  std::ofstream file(path);
  if (!file) throw Poco::CreateFileException(path);
  return file;
}

void Close(std::ofstream& file, const std::string& path) {
  file.close();
  if (!file) throw Poco::WriteFileException(path);
}

}  // namespace

void PrintHeading(std::ostream& out) {
  out << "load seed class";
  for (const column& entry : Columns({}, {})) out << " " << entry.name;
  out << "\n";
}

void Print(const load_result& result, std::ostream& out) {
  for (const class_result& jobs : result.classes) {
    out << result.load << " " << result.seed << " " << jobs.name;
    for (const column& entry : Columns(result, jobs)) {
      out << " " << std::fixed << std::setprecision(entry.decimals)
          << entry.value << std::defaultfloat;
    }
    out << "\n";
  }
  out.flush();
}

void WriteCsv(std::span<const load_result> results, const std::string& path) {
  std::ofstream file = Open(path);
  file << "load,seed,class";
  for (const column& entry : Columns({}, {})) file << "," << entry.name;
  file << "\n";
  for (const load_result& result : results) {
    for (const class_result& jobs : result.classes) {
      file << result.load << "," << result.seed << "," << jobs.name;
      for (const column& entry : Columns(result, jobs)) {
        file << "," << entry.value;
      }
      file << "\n";
    }
  }
  Close(file, path);
}

void WriteSvg(std::span<const load_result> results, const std::string& path) {
  std::ofstream file = Open(path);
  WritePlot(results, file);
  Close(file, path);
}

}  // namespace waxwingfront::overload_model
