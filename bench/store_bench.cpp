// Benchmarks embedded stores on the local disk: small records, one writer, and each batch durable
// before the next starts (docs/design/copies.md). Stores whose headers are missing are left out.
//   store_bench FOLDER [records]
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#if __has_include(<lmdb.h>)
#include <lmdb.h>
#define HAS_LMDB 1
#endif
#if __has_include(<rocksdb/db.h>)
#include <rocksdb/db.h>
#define HAS_ROCKSDB 1
#endif
#if __has_include(<sqlite3.h>)
#include <sqlite3.h>
#define HAS_SQLITE 1
#endif

namespace {

using Clock = std::chrono::steady_clock;
constexpr int kLiveRecords = 20000;  // Each further write also erases the oldest record.

// One change of a record.
struct RecordChange {
  std::string key, value;  // An empty value erases the record.
};
// A store with durable batches.
struct Store {
  virtual ~Store() = default;
  virtual void Commit(const std::vector<RecordChange>& batch) = 0;
};

// Exits with an error message that names `what`, unless `ok`.
void ExitUnless(bool ok, const char* what) {
  if (ok) return;
  std::fprintf(stderr, "store_bench: %s failed\n", what);
  std::exit(1);
}

// Appends to a file and syncs it: the lower bound for any store.
struct AppendLog final : Store {
  explicit AppendLog(const std::string& folder)
      : descriptor(open((folder + "/log").c_str(), O_WRONLY | O_CREAT, 0600)) {}
  ~AppendLog() override { close(descriptor); }
  void Commit(const std::vector<RecordChange>& batch) override {
    std::string bytes;
    for (const RecordChange& change : batch) bytes += change.key + change.value;
    ExitUnless(write(descriptor, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()),
               "write");
    ExitUnless(fdatasync(descriptor) == 0, "fdatasync");
  }
  int descriptor;
};

#ifdef HAS_LMDB
struct LmdbStore final : Store {
  explicit LmdbStore(const std::string& folder) {
    ExitUnless(mdb_env_create(&env) == 0, "lmdb");
    mdb_env_set_mapsize(env, 1UL << 30);
    ExitUnless(mdb_env_open(env, folder.c_str(), 0, 0600) == 0, "lmdb open");
    MDB_txn* transaction = nullptr;
    ExitUnless(mdb_txn_begin(env, nullptr, 0, &transaction) == 0 &&
                   mdb_dbi_open(transaction, nullptr, 0, &db) == 0 &&
                   mdb_txn_commit(transaction) == 0,
               "lmdb begin");
  }
  ~LmdbStore() override { mdb_env_close(env); }
  void Commit(const std::vector<RecordChange>& batch) override {
    MDB_txn* transaction = nullptr;
    ExitUnless(mdb_txn_begin(env, nullptr, 0, &transaction) == 0, "lmdb begin");
    for (const RecordChange& change : batch) {
      // MDB_val holds non-const pointers, also for data that LMDB only reads.
      MDB_val key{change.key.size(), const_cast<char*>(change.key.data())};  // NOLINT(*-const-cast)
      MDB_val value{change.value.size(),
                    const_cast<char*>(change.value.data())};  // NOLINT(*-const-cast)
      ExitUnless((change.value.empty() ? mdb_del(transaction, db, &key, nullptr)
                                       : mdb_put(transaction, db, &key, &value, 0)) == 0,
                 "lmdb put");
    }
    ExitUnless(mdb_txn_commit(transaction) == 0, "lmdb commit");
  }
  MDB_env* env = nullptr;
  MDB_dbi db = 0;
};
#endif

#ifdef HAS_ROCKSDB
struct RocksDbStore final : Store {
  explicit RocksDbStore(const std::string& folder) {
    rocksdb::Options options;
    options.create_if_missing = true;
    rocksdb::DB* raw = nullptr;
    ExitUnless(rocksdb::DB::Open(options, folder + "/db", &raw).ok(), "rocksdb open");
    db.reset(raw);
  }
  void Commit(const std::vector<RecordChange>& batch) override {
    rocksdb::WriteBatch write_batch;
    for (const RecordChange& change : batch)
      change.value.empty() ? write_batch.Delete(change.key)
                           : write_batch.Put(change.key, change.value);
    rocksdb::WriteOptions write_options;
    write_options.sync = true;
    ExitUnless(db->Write(write_options, &write_batch).ok(), "rocksdb write");
  }
  std::unique_ptr<rocksdb::DB> db;
};
#endif

#ifdef HAS_SQLITE
struct SqliteStore final : Store {
  explicit SqliteStore(const std::string& folder) {
    ExitUnless(sqlite3_open((folder + "/db").c_str(), &db) == SQLITE_OK, "sqlite open");
    Execute("PRAGMA journal_mode=WAL");
    Execute("PRAGMA synchronous=FULL");
    Execute("CREATE TABLE t(k BLOB PRIMARY KEY, v BLOB) WITHOUT ROWID");
    sqlite3_prepare_v2(db, "INSERT OR REPLACE INTO t VALUES(?,?)", -1, &put_statement, nullptr);
    sqlite3_prepare_v2(db, "DELETE FROM t WHERE k=?", -1, &delete_statement, nullptr);
  }
  ~SqliteStore() override {
    sqlite3_finalize(put_statement);
    sqlite3_finalize(delete_statement);
    sqlite3_close(db);
  }
  void Execute(const char* sql) {
    ExitUnless(sqlite3_exec(db, sql, nullptr, nullptr, nullptr) == SQLITE_OK, sql);
  }
  void Commit(const std::vector<RecordChange>& batch) override {
    Execute("BEGIN");
    for (const RecordChange& change : batch) {
      sqlite3_stmt* statement = change.value.empty() ? delete_statement : put_statement;
      sqlite3_bind_blob(statement, 1, change.key.data(), static_cast<int>(change.key.size()),
                        SQLITE_STATIC);
      if (!change.value.empty())
        sqlite3_bind_blob(statement, 2, change.value.data(), static_cast<int>(change.value.size()),
                          SQLITE_STATIC);
      ExitUnless(sqlite3_step(statement) == SQLITE_DONE, "sqlite step");
      sqlite3_reset(statement);
    }
    Execute("COMMIT");
  }
  sqlite3* db = nullptr;
  sqlite3_stmt *put_statement = nullptr, *delete_statement = nullptr;
};
#endif

// Writes records in batches for at most 8 seconds and prints a table row: records per second,
// commit times and size on disk.
void Measure(const char* name, const std::string& folder, int records, int batch,
             const std::function<std::unique_ptr<Store>(const std::string&)>& make) {
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  std::unique_ptr<Store> store = make(folder);
  std::vector<double> commit_seconds;
  const auto started_at = Clock::now();
  int written_records = 0;
  for (; written_records < records; written_records += batch) {
    std::vector<RecordChange> changes;
    for (int i = written_records; i < written_records + batch; ++i) {
      changes.push_back(
          {"promise-" + std::to_string(i), std::string(200, static_cast<char>('a' + i % 26))});
      if (i >= kLiveRecords) changes.push_back({"promise-" + std::to_string(i - kLiveRecords), ""});
    }
    const auto commit_started_at = Clock::now();
    store->Commit(changes);
    commit_seconds.push_back(
        std::chrono::duration<double>(Clock::now() - commit_started_at).count());
    if (std::chrono::duration<double>(Clock::now() - started_at).count() > 8) break;
  }
  const double elapsed_s = std::chrono::duration<double>(Clock::now() - started_at).count();
  std::sort(commit_seconds.begin(), commit_seconds.end());
  std::uintmax_t bytes = 0;
  for (const auto& entry : std::filesystem::recursive_directory_iterator(folder)) {
    struct stat status {};
    if (entry.is_regular_file() && stat(entry.path().c_str(), &status) == 0)
      bytes += 512 * static_cast<std::uintmax_t>(status.st_blocks);
  }
  std::printf("| %s | %d | %.0f | %.2f / %.2f ms | %.1f MB for %d live |\n", name, batch,
              written_records / elapsed_s, 1000 * commit_seconds[commit_seconds.size() / 2],
              1000 * commit_seconds[commit_seconds.size() * 99 / 100],
              static_cast<double>(bytes) / 1e6, std::min(written_records, kLiveRecords));
  std::fflush(stdout);
  store.reset();
  std::filesystem::remove_all(folder);
}

}  // namespace

int main(int argc, char** argv) {
  ExitUnless(argc >= 2, "reading the argument FOLDER");
  const std::string folder = std::string(argv[1]) + "/store_bench";
  const int records = argc > 2 ? std::atoi(argv[2]) : 100000;
  std::printf(
      "| store | batch | records a second | commit p50 / p99 | on disk |\n| --- | --- | --- | --- "
      "| --- |\n");
  for (const int batch : {1, 16, 128}) {
    Measure("append, fdatasync", folder, records, batch,
            [](const auto& directory) { return std::make_unique<AppendLog>(directory); });
#ifdef HAS_LMDB
    Measure("LMDB", folder, records, batch,
            [](const auto& directory) { return std::make_unique<LmdbStore>(directory); });
#endif
#ifdef HAS_ROCKSDB
    Measure("RocksDB", folder, records, batch,
            [](const auto& directory) { return std::make_unique<RocksDbStore>(directory); });
#endif
#ifdef HAS_SQLITE
    Measure("SQLite, WAL", folder, records, batch,
            [](const auto& directory) { return std::make_unique<SqliteStore>(directory); });
#endif
  }
}
