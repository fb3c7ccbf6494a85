// Translation of the addresses under which processes reach each other, so that
// a proxy between them isn't passed by.
#ifndef WAXWINGFRONT_TESTS_SOAK_ADDRESS_MAP_H_
#define WAXWINGFRONT_TESTS_SOAK_ADDRESS_MAP_H_

#include <string>
#include <utility>
#include <vector>

namespace waxwingfront::soak {

class address_map {
 public:
  // Both have the same length, since lengths in messages stay.
  void Add(std::string from, std::string to);
  void Translate(std::string& bytes) const;
  // Also inside the values of items, which are base64 text.
  void TranslateItems(std::string& json) const;

 private:
  std::vector<std::pair<std::string, std::string>> pairs_;
};

}  // namespace waxwingfront::soak

#endif  // WAXWINGFRONT_TESTS_SOAK_ADDRESS_MAP_H_
