// The owner's side of the claim protocol (idempotency_messages.h): who may run the request of a
// key, what was tried, and what the answer was. A key's record is an entry of one of a fixed set of
// replicated logs; docs/design/copies.md has the guarantees.
//
// Decides only: messages, log events and time in; calls of Hooks out. State is bounded by Limits.
// Times are seconds on a clock that never runs back and counts pauses.
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

class IdempotencyKeyRegistry {
 public:
  struct Limits {
    std::size_t keys = 100000, bytes = 64 << 20, waiting = 32;  // waiting: claims of one key
  };
  struct Hooks {
    // The view is looked at before each call of this class: no log is released within an append.
    std::function<SequenceNumber(LogId, std::string key, std::string value, bool erase,
                                 ReplicatedLogs::AppendError*)>
        append;
    std::function<double(LogId, SequenceNumber)> max_age_s;
    std::function<bool(const ClaimId&)> alive;  // its process is in the view
    std::function<void(NodeId, const IdempotencyMessage&)> send;
  };
  struct Counters {
    std::uint64_t claims = 0, joined = 0, repeated = 0, taken_over = 0, refused = 0;
  };
  IdempotencyKeyRegistry(const Limits& limits, Hooks hooks)
      : limits_(limits), hooks_(std::move(hooks)) {}

  // This member acts on the log from now on, whose entries these are; and no more.
  void OnLogAcquired(double now, LogId log, const std::vector<Operation>& entries);
  void OnLogReleased(LogId log);
  // All operations of the log up to this one are on its replicas.
  void OnCommitted(LogId log, SequenceNumber sequence);
  void OnMessage(double now, NodeId from, const IdempotencyMessage& message);
  // To be called each second or so, and when the view has changed.
  void Tick(double now);

  std::size_t size() const { return records_.size(); }
  std::size_t bytes() const { return bytes_; }
  const Counters& counters() const { return counters_; }

 private:
  struct Record {
    IdempotencyRecord stored;
    LogId log = 0;
    SequenceNumber last_write = 0;
    bool committed = false;     // and that is on the replicas
    std::uint64_t attempt = 0;  // the latest that the claim asked for
    double expires_at = 0;      // where no claim runs it
    bool erasing = false;       // the last write erases it
    std::deque<ClaimId> waiting;
  };
  // Writes on their way to the replicas: the keys by operation.
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
  static void DateLastAttempt(Record* record);
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
  std::map<LogId, PendingWrites> owned_logs_;  // that this member acts on
  std::size_t bytes_ = 0;
  Counters counters_;
};

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_IDEMPOTENCY_KEY_REGISTRY_H_
