#include "waxwingfront/settings/settings_loader.h"

#include <charconv>
#include <cstdint>
#include <fstream>
#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "waxwingfront/core/text.h"
#include "waxwingfront/settings/address.h"
#include "waxwingfront/settings/contradictions.h"
#include "waxwingfront/settings/ini_file.h"

namespace waxwingfront::settings {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

// Values are truncated to this length in error messages.
constexpr std::size_t kMaxEchoedBytes = 100;

bool MatchesShape(const std::string& text, const std::string& shape) {
  if (shape == "name") return core::IsName(text);
  if (shape == "address") return IsAddress(text);
  if (shape == "addresses") return IsAddressList(text);
  if (shape == "log_level")
    return text == "info" || text == "warning" || text == "error";
  return true;
}

std::string DescribeShape(const std::string& shape) {
  if (shape == "name") return std::string(core::kNameRule);
  if (shape == "address")
    return "an IP address with a port from 1 to 65535, such as 127.0.0.1:8080 "
           "or [::1]:8080";
  if (shape == "addresses")
    return "IP addresses with ports, separated by commas";
  if (shape == "log_level") return "info, warning or error";
  return "a text";
}

std::string DescribeAllowed(const FieldDescriptor& field) {
  const schema::setting_rule& rule = field.options().GetExtension(schema::rule);
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    return "allowed is " + DescribeShape(rule.shape());
  }
  return "allowed is a whole number from " + std::to_string(rule.minimum()) +
         " to " + std::to_string(rule.maximum()) + ", in " + rule.unit();
}

// Returns the names of a message's fields as "a, b, c".
std::string FieldNames(const Descriptor& type) {
  std::string names;
  for (int index = 0; index < type.field_count(); ++index) {
    if (index > 0) names += ", ";
    names += type.field(index)->name();
  }
  return names;
}

// Validates the lines of a file and stores their values in the settings.
class settings_reader {
 public:
  settings_reader(std::string path, loaded_settings& loaded)
      : path_(std::move(path)), loaded_(loaded) {}

  void Read(const std::vector<ini_line>& lines) {
    for (const ini_line& line : lines) Collect(line);
    const Descriptor& type = *schema::settings::descriptor();
    for (int index = 0; index < type.field_count(); ++index) {
      ReadSection(*type.field(index));
    }
    CheckCombinations();
  }

 private:
  using full_key = std::pair<std::string, std::string>;

  // Stores the value of a known key; reports unknown and repeated keys.
  void Collect(const ini_line& line) {
    if (line.kind == ini_line_kind::kMalformed) {
      AddProblem(line.section, line.key,
                 "malformed line; allowed are [section] and key = value");
      return;
    }
    const Descriptor& type = *schema::settings::descriptor();
    const FieldDescriptor* section = type.FindFieldByName(line.section);
    if (section == nullptr) {
      const bool outside =
          line.section.empty() && line.kind == ini_line_kind::kKey;
      const std::string what =
          outside ? "the key is outside any section" : "unknown section";
      AddProblem(line.section, line.key,
                 what + "; allowed are the sections " + FieldNames(type));
      return;
    }
    if (line.kind == ini_line_kind::kHeader) return;
    const Descriptor& keys = *section->message_type();
    if (keys.FindFieldByName(line.key) == nullptr) {
      AddProblem(line.section, line.key,
                 "unknown key; allowed are the keys " + FieldNames(keys));
      return;
    }
    const full_key key{line.section, line.key};
    if (!values_.emplace(key, line.value).second) {
      AddProblem(line.section, line.key,
                 "repeated; allowed is each key once in a file");
    }
  }

  void ReadSection(const FieldDescriptor& section) {
    const Descriptor& type = *section.message_type();
    Message& message = *loaded_.values.GetReflection()->MutableMessage(
        &loaded_.values, &section);
    for (int index = 0; index < type.field_count(); ++index) {
      ReadKey(section.name(), *type.field(index), message);
    }
  }

