// Records of the replicated logs in the store, and the messages that replicate them: their types,
// store keys and encodings. No I/O.
#ifndef MILLETHOLLOW_COPIES_RECORDS_H_
#define MILLETHOLLOW_COPIES_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership/types.h"

namespace millethollow::copies {

// Identifies a replicated log in the cluster.
using LogId = std::uint64_t;
// Position of an operation in its log; the first operation has 1, and 0 means none.
using SequenceNumber = std::uint64_t;

// One operation of a log: it replaces the entry with its key, or erases it. `epoch` is the one in
// which the node that appended the operation became the owner; two operations with equal sequence
// number and epoch are the same operation.
struct Operation {
  SequenceNumber sequence = 0;
  std::uint64_t epoch = 0;
  std::string key, value;
  bool erase = false;
};

// One change to the store. A batch of them is applied in order, and atomically.
struct StoreWrite {
  enum class Kind : std::uint8_t { kPut, kErase, kErasePrefix };
  Kind kind = Kind::kPut;
  std::string key, value;
};

// The metadata of a log in the store, beside its operations and entries.
struct LogHead {
  // Operations up to this one are applied to the entries and no longer stored separately.
  SequenceNumber applied = 0;
  std::uint64_t applied_epoch = 0;
  // The owner epoch of the latest owner that sent a message to this replica.
  std::uint64_t epoch = 0;
  // Number of snapshots received. Entries of a snapshot have a key prefix of their own until the
  // snapshot is complete.
  std::uint64_t snapshot_generation = 0;
};

// A message between the owner of a log and a replica.
struct ReplicationMessage {
  enum class Kind : std::uint8_t {
    kStatusQuery,  // from the owner: which operations does the replica have?
    // From the replica: its store matches the owner's log up to `sequence`; `commit_index` is its
    // last applied operation, `end_sequence` its last stored one.
    kStatus,
    kAppend,         // from the owner: the operations after `sequence`, and its commit index
    kSnapshotChunk,  // from the owner: entries in the order of their keys
    kStaleStore,     // from the owner: the store has less than the replica acknowledged
  };
  Kind kind = Kind::kStatusQuery;
  LogId log = 0;
  std::uint64_t epoch = 0;     // the epoch in which the owner became the owner
  std::uint64_t store_id = 0;  // of the replica that sends or receives the message
  SequenceNumber sequence = 0, commit_index = 0, end_sequence = 0;
  std::uint64_t sequence_epoch = 0, end_epoch = 0;  // of the operations `sequence`, `end_sequence`
  std::uint64_t query_number = 0;  // of a kStatusQuery and of the kStatus that answers it
  membership::ProcessIncarnation process_incarnation = 0;  // of the sender of a kStatus
  // The snapshot and the index of the chunk; in a kStatus the number of chunks stored.
  std::uint64_t snapshot_id = 0, chunk = 0;
  bool last_chunk = false, matched = false;
  std::vector<Operation> operations = {};
};

// Store keys begin with the log id in hexadecimal; keys of one type sort by sequence number, or by
// the entry's key.
std::string HeadKey(LogId log);
std::string OperationKey(LogId log, SequenceNumber sequence);
std::string LogPrefix(LogId log);
std::string EntryPrefix(LogId log, std::uint64_t snapshot_generation);
std::string EntryKey(LogId log, std::uint64_t snapshot_generation, std::string_view key);
// The parts of such a key.
struct StoreKey {
  LogId log = 0;
  char type = 0;  // 'h' (head), 'o' (operation) or 'e' (entry)
  std::string_view rest;
};
// Returns nothing if the key has another form.
std::optional<StoreKey> ParseStoreKey(std::string_view key);

// Encodings of stored records. Decoding returns nothing if the bytes are damaged.
std::string Encode(const LogHead& head);
std::optional<LogHead> DecodeLogHead(std::string_view bytes);
std::string Encode(const Operation& operation);
std::optional<Operation> DecodeOperation(std::string_view bytes);

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_RECORDS_H_
