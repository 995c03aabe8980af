// The owner's side of the claim protocol (idempotency_messages.h): which claim may run the request
// of a key, its attempts, and its answer. The record of a key is an entry of one of a fixed set of
// replicated logs; docs/design/copies.md has the guarantees.
//
// No I/O and no clock of its own: takes messages, log events and the time, and calls Hooks. State
// is bounded by Limits. Times are seconds on a clock that never runs backwards and includes pauses
// of the machine.
#ifndef MILLETHOLLOW_COPIES_IDEMPOTENCY_KEY_REGISTRY_H_
#define MILLETHOLLOW_COPIES_IDEMPOTENCY_KEY_REGISTRY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "copies/idempotency_messages.h"

namespace millethollow::copies {

// The records of the keys in all logs that this member acts on.
//
// Invariants: at most one claim runs the request of a key at a time; a grant, an allowed attempt
// and an answer are sent only once the record that says so is committed. A claim whose process has
// left the view passes to the first claim that waits. Deduplication covers the key's window after
// the end of its request.
class IdempotencyKeyRegistry {
 public:
  // Limits of the records in all logs together.
  struct Limits {
    std::size_t keys = 100000, bytes = 64 << 20, waiting = 32;  // waiting: claims per key
  };
  // What the registry uses of its environment.
  struct Hooks {
    // The caller applies the view before each call of this class: no log is released by an append.
    std::function<SequenceNumber(LogId, std::string key, std::string value, bool erase,
                                 ReplicatedLogs::AppendError*)>
        append;
    std::function<double(LogId, SequenceNumber)> max_age_s;  // as ReplicatedLogs::MaxAge
    std::function<bool(const ClaimId&)> alive;               // whether its process is in the view
    std::function<void(NodeId, const IdempotencyMessage&)> send;
  };
  // Events since the start of the process.
  struct Counters {
    std::uint64_t claims = 0, joined = 0, repeated = 0, taken_over = 0, rejected = 0;
  };
  IdempotencyKeyRegistry(const Limits& limits, Hooks hooks)
      : limits_(limits), hooks_(std::move(hooks)) {}

  // This member may act on the log from now on; `entries` are all of its entries.
  void OnLogAcquired(double now, LogId log, const std::vector<Operation>& entries);
  // This member may no longer act on the log.
  void OnLogReleased(LogId log);
  // All operations of the log up to this one are on its replicas.
  void OnCommitted(LogId log, SequenceNumber sequence);
  // A message from a claimant. It is ignored if the claim is not one of `from`.
  void OnMessage(double now, NodeId from, const IdempotencyMessage& message);
  // To be called about once a second, and after each change of the view.
  void Tick(double now);

  std::size_t size() const { return records_.size(); }
  std::size_t bytes() const { return bytes_; }
  const Counters& counters() const { return counters_; }

 private:
  // A key as this member has it.
  struct Record {
    IdempotencyRecord stored;
    LogId log = 0;
    SequenceNumber last_write = 0;
    bool committed = false;     // last_write is committed
    std::uint64_t attempt = 0;  // the latest that the claim requested
    double expires_at = 0;      // if no claim runs the request
    bool erasing = false;       // the last write erases it
    std::deque<ClaimId> waiting;
  };
  // Keys by the operations that wrote them and are not yet committed.
  using PendingWrites = std::multimap<SequenceNumber, std::string>;

  void OnClaimRequest(double now, const IdempotencyMessage& message, const ClaimRequest& request);
  void OnNewKey(const IdempotencyMessage& message, const ClaimRequest& request);
  void JoinWaiting(double now, const IdempotencyMessage& message, Record* record);
  void OnAttemptRequest(const IdempotencyMessage& message, const AttemptRequest& request);
  void OnReleaseRequest(double now, const IdempotencyMessage& message,
                        const ReleaseRequest& request);
  void RecordAnswer(double now, const std::string& key, const ReleaseRequest& request,
                    Record* record);
  void ReleaseUnanswered(double now, const std::string& key, const ReleaseRequest& request,
                         Record* record);
  void OnWriteCommitted(const std::string& key, SequenceNumber sequence);
  bool Write(const std::string& key, Record* record);
  bool Erase(const std::string& key, Record* record);
  static void SetLastAttemptSequence(Record* record);
  void PassToNextWaiting(double now, const std::string& key, Record* record);
  ClaimGranted Grant(const Record& record) const;
  template <typename Body>
  void Reply(const IdempotencyMessage& message, Body body);
  template <typename Body>
  void Send(const std::string& key, const Record& record, const ClaimId& to, Body body);
  static std::size_t SizeOf(const std::string& key, const IdempotencyRecord& record);

  Limits limits_;
  Hooks hooks_;
  std::map<std::string, Record> records_;      // by key
  std::map<LogId, PendingWrites> owned_logs_;  // logs that this member acts on
  std::size_t bytes_ = 0;
  Counters counters_;
};

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_IDEMPOTENCY_KEY_REGISTRY_H_
