// The program simulator_adapter: reads the simulator's protocol on standard input and writes the
// replies to standard output. Exit status 1: wrong usage or an input/output error; 2: input with
// lost batch bounds, or input that ends inside a batch.
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/scheduling.h"
#include "simulator_adapter/adapter.h"

namespace {

using millethollow::simulator_adapter::Adapter;

constexpr std::size_t kReadChunkBytes = 1 << 20;
constexpr int kUsageOrIoErrorStatus = 1, kMalformedInputStatus = 2;

// Writes to standard output. Returns false for an error.
bool WriteAll(std::string_view text) {
  while (!text.empty()) {
    const ssize_t byte_count = ::write(STDOUT_FILENO, text.data(), text.size());
    if (byte_count < 0 && errno == EINTR) continue;
    if (byte_count <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(byte_count));
  }
  return true;
}

// Reads standard input into `chunk`. Returns the number of bytes, 0 at the end of the input and a
// negative number for an error.
ssize_t ReadChunk(std::vector<char>* chunk) {
  while (true) {
    const ssize_t byte_count = ::read(STDIN_FILENO, chunk->data(), chunk->size());
    if (byte_count >= 0 || errno != EINTR) return byte_count;
  }
}

// Handles the complete lines of `pending` and removes them. `searched`: the number of bytes in
// front that contain no line end. Returns 0 or, after an error, the exit status.
int HandleLines(Adapter* adapter, std::size_t searched, std::string* pending) {
  std::size_t start = 0;
  std::size_t end = pending->find('\n', searched);
  for (; end != std::string::npos; end = pending->find('\n', start)) {
    if (!adapter->HandleLine(std::string_view(*pending).substr(start, end - start))) {
      return kMalformedInputStatus;
    }
    start = end + 1;
    const std::optional<std::string> reply = adapter->TakeReply();
    if (reply && !WriteAll(*reply)) return kUsageOrIoErrorStatus;
  }
  pending->erase(0, start);
  return 0;
}

// Handles standard input to its end. Returns the exit status.
int ProcessInput(Adapter* adapter) {
  std::vector<char> chunk(kReadChunkBytes);
  std::string pending;
  while (true) {
    const ssize_t byte_count = ReadChunk(&chunk);
    if (byte_count < 0) {
      std::perror("simulator_adapter: standard input");
      return kUsageOrIoErrorStatus;
    }
    if (byte_count == 0) break;
    const std::size_t searched = pending.size();
    pending.append(chunk.data(), static_cast<std::size_t>(byte_count));
    if (const int status = HandleLines(adapter, searched, &pending); status != 0) return status;
  }
  if (adapter->in_batch() || !pending.empty()) {
    std::cerr << "simulator_adapter: input ended inside a batch\n";
    return kMalformedInputStatus;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  millethollow::scheduling::Options options;
  std::string error;
  const bool has_scheduling_file = argc == 3 && std::string_view(argv[1]) == "--also";
  if (argc != 1 && !has_scheduling_file) error = "usage: simulator_adapter [--also FILE]";
  if (has_scheduling_file) millethollow::LoadScheduling(argv[2], {}, &options, &error);
  if (!error.empty()) {
    std::cerr << "simulator_adapter: " << error << "\n";
    return kUsageOrIoErrorStatus;
  }
  Adapter adapter(&std::cerr, options);
  return ProcessInput(&adapter);
}
