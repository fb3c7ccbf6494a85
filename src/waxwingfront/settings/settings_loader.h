// Loads an entry's INI file and validates it against the schema.
#ifndef WAXWINGFRONT_SETTINGS_SETTINGS_LOADER_H_
#define WAXWINGFRONT_SETTINGS_SETTINGS_LOADER_H_

#include <istream>
#include <string>
#include <vector>

#include "waxwingfront/schema/gen/settings.pb.h"

namespace waxwingfront::settings {

// One error in a settings file.
struct settings_problem {
  std::string file;
  std::string section;
  std::string key;
  // The error, and the allowed values with their unit.
  std::string detail;
};

struct loaded_settings {
  schema::settings values;
  // Empty if the settings are valid.
  std::vector<settings_problem> problems;
};

// Loads the file at `path`. Absent keys get their defaults. Unknown sections
// and keys, repeated keys and settings that contradict each other are problems.
loaded_settings LoadSettings(const std::string& path);

// Like `LoadSettings`, but reads from `text`; `path` is used in problems only.
loaded_settings ParseSettings(const std::string& path, std::istream& text);

// Returns the default of each key that has one; required keys are empty.
schema::settings DefaultSettings();

// Formats `problem` as "file: [section] key: detail".
std::string Describe(const settings_problem& problem);

}  // namespace waxwingfront::settings

#endif  // WAXWINGFRONT_SETTINGS_SETTINGS_LOADER_H_
