// The requests that a planner has accepted, with their attempts, and the wire ids that are in use
// or were used recently.
#ifndef MILLETHOLLOW_CORE_REQUEST_LEDGER_H_
#define MILLETHOLLOW_CORE_REQUEST_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/deadlines.h"
#include "core/request.h"

namespace millethollow {

// One attempt of a request at one worker. Times are seconds on the loop's clock.
struct LedgerAttempt {
  std::string worker;
  double sent_at = 0;
  bool open = true;          // it has no outcome yet
  bool may_have_run = true;  // false once it is certain that the worker has not started it
  bool started = false;      // the worker has reported that it has started it
  AttemptStatus status = AttemptStatus::kNotSent;  // how it ended; unless it is open
  // Not handed to the forwarder yet: waits for a current endpoint list, or for its record to be
  // stored.
  bool deferred = false;
};

// An accepted request.
struct LedgerEntry {
  int class_index = 0, max_attempts = 1;
  std::string wire_id;      // empty if the client sent none
  std::string durable_job;  // handle of the durable job that it runs; empty if none
  bool sent = false;        // an attempt has been handed to its forwarder
  bool answered = false;    // it has had its final answer, or its client has disconnected
  std::vector<LedgerAttempt> attempts;
  Deadlines::TimerId expiry = Deadlines::kNone;

  bool MayHaveRun() const;      // whether any attempt may have run
  bool HasOpenAttempt() const;  // whether any attempt has no outcome yet
};

// An entry is kept until the request is answered and all of its attempts have an outcome. Its wire
// id stays reserved for longer: that of a request that may have run until the retention time is
// over and kMaxEndedWireIds further such requests have ended, that of any other until as many
// others have ended. So requests that never run, which cost their sender little, do not free the id
// of one that ran. Times are seconds on the loop's clock.
//
// Not thread-safe. Pointers to entries are valid until the entry is erased.
class RequestLedger {
 public:
  static constexpr std::size_t kMaxEndedWireIds = 4096;
  // Of requests that may have run, within their retention time too.
  static constexpr std::size_t kMaxRetainedWireIds = 65'536;

  // Sets how long at least the id of a request that may have run stays reserved after its end.
  void SetRetention(double retention_s) { retention_s_ = retention_s; }

  // Reserves a wire id. Returns false if an open or recently ended request has it. An empty id is
  // always available.
  bool ReserveWireId(const std::string& wire_id);
  // Reserves an id that the sibling process in a hot restart has accepted. A second call for the
  // same id tells that its request may have run.
  void MarkWireIdUsed(const std::string& wire_id, double now = 0);
  // The reserved ids, as the arguments of a sibling's calls of MarkWireIdUsed, in their order.
  std::vector<std::string> WireIds() const;

  // Adds an entry for a new request.
  LedgerEntry& Add(RequestId id) { return entries_[id]; }
  // Returns null if the request is unknown.
  LedgerEntry* Find(RequestId id);
  // Returns null if there is no such attempt, or if it has an outcome.
  LedgerAttempt* FindOpenAttempt(RequestId id, int attempt);
  // Erases the entry if the request is answered and all of its attempts have an outcome.
  void EraseIfComplete(RequestId id, double now = 0);

  // The requests of the forwarder's clients, in ascending order.
  std::vector<RequestId> RequestsOfForwarder(std::uint64_t forwarder) const;
  // Whether a request in the ledger belongs to the class.
  bool UsesClass(int class_index) const;
  std::size_t size() const { return entries_.size(); }

 private:
  struct EndedWireId {
    std::string wire_id;
    double ended_at = 0;
  };
  using EndedWireIds = std::deque<EndedWireId>;  // oldest first
  // Adds an id that is reserved already, and frees the oldest ones that need not be kept.
  void KeepEndedWireId(std::string wire_id, double now, EndedWireIds* kept);
  // Whether the oldest id has to stay reserved.
  bool MustKeepOldest(const EndedWireIds& kept, double now) const;

  std::unordered_map<RequestId, LedgerEntry> entries_;
  // How many of the entries and of the ended ids below reserve an id.
  std::unordered_map<std::string, int> reservations_;
  double retention_s_ = 0;
  EndedWireIds may_have_run_, never_ran_;  // the latter also if a sibling has accepted it only
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_REQUEST_LEDGER_H_
