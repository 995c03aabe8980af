// What lies in the store of copies, and what goes over the links: operations, and the records that
// they become. No I/O.
#ifndef MILLETHOLLOW_COPIES_RECORDS_H_
#define MILLETHOLLOW_COPIES_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/types.h"

namespace millethollow::copies {

using LogId = std::uint64_t;
using SequenceNumber = std::uint64_t;  // of a log's operations; the first is 1

// An entry is put in place of the one of that key, or taken out. `epoch`: the one in which whoever
// made it became the log's owner; two operations of one number and epoch are one.
struct Operation {
  SequenceNumber sequence = 0;
  std::uint64_t epoch = 0;
  std::string key, value;
  bool erase = false;
};

// To the store, in this order and all or none.
struct StoreWrite {
  enum class Kind : std::uint8_t { kPut, kErase, kErasePrefix };
  Kind kind = Kind::kPut;
  std::string key, value;
};

// Of a log on this disk, beside its operations and entries.
struct LogHead {
  SequenceNumber applied = 0;  // operations up to this are in the entries and no more apart
  std::uint64_t applied_epoch = 0;
  std::uint64_t epoch = 0;  // of the latest owner that it heard
  // Snapshots that it took. The entries of one have a key prefix of their own until it is whole.
  std::uint64_t snapshot_generation = 0;
};

struct ReplicationMessage {
  enum class Kind : std::uint8_t {
    kStatusQuery,  // owner: how far are you?
    kStatus,       // holder: on disk up to seq as the owner has it; commit: applied; end: its last
    kAppend,       // owner: operations after seq (of seq_epoch); commit
    kSnapshotChunk,  // owner: entries, in the order of their keys
    kStaleStore,     // owner: your disk is older than what you said of it
  };
  Kind kind = Kind::kStatusQuery;
  LogId log = 0;
  std::uint64_t epoch = 0;  // in which the owner became it
  std::uint64_t store_id = 0;   // of the holder: whose it is, or for whom
  SequenceNumber sequence = 0, commit_index = 0, end_sequence = 0;
  std::uint64_t sequence_epoch = 0, end_epoch = 0;
  std::uint64_t query_number = 0;  // of a kStatusQuery, and of the kStatus that answers it
  membership::ProcessIncarnation process_incarnation = 0;  // of the process that says kStatus
  // Which snapshot, and which part; kStatus: how many parts it has.
  std::uint64_t snapshot_id = 0, chunk = 0;
  bool last_chunk = false, matched = false;
  std::vector<Operation> operations = {};
};

std::string HeadKey(LogId log);
std::string OperationKey(LogId log, SequenceNumber sequence);
std::string LogPrefix(LogId log);
std::string EntryPrefix(LogId log, std::uint64_t snapshot_generation);
std::string EntryKey(LogId log, std::uint64_t snapshot_generation, std::string_view key);
// Of a key as above: whose it is, and what.
struct StoreKey {
  LogId log = 0;
  char type = 0;  // 'h', 'o' or 'e'
  std::string_view rest;
};
std::optional<StoreKey> ParseStoreKey(std::string_view key);

std::string Encode(const LogHead& head);
std::optional<LogHead> DecodeLogHead(std::string_view bytes);
std::string Encode(const Operation& op);
std::optional<Operation> DecodeOperation(std::string_view bytes);

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_RECORDS_H_
