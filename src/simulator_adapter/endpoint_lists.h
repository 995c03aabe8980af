// Endpoint lists, which the simulator sends once and then refers to by number.
#ifndef MILLETHOLLOW_SIMULATOR_ADAPTER_ENDPOINT_LISTS_H_
#define MILLETHOLLOW_SIMULATOR_ADAPTER_ENDPOINT_LISTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "millethollow/balancing/load_balancer.h"
#include "millethollow/error.h"

namespace millethollow::simulator_adapter {

// Stores the lists by number. The message that begins a list gives its number of entries, which
// follow one by one.
class EndpointLists {
 public:
  // Begins a list of `entries` endpoints, which replaces an earlier list of the same number.
  Status Begin(std::int64_t list, std::int64_t entries);
  // Whether the current list lacks entries.
  bool ExpectsEntry() const { return entries_left_ > 0; }
  // Adds the next entry of the current list.
  void Add(balancing::Endpoint endpoint);
  // Counts an entry that could not be read.
  void SkipEntry() { --entries_left_; }
  // Ends the current list.
  void End() { entries_left_ = 0; }

  // The list of this number; null if there is none. Valid until the number is used again.
  const std::vector<balancing::Endpoint>* Find(std::int64_t list) const;

 private:
  static constexpr std::size_t kListCount = 16;
  static constexpr std::int64_t kMaxEntries = 10'000'000;

  std::array<std::vector<balancing::Endpoint>, kListCount> lists_;
  std::array<bool, kListCount> received_{};
  std::size_t current_ = 0;
  std::int64_t entries_left_ = 0;
};

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_ENDPOINT_LISTS_H_
