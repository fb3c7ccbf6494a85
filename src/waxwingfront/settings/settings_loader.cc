#include "waxwingfront/settings/settings_loader.h"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>
#include <Poco/Util/IniFileConfiguration.h>

#include <cstdint>
#include <string_view>

namespace waxwingfront::settings {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using ini_file = Poco::AutoPtr<Poco::Util::IniFileConfiguration>;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyz0123456789-";

bool IsName(std::string_view text) {
  const bool fits = !text.empty() && text.size() <= kMaxNameLength;
  return fits &&
         text.find_first_not_of(kNameCharacters) == std::string_view::npos;
}

bool IsAddress(const std::string& text) {
  // Host names are refused, so that no start depends on a name service.
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  Poco::Net::IPAddress host;
  int port = 0;
  constexpr int kMaxPort = 65535;
  const bool parsed =
      Poco::Net::IPAddress::tryParse(text.substr(0, colon), host) &&
      Poco::NumberParser::tryParse(text.substr(colon + 1), port);
  return parsed && port >= 0 && port <= kMaxPort;
}

bool AreAddresses(const std::string& text) {
  const Poco::StringTokenizer parts(
      text, ",",
      Poco::StringTokenizer::TOK_TRIM |
          Poco::StringTokenizer::TOK_IGNORE_EMPTY);
  for (const std::string& part : parts) {
    if (!IsAddress(part)) return false;
  }
  return true;
}

bool HasShape(const std::string& text, const std::string& shape) {
  if (shape == "name") return IsName(text);
  if (shape == "address") return IsAddress(text);
  if (shape == "addresses") return AreAddresses(text);
  if (shape == "log_level")
    return text == "info" || text == "warning" || text == "error";
  return true;
}

std::string ShapeText(const std::string& shape) {
  if (shape == "name") return "1 to 64 characters of a-z, 0-9 and '-'";
  if (shape == "address")
    return "an IP address with a port, such as 127.0.0.1:8080";
  if (shape == "addresses")
    return "IP addresses with ports, separated by commas";
  if (shape == "log_level") return "info, warning or error";
  return "a text";
}

std::string AllowedText(const FieldDescriptor& field) {
  const schema::setting_rule& rule = field.options().GetExtension(schema::rule);
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    return "allowed is " + ShapeText(rule.shape());
  }
  return "allowed is a whole number from " + std::to_string(rule.minimum()) +
         " to " + std::to_string(rule.maximum()) + ", in " + rule.unit();
}

// Checks the keys of one section and moves their values into a message.
class section_reader {
 public:
  section_reader(const ini_file& file, std::string path,
                 const FieldDescriptor& section, loaded_settings& loaded)
      : file_(file),
        path_(std::move(path)),
        section_(section),
        loaded_(loaded) {}

  void Read() {
    const Descriptor& type = *section_.message_type();
    Message& message = *loaded_.values.GetReflection()->MutableMessage(
        &loaded_.values, &section_);
    for (int index = 0; index < type.field_count(); ++index) {
      ReadKey(*type.field(index), message);
    }
    Poco::Util::AbstractConfiguration::Keys keys;
    file_->keys(section_.name(), keys);
    for (const std::string& key : keys) {
      if (type.FindFieldByName(key) == nullptr) AddProblem(key, "unknown key");
    }
  }

 private:
  void ReadKey(const FieldDescriptor& field, Message& message) {
    const schema::setting_rule& rule =
        field.options().GetExtension(schema::rule);
    const std::string full_key = section_.name() + "." + field.name();
    const bool present = file_->hasProperty(full_key);
    if (!present && rule.required()) {
      AddProblem(field.name(), "missing; " + AllowedText(field));
      return;
    }
    const std::string text =
        present ? file_->getString(full_key) : rule.default_value();
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
      SetText(field, text, message);
    } else {
      SetNumber(field, text, message);
    }
  }

  void SetText(const FieldDescriptor& field, const std::string& text,
               Message& message) {
    const schema::setting_rule& rule =
        field.options().GetExtension(schema::rule);
    if (!HasShape(text, rule.shape())) {
      AddProblem(field.name(),
                 "'" + text + "' is not valid; " + AllowedText(field));
      return;
    }
    message.GetReflection()->SetString(&message, &field, text);
  }

  void SetNumber(const FieldDescriptor& field, const std::string& text,
                 Message& message) {
    const schema::setting_rule& rule =
        field.options().GetExtension(schema::rule);
    Poco::Int64 number = 0;
    const bool valid = Poco::NumberParser::tryParse64(text, number) &&
                       number >= rule.minimum() && number <= rule.maximum();
    if (!valid) {
      AddProblem(field.name(),
                 "'" + text + "' is not valid; " + AllowedText(field));
      return;
    }
    message.GetReflection()->SetInt64(&message, &field, number);
  }

  void AddProblem(const std::string& key, std::string detail) {
    loaded_.problems.push_back({.file = path_,
                                .section = section_.name(),
                                .key = key,
                                .detail = std::move(detail)});
  }

  const ini_file& file_;
  std::string path_;
  const FieldDescriptor& section_;
  loaded_settings& loaded_;
};

void CheckSections(const ini_file& file, const std::string& path,
                   loaded_settings& loaded) {
  Poco::Util::AbstractConfiguration::Keys sections;
  file->keys(sections);
  for (const std::string& section : sections) {
    if (schema::settings::descriptor()->FindFieldByName(section) != nullptr)
      continue;
    loaded.problems.push_back(
        {.file = path, .section = section, .detail = "unknown section"});
  }
}

}  // namespace

loaded_settings LoadSettings(const std::string& path) {
  loaded_settings loaded;
  try {
    const ini_file file(new Poco::Util::IniFileConfiguration(path));
    CheckSections(file, path, loaded);
    const Descriptor& type = *schema::settings::descriptor();
    for (int index = 0; index < type.field_count(); ++index) {
      section_reader(file, path, *type.field(index), loaded).Read();
    }
  } catch (const Poco::Exception& failure) {
    loaded.problems.push_back({.file = path, .detail = failure.displayText()});
  }
  return loaded;
}

std::string Describe(const settings_problem& problem) {
  std::string text = problem.file + ":";
  if (!problem.section.empty()) text += " [" + problem.section + "]";
  if (!problem.key.empty()) text += " " + problem.key;
  return text + ": " + problem.detail;
}

}  // namespace waxwingfront::settings
