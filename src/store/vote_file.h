// A voter's votes in a folder of its own: one small file, replaced whole. A write is done when file
// and folder are on the disk; it is made by a thread of its own, so that a slow disk holds up
// nobody else.
#ifndef MILLETHOLLOW_STORE_VOTE_FILE_H_
#define MILLETHOLLOW_STORE_VOTE_FILE_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "membership/voter.h"

namespace millethollow::store {

class VoteFile {
 public:
  // What a write came to. Called on the writer's thread.
  using Written = std::function<void(std::uint64_t ticket, bool ok)>;
  static constexpr std::uint32_t kSchema = 1;

  VoteFile() = default;
  ~VoteFile();
  VoteFile(const VoteFile&) = delete;
  VoteFile& operator=(const VoteFile&) = delete;

  // Takes the folder for this process alone and reads what is there; makes it if it is missing.
  // False, with one clear line, if the folder can't be used, is another's, or is of a later build.
  // A damaged file is put aside, as `votes.damaged`, and counts as none: `damaged` says so.
  bool Open(const std::string& folder, std::uint64_t cluster, membership::NodeId self,
            Written written, membership::PersistentVoterState* votes, bool* damaged,
            std::string* error);
  // Writes; a later write takes the place of one that has not begun. After a failure nothing is
  // written any more: the disk may hold either state, and a second try would not tell.
  void Write(const membership::PersistentVoterState& votes, std::uint64_t ticket);

 private:
  struct Job {
    std::string bytes;
    std::uint64_t ticket = 0;
  };
  void Run();
  bool Replace(const std::string& bytes) const;

  std::string folder_;
  std::uint64_t cluster_ = 0;
  membership::NodeId self_ = 0;
  Written written_;
  int lock_ = -1;
  std::thread writer_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<Job> job_;
  bool stop_ = false;
};

}  // namespace millethollow::store

#endif  // MILLETHOLLOW_STORE_VOTE_FILE_H_
