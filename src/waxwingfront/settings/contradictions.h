// Rules that concern several settings at once.
#ifndef WAXWINGFRONT_SETTINGS_CONTRADICTIONS_H_
#define WAXWINGFRONT_SETTINGS_CONTRADICTIONS_H_

#include <string>
#include <vector>

namespace waxwingfront::schema {
class settings;
}

namespace waxwingfront::settings {

// Two settings whose values do not go together; a problem is reported at the
// first.
struct contradiction {
  std::string section;
  std::string key;
  std::string other_section;
  std::string other_key;
  std::string detail;
};

// Checks values that each keep their own rule.
std::vector<contradiction> FindContradictions(const schema::settings& values);

}  // namespace waxwingfront::settings

#endif  // WAXWINGFRONT_SETTINGS_CONTRADICTIONS_H_
