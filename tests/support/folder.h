// A folder of a test's own, and the waiting for a store's thread.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_FOLDER_H_
#define MILLETHOLLOW_TESTS_SUPPORT_FOLDER_H_

#include <gtest/gtest.h>

#include <condition_variable>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <sstream>
#include <string>

namespace millethollow {

struct Folder : ::testing::Test {
  Folder() {
    char name[] = "/tmp/millethollow-folder-XXXXXX";
    folder = mkdtemp(name);
  }
  ~Folder() override { std::filesystem::remove_all(folder); }
  // For a store that is opened now: what its thread has written.
  auto WriteCallback() {
    done = 0;
    failed = false;
    return [this](std::uint64_t ticket, bool ok) {
      const std::lock_guard lock(mutex);
      done = ticket;
      failed |= !ok;
      changed.notify_all();
    };
  }
  bool WaitForWrite(std::uint64_t ticket) {  // until it is there; false: it will not be
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return done >= ticket || failed; });
    return !failed;
  }
  std::string FileContents(const std::string& file) const {
    std::stringstream text;
    text << std::ifstream(folder + "/" + file, std::ios::binary).rdbuf();
    return text.str();
  }
  void WriteFile(const std::string& file, const std::string& bytes) const {
    std::ofstream(folder + "/" + file, std::ios::binary) << bytes;
  }
  std::string folder, error;
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t done = 0;
  bool failed = false;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_TESTS_SUPPORT_FOLDER_H_
