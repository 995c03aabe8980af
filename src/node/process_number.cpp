#include "node/process_number.h"

#include <random>

namespace millethollow {

std::uint64_t DrawProcessNumber() {
  std::random_device device;
  const std::uint64_t high = device();
  const std::uint64_t low = device();
  return (high << 32 | low) | 1;
}

}  // namespace millethollow
