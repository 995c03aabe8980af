#include "store/record_store.h"

#include <sqlite3.h>
#include <sys/stat.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace millethollow::store {
namespace {

constexpr std::uint64_t kPageBytes = 4096;
constexpr std::size_t kMaxTasksPerCommit = 256;  // per transaction
constexpr std::size_t kHashBytes = 8;

std::uint64_t HashOf(std::string_view key, std::string_view value) {
  return XXH3_64bits_withSeed(value.data(), value.size(), XXH3_64bits(key.data(), key.size()));
}

std::string WithHash(std::string_view key, std::string_view value) {
  std::string bytes(value);
  const std::uint64_t hash = HashOf(key, value);
  for (std::size_t i = 0; i < kHashBytes; ++i) bytes += static_cast<char>(hash >> (8 * i) & 0xff);
  return bytes;
}

// Leaves the value without its hash. Returns false if the hash is wrong.
bool VerifyAndStripHash(std::string_view key, std::string* bytes) {
  if (bytes->size() < kHashBytes) return false;
  std::uint64_t hash = 0;
  for (std::size_t i = kHashBytes; i-- > 0;) {
    hash = hash << 8 | static_cast<unsigned char>((*bytes)[bytes->size() - kHashBytes + i]);
  }
  bytes->resize(bytes->size() - kHashBytes);
  return hash == HashOf(key, *bytes);
}

// The first key after all keys with this prefix.
std::string PrefixEnd(std::string prefix) {
  while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) prefix.pop_back();
  if (!prefix.empty()) prefix.back() = static_cast<char>(prefix.back() + 1);
  return prefix;
}

void Bind(sqlite3_stmt* statement, int index, std::string_view bytes) {
  sqlite3_bind_blob64(statement, index, bytes.data(), bytes.size(), SQLITE_STATIC);
}

std::string Blob(sqlite3_stmt* statement, int index) {
  const auto* bytes = static_cast<const char*>(sqlite3_column_blob(statement, index));
  return bytes == nullptr
             ? std::string()
             : std::string(bytes, static_cast<std::size_t>(sqlite3_column_bytes(statement, index)));
}

}  // namespace

void RecordStore::DatabaseCloser::operator()(sqlite3* db) const { sqlite3_close_v2(db); }
void RecordStore::StatementFinalizer::operator()(sqlite3_stmt* statement) const {
  sqlite3_finalize(statement);
}

RecordStore::~RecordStore() {
  if (!writer_.joinable()) return;
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  wake_.notify_one();
  writer_.join();
}

bool RecordStore::Execute(const char* sql) {
  return sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) == SQLITE_OK;
}

RecordStore::Statement RecordStore::Prepare(const char* sql) {
  sqlite3_stmt* statement = nullptr;
  sqlite3_prepare_v2(db_.get(), sql, -1, &statement, nullptr);
  return Statement(statement);
}

// The value of one row with one column; -1 if there is no row.
std::int64_t RecordStore::QueryInteger(const char* sql) {
  const Statement statement = Prepare(sql);
  return statement && sqlite3_step(statement.get()) == SQLITE_ROW
             ? sqlite3_column_int64(statement.get(), 0)
             : -1;
}

std::string RecordStore::ErrorText() {
  last_error_code_ = sqlite3_errcode(db_.get());
  if (last_error_code_ == SQLITE_BUSY || last_error_code_ == SQLITE_LOCKED)
    return "in use by another process";
  return sqlite3_errmsg(db_.get());
}

bool RecordStore::damaged() const {
  return last_error_code_ == SQLITE_CORRUPT || last_error_code_ == SQLITE_NOTADB;
}
bool RecordStore::unwritable() const {
  return last_error_code_ == SQLITE_FULL || last_error_code_ == SQLITE_IOERR ||
         last_error_code_ == SQLITE_READONLY;
}

