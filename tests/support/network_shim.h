// What the harness breaks inside a process without its knowing: the page that it shares with the
// library that stands before the system's (shim.cpp).
#ifndef MILLETHOLLOW_TESTS_SUPPORT_NETWORK_SHIM_H_
#define MILLETHOLLOW_TESTS_SUPPORT_NETWORK_SHIM_H_

#include <atomic>
#include <cstdint>

namespace millethollow::rig {

struct Shim {
  std::atomic<std::int64_t> wall_off_s;  // added to what the wall clock shows
  std::atomic<std::uint64_t> wall_reads;
  std::atomic<std::uint32_t> fail_syncs;  // 1: fdatasync and fsync fail (EIO)
  std::atomic<std::uint64_t> failed_syncs;
  std::atomic<std::uint32_t> slow_syncs_ms;  // each takes so much longer
};

}  // namespace millethollow::rig

#endif  // MILLETHOLLOW_TESTS_SUPPORT_NETWORK_SHIM_H_
