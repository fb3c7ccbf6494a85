#include "waxwingfront/cli/explain_command.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdint>
#include <iostream>
#include <memory>
#include <sstream>
#include <utility>
#include <vector>

#include "waxwingfront/cli/output.h"
#include "waxwingfront/core/json_object.h"

namespace waxwingfront::cli {
namespace {

struct event_line {
  std::int64_t time_ms = 0;
  std::string text;
};

std::string ToText(const rapidjson::Value& value) {
  if (value.IsString()) return {value.GetString(), value.GetStringLength()};
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

bool IsLeadershipChange(std::string_view event) {
  return event == "leader_elected" || event == "leader_deposed" ||
         event == "leader_ready";
}

void AddLine(std::string_view id, std::string_view line,
             std::vector<event_line>& events) {
  const std::size_t brace = line.find('{');
  if (brace == std::string_view::npos) return;
  line.remove_prefix(brace);
  const auto parsed = core::ParseJsonObject(line);
  if (!parsed) return;
  const auto time = parsed->FindMember("time_ms");
  const auto event = parsed->FindMember("event");
  if (time == parsed->MemberEnd() || !time->value.IsInt64() ||
      event == parsed->MemberEnd() || !event->value.IsString()) {
    return;
  }
  if (line.find(id) == std::string_view::npos &&
      !IsLeadershipChange(event->value.GetString())) {
    return;
  }
  std::ostringstream text;
  text << time->value.GetInt64();
  for (const auto& member : parsed->GetObject()) {
    const std::string_view name = member.name.GetString();
    if (name == "time_ms") continue;
    const bool value_only = name == "node" || name == "event";
    text << ' ';
    if (!value_only) text << name << '=';
    text << ToText(member.value);
  }
  events.push_back({.time_ms = time->value.GetInt64(), .text = text.str()});
}

}  // namespace

std::string Explain(std::string_view id, std::span<const std::string> logs) {
  std::vector<event_line> events;
  for (const std::string& log : logs) {
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
      AddLine(id, line, events);
    }
  }
  std::ranges::stable_sort(events, {}, &event_line::time_ms);
  std::string text;
  for (const event_line& event : events) text += event.text + "\n";
  return text;
}

void AddExplainCommand(CLI::App& app, std::function<exit_code()>& action) {
  CLI::App* const command = app.add_subcommand(
      "explain", "Prints a job's life from the logs of all nodes");
  struct arguments {
    std::string id;
    std::vector<std::string> files;
  };
  auto chosen = std::make_shared<arguments>();
  command->add_option("id", chosen->id, "The job's id")->required();
  command->add_option("logs", chosen->files, "Files with log lines")
      ->required()
      ->check(CLI::ExistingFile);
  command->callback([chosen, &action] {
    action = [chosen] {
      std::vector<std::string> logs;
      for (const std::string& file : chosen->files) {
        auto text = ReadFile(file);
        if (!text) return ReportFailure(text.error());
        logs.push_back(std::move(*text));
      }
      std::cout << Explain(chosen->id, logs);
      return exit_code::kOk;
    };
  });
}

}  // namespace waxwingfront::cli