bool RecordStore::Open(const std::string& folder, const Identity& identity, std::uint64_t max_bytes,
                       WriteCallback callback, std::string* error) {
  error_prefix_ = "record store " + folder + ": ";
  write_callback_ = std::move(callback);
  max_pages_ = std::max<std::uint64_t>(max_bytes / kPageBytes, 64);
  if (mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) {
    return *error = error_prefix_ + std::strerror(errno), false;
  }
  sqlite3* db = nullptr;
  const int opened =
      sqlite3_open_v2((folder + "/copies.db").c_str(), &db,
                      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr);
  db_.reset(db);
  if (opened != SQLITE_OK) return *error = error_prefix_ + ErrorText(), false;
  sqlite3_extended_result_codes(db, 0);
  // Exclusive locking: a single process, and no shared-memory file.
  const bool ready =
      Execute("PRAGMA locking_mode=EXCLUSIVE") && Execute("PRAGMA page_size=4096") &&
      Execute("PRAGMA journal_mode=WAL") && Execute("PRAGMA synchronous=FULL") &&
      Execute("PRAGMA auto_vacuum=NONE") && Execute("PRAGMA cell_size_check=ON") &&
      Execute("PRAGMA wal_autocheckpoint=512") && Execute("PRAGMA journal_size_limit=4194304") &&
      Execute(("PRAGMA max_page_count=" + std::to_string(max_pages_)).c_str()) &&
      Execute("BEGIN EXCLUSIVE") &&
      Execute("CREATE TABLE IF NOT EXISTS about(what TEXT PRIMARY KEY, number INTEGER)") &&
      Execute(
          "CREATE TABLE IF NOT EXISTS records(key BLOB PRIMARY KEY, value BLOB) "
          "WITHOUT ROWID") &&
      CheckIdentity(identity, error) && Execute("COMMIT");
  if (!ready) {
    if (error->empty()) *error = error_prefix_ + ErrorText();
    db_.reset();
    return false;
  }
  put_ = Prepare("INSERT OR REPLACE INTO records VALUES(?,?)");
  erase_ = Prepare("DELETE FROM records WHERE key=?");
  erase_range_ = Prepare("DELETE FROM records WHERE key>=? AND key<?");
  scan_ = Prepare("SELECT key, value FROM records WHERE key>? AND key<? ORDER BY key LIMIT ?");
  if (!put_ || !erase_ || !erase_range_ || !scan_)
    return *error = error_prefix_ + ErrorText(), false;
  writer_ = std::thread([this] { RunWriter(); });
  return true;
}

// Checks which cluster and member the file belongs to, or records them in a new file.
bool RecordStore::CheckIdentity(const Identity& identity, std::string* error) {
  const std::int64_t schema = QueryInteger("SELECT number FROM about WHERE what='schema'");
  if (schema < 0) {
    const auto insert = [this](const char* what, std::uint64_t number) {
      const Statement statement = Prepare("INSERT INTO about VALUES(?,?)");
      if (!statement) return false;
      sqlite3_bind_text(statement.get(), 1, what, -1, SQLITE_STATIC);
      sqlite3_bind_int64(statement.get(), 2, static_cast<std::int64_t>(number));
      return sqlite3_step(statement.get()) == SQLITE_DONE;
    };
    store_id_ = identity.new_store_id;
    return insert("schema", kSchema) && insert("cluster", identity.cluster) &&
           insert("member", identity.member) && insert("disk", store_id_);
  }
  const auto number = [this](const char* sql) {
    return static_cast<std::uint64_t>(QueryInteger(sql));
  };
  if (schema > kSchema) {
    *error = error_prefix_ + "of schema " + std::to_string(schema) + ", this build reads up to " +
             std::to_string(kSchema);
  } else if (number("SELECT number FROM about WHERE what='cluster'") != identity.cluster) {
    *error = error_prefix_ + "of another cluster";
  } else if (number("SELECT number FROM about WHERE what='member'") != identity.member) {
    *error = error_prefix_ + "of another member";
  }
  store_id_ = number("SELECT number FROM about WHERE what='disk'");
  return error->empty();
}

bool RecordStore::LoadLogs(Records* records, std::vector<std::string>* damaged,
                           std::string* error) {
  // Entries are skipped by their prefix, as there may be many.
  std::string after;
  while (true) {
    Records chunk;
    bool last = false;
    if (!Scan("", after, 256, &chunk, &last, damaged))
      return *error = error_prefix_ + ErrorText(), false;
    for (auto& [key, value] : chunk) {
      after = key;
      const auto parsed = copies::ParseStoreKey(key);
      if (parsed && parsed->type == 'e') {
        after = PrefixEnd(copies::LogPrefix(parsed->log) + "e/");
        break;
      }
      records->emplace_back(key, std::move(value));
    }
    if (chunk.empty() && last) return true;
  }
}

