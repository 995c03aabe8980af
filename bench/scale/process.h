// Memory of the machine and of this process, and points that are run in child processes, so that
// what one size leaves in memory does not count for the next.
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

// Reads the line MemAvailable of /proc/meminfo's form; in bytes. None where there is no such line.
std::optional<std::size_t> ReadAvailableMemory(std::istream& meminfo);
std::optional<std::size_t> AvailableMemory();

// Why a run that needs so much must not start; empty: it may.
std::string RefusalForMemory(std::optional<std::size_t> available, std::size_t needed);

// Resident memory of this process, in bytes.
std::size_t ResidentMemory();
// What this process has allocated and not freed, in bytes; 0 under a sanitizer's allocator.
std::size_t AllocatedMemory();

struct ChildResult {
  std::optional<Point> point;
  std::string failure;  // where there is no point
};

// Runs `measure` in a child process and waits for its end. The child ends with its parent.
ChildResult RunInChild(const std::function<Point()>& measure);

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_PROCESS_H_
