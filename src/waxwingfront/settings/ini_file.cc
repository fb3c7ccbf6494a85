#include "waxwingfront/settings/ini_file.h"

#include <Poco/String.h>

#include <utility>

namespace waxwingfront::settings {
namespace {

ini_line ReadHeader(const std::string& line) {
  if (line.back() != ']')
    return {.kind = ini_line_kind::kMalformed, .key = line};
  return {.kind = ini_line_kind::kHeader,
          .section = Poco::trim(line.substr(1, line.size() - 2))};
}

ini_line ReadKey(const std::string& line, const std::string& section) {
  const std::size_t equals = line.find('=');
  if (equals == std::string::npos) {
    return {.kind = ini_line_kind::kMalformed, .section = section, .key = line};
  }
  return {.section = section,
          .key = Poco::trim(line.substr(0, equals)),
          .value = Poco::trim(line.substr(equals + 1))};
}

}  // namespace

std::vector<ini_line> ReadIniFile(std::istream& text) {
  std::vector<ini_line> lines;
  std::string section;
  std::string line;
  while (std::getline(text, line)) {
    line = Poco::trim(line);
    if (line.empty() || line.front() == ';' || line.front() == '#') continue;
    const bool is_header = line.front() == '[';
    ini_line parsed = is_header ? ReadHeader(line) : ReadKey(line, section);
    if (is_header) section = parsed.section;
    lines.push_back(std::move(parsed));
  }
  return lines;
}

}  // namespace waxwingfront::settings