  void ReadKey(const std::string& section, const FieldDescriptor& field,
               Message& message) {
    const schema::setting_rule& rule =
        field.options().GetExtension(schema::rule);
    const auto found = values_.find({section, field.name()});
    if (found == values_.end() && rule.required()) {
      AddProblem(section, field.name(), "missing; " + DescribeAllowed(field));
      return;
    }
    const std::string& text =
        found == values_.end() ? rule.default_value() : found->second;
    const bool valid = field.cpp_type() == FieldDescriptor::CPPTYPE_STRING
                           ? SetText(field, text, message)
                           : SetNumber(field, text, message);
    if (!valid) {
      AddProblem(section, field.name(),
                 "'" + core::Printable(text, kMaxEchoedBytes) +
                     "' is not valid; " + DescribeAllowed(field));
    }
  }

  static bool SetText(const FieldDescriptor& field, const std::string& text,
                      Message& message) {
    const schema::setting_rule& rule =
        field.options().GetExtension(schema::rule);
    if (!MatchesShape(text, rule.shape())) return false;
    message.GetReflection()->SetString(&message, &field, text);
    return true;
  }

  // Poco's number parser would read "1,0" as 10, since it accepts ',' as a
  // thousands separator.
  static bool SetNumber(const FieldDescriptor& field, const std::string& text,
                        Message& message) {
    const schema::setting_rule& rule =
        field.options().GetExtension(schema::rule);
    std::int64_t number = 0;
    const char* end = text.data() + text.size();
    const auto [rest, failure] = std::from_chars(text.data(), end, number);
    const bool valid = failure == std::errc() && rest == end &&
                       number >= rule.minimum() && number <= rule.maximum();
    if (!valid) return false;
    message.GetReflection()->SetInt64(&message, &field, number);
    return true;
  }

  // Checks the rules between settings. Skips a rule if one of its settings is
  // already reported as invalid.
  void CheckCombinations() {
    for (contradiction& item : FindContradictions(loaded_.values)) {
      const bool already_reported =
          keys_with_problems_.contains({item.section, item.key}) ||
          keys_with_problems_.contains({item.other_section, item.other_key});
      if (already_reported) continue;
      loaded_.problems.push_back({.file = path_,
                                  .section = std::move(item.section),
                                  .key = std::move(item.key),
                                  .detail = std::move(item.detail)});
    }
  }

  void AddProblem(const std::string& section, const std::string& key,
                  std::string detail) {
    keys_with_problems_.insert({section, key});
    loaded_.problems.push_back({.file = path_,
                                .section = section,
                                .key = key,
                                .detail = std::move(detail)});
  }

  std::string path_;
  loaded_settings& loaded_;
  std::map<full_key, std::string> values_;
  std::set<full_key> keys_with_problems_;
};

}  // namespace

loaded_settings ParseSettings(const std::string& path, std::istream& text) {
  loaded_settings loaded;
  settings_reader(path, loaded).Read(ReadIniFile(text));
  return loaded;
}

loaded_settings LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  // Opening a directory succeeds; only the first read fails.
  if (!file || file.peek() == std::ifstream::traits_type::eof()) {
    loaded_settings loaded;
    loaded.problems.push_back(
        {.file = path,
         .detail = "the file cannot be read or is empty; allowed is an INI "
                   "file with the sections " +
                   FieldNames(*schema::settings::descriptor())});
    return loaded;
  }
  return ParseSettings(path, file);
}

schema::settings DefaultSettings() {
  loaded_settings loaded;
  settings_reader("", loaded).Read({});
  // The only problems are the missing required keys.
  return loaded.values;
}

std::string Describe(const settings_problem& problem) {
  std::string text = core::Printable(problem.file) + ": ";
  if (!problem.section.empty() || !problem.key.empty()) {
    text += "[" + core::Printable(problem.section, kMaxEchoedBytes) + "]";
    if (!problem.key.empty())
      text += " " + core::Printable(problem.key, kMaxEchoedBytes);
    text += ": ";
  }
  return text + problem.detail;
}

}  // namespace waxwingfront::settings
