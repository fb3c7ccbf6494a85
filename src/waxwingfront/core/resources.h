// Arithmetic on host capacity.
#ifndef WAXWINGFRONT_CORE_RESOURCES_H_
#define WAXWINGFRONT_CORE_RESOURCES_H_

#include <cstdint>

namespace waxwingfront::schema {
class resources;
}

namespace waxwingfront::core {

// An amount of each kind of capacity.
struct resources {
  std::int64_t processor_milli = 0;
  std::int64_t memory_mib = 0;
  std::int64_t accelerators = 0;

  resources& operator+=(const resources& other);
  resources& operator-=(const resources& other);
  friend resources operator+(resources left, const resources& right) {
    return left += right;
  }
  friend resources operator-(resources left, const resources& right) {
    return left -= right;
  }
  friend bool operator==(const resources&, const resources&) = default;

  // True if `other` does not exceed this amount in any kind.
  bool Holds(const resources& other) const;

  // True if no kind is negative.
  bool IsNonNegative() const;

  // Returns `percent` of each kind, rounded down.
  resources Percent(std::int64_t percent) const;
};

resources FromSchema(const schema::resources& message);
schema::resources ToSchema(const resources& amount);

}  // namespace waxwingfront::core

#endif  // WAXWINGFRONT_CORE_RESOURCES_H_
