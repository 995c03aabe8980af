#include "store/record_store.h"

#include <sqlite3.h>
#include <sys/stat.h>
#include <xxhash.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace millethollow::store {
namespace {

constexpr std::uint64_t kPage = 4096;
constexpr std::size_t kMaxJobs = 256;  // in one commit
constexpr std::size_t kHash = 8;

std::uint64_t HashOf(std::string_view key, std::string_view value) {
  return XXH3_64bits_withSeed(value.data(), value.size(), XXH3_64bits(key.data(), key.size()));
}

std::string Sealed(std::string_view key, std::string_view value) {
  std::string sealed(value);
  const std::uint64_t hash = HashOf(key, value);
  for (std::size_t i = 0; i < kHash; ++i) sealed += static_cast<char>(hash >> (8 * i) & 0xff);
  return sealed;
}

// The value without its hash; false: it is not what was written.
bool Unseal(std::string_view key, std::string* sealed) {
  if (sealed->size() < kHash) return false;
  std::uint64_t hash = 0;
  for (std::size_t i = kHash; i-- > 0;) {
    hash = hash << 8 | static_cast<unsigned char>((*sealed)[sealed->size() - kHash + i]);
  }
  sealed->resize(sealed->size() - kHash);
  return hash == HashOf(key, *sealed);
}

// The first key after all that begin with it.
std::string After(std::string prefix) {
  while (!prefix.empty() && static_cast<unsigned char>(prefix.back()) == 0xff) prefix.pop_back();
  if (!prefix.empty()) prefix.back() = static_cast<char>(prefix.back() + 1);
  return prefix;
}

void Bind(sqlite3_stmt* s, int at, std::string_view bytes) {
  sqlite3_bind_blob64(s, at, bytes.data(), bytes.size(), SQLITE_STATIC);
}

std::string Blob(sqlite3_stmt* s, int at) {
  const auto* bytes = static_cast<const char*>(sqlite3_column_blob(s, at));
  return bytes == nullptr
             ? std::string()
             : std::string(bytes, static_cast<std::size_t>(sqlite3_column_bytes(s, at)));
}

}  // namespace

void RecordStore::CloseDb::operator()(sqlite3* db) const { sqlite3_close_v2(db); }
void RecordStore::EndStatement::operator()(sqlite3_stmt* s) const { sqlite3_finalize(s); }

RecordStore::~RecordStore() {
  if (!writer_.joinable()) return;
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  wake_.notify_one();
  writer_.join();
}

bool RecordStore::Run(const char* sql) {
  return sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr) == SQLITE_OK;
}

RecordStore::Statement RecordStore::Prepare(const char* sql) {
  sqlite3_stmt* s = nullptr;
  sqlite3_prepare_v2(db_.get(), sql, -1, &s, nullptr);
  return Statement(s);
}

// Of one row and column; -1: there is none.
std::int64_t RecordStore::Number(const char* sql) {
  const Statement s = Prepare(sql);
  return s && sqlite3_step(s.get()) == SQLITE_ROW ? sqlite3_column_int64(s.get(), 0) : -1;
}

std::string RecordStore::Problem() {
  code_ = sqlite3_errcode(db_.get());
  if (code_ == SQLITE_BUSY || code_ == SQLITE_LOCKED) return "in use by another process";
  return sqlite3_errmsg(db_.get());
}

bool RecordStore::damaged() const { return code_ == SQLITE_CORRUPT || code_ == SQLITE_NOTADB; }
bool RecordStore::unwritable() const {
  return code_ == SQLITE_FULL || code_ == SQLITE_IOERR || code_ == SQLITE_READONLY;
}

