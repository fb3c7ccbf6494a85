#include "overload_model/settings.h"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/StringTokenizer.h>
#include <Poco/Util/IniFileConfiguration.h>

namespace waxwingfront::overload_model {
namespace {

using Poco::Util::IniFileConfiguration;

distribution LoadDistribution(const IniFileConfiguration& file,
                              const std::string& key) {
  const double mean = file.getDouble(key);
  return {.mean = mean,
          .spread = file.getDouble(key + "_spread", 0.0),
          .max = file.getDouble(key + "_max", mean)};
}

job_kind ToKind(const std::string& text) {
  if (text == "ordinary") return job_kind::kOrdinary;
  if (text == "best-effort") return job_kind::kBestEffort;
  if (text == "serving") return job_kind::kServing;
  throw Poco::SyntaxException("unknown kind of jobs", text);
}

class_settings LoadClass(const IniFileConfiguration& file,
                         const std::string& name) {
  const std::string prefix = name + ".";
  class_settings loaded{
      .name = name,
      .kind = ToKind(file.getString(prefix + "kind")),
      .jobs_per_second = file.getDouble(prefix + "jobs_per_second"),
      .initial_jobs = file.getInt(prefix + "initial_jobs", 0),
      .priority = file.getInt(prefix + "priority"),
      .attempts = file.getInt(prefix + "attempts"),
      .stretch = file.getDouble(prefix + "stretch"),
      .target_duration_ms = file.getInt64(prefix + "target_duration_ms"),
      .worth = file.getDouble(prefix + "worth"),
      .late_worth = file.getDouble(prefix + "late_worth"),
      .returns = file.getInt(prefix + "returns"),
      .steps = LoadDistribution(file, prefix + "steps"),
      .width = LoadDistribution(file, prefix + "width"),
      .cpu_millis = LoadDistribution(file, prefix + "cpu_millis"),
      .memory_mib = LoadDistribution(file, prefix + "memory_mib"),
      .work_ms = LoadDistribution(file, prefix + "work_ms"),
      .task_spread = file.getDouble(prefix + "task_spread", 0.0),
      .estimate_error = file.getDouble(prefix + "estimate_error", 0.0),
      .failing_runs = file.getDouble(prefix + "failing_runs", 0.0),
      .doomed_jobs = file.getDouble(prefix + "doomed_jobs", 0.0),
      .cancelled_jobs = file.getDouble(prefix + "cancelled_jobs", 0.0),
      .one_per_executor = file.getDouble(prefix + "one_per_executor", 0.0),
      .images = file.getInt(prefix + "images", 1)};
  if (loaded.kind == job_kind::kServing) {
    loaded.stay_s = LoadDistribution(file, prefix + "stay_s");
  }
  return loaded;
}

}  // namespace

model_settings LoadSettings(const std::string& path) {
  const Poco::AutoPtr<IniFileConfiguration> loaded(
      new IniFileConfiguration(path));
  const IniFileConfiguration& file = *loaded;
  model_settings settings{
      .executors = {.count = file.getInt("executors.count"),
                    .cpu_millis = file.getInt64("executors.cpu_millis"),
                    .memory_mib = file.getInt64("executors.memory_mib"),
                    .overcommit_slowdown =
                        file.getDouble("executors.overcommit_slowdown"),
                    .start_delay_ms = file.getInt64("executors.start_delay_ms"),
                    .report_pause_ms =
                        file.getInt64("executors.report_pause_ms"),
                    .report_wait_ms =
                        file.getInt64("executors.report_wait_ms")},
      .serving = {.base_ms = file.getDouble("interference.base_ms"),
                  .target_ms = file.getInt64("interference.target_ms"),
                  .load = file.getDouble("interference.load"),
                  .swing = file.getDouble("interference.swing"),
                  .swing_ms = file.getDouble("interference.swing_ms"),

                  .smoothing_ms = file.getDouble("interference.smoothing_ms"),
                  .heavy_pressure =
                      file.getDouble("interference.heavy_pressure"),
                  .light_pressure =
                      file.getDouble("interference.light_pressure"),
                  .heavy_share = file.getDouble("interference.heavy_share")},
      .plan_period_ms = file.getInt64("leader.plan_period_ms"),
      .write_ms = file.getInt64("leader.write_ms"),
      .records_per_write =
          static_cast<std::size_t>(file.getUInt64("leader.records_per_write")),
      .return_spread = file.getDouble("callers.return_spread"),
      .give_up = file.getBool("callers.give_up"),
      .warm_up_ms = file.getInt64("callers.warm_up_ms"),
      .finish_ms = file.getInt64("callers.finish_ms")};
  const Poco::StringTokenizer names(
      file.getString("model.classes"), ",",
      Poco::StringTokenizer::TOK_TRIM |
          Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  for (const std::string& name : names) {
    settings.classes.push_back(LoadClass(file, name));
  }
  return settings;
}

}  // namespace waxwingfront::overload_model
