#include "scale/process.h"

#include <malloc.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>

#include "scale/report.h"

namespace millethollow::scale {
namespace {

constexpr int kFailedStatus = 1;

void WriteAll(int descriptor, const std::string& text) {
  std::size_t written = 0;
  while (written < text.size()) {
    const ssize_t byte_count = write(descriptor, text.data() + written, text.size() - written);
    if (byte_count <= 0) return;
    written += static_cast<std::size_t>(byte_count);
  }
}

std::string ReadAll(int descriptor) {
  std::string text;
  char buffer[4096];
  ssize_t byte_count = 0;
  while ((byte_count = read(descriptor, buffer, sizeof buffer)) > 0) {
    text.append(buffer, static_cast<std::size_t>(byte_count));
  }
  return text;
}

[[noreturn]] void MeasureAndExit(int descriptor, const std::function<Point()>& measure) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int status = 0;
  try {
    WriteAll(descriptor, PointToText(measure()));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "scale: %s\n", error.what());
    status = kFailedStatus;
  }
  close(descriptor);
  _exit(status);
}

}  // namespace

std::optional<std::size_t> ReadAvailableMemory(std::istream& meminfo) {
  std::string word;
  while (meminfo >> word) {
    std::size_t kibibytes = 0;
    if (word == "MemAvailable:" && meminfo >> kibibytes) return kibibytes * kKibibyte;
  }
  return std::nullopt;
}

std::optional<std::size_t> AvailableMemory() {
  std::ifstream meminfo("/proc/meminfo");
  return ReadAvailableMemory(meminfo);
}

std::string MemoryShortageMessage(std::optional<std::size_t> available, std::size_t needed) {
  if (!available) return "scale: available memory is unknown";
  if (*available >= needed) return "";
  return "scale: " + std::to_string(*available / kMebibyte) + " MiB of memory are available, " +
         std::to_string(needed / kMebibyte) + " MiB are needed";
}

std::size_t ResidentMemory() {
  std::ifstream statm("/proc/self/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  statm >> total >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::size_t AllocatedMemory() {
  const struct mallinfo2 heap = mallinfo2();
  return heap.uordblks + heap.hblkhd;
}

ChildResult RunInChild(const std::function<Point()>& measure) {
  int pipe_ends[2];
  if (pipe(pipe_ends) != 0) return {std::nullopt, "cannot create a pipe"};
  std::fflush(nullptr);
  const pid_t child = fork();
  if (child < 0) {
    close(pipe_ends[0]);
    close(pipe_ends[1]);
    return {std::nullopt, "cannot start a child process"};
  }
  if (child == 0) {
    close(pipe_ends[0]);
    MeasureAndExit(pipe_ends[1], measure);
  }
  close(pipe_ends[1]);
  const std::string text = ReadAll(pipe_ends[0]);
  close(pipe_ends[0]);
  int status = 0;
  waitpid(child, &status, 0);
  if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
    return {std::nullopt, "the child process ended with status " + std::to_string(status)};
  }
  std::optional<Point> point = PointFromText(text);
  if (!point) return {std::nullopt, "the child process returned no figures"};
  return {std::move(point), ""};
}

}  // namespace millethollow::scale
