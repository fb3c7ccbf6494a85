#include "support/journal.h"

#include <algorithm>
#include <sstream>
#include <tuple>

namespace waxwingfront::tests {
namespace {

std::string Describe(const attempt_run& run) {
  std::ostringstream text;
  text << "task " << run.task << " attempt " << run.attempt << " on worker "
       << run.worker << " [" << run.start_ms << ", " << run.end_ms << ")";
  return text.str();
}

bool Overlap(const attempt_run& left, const attempt_run& right) {
  return left.start_ms < right.end_ms && right.start_ms < left.end_ms;
}

}  // namespace

std::vector<attempt_run> RunsOf(const std::string& job,
                                const std::vector<std::string>& journals) {
  std::map<std::tuple<int, std::int64_t, int>, attempt_run> runs;
  for (int worker = 0; worker < static_cast<int>(journals.size()); ++worker) {
    std::istringstream lines(journals[worker]);
    std::string event;
    std::string entry_job;
    std::string checkpoint;
    std::int64_t task = 0;
    std::int64_t at_ms = 0;
    int attempt = 0;
    while (lines >> event >> entry_job >> task >> attempt >> at_ms >>
           checkpoint) {
      if (entry_job != job) continue;
      attempt_run& run = runs[{worker, task, attempt}];
      run.worker = worker;
      run.task = task;
      run.attempt = attempt;
      if (event == "start") run.start_ms = at_ms;
      if (event != "end") continue;
      run.end_ms = at_ms;
      // Only a stopped attempt has a checkpoint.
      run.finished = checkpoint == "-";
    }
  }
  std::vector<attempt_run> sorted;
  sorted.reserve(runs.size());
  for (const auto& [key, run] : runs) sorted.push_back(run);
  return sorted;
}

std::string FindFaults(const std::vector<attempt_run>& runs,
                       std::int64_t task_count) {
  std::ostringstream faults;
  std::map<std::int64_t, int> finished;
  for (std::size_t left = 0; left < runs.size(); ++left) {
    if (runs[left].finished) ++finished[runs[left].task];
    for (std::size_t right = left + 1; right < runs.size(); ++right) {
      if (runs[left].task == runs[right].task &&
          Overlap(runs[left], runs[right])) {
        faults << Describe(runs[left]) << " overlaps " << Describe(runs[right])
               << "\n";
      }
    }
  }
  for (std::int64_t task = 0; task < task_count; ++task) {
    if (finished[task] != 1)
      faults << "task " << task << " finished " << finished[task] << " times\n";
  }
  return faults.str();
}

}  // namespace waxwingfront::tests
