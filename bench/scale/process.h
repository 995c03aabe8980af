// Memory of the machine and of this process, and measurements in child processes, so that memory
// left by one size does not count for the next.
#ifndef MILLETHOLLOW_BENCH_SCALE_PROCESS_H_
#define MILLETHOLLOW_BENCH_SCALE_PROCESS_H_

#include <cstddef>
#include <functional>
#include <istream>
#include <optional>
#include <string>

#include "scale/figures.h"

namespace millethollow::scale {

constexpr std::size_t kKibibyte = 1024;
constexpr std::size_t kMebibyte = 1024 * kKibibyte;

// Reads the MemAvailable line of /proc/meminfo. Returns bytes, or nothing if there is no such line.
std::optional<std::size_t> ReadAvailableMemory(std::istream& meminfo);
// Available memory of the machine in bytes, or nothing if unknown.
std::optional<std::size_t> AvailableMemory();

// The error message if fewer than `needed` bytes are available or the amount is unknown; empty if
// the run may start.
std::string MemoryShortageMessage(std::optional<std::size_t> available, std::size_t needed);

// Resident memory of this process, in bytes.
std::size_t ResidentMemory();
// Bytes allocated and not freed by this process; 0 under a sanitizer's allocator.
std::size_t AllocatedMemory();

// The outcome of a measurement in a child process.
struct ChildResult {
  std::optional<Point> point;
  std::string failure;  // The reason why there is no point.
};

// Runs `measure` in a child process and waits for it. The child is killed if its parent dies.
ChildResult RunInChild(const std::function<Point()>& measure);

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_PROCESS_H_
