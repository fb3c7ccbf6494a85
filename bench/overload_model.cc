// Shows the goodput curve by class over the load.
#include <Poco/Exception.h>

#include <CLI/CLI.hpp>
#include <cstdint>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <string>
#include <vector>

#include "overload_model/report.h"
#include "overload_model/settings.h"
#include "overload_model/simulation.h"

namespace {

namespace model = waxwingfront::overload_model;

constexpr std::int64_t kMillisPerSecond = 1000;

}  // namespace

int main(int count, char** arguments) {
  CLI::App app(
      "Simulates the leader's decisions under load and prints how the jobs of "
      "each class end");
  std::string settings_path;
  std::vector<double> loads{1.0, 1.25, 1.5, 2.0, 2.5, 3.0};
  std::vector<std::uint64_t> seeds{1};
  std::int64_t seconds = 35;
  std::string csv_path;
  std::string svg_path;
  std::string class_name;
  app.add_option("--settings", settings_path, "INI file with the model")
      ->required()
      ->check(CLI::ExistingFile);
  app.add_option("--load", loads, "Multiples of the base rate")
      ->check(CLI::PositiveNumber);
  app.add_option("--seed", seeds, "Seeds of the runs at each load");
  app.add_option("--seconds", seconds, "Measured time of a run, in seconds")
      ->check(CLI::PositiveNumber);
  app.add_option("--csv", csv_path, "File for the table as CSV");
  app.add_option("--svg", svg_path, "File for a plot of the goodput");
  app.add_option("--class", class_name, "Report this class only");
  CLI11_PARSE(app, count, arguments);
  try {
    const model::model_settings settings = model::LoadSettings(settings_path);
    std::vector<model::load_result> results;
    model::PrintHeading(std::cout);
    for (const double load : loads) {
      for (const std::uint64_t seed : seeds) {
        model::load_result result = model::Simulate(
            settings, {.load = load,
                       .seed = seed,
                       .measured_ms = seconds * kMillisPerSecond});
        if (!class_name.empty()) {
          std::erase_if(result.classes, [&](const model::class_result& entry) {
            return entry.name != class_name;
          });
        }
        model::Print(result, std::cout);
        results.push_back(std::move(result));
      }
    }
    if (!csv_path.empty()) model::WriteCsv(results, csv_path);
    if (!svg_path.empty()) model::WriteSvg(results, svg_path);
  } catch (const Poco::Exception& error) {
    std::cerr << error.displayText() << "\n";
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
