// The store of the replicated logs: records by key in one SQLite file, in a folder of this member.
// Batches are written in order by a writer thread, several in one transaction when they queue up. A
// batch is durable once its transaction is committed (write-ahead log, fsync at each commit). Each
// record carries the hash of its key and value. docs/design/copies.md has the reasons for SQLite.
#ifndef MILLETHOLLOW_STORE_RECORD_STORE_H_
#define MILLETHOLLOW_STORE_RECORD_STORE_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "copies/records.h"

struct sqlite3;
struct sqlite3_stmt;

namespace millethollow::store {

// A durable key-value store.
//
// Invariants: a batch is stored completely or not at all, and batches become durable in the order
// of Write. After the first failed write nothing is written any more. A damaged record is never
// returned as a value.
class RecordStore {
 public:
  using Records = std::vector<std::pair<std::string, std::string>>;
  // The result of writes, on the writer thread. `ok`: all writes up to this ticket are durable;
  // otherwise this one and all later ones have failed.
  using WriteCallback = std::function<void(std::uint64_t ticket, bool ok)>;
  // The result of a read, on the writer thread: records in the order of their keys. `last`: there
  // are no further ones; `damaged`: keys of records with a wrong hash, which are left out.
  using ReadCallback =
      std::function<void(Records records, bool last, std::vector<std::string> damaged)>;
  // The cluster and member that the file belongs to.
  struct Identity {
    std::uint64_t cluster = 0, member = 0;
    std::uint64_t new_store_id = 0;  // the id of the store if the file is created now; not 0
  };
  static constexpr std::uint32_t kSchema = 1;  // the version of the file format

  RecordStore() = default;
  ~RecordStore();  // completes the writes that were queued before
  RecordStore(const RecordStore&) = delete;
  RecordStore& operator=(const RecordStore&) = delete;

  // Opens or creates `folder`/copies.db, exclusively and with at most `max_bytes`. Returns false,
  // with an error of one line, if the file can't be used, belongs to another cluster or member, has
  // a later schema, or is damaged as a whole.
  bool Open(const std::string& folder, const Identity& identity, std::uint64_t max_bytes,
            WriteCallback callback, std::string* error);
  // Why Open or a Load failed: the file is not a valid SQLite database, or it can't be written.
  bool damaged() const;
  bool unwritable() const;
  // Reads the heads and operations of all logs, without their entries. Before the first Write only.
  bool LoadLogs(Records* records, std::vector<std::string>* damaged, std::string* error);
  // Reads all records with a prefix. Before the first Write only.
  bool Load(const std::string& prefix, Records* records, std::vector<std::string>* damaged,
            std::string* error);
  std::uint64_t store_id() const { return store_id_; }

  // Queues a batch. After a failure nothing is written any more: the file may have either state.
  void Write(std::vector<copies::StoreWrite> batch, std::uint64_t ticket);
  // Queues a read of at most `max_records` with a prefix, after a key. It sees all earlier writes.
  void Read(std::string prefix, std::string after, std::size_t max_records, ReadCallback callback);
  // The part of `max_bytes` in use at the last commit, from 0 to 1. At 1 a write fails.
  double used_fraction() const { return used_fraction_.load(); }

 private:
  // A queued write or read.
  struct Task {
    std::vector<copies::StoreWrite> batch;
    std::uint64_t ticket = 0;
    std::string prefix, after;
    std::size_t max_records = 0;
    ReadCallback callback;  // empty: the task is a write
  };
  struct DatabaseCloser {
    void operator()(sqlite3* db) const;
  };
  struct StatementFinalizer {
    void operator()(sqlite3_stmt* statement) const;
  };
  using Statement = std::unique_ptr<sqlite3_stmt, StatementFinalizer>;

  bool Execute(const char* sql);
  std::int64_t QueryInteger(const char* sql);
  Statement Prepare(const char* sql);
  std::string ErrorText();
  bool CheckIdentity(const Identity& identity, std::string* error);
  bool Apply(const copies::StoreWrite& write);
  bool Commit(const std::vector<Task>& tasks);
  // Reads up to `max_records` records with this prefix, after a key; false: the file is damaged.
  bool Scan(const std::string& prefix, const std::string& after, std::size_t max_records,
            Records* records, bool* last, std::vector<std::string>* damaged);
  void RunWriter();

  std::unique_ptr<sqlite3, DatabaseCloser> db_;
  Statement put_, erase_, erase_range_, scan_;
  std::string error_prefix_;
  std::uint64_t store_id_ = 0, max_pages_ = 0;
  WriteCallback write_callback_;
  std::thread writer_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Task> tasks_;
  bool stop_ = false, failed_ = false;
  int last_error_code_ = 0;  // SQLite's result code
  std::atomic<double> used_fraction_ = 0;
};

}  // namespace millethollow::store

#endif  // MILLETHOLLOW_STORE_RECORD_STORE_H_