bool RecordStore::Open(const std::string& folder, const Identity& identity, std::uint64_t max_bytes,
                       Written written, std::string* error) {
  name_ = "copies' store " + folder + ": ";
  written_ = std::move(written);
  max_pages_ = std::max<std::uint64_t>(max_bytes / kPage, 64);
  if (mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST) {
    return *error = name_ + std::strerror(errno), false;
  }
  sqlite3* db = nullptr;
  const int opened =
      sqlite3_open_v2((folder + "/copies.db").c_str(), &db,
                      SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr);
  db_.reset(db);
  if (opened != SQLITE_OK) return *error = name_ + Problem(), false;
  sqlite3_extended_result_codes(db, 0);
  // Exclusive: one process, and no shared memory beside the file.
  const bool ready =
      Run("PRAGMA locking_mode=EXCLUSIVE") && Run("PRAGMA page_size=4096") &&
      Run("PRAGMA journal_mode=WAL") && Run("PRAGMA synchronous=FULL") &&
      Run("PRAGMA auto_vacuum=NONE") && Run("PRAGMA cell_size_check=ON") &&
      Run("PRAGMA wal_autocheckpoint=512") && Run("PRAGMA journal_size_limit=4194304") &&
      Run(("PRAGMA max_page_count=" + std::to_string(max_pages_)).c_str()) &&
      Run("BEGIN EXCLUSIVE") &&
      Run("CREATE TABLE IF NOT EXISTS about(what TEXT PRIMARY KEY, number INTEGER)") &&
      Run("CREATE TABLE IF NOT EXISTS records(key BLOB PRIMARY KEY, value BLOB) "
          "WITHOUT ROWID") &&
      Check(identity, error) && Run("COMMIT");
  if (!ready) {
    if (error->empty()) *error = name_ + Problem();
    db_.reset();
    return false;
  }
  put_ = Prepare("INSERT OR REPLACE INTO records VALUES(?,?)");
  erase_ = Prepare("DELETE FROM records WHERE key=?");
  erase_range_ = Prepare("DELETE FROM records WHERE key>=? AND key<?");
  scan_ = Prepare("SELECT key, value FROM records WHERE key>? AND key<? ORDER BY key LIMIT ?");
  if (!put_ || !erase_ || !erase_range_ || !scan_) return *error = name_ + Problem(), false;
  writer_ = std::thread([this] { Serve(); });
  return true;
}

// Whose the file is; in a new one that is written down.
bool RecordStore::Check(const Identity& identity, std::string* error) {
  const std::int64_t schema = Number("SELECT number FROM about WHERE what='schema'");
  if (schema < 0) {
    const auto put = [this](const char* what, std::uint64_t number) {
      const Statement s = Prepare("INSERT INTO about VALUES(?,?)");
      if (!s) return false;
      sqlite3_bind_text(s.get(), 1, what, -1, SQLITE_STATIC);
      sqlite3_bind_int64(s.get(), 2, static_cast<std::int64_t>(number));
      return sqlite3_step(s.get()) == SQLITE_DONE;
    };
    store_id_ = identity.new_store_id;
    return put("schema", kSchema) && put("cluster", identity.cluster) &&
           put("member", identity.member) && put("disk", store_id_);
  }
  const auto number = [this](const char* sql) { return static_cast<std::uint64_t>(Number(sql)); };
  if (schema > kSchema) {
    *error = name_ + "of schema " + std::to_string(schema) + ", this build reads up to " +
             std::to_string(kSchema);
  } else if (number("SELECT number FROM about WHERE what='cluster'") != identity.cluster) {
    *error = name_ + "of another cluster";
  } else if (number("SELECT number FROM about WHERE what='member'") != identity.member) {
    *error = name_ + "of another member";
  }
  store_id_ = number("SELECT number FROM about WHERE what='disk'");
  return error->empty();
}

bool RecordStore::LoadLogs(Records* records, std::vector<std::string>* damaged,
                           std::string* error) {
  // Entries are passed over by their prefix: there may be many.
  std::string after;
  while (true) {
    Records some;
    bool last = false;
    if (!Scan("", after, 256, &some, &last, damaged)) return *error = name_ + Problem(), false;
    for (auto& [key, value] : some) {
      after = key;
      const auto parts = copies::ParseStoreKey(key);
      if (parts && parts->type == 'e') {
        after = After(copies::LogPrefix(parts->log) + "e/");
        break;
      }
      records->emplace_back(key, std::move(value));
    }
    if (some.empty() && last) return true;
  }
}

