// The lines of an INI file, in the file's order and with repetitions.
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
  // Of a malformed line, its whole text.
  std::string key;
  std::string value;
};

// Reads "[section]" and "key = value" lines; blank lines and those that begin
// with ';' or '#' are left out. Poco's IniFileConfiguration keeps only the last
// of several equal keys, ignores the case of letters, expands "${name}" and
// drops sections without keys, with no way to notice, so it cannot report these
// errors.
std::vector<ini_line> ReadIniFile(std::istream& text);

}  // namespace waxwingfront::settings

#endif  // WAXWINGFRONT_SETTINGS_INI_FILE_H_
