// Consistency rules between settings.
#ifndef WAXWINGFRONT_SETTINGS_CONTRADICTIONS_H_
#define WAXWINGFRONT_SETTINGS_CONTRADICTIONS_H_

#include <string>
#include <vector>

namespace waxwingfront::schema {
class settings;
}

namespace waxwingfront::settings {

// Two settings whose values contradict each other. The problem is reported for
// the first one.
struct contradiction {
  std::string section;
  std::string key;
  std::string other_section;
  std::string other_key;
  std::string detail;
};

// Checks the rules between settings. Each value must already satisfy its own
// rule.
std::vector<contradiction> FindContradictions(const schema::settings& values);

}  // namespace waxwingfront::settings

#endif  // WAXWINGFRONT_SETTINGS_CONTRADICTIONS_H_
