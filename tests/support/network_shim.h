// Faults that the harness injects into a process, and counters of them: the layout of the memory
// that it shares with the preloaded library (network_shim.cpp).
#ifndef MILLETHOLLOW_TESTS_SUPPORT_NETWORK_SHIM_H_
#define MILLETHOLLOW_TESTS_SUPPORT_NETWORK_SHIM_H_

#include <atomic>
#include <cstdint>

namespace millethollow::cluster_test {

struct Shim {
  std::atomic<std::int64_t> wall_clock_offset_s;  // added to the wall clock
  std::atomic<std::uint64_t> wall_clock_reads;
  std::atomic<std::uint32_t> fail_syncs;  // 1: fdatasync and fsync fail (EIO)
  std::atomic<std::uint64_t> failed_syncs;
  std::atomic<std::uint32_t> sync_delay_ms;  // delay of each sync
};

}  // namespace millethollow::cluster_test

#endif  // MILLETHOLLOW_TESTS_SUPPORT_NETWORK_SHIM_H_
