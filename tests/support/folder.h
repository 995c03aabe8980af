// A fixture with a temporary folder, and with waiting for the writer thread of a store.
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

// Creates a folder for each test and removes it afterwards.
struct Folder : ::testing::Test {
  Folder() {
    char name[] = "/tmp/millethollow-folder-XXXXXX";
    folder = mkdtemp(name);
  }
  ~Folder() override { std::filesystem::remove_all(folder); }
  // The callback for a store that is opened now; it records the durable writes.
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
  // Waits until the write is durable. Returns false if a write failed.
  bool WaitForWrite(std::uint64_t ticket) {
    std::unique_lock lock(mutex);
    changed.wait(lock, [&] { return done >= ticket || failed; });
    return !failed;
  }
  // The bytes of a file in the folder.
  std::string FileContents(const std::string& file) const {
    std::stringstream text;
    text << std::ifstream(folder + "/" + file, std::ios::binary).rdbuf();
    return text.str();
  }
  // Replaces the bytes of a file in the folder.
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
