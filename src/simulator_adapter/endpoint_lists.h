// Endpoint lists that the simulator sends once and then refers to by number.
#ifndef MILLETHOLLOW_SIMULATOR_ADAPTER_ENDPOINT_LISTS_H_
#define MILLETHOLLOW_SIMULATOR_ADAPTER_ENDPOINT_LISTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "millethollow/balancing/load_balancer.h"
#include "millethollow/error.h"

namespace millethollow::simulator_adapter {

// The lists by number. A list is announced with its number of entries, which follow one by one.
class EndpointLists {
 public:
  // A list of `entries` endpoints follows, in place of an earlier one of this number.
  Status Begin(std::int64_t list, std::int64_t entries);
  bool ExpectsEntry() const { return entries_left_ > 0; }
  // The next entry of the list that was begun last.
  void Add(balancing::Endpoint endpoint);
  // The next entry could not be read.
  void SkipEntry() { --entries_left_; }
  // No more entries follow.
  void End() { entries_left_ = 0; }

  // Null for a number that no list was sent for. Valid until the number is used again.
  const std::vector<balancing::Endpoint>* Find(std::int64_t list) const;

 private:
  static constexpr std::size_t kListCount = 16;
  static constexpr std::int64_t kMaxEntries = 10'000'000;

  std::array<std::vector<balancing::Endpoint>, kListCount> lists_;
  std::array<bool, kListCount> known_{};
  std::size_t current_ = 0;
  std::int64_t entries_left_ = 0;
};

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_ENDPOINT_LISTS_H_
