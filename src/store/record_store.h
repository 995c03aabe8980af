// The store of copies: records under keys in one file of SQLite's, in a folder of this member's.
// Batches are written in order by a thread of its own, several in one commit where they wait for
// the disk; a batch is done when its commit is on the disk (write-ahead log, synchronous). Each
// record carries the hash of its key and value. docs/design/copies.md says why this library.
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

class RecordStore {
 public:
  using Records = std::vector<std::pair<std::string, std::string>>;
  // What a write came to: all up to this ticket, or none from it on. On the writer's thread.
  using Written = std::function<void(std::uint64_t ticket, bool ok)>;
  // Records of a read, by rising keys; `last`: there are no more; `damaged`: keys whose record is
  // not what was written, left out. On the writer's thread.
  using Found = std::function<void(Records records, bool last, std::vector<std::string> damaged)>;
  struct Identity {
    std::uint64_t cluster = 0, member = 0;
    std::uint64_t new_store_id = 0;  // the number of the store where it is made now; not 0
  };
  static constexpr std::uint32_t kSchema = 1;

  RecordStore() = default;
  ~RecordStore();  // what was given to Write is written first
  RecordStore(const RecordStore&) = delete;
  RecordStore& operator=(const RecordStore&) = delete;

  // Takes or makes `folder`/copies.db for this process alone, of at most `max_bytes`. False, with
  // one clear line, if it can't be used, is another's, of a later build, or damaged as a whole.
  bool Open(const std::string& folder, const Identity& identity, std::uint64_t max_bytes,
            Written written, std::string* error);
  // Why Open or a Load failed: the file is not one of SQLite's any more; or the disk takes nothing.
  bool damaged() const;
  bool unwritable() const;
  // Before the first Write: the heads and operations of all logs (not their entries).
  bool LoadLogs(Records* records, std::vector<std::string>* damaged, std::string* error);
  // And likewise all under a prefix.
  bool Load(const std::string& prefix, Records* records, std::vector<std::string>* damaged,
            std::string* error);
  std::uint64_t store_id() const { return store_id_; }

  // After a failure nothing is written any more: the disk may hold either state.
  void Write(std::vector<copies::StoreWrite> batch, std::uint64_t ticket);
  // Sees all that was given to Write before.
  void Read(std::string prefix, std::string after, std::size_t max_records, Found found);
  // Of `max_bytes`, 0 to 1: as of the last commit. At 1 a write would fail.
  double used_fraction() const { return used_fraction_.load(); }

 private:
  struct Job {
    std::vector<copies::StoreWrite> batch;
    std::uint64_t ticket = 0;
    std::string prefix, after;
    std::size_t max_records = 0;
    Found found;  // none: a write
  };
  struct CloseDb {
    void operator()(sqlite3* db) const;
  };
  struct EndStatement {
    void operator()(sqlite3_stmt* statement) const;
  };
  using Statement = std::unique_ptr<sqlite3_stmt, EndStatement>;

  bool Run(const char* sql);
  std::int64_t Number(const char* sql);
  Statement Prepare(const char* sql);
  std::string Problem();
  bool Check(const Identity& identity, std::string* error);
  bool Apply(const copies::StoreWrite& write);
  bool Commit(const std::vector<Job>& jobs);
  // Up to `most` records with this prefix after a key; false: the file is damaged.
  bool Scan(const std::string& prefix, const std::string& after, std::size_t max_records,
            Records* records, bool* last, std::vector<std::string>* damaged);
  void Serve();

  std::unique_ptr<sqlite3, CloseDb> db_;
  Statement put_, erase_, erase_range_, scan_;
  std::string name_;
  std::uint64_t store_id_ = 0, max_pages_ = 0;
  Written written_;
  std::thread writer_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::deque<Job> jobs_;
  bool stop_ = false, failed_ = false;
  int code_ = 0;  // SQLite's, of what failed last
  std::atomic<double> used_fraction_ = 0;
};

}  // namespace millethollow::store

#endif  // MILLETHOLLOW_STORE_RECORD_STORE_H_
