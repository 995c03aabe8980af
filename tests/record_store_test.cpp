// The record store on real files. Guards against durable batches that are lost or partly visible
// after a crash, and against damaged records that are returned as values.
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
using Contents = std::map<std::string, std::string>;
constexpr copies::LogId kLog = 0xabc;

struct RecordStoreTest : Folder {
  ~RecordStoreTest() override { store.reset(); }
  bool Open(const std::string& at, std::uint64_t max_bytes = 16 << 20,
            RecordStore::Identity identity = {1, 2, 77}) {
    store.reset();
    store = std::make_unique<RecordStore>();
    error.clear();
    return store->Open(at, identity, max_bytes, WriteCallback(), &error);
  }
  // Writes the batch and waits until it is durable.
  bool Put(std::vector<StoreWrite> batch) {
    store->Write(std::move(batch), ++tickets);
    return WaitForWrite(tickets);
  }
  Contents ReadAll(const std::string& prefix, std::size_t max_records = 3) {
    Contents all;
    std::string after;
    damaged.clear();
    for (bool more = true; more;) {
      bool done_reading = false;
      store->Read(prefix, after, max_records,
                  [&](const RecordStore::Records& records, bool last,
                      std::vector<std::string> damaged_keys) {
                    const std::lock_guard lock(mutex);
                    for (auto& [key, value] : records) all[key] = value, after = key;
                    damaged.insert(damaged.end(), damaged_keys.begin(), damaged_keys.end());
                    if (!damaged_keys.empty() && damaged_keys.back() > after)
                      after = damaged_keys.back();
                    more = !last;
                    done_reading = true;
                    changed.notify_all();
                  });
      std::unique_lock lock(mutex);
      changed.wait(lock, [&] { return done_reading; });
    }
    return all;
  }
  static StoreWrite MakePut(const std::string& key, const std::string& value) {
    return {StoreWrite::Kind::kPut, key, value};
  }
  void ExecuteSql(const char* text) const {
    sqlite3* db = nullptr;
    ASSERT_EQ(sqlite3_open((folder + "/copies.db").c_str(), &db), SQLITE_OK);
    EXPECT_EQ(sqlite3_exec(db, text, nullptr, nullptr, nullptr), SQLITE_OK) << sqlite3_errmsg(db);
    sqlite3_close(db);
  }
  // A random batch, which is also applied to the model.
  std::vector<StoreWrite> RandomBatch(membership::Random* random, Contents* model) {
    std::vector<StoreWrite> batch;
    for (std::size_t n = 1 + random->Below(6); n > 0; --n) {
      const std::string key =
          copies::EntryKey(kLog, random->Below(2), "k" + std::to_string(random->Below(30)));
      const std::size_t choice = random->Below(12);
      if (choice == 0) {
        const std::string prefix = copies::EntryPrefix(kLog, random->Below(2));
        batch.push_back({StoreWrite::Kind::kErasePrefix, prefix, ""});
        std::erase_if(*model, [&](const auto& e) { return e.first.starts_with(prefix); });
      } else if (choice < 4) {
        batch.push_back({StoreWrite::Kind::kErase, key, ""});
        model->erase(key);
      } else {
        batch.push_back(MakePut(
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

TEST_F(RecordStoreTest, EqualsAMapModelAlsoAfterReopening) {
  membership::Random random(5);
  Contents model;
  for (int round = 0; round < 5; ++round) {
    ASSERT_TRUE(Open(folder)) << error;
    EXPECT_EQ(store->store_id(), 77U);
    EXPECT_EQ(ReadAll(copies::LogPrefix(kLog)), model);
    for (int n = 0; n < 60; ++n) ASSERT_TRUE(Put(RandomBatch(&random, &model)));
    EXPECT_EQ(ReadAll(copies::LogPrefix(kLog), 7), model);
  }
  EXPECT_TRUE(damaged.empty());
}

TEST_F(RecordStoreTest, LoadsHeadsAndOperationsWithoutEntries) {
  ASSERT_TRUE(Open(folder)) << error;
  std::vector<StoreWrite> batch;
  for (const copies::LogId log : {3U, 4U}) {
    batch.push_back(MakePut(copies::HeadKey(log), "h"));
    for (copies::SequenceNumber sequence = 1; sequence <= 300; ++sequence)
      batch.push_back(MakePut(copies::OperationKey(log, sequence), "o"));
    for (int e = 0; e < 600; ++e)
      batch.push_back(MakePut(copies::EntryKey(log, 0, std::to_string(e)), "e"));
  }
  ASSERT_TRUE(Put(batch));
  ASSERT_TRUE(Open(folder)) << error;
  RecordStore::Records records;
  ASSERT_TRUE(store->LoadLogs(&records, &damaged, &error)) << error;
  EXPECT_EQ(records.size(), 602U);
  for (const auto& [key, value] : records) EXPECT_NE(copies::ParseStoreKey(key)->type, 'e');
}

// A power failure during the last commits can truncate the write-ahead log at any byte. All batches
// that were reported as durable before that byte must be there, and no part of a later one.
TEST_F(RecordStoreTest, AWriteAheadLogCutAtAnyByteKeepsWholeBatches) {
  ASSERT_TRUE(Open(folder)) << error;
  membership::Random random(9);
  Contents model;
  std::vector<std::pair<std::uintmax_t, Contents>>
      after;  // size of the write-ahead log, and the records then
  const std::string wal = folder + "/copies.db-wal";
  for (int n = 0; n < 4; ++n) {
    ASSERT_TRUE(Put(RandomBatch(&random, &model)));
    after.emplace_back(std::filesystem::file_size(wal), model);
  }
  // The files as they are while the process still runs.
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
    const Contents* wanted = nullptr;
    for (const auto& [bytes, contents] : after) wanted = bytes <= size ? &contents : wanted;
    ASSERT_EQ(ReadAll(copies::LogPrefix(kLog), 100), *wanted) << "cut at " << size;
    EXPECT_TRUE(damaged.empty());
    store.reset();
  }
}

// A bit is flipped anywhere in the file: the store must neither return a wrong value nor crash.
TEST_F(RecordStoreTest, DetectsAFlippedBit) {
  ASSERT_TRUE(Open(folder)) << error;
  Contents model;
  std::vector<StoreWrite> batch;
  for (int n = 0; n < 200; ++n) {
    batch.push_back(MakePut(copies::EntryKey(kLog, 0, "k" + std::to_string(n)),
                            std::string(100, static_cast<char>('a' + n % 26))));
    model[batch.back().key] = batch.back().value;
  }
  ASSERT_TRUE(Put(batch));
  store.reset();  // closing it moves all records into the main file
  const std::string bytes = FileContents("copies.db");
  membership::Random random(3);
  std::size_t detected = 0, rejected = 0;
  for (int n = 0; n < 150; ++n) {
    std::string damaged_bytes = bytes;
    damaged_bytes[random.Below(damaged_bytes.size())] ^= static_cast<char>(1 << random.Below(8));
    Folder::WriteFile("copies.db", damaged_bytes);
    if (!Open(folder)) {
      EXPECT_NE(error.find("record store"), std::string::npos) << error;
      EXPECT_EQ(error.find('\n'), std::string::npos);
      ++rejected;
    } else {
      const Contents found = ReadAll(copies::LogPrefix(kLog), 1000);
      for (const auto& [key, value] : found) {
        const auto it = model.find(key);
        if (it != model.end())
          EXPECT_EQ(it->second, value) << key;
        else
          ADD_FAILURE() << "a record that was never written";
      }
      detected += !damaged.empty();
    }
    store.reset();
    std::filesystem::remove(folder + "/copies.db-wal");
  }
  EXPECT_GT(detected, 30U);
  RecordProperty("refused", static_cast<int>(rejected));
}

TEST_F(RecordStoreTest, AnUnusableFileGivesAnErrorOfOneLine) {
  ASSERT_TRUE(Open(folder)) << error;
  const auto expect_error = [this](RecordStore::Identity identity, const std::string& line) {
    RecordStore other;
    error.clear();
    EXPECT_FALSE(other.Open(
        folder, identity, 1 << 20, [](std::uint64_t, bool) {}, &error));
    EXPECT_NE(error.find(line), std::string::npos) << error;
    EXPECT_EQ(error.find('\n'), std::string::npos);
  };
  expect_error({1, 2, 5}, "in use by another process");
  store.reset();
  expect_error({9, 2, 5}, "of another cluster");
  expect_error({1, 9, 5}, "of another member");
  ExecuteSql("UPDATE about SET number=9 WHERE what='schema'");
  expect_error({1, 2, 5}, "of schema 9, this build reads up to 1");
  Folder::WriteFile("copies.db", std::string(5000, 'x'));
  expect_error({1, 2, 5}, "not a database");
}

TEST_F(RecordStoreTest, AFullStoreFailsAndWritesNoMore) {
  ASSERT_TRUE(Open(folder, 512 * 1024)) << error;
  int n = 0;
  while (n < 5000 &&
         Put({MakePut(copies::EntryKey(kLog, 0, std::to_string(n)), std::string(300, 'v'))}))
    ++n;
  EXPECT_GT(n, 500);
  EXPECT_LT(n, 1700);
  EXPECT_GT(store->used_fraction(), 0.9);
  EXPECT_FALSE(Put({MakePut(copies::EntryKey(kLog, 0, "0"), "")}))
      << "after a failure the file may have either state";
  ASSERT_TRUE(Open(folder)) << error;
  EXPECT_EQ(ReadAll(copies::LogPrefix(kLog), 5000).size(), static_cast<std::size_t>(n))
      << "all durable records, and no others";
}

}  // namespace
}  // namespace millethollow::store
