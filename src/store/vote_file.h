// The durable state of a voter (Paxos: Lamport 1998): one small file in a folder of this member,
// replaced as a whole. A write is durable once file and folder are synced. A writer thread does
// this, so that a slow disk does not block the caller.
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

// Reads and replaces the file `votes`.
//
// Invariants: the file always has one complete state, the previous or the new one (write to
// a temporary file, fdatasync, rename, fsync of the folder). After the first failure nothing is
// written any more.
class VoteFile {
 public:
  // The result of a write, called on the writer thread.
  using WriteCallback = std::function<void(std::uint64_t ticket, bool ok)>;
  static constexpr std::uint32_t kSchema = 1;  // the version of the file format

  VoteFile() = default;
  ~VoteFile();
  VoteFile(const VoteFile&) = delete;
  VoteFile& operator=(const VoteFile&) = delete;

  // Locks the folder for this process, creates it if it is missing, and reads the file. Returns
  // false, with an error of one line, if the folder can't be used, belongs to another cluster or
  // member, or has a later schema. A damaged file is renamed to `votes.damaged` and counts as
  // missing; `damaged` reports it.
  bool Open(const std::string& folder, std::uint64_t cluster, membership::NodeId self,
            WriteCallback on_written, membership::PersistentVoterState* voter_state, bool* damaged,
            std::string* error);
  // Queues a write; a later one replaces a queued one. After a failure nothing is written any more:
  // the file may have the previous or the new state, and a retry would not tell which.
  void Write(const membership::PersistentVoterState& voter_state, std::uint64_t ticket);

 private:
  struct PendingWrite {
    std::string bytes;
    std::uint64_t ticket = 0;
  };
  void RunWriter();
  bool ReplaceFile(const std::string& bytes) const;

  std::string folder_;
  std::uint64_t cluster_ = 0;
  membership::NodeId self_ = 0;
  WriteCallback write_callback_;
  int lock_fd_ = -1;
  std::thread writer_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::optional<PendingWrite> pending_write_;
  bool stop_ = false;
};

}  // namespace millethollow::store

#endif  // MILLETHOLLOW_STORE_VOTE_FILE_H_
