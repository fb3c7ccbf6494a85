#include "waxwingfront/core/resources.h"

#include "waxwingfront/schema/gen/common.pb.h"

namespace waxwingfront::core {

resources& resources::operator+=(const resources& other) {
  processor_milli += other.processor_milli;
  memory_mib += other.memory_mib;
  accelerators += other.accelerators;
  return *this;
}

resources& resources::operator-=(const resources& other) {
  processor_milli -= other.processor_milli;
  memory_mib -= other.memory_mib;
  accelerators -= other.accelerators;
  return *this;
}

bool resources::Holds(const resources& other) const {
  return (*this - other).IsNonNegative();
}

bool resources::IsNonNegative() const {
  return processor_milli >= 0 && memory_mib >= 0 && accelerators >= 0;
}

resources resources::Percent(std::int64_t percent) const {
  constexpr std::int64_t kHundred = 100;
  return resources{.processor_milli = processor_milli * percent / kHundred,
                   .memory_mib = memory_mib * percent / kHundred,
                   .accelerators = accelerators * percent / kHundred};
}

resources FromSchema(const schema::resources& message) {
  return resources{.processor_milli = message.processor_milli(),
                   .memory_mib = message.memory_mib(),
                   .accelerators = message.accelerators()};
}

schema::resources ToSchema(const resources& amount) {
  schema::resources message;
  message.set_processor_milli(amount.processor_milli);
  message.set_memory_mib(amount.memory_mib);
  message.set_accelerators(amount.accelerators);
  return message;
}

}  // namespace waxwingfront::core
