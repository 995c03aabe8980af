// The store of copies as the loop's thread sees it: opened, written and read in turns of the loop,
// put aside where it can't be read.
#ifndef MILLETHOLLOW_NET_CLUSTER_ASYNC_RECORD_STORE_H_
#define MILLETHOLLOW_NET_CLUSTER_ASYNC_RECORD_STORE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/task_queue.h"
#include "scheduling/runtime_estimator.h"
#include "store/record_store.h"

namespace millethollow::cluster {

class AsyncRecordStore {
 public:
  using Records = store::RecordStore::Records;
  // false: it is not on the disk, and nothing will be any more.
  using Then = std::function<void(bool kept)>;
  // Records by rising keys; `last`: there are no more; `damaged`: one was not what was written.
  using Found = std::function<void(Records records, bool last, bool damaged)>;
  struct Options {
    std::string folder;
    std::uint64_t cluster = 0, member = 0, max_bytes = 0;
  };
  struct Figures {
    std::uint64_t commits = 0;   // writes that are on the disk
    scheduling::Quantiles took;  // seconds from asking to the disk
  };

  // `new_disk` numbers the store where it is made now. One that can't be read is put aside.
  // False, with one clear line: it is another's, or in use. One whose disk takes nothing is failed.
  bool Open(Loop* loop, const Options& options, std::uint64_t new_disk, std::string* error);
  // The heads and operations of all logs; `damaged`: some are not what was written.
  bool LoadLogs(Records* records, bool* damaged);
  // All under a prefix, but for what is damaged.
  bool Load(const std::string& prefix, Records* records, std::size_t* damaged);
  // Puts the file aside and begins a new one under another number. Who waits is told no.
  bool Renew(std::uint64_t new_disk);

  // `then` once these and all that were given before are on the disk; none may be given.
  void Write(std::vector<copies::StoreWrite> batch, Then then);
  // Sees all that was given before.
  void Read(std::string prefix, std::string after, std::size_t max_records, Found found);

  std::uint64_t disk() const { return failed_ || !store_ ? 0 : store_->disk(); }
  bool failed() const { return failed_; }
  double used() const { return store_ ? store_->used() : 0; }  // of max_bytes, 0 to 1
  const Figures& figures() const { return figures_; }

 private:
  struct Waiting {
    std::uint64_t ticket = 0;
    double asked_at = 0;
    Then then;
  };
  bool OpenFile(std::uint64_t new_disk, std::string* error);
  void PutAside();
  void Written(std::uint64_t file, std::uint64_t ticket, bool ok);
  void Answer(std::uint64_t ticket);

  Loop* loop_ = nullptr;
  Options o_;
  std::deque<Waiting> waiting_;
  std::uint64_t ticket_ = 0, file_ = 0;  // file: rises with each Renew
  bool failed_ = false;
  Figures figures_;
  TaskQueue mail_;
  std::unique_ptr<store::RecordStore> store_;  // goes first: its thread speaks to what is above
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_ASYNC_RECORD_STORE_H_