bool RecordStore::Load(const std::string& prefix, Records* records,
                       std::vector<std::string>* damaged, std::string* error) {
  bool last = false;
  if (Scan(prefix, "", 1U << 30, records, &last, damaged)) return true;
  return *error = name_ + Problem(), false;
}

void RecordStore::Write(std::vector<copies::StoreWrite> batch, std::uint64_t ticket) {
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_back(
        {.batch = std::move(batch), .ticket = ticket, .prefix = {}, .after = {}, .found = {}});
  }
  wake_.notify_one();
}

void RecordStore::Read(std::string prefix, std::string after, std::size_t max_records,
                       Found found) {
  {
    const std::lock_guard lock(mutex_);
    jobs_.push_back({.batch = {},
                     .prefix = std::move(prefix),
                     .after = std::move(after),
                     .max_records = max_records,
                     .found = std::move(found)});
  }
  wake_.notify_one();
}

bool RecordStore::Apply(const copies::StoreWrite& w) {
  using Kind = copies::StoreWrite::Kind;
  const std::string value = w.kind == Kind::kPut ? Sealed(w.key, w.value) : After(w.key);
  sqlite3_stmt* s = w.kind == Kind::kPut     ? put_.get()
                    : w.kind == Kind::kErase ? erase_.get()
                                             : erase_range_.get();
  Bind(s, 1, w.key);
  if (w.kind != Kind::kErase) Bind(s, 2, value);
  const bool done = sqlite3_step(s) == SQLITE_DONE;
  sqlite3_reset(s);
  sqlite3_clear_bindings(s);
  return done;
}

bool RecordStore::Commit(const std::vector<Job>& jobs) {
  if (!Run("BEGIN")) return false;
  for (const Job& job : jobs) {
    for (const copies::StoreWrite& w : job.batch) {
      if (!Apply(w)) return Run("ROLLBACK"), false;
    }
  }
  if (!Run("COMMIT")) return false;
  const std::int64_t pages = Number("PRAGMA page_count"), free = Number("PRAGMA freelist_count");
  used_fraction_ = static_cast<double>(pages - free) / static_cast<double>(max_pages_);
  return true;
}

bool RecordStore::Scan(const std::string& prefix, const std::string& after, std::size_t max_records,
                       Records* records, bool* last, std::vector<std::string>* damaged) {
  const std::string end = prefix.empty() ? std::string("\xff", 1) : After(prefix);
  Bind(scan_.get(), 1, after.empty() ? std::string_view(prefix) : std::string_view(after));
  Bind(scan_.get(), 2, end);
  sqlite3_bind_int64(scan_.get(), 3, static_cast<std::int64_t>(max_records));
  std::size_t rows = 0;
  int step = SQLITE_ROW;
  while ((step = sqlite3_step(scan_.get())) == SQLITE_ROW) {
    rows += 1;
    std::string key = Blob(scan_.get(), 0), value = Blob(scan_.get(), 1);
    if (Unseal(key, &value)) {
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

void RecordStore::Serve() {
  while (true) {
    std::vector<Job> jobs;
    {
      std::unique_lock lock(mutex_);
      wake_.wait(lock, [this] { return stop_ || !jobs_.empty(); });
      if (jobs_.empty()) return;
      // Writes that wait go together; a read goes by itself, in its turn.
      while (!jobs_.empty() && jobs.size() < kMaxJobs) {
        const bool read = static_cast<bool>(jobs_.front().found);
        if (read && !jobs.empty()) break;
        jobs.push_back(std::move(jobs_.front()));
        jobs_.pop_front();
        if (read) break;
      }
    }
    if (jobs.front().found) {
      Records records;
      std::vector<std::string> damaged;
      bool last = true;
      if (!Scan(jobs.front().prefix, jobs.front().after, jobs.front().max_records, &records, &last,
                &damaged)) {
        damaged.push_back(jobs.front().prefix);
      }
      jobs.front().found(std::move(records), last, std::move(damaged));
      continue;
    }
    failed_ = failed_ || !Commit(jobs);
    written_(failed_ ? jobs.front().ticket : jobs.back().ticket, !failed_);
  }
}

}  // namespace millethollow::store
