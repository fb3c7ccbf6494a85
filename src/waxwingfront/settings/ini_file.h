// Parser of INI files that keeps the order of lines and repeated keys.
#ifndef WAXWINGFRONT_SETTINGS_INI_FILE_H_
#define WAXWINGFRONT_SETTINGS_INI_FILE_H_

#include <istream>
#include <string>
#include <vector>

namespace waxwingfront::settings {

enum class ini_line_kind { kHeader, kKey, kMalformed };

struct ini_line {
  ini_line_kind kind = ini_line_kind::kKey;
  // Empty for a key before the first section header.
  std::string section;
  // The whole text of a malformed line.
  std::string key;
  std::string value;
};

// Parses "[section]" and "key = value" lines; blank lines and lines that begin
// with ';' or '#' are skipped. Poco's IniFileConfiguration cannot be used to
// report errors, because it silently keeps only the last of several equal keys,
// ignores case, expands "${name}" and drops sections without keys.
std::vector<ini_line> ReadIniFile(std::istream& text);

}  // namespace waxwingfront::settings

#endif  // WAXWINGFRONT_SETTINGS_INI_FILE_H_