bool RecordStore::Load(const std::string& prefix, Records* records,
                       std::vector<std::string>* damaged, std::string* error) {
  bool last = false;
  if (Scan(prefix, "", 1U << 30, records, &last, damaged)) return true;
  return *error = error_prefix_ + ErrorText(), false;
}

void RecordStore::Write(std::vector<copies::StoreWrite> batch, std::uint64_t ticket) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(
        {.batch = std::move(batch), .ticket = ticket, .prefix = {}, .after = {}, .callback = {}});
  }
  wake_.notify_one();
}

void RecordStore::Read(std::string prefix, std::string after, std::size_t max_records,
                       ReadCallback callback) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back({.batch = {},
                      .prefix = std::move(prefix),
                      .after = std::move(after),
                      .max_records = max_records,
                      .callback = std::move(callback)});
  }
  wake_.notify_one();
}

bool RecordStore::Apply(const copies::StoreWrite& write) {
  using Kind = copies::StoreWrite::Kind;
  const std::string value =
      write.kind == Kind::kPut ? WithHash(write.key, write.value) : PrefixEnd(write.key);
  sqlite3_stmt* statement = write.kind == Kind::kPut     ? put_.get()
                            : write.kind == Kind::kErase ? erase_.get()
                                                         : erase_range_.get();
  Bind(statement, 1, write.key);
  if (write.kind != Kind::kErase) Bind(statement, 2, value);
  const bool succeeded = sqlite3_step(statement) == SQLITE_DONE;
  sqlite3_reset(statement);
  sqlite3_clear_bindings(statement);
  return succeeded;
}

bool RecordStore::Commit(const std::vector<Task>& tasks) {
  if (!Execute("BEGIN")) return false;
  for (const Task& task : tasks) {
    for (const copies::StoreWrite& write : task.batch) {
      if (!Apply(write)) return Execute("ROLLBACK"), false;
    }
  }
  if (!Execute("COMMIT")) return false;
  const std::int64_t pages = QueryInteger("PRAGMA page_count"),
                     free_pages = QueryInteger("PRAGMA freelist_count");
  used_fraction_ = static_cast<double>(pages - free_pages) / static_cast<double>(max_pages_);
  return true;
}

bool RecordStore::Scan(const std::string& prefix, const std::string& after, std::size_t max_records,
                       Records* records, bool* last, std::vector<std::string>* damaged) {
  const std::string end = prefix.empty() ? std::string("\xff", 1) : PrefixEnd(prefix);
  Bind(scan_.get(), 1, after.empty() ? std::string_view(prefix) : std::string_view(after));
  Bind(scan_.get(), 2, end);
  sqlite3_bind_int64(scan_.get(), 3, static_cast<std::int64_t>(max_records));
  std::size_t rows = 0;
  int step = SQLITE_ROW;
  while ((step = sqlite3_step(scan_.get())) == SQLITE_ROW) {
    rows += 1;
    std::string key = Blob(scan_.get(), 0), value = Blob(scan_.get(), 1);
    if (VerifyAndStripHash(key, &value)) {
      records->emplace_back(std::move(key), std::move(value));
    } else {
      damaged->push_back(std::move(key));
    }
  }
  sqlite3_reset(scan_.get());
  sqlite3_clear_bindings(scan_.get());
  *last = rows < max_records;
  return step == SQLITE_DONE;
}

void RecordStore::RunWriter() {
  while (true) {
    std::vector<Task> tasks;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stop_ || !tasks_.empty(); });
      if (tasks_.empty()) return;
      // Queued writes share a transaction; a read is done alone, in its order.
      while (!tasks_.empty() && tasks.size() < kMaxTasksPerCommit) {
        const bool read = static_cast<bool>(tasks_.front().callback);
        if (read && !tasks.empty()) break;
        tasks.push_back(std::move(tasks_.front()));
        tasks_.pop_front();
        if (read) break;
      }
    }
    if (tasks.front().callback) {
      Records records;
      std::vector<std::string> damaged;
      bool last = true;
      if (!Scan(tasks.front().prefix, tasks.front().after, tasks.front().max_records, &records,
                &last, &damaged)) {
        damaged.push_back(tasks.front().prefix);
      }
      tasks.front().callback(std::move(records), last, std::move(damaged));
      continue;
    }
    failed_ = failed_ || !Commit(tasks);
    write_callback_(failed_ ? tasks.front().ticket : tasks.back().ticket, !failed_);
  }
}

}  // namespace millethollow::store
