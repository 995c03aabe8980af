// What the embedded stores of the registry take on this disk: small records, one writer, each batch
// on the disk before the next (docs/design/copies.md). Stores whose headers are missing are left
// out.
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
constexpr int kLive = 20000;  // records that stay: each write past these also erases the oldest

struct Write {
  std::string key, value;  // an empty value erases
};
struct Store {
  virtual ~Store() = default;
  virtual void Commit(const std::vector<Write>& batch) = 0;
};

void Must(bool ok, const char* what) {
  if (ok) return;
  std::fprintf(stderr, "store_bench: %s failed\n", what);
  std::exit(1);
}

// No store: the least that any must do.
struct Append final : Store {
  explicit Append(const std::string& folder)
      : fd(open((folder + "/log").c_str(), O_WRONLY | O_CREAT, 0600)) {}
  ~Append() override { close(fd); }
  void Commit(const std::vector<Write>& batch) override {
    std::string bytes;
    for (const Write& w : batch) bytes += w.key + w.value;
    Must(write(fd, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()), "write");
    Must(fdatasync(fd) == 0, "fdatasync");
  }
  int fd;
};

#ifdef HAS_LMDB
struct Lmdb final : Store {
  explicit Lmdb(const std::string& folder) {
    Must(mdb_env_create(&env) == 0, "lmdb");
    mdb_env_set_mapsize(env, 1UL << 30);
    Must(mdb_env_open(env, folder.c_str(), 0, 0600) == 0, "lmdb open");
    MDB_txn* t = nullptr;
    Must(mdb_txn_begin(env, nullptr, 0, &t) == 0 && mdb_dbi_open(t, nullptr, 0, &db) == 0 &&
             mdb_txn_commit(t) == 0,
         "lmdb begin");
  }
  ~Lmdb() override { mdb_env_close(env); }
  void Commit(const std::vector<Write>& batch) override {
    MDB_txn* t = nullptr;
    Must(mdb_txn_begin(env, nullptr, 0, &t) == 0, "lmdb begin");
    for (const Write& w : batch) {
      // LMDB takes pointers to what it only reads.
      MDB_val k{w.key.size(), const_cast<char*>(w.key.data())};      // NOLINT(*-const-cast)
      MDB_val v{w.value.size(), const_cast<char*>(w.value.data())};  // NOLINT(*-const-cast)
      Must((w.value.empty() ? mdb_del(t, db, &k, nullptr) : mdb_put(t, db, &k, &v, 0)) == 0,
           "lmdb put");
    }
    Must(mdb_txn_commit(t) == 0, "lmdb commit");
  }
  MDB_env* env = nullptr;
  MDB_dbi db = 0;
};
#endif

#ifdef HAS_ROCKSDB
struct Rocks final : Store {
  explicit Rocks(const std::string& folder) {
    rocksdb::Options o;
    o.create_if_missing = true;
    rocksdb::DB* raw = nullptr;
    Must(rocksdb::DB::Open(o, folder + "/db", &raw).ok(), "rocksdb open");
    db.reset(raw);
  }
  void Commit(const std::vector<Write>& batch) override {
    rocksdb::WriteBatch b;
    for (const Write& w : batch) w.value.empty() ? b.Delete(w.key) : b.Put(w.key, w.value);
    rocksdb::WriteOptions o;
    o.sync = true;
    Must(db->Write(o, &b).ok(), "rocksdb write");
  }
  std::unique_ptr<rocksdb::DB> db;
};
#endif

