// The requests that a planner has accepted, with their attempts, and the wire ids that no other
// request may use.
#ifndef MILLETHOLLOW_CORE_REQUEST_LEDGER_H_
#define MILLETHOLLOW_CORE_REQUEST_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/deadlines.h"
#include "core/request.h"

namespace millethollow {

// One attempt of a request at one worker. Times are seconds on the loop's clock.
struct LedgerAttempt {
  std::string worker;
  double sent_at = 0;
  bool open = true;          // has no outcome yet
  bool may_have_run = true;  // false once it is certain that the worker never began it
  bool started = false;      // the worker has reported that it runs
  // Decided, but not handed to the forwarder yet: waits for a current endpoint list, or for its
  // record on disk.
  bool deferred = false;
};

struct LedgerEntry {
  int class_index = 0, max_attempts = 1;
  std::string wire_id;      // empty: the client gave none
  std::string durable_job;  // the job's handle; empty: not for a durable job
  bool answered = false;    // has its final answer, or the client is gone
  std::vector<LedgerAttempt> attempts;
  Deadlines::Ticket expiry = Deadlines::kNone;

  bool MayHaveRun() const;      // any attempt of it
  bool HasOpenAttempt() const;  // an outcome is outstanding
};

// An entry stays until it is answered and all of its attempts have an outcome. Its wire id stays
// taken for longer: until kMaxEndedWireIds requests have ended after it.
//
// Not thread-safe. Pointers to entries are valid until the entry is erased.
class RequestLedger {
 public:
  static constexpr std::size_t kMaxEndedWireIds = 4096;

  // Takes a wire id. False: a request that is open, or that ended lately, has it. An empty one is
  // always free.
  bool TakeWireId(const std::string& wire_id);
  // The sibling process in a hot restart has accepted a request with this id.
  void MarkWireIdUsed(const std::string& wire_id);
  // All that are taken: those of ended requests first, oldest first.
  std::vector<std::string> WireIds() const;

  LedgerEntry& Add(RequestId id) { return entries_[id]; }
  LedgerEntry* Find(RequestId id);  // null: unknown
  // Null: no such request or attempt, or it has its outcome.
  LedgerAttempt* FindOpenAttempt(RequestId id, int attempt);
  // Does nothing while the entry lacks its answer or an outcome.
  void EraseIfComplete(RequestId id);

  std::vector<RequestId> OfForwarder(std::uint64_t forwarder) const;  // ascending
  bool UsesClass(int class_index) const;
  std::size_t size() const { return entries_.size(); }

 private:
  void RememberEnded(std::string wire_id);

  std::unordered_map<RequestId, LedgerEntry> entries_;
  std::unordered_set<std::string> wire_ids_;  // of all entries, and those below
  std::deque<std::string> ended_wire_ids_;    // oldest first
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_REQUEST_LEDGER_H_
