// The record store as the loop's thread uses it. The store::RecordStore writes and reads on a
// thread of its own; results are posted back, so that all calls and callbacks here are on the
// loop's thread. A file that can't be read is set aside, and an empty one is created.
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
  // `stored` is false if the records are not on the disk; then the store has failed for good.
  using WriteCallback = std::function<void(bool stored)>;
  // Records by ascending key. `last`: no more follow. `damaged`: a record failed its checksum.
  using ReadCallback = std::function<void(Records records, bool last, bool damaged)>;
  struct Options {
    std::string folder;
    std::uint64_t cluster = 0, member = 0, max_bytes = 0;
  };
  struct Metrics {
    std::uint64_t commits = 0;               // writes that have reached the disk
    scheduling::Quantiles commit_latency_s;  // seconds from the call of Write to its callback
  };

  // Opens the store, or creates it with the id `new_store_id`. A damaged file is set aside and
  // replaced. False, with a reason of one line, if the store belongs to another cluster or member,
  // or is in use. A disk that can't be written is not an error here: the store is failed() then.
  bool Open(Loop* loop, const Options& options, std::uint64_t new_store_id, std::string* error);
  // Reads the heads and operations of all logs, blocking. `damaged`: a record failed its checksum.
  bool LoadLogs(Records* records, bool* damaged);
  // Reads all intact records under a prefix, blocking. `damaged`: how many others there are.
  bool Load(const std::string& prefix, Records* records, std::size_t* damaged);
  // Sets the file aside and creates an empty one with another id. Pending writes fail.
  bool Recreate(std::uint64_t new_store_id);

  // Calls `callback` once these writes and all earlier ones are on the disk. With an empty batch it
  // waits for the earlier ones alone.
  void Write(std::vector<copies::StoreWrite> batch, WriteCallback callback);
  // Reads at most `max_records` under `prefix` whose keys are above `after`. Sees all earlier
  // writes.
  void Read(std::string prefix, std::string after, std::size_t max_records,
            ReadCallback on_records);

  // 0 if the store has failed or is not open.
  std::uint64_t store_id() const { return failed_ || !store_ ? 0 : store_->store_id(); }
  bool failed() const { return failed_; }
  // The part of max_bytes that is in use, 0 to 1.
  double used_fraction() const { return store_ ? store_->used_fraction() : 0; }
  const Metrics& metrics() const { return metrics_; }

 private:
  struct PendingWrite {
    std::uint64_t ticket = 0;
    double requested_at = 0;  // seconds of the loop's clock
    WriteCallback callback;
  };
  bool OpenFile(std::uint64_t new_store_id, std::string* error);
  void SetAside();  // closes the file and renames it to copies.db.damaged
  void OnWritten(std::uint64_t generation, std::uint64_t ticket, bool ok);
  void CompleteWrites(std::uint64_t ticket);

  Loop* loop_ = nullptr;
  Options options_;
  std::deque<PendingWrite> pending_writes_;
  // file_generation_ rises with each file that is opened, so that results of an earlier file are
  // told apart.
  std::uint64_t last_ticket_ = 0, file_generation_ = 0;
  bool failed_ = false;
  Metrics metrics_;
  TaskQueue task_queue_;
  // Declared last, so destroyed first: its thread posts to task_queue_.
  std::unique_ptr<store::RecordStore> store_;
};

}  // namespace millethollow::cluster

#endif  // MILLETHOLLOW_NET_CLUSTER_ASYNC_RECORD_STORE_H_