#ifdef HAS_SQLITE
struct Sqlite final : Store {
  explicit Sqlite(const std::string& folder) {
    Must(sqlite3_open((folder + "/db").c_str(), &db) == SQLITE_OK, "sqlite open");
    Run("PRAGMA journal_mode=WAL");
    Run("PRAGMA synchronous=FULL");
    Run("CREATE TABLE t(k BLOB PRIMARY KEY, v BLOB) WITHOUT ROWID");
    sqlite3_prepare_v2(db, "INSERT OR REPLACE INTO t VALUES(?,?)", -1, &put, nullptr);
    sqlite3_prepare_v2(db, "DELETE FROM t WHERE k=?", -1, &del, nullptr);
  }
  ~Sqlite() override {
    sqlite3_finalize(put);
    sqlite3_finalize(del);
    sqlite3_close(db);
  }
  void Run(const char* sql) {
    Must(sqlite3_exec(db, sql, nullptr, nullptr, nullptr) == SQLITE_OK, sql);
  }
  void Commit(const std::vector<Write>& batch) override {
    Run("BEGIN");
    for (const Write& w : batch) {
      sqlite3_stmt* s = w.value.empty() ? del : put;
      sqlite3_bind_blob(s, 1, w.key.data(), static_cast<int>(w.key.size()), SQLITE_STATIC);
      if (!w.value.empty())
        sqlite3_bind_blob(s, 2, w.value.data(), static_cast<int>(w.value.size()), SQLITE_STATIC);
      Must(sqlite3_step(s) == SQLITE_DONE, "sqlite step");
      sqlite3_reset(s);
    }
    Run("COMMIT");
  }
  sqlite3* db = nullptr;
  sqlite3_stmt *put = nullptr, *del = nullptr;
};
#endif

void Measure(const char* name, const std::string& folder, int records, int batch,
             const std::function<std::unique_ptr<Store>(const std::string&)>& make) {
  std::filesystem::remove_all(folder);
  std::filesystem::create_directories(folder);
  std::unique_ptr<Store> store = make(folder);
  std::vector<double> took;
  const auto began = Clock::now();
  int n = 0;
  for (; n < records; n += batch) {
    std::vector<Write> writes;
    for (int i = n; i < n + batch; ++i) {
      writes.push_back(
          {"promise-" + std::to_string(i), std::string(200, static_cast<char>('a' + i % 26))});
      if (i >= kLive) writes.push_back({"promise-" + std::to_string(i - kLive), ""});
    }
    const auto at = Clock::now();
    store->Commit(writes);
    took.push_back(std::chrono::duration<double>(Clock::now() - at).count());
    if (std::chrono::duration<double>(Clock::now() - began).count() > 8) break;
  }
  const double all = std::chrono::duration<double>(Clock::now() - began).count();
  std::sort(took.begin(), took.end());
  std::uintmax_t bytes = 0;
  for (const auto& f : std::filesystem::recursive_directory_iterator(folder)) {
    struct stat s {};
    if (f.is_regular_file() && stat(f.path().c_str(), &s) == 0)
      bytes += 512 * static_cast<std::uintmax_t>(s.st_blocks);
  }
  std::printf("| %s | %d | %.0f | %.2f / %.2f ms | %.1f MB for %d live |\n", name, batch, n / all,
              1000 * took[took.size() / 2], 1000 * took[took.size() * 99 / 100],
              static_cast<double>(bytes) / 1e6, std::min(n, kLive));
  std::fflush(stdout);
  store.reset();
  std::filesystem::remove_all(folder);
}

}  // namespace

int main(int argc, char** argv) {
  Must(argc >= 2, "a folder to write in");
  const std::string folder = std::string(argv[1]) + "/store_bench";
  const int records = argc > 2 ? std::atoi(argv[2]) : 100000;
  std::printf(
      "| store | batch | records a second | commit p50 / p99 | on disk |\n| --- | --- | --- | --- "
      "| --- |\n");
  for (const int batch : {1, 16, 128}) {
    Measure("append, fdatasync", folder, records, batch,
            [](const auto& f) { return std::make_unique<Append>(f); });
#ifdef HAS_LMDB
    Measure("LMDB", folder, records, batch,
            [](const auto& f) { return std::make_unique<Lmdb>(f); });
#endif
#ifdef HAS_ROCKSDB
    Measure("RocksDB", folder, records, batch,
            [](const auto& f) { return std::make_unique<Rocks>(f); });
#endif
#ifdef HAS_SQLITE
    Measure("SQLite, WAL", folder, records, batch,
            [](const auto& f) { return std::make_unique<Sqlite>(f); });
#endif
  }
}
