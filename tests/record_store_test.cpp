// The store of copies on real files: what was said to be on disk is there after any end of the
// process, and what is not as it was written is noticed.
#include "store/record_store.h"

#include <gtest/gtest.h>
#include <sqlite3.h>

#include <filesystem>
#include <map>

#include "membership/types.h"
#include "support/folder.h"

namespace millethollow::store {
namespace {

using copies::StoreWrite;
using Model = std::map<std::string, std::string>;
constexpr copies::LogId kLog = 0xabc;

struct CopyFolder : Folder {
  ~CopyFolder() override { store.reset(); }
  bool Open(const std::string& at, std::uint64_t max_bytes = 16 << 20,
            RecordStore::Identity who = {1, 2, 77}) {
    store.reset();
    store = std::make_unique<RecordStore>();
    error.clear();
    return store->Open(at, who, max_bytes, WriteCallback(), &error);
  }
  bool Put(std::vector<StoreWrite> batch) {  // waits until it is there
    store->Write(std::move(batch), ++tickets);
    return WaitForWrite(tickets);
  }
  Model All(const std::string& prefix, std::size_t max_records = 3) {
    Model all;
    std::string after;
    damaged.clear();
    for (bool more = true; more;) {
      bool come = false;
      store->Read(
          prefix, after, max_records,
          [&](const RecordStore::Records& records, bool last, std::vector<std::string> bad) {
            const std::lock_guard lock(mutex);
            for (auto& [key, value] : records) all[key] = value, after = key;
            damaged.insert(damaged.end(), bad.begin(), bad.end());
            if (!bad.empty() && bad.back() > after) after = bad.back();
            more = !last;
            come = true;
            changed.notify_all();
          });
      std::unique_lock lock(mutex);
      changed.wait(lock, [&] { return come; });
    }
    return all;
  }
  static StoreWrite PutOf(const std::string& key, const std::string& value) {
    return {StoreWrite::Kind::kPut, key, value};
  }
  void Sql(const char* text) const {
    sqlite3* db = nullptr;
    ASSERT_EQ(sqlite3_open((folder + "/copies.db").c_str(), &db), SQLITE_OK);
    EXPECT_EQ(sqlite3_exec(db, text, nullptr, nullptr, nullptr), SQLITE_OK) << sqlite3_errmsg(db);
    sqlite3_close(db);
  }
  // Batches at random, on the store and on a plain map.
  std::vector<StoreWrite> Some(membership::Random* random, Model* model) {
    std::vector<StoreWrite> batch;
    for (std::size_t n = 1 + random->Below(6); n > 0; --n) {
      const std::string key =
          copies::EntryKey(kLog, random->Below(2), "k" + std::to_string(random->Below(30)));
      const std::size_t what = random->Below(12);
      if (what == 0) {
        const std::string prefix = copies::EntryPrefix(kLog, random->Below(2));
        batch.push_back({StoreWrite::Kind::kErasePrefix, prefix, ""});
        std::erase_if(*model, [&](const auto& e) { return e.first.starts_with(prefix); });
      } else if (what < 4) {
        batch.push_back({StoreWrite::Kind::kErase, key, ""});
        model->erase(key);
      } else {
        batch.push_back(PutOf(
            key, std::string(random->Below(300), static_cast<char>('a' + random->Below(26)))));
        (*model)[key] = batch.back().value;
      }
    }
    return batch;
  }
  std::unique_ptr<RecordStore> store;
  std::vector<std::string> damaged;
  std::uint64_t tickets = 0;
};

TEST_F(CopyFolder, HoldsWhatAPlainMapWouldAndAfterAnotherOpening) {
  membership::Random random(5);
  Model model;
  for (int round = 0; round < 5; ++round) {
    ASSERT_TRUE(Open(folder)) << error;
    EXPECT_EQ(store->store_id(), 77U);
    EXPECT_EQ(All(copies::LogPrefix(kLog)), model);
    for (int n = 0; n < 60; ++n) ASSERT_TRUE(Put(Some(&random, &model)));
    EXPECT_EQ(All(copies::LogPrefix(kLog), 7), model);
  }
  EXPECT_TRUE(damaged.empty());
}

TEST_F(CopyFolder, LoadsHeadsAndOperationsAndPassesEntriesBy) {
  ASSERT_TRUE(Open(folder)) << error;
  std::vector<StoreWrite> batch;
  for (const copies::LogId log : {3U, 4U}) {
    batch.push_back(PutOf(copies::HeadKey(log), "h"));
    for (copies::SequenceNumber sequence = 1; sequence <= 300; ++sequence)
      batch.push_back(PutOf(copies::OperationKey(log, sequence), "o"));
    for (int e = 0; e < 600; ++e)
      batch.push_back(PutOf(copies::EntryKey(log, 0, std::to_string(e)), "e"));
  }
  ASSERT_TRUE(Put(batch));
  ASSERT_TRUE(Open(folder)) << error;
  RecordStore::Records records;
  ASSERT_TRUE(store->LoadLogs(&records, &damaged, &error)) << error;
  EXPECT_EQ(records.size(), 602U);
  for (const auto& [key, value] : records) EXPECT_NE(copies::ParseStoreKey(key)->type, 'e');
}

// Power is lost while the last commits are on their way: the log beside the file ends at any byte.
// What was said to be there before that byte is there, whole batches only.
TEST_F(CopyFolder, CutAtAnyByteOfTheLastRecordsKeepsWholeBatches) {
  ASSERT_TRUE(Open(folder)) << error;
  membership::Random random(9);
  Model model;
  std::vector<std::pair<std::uintmax_t, Model>> after;  // size of the log, and what is there then
  const std::string wal = folder + "/copies.db-wal";
  for (int n = 0; n < 4; ++n) {
    ASSERT_TRUE(Put(Some(&random, &model)));
    after.emplace_back(std::filesystem::file_size(wal), model);
  }
  // As the disk has it now, with the process still there.
  const std::string saved = folder + "/saved";
  std::filesystem::create_directory(saved);
  for (const char* file : {"/copies.db", "/copies.db-wal"})
    std::filesystem::copy_file(folder + file, saved + file);
  store.reset();
  const std::uintmax_t whole = after.back().first;
  for (std::uintmax_t size = after.front().first; size <= whole;
       size += size + 40 < whole && size % 4096 > 64 ? 37 : 1) {
    const std::string at = folder + "/cut";
    std::filesystem::remove_all(at);
    std::filesystem::copy(saved, at);
    std::filesystem::resize_file(at + "/copies.db-wal", size);
    ASSERT_TRUE(Open(at)) << error << " at " << size;
    const Model* wanted = nullptr;
    for (const auto& [bytes, then] : after) wanted = bytes <= size ? &then : wanted;
    ASSERT_EQ(All(copies::LogPrefix(kLog), 100), *wanted) << "cut at " << size;
    EXPECT_TRUE(damaged.empty());
    store.reset();
  }
}

// A disk flips a bit anywhere: never a wrong value, never a crash.
TEST_F(CopyFolder, ABitThatFlippedIsNoticed) {
  ASSERT_TRUE(Open(folder)) << error;
  Model model;
  std::vector<StoreWrite> batch;
  for (int n = 0; n < 200; ++n) {
    batch.push_back(PutOf(copies::EntryKey(kLog, 0, "k" + std::to_string(n)),
                          std::string(100, static_cast<char>('a' + n % 26))));
    model[batch.back().key] = batch.back().value;
  }
  ASSERT_TRUE(Put(batch));
  store.reset();  // all of it is in the file now
  const std::string bytes = FileContents("copies.db");
  membership::Random random(3);
  std::size_t noticed = 0, refused = 0;
  for (int n = 0; n < 150; ++n) {
    std::string off = bytes;
    off[random.Below(off.size())] ^= static_cast<char>(1 << random.Below(8));
    Folder::WriteFile("copies.db", off);
    if (!Open(folder)) {
      EXPECT_NE(error.find("record store"), std::string::npos) << error;
      EXPECT_EQ(error.find('\n'), std::string::npos);
      ++refused;
    } else {
      const Model found = All(copies::LogPrefix(kLog), 1000);
      for (const auto& [key, value] : found) {
        const auto it = model.find(key);
        if (it != model.end())
          EXPECT_EQ(it->second, value) << key;
        else
          ADD_FAILURE() << "a record that nobody wrote";
      }
      noticed += !damaged.empty();
    }
    store.reset();
    std::filesystem::remove(folder + "/copies.db-wal");
  }
  EXPECT_GT(noticed, 30U);
  RecordProperty("refused", static_cast<int>(refused));
}

TEST_F(CopyFolder, OfAnotherOrInUseOrNoStoreIsOneClearLine) {
  ASSERT_TRUE(Open(folder)) << error;
  const auto refuses = [this](RecordStore::Identity who, const std::string& line) {
    RecordStore other;
    error.clear();
    EXPECT_FALSE(other.Open(
        folder, who, 1 << 20, [](std::uint64_t, bool) {}, &error));
    EXPECT_NE(error.find(line), std::string::npos) << error;
    EXPECT_EQ(error.find('\n'), std::string::npos);
  };
  refuses({1, 2, 5}, "in use by another process");
  store.reset();
  refuses({9, 2, 5}, "of another cluster");
  refuses({1, 9, 5}, "of another member");
  Sql("UPDATE about SET number=9 WHERE what='schema'");
  refuses({1, 2, 5}, "of schema 9, this build reads up to 1");
  Folder::WriteFile("copies.db", std::string(5000, 'x'));
  refuses({1, 2, 5}, "not a database");
}

TEST_F(CopyFolder, AFullStoreFailsOnceAndWritesNoMore) {
  ASSERT_TRUE(Open(folder, 512 * 1024)) << error;
  int n = 0;
  while (n < 5000 &&
         Put({PutOf(copies::EntryKey(kLog, 0, std::to_string(n)), std::string(300, 'v'))}))
    ++n;
  EXPECT_GT(n, 500);
  EXPECT_LT(n, 1700);
  EXPECT_GT(store->used_fraction(), 0.9);
  EXPECT_FALSE(Put({PutOf(copies::EntryKey(kLog, 0, "0"), "")}))
      << "after a failure the disk may hold either state";
  ASSERT_TRUE(Open(folder)) << error;
  EXPECT_EQ(All(copies::LogPrefix(kLog), 5000).size(), static_cast<std::size_t>(n))
      << "all that was said to be there, and no more";
}

}  // namespace
}  // namespace millethollow::store
