// The adapter's program: reads the simulator's protocol on standard input and answers on standard
// output. Exit status 1: bad usage or an input/output error; 2: input whose batches can't be told
// apart, or that ends inside one.
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

constexpr std::size_t kReadBytes = 1 << 20;
constexpr int kIoFailure = 1, kBadInput = 2;

bool WriteAll(std::string_view text) {
  while (!text.empty()) {
    const ssize_t n = ::write(STDOUT_FILENO, text.data(), text.size());
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    text.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

// Bytes of standard input, 0 at its end; below 0 for an error.
ssize_t ReadSome(std::vector<char>* chunk) {
  while (true) {
    const ssize_t n = ::read(STDIN_FILENO, chunk->data(), chunk->size());
    if (n >= 0 || errno != EINTR) return n;
  }
}

// Handles the complete lines of `pending` and removes them. Returns the exit status, 0 to go on.
int HandleLines(Adapter* adapter, std::size_t searched, std::string* pending) {
  std::size_t start = 0;
  std::size_t end = pending->find('\n', searched);
  for (; end != std::string::npos; end = pending->find('\n', start)) {
    if (!adapter->HandleLine(std::string_view(*pending).substr(start, end - start))) {
      return kBadInput;
    }
    start = end + 1;
    const std::optional<std::string> reply = adapter->TakeReply();
    if (reply && !WriteAll(*reply)) return kIoFailure;
  }
  pending->erase(0, start);
  return 0;
}

// Serves standard input to its end. Returns the exit status.
int Serve(Adapter* adapter) {
  std::vector<char> chunk(kReadBytes);
  std::string pending;
  while (true) {
    const ssize_t n = ReadSome(&chunk);
    if (n < 0) {
      std::perror("simulator_adapter: standard input");
      return kIoFailure;
    }
    if (n == 0) break;
    const std::size_t searched = pending.size();
    pending.append(chunk.data(), static_cast<std::size_t>(n));
    if (const int status = HandleLines(adapter, searched, &pending); status != 0) return status;
  }
  if (adapter->in_batch() || !pending.empty()) {
    std::cerr << "simulator_adapter: input ended inside a batch\n";
    return kBadInput;
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  millethollow::scheduling::Options options;
  std::string error;
  const bool also = argc == 3 && std::string_view(argv[1]) == "--also";
  if (argc != 1 && !also) error = "usage: simulator_adapter [--also FILE]";
  if (also) millethollow::LoadScheduling(argv[2], {}, &options, &error);
  if (!error.empty()) {
    std::cerr << "simulator_adapter: " << error << "\n";
    return kIoFailure;
  }
  Adapter adapter(&std::cerr, options);
  return Serve(&adapter);
}
