// Logs of promises and their copies, as one member has them: an owner and its holders under the
// agreed view. The protocol is PacificA's (Lin, Yang, Zhang, Zhou 2008), with Raft's rule for
// beginnings that match (Ongaro, Ousterhout 2014); docs/design/copies.md has the promises.
//
// Decides only: views, operations, frames and time in; frames, writes and answers out. State is
// bounded by Options. Times are seconds on a clock that never runs back and counts pauses.
#ifndef MILLETHOLLOW_COPIES_REPLICATED_LOGS_H_
#define MILLETHOLLOW_COPIES_REPLICATED_LOGS_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "copies/records.h"

namespace millethollow::copies {

using membership::LogAssignment;
using membership::LogReplica;
using membership::NodeId;
using membership::ProcessIncarnation;
using membership::View;

struct Options {
  NodeId self = 0;
  ProcessIncarnation process_incarnation = 0;
  std::uint64_t store_id = 0;  // the number of this member's store
  std::size_t replica_count = 3, min_replicas = 2;
  double replica_timeout_s = 1.0;             // a holder silent for so long is to be put out
  double resend_interval_s = 0.25;            // what is not answered goes out again
  double snapshot_chunk_interval_s = 0.01;    // between two chunks of a snapshot
  std::size_t snapshot_chunk_entries = 64;    // in a chunk
  std::size_t max_message_operations = 64;    // in a frame
  std::size_t max_message_bytes = 96 * 1024;  // of their keys and values; one may be over it alone
  std::size_t retained_operations = 4096;     // of a log, kept for holders that are behind
  std::size_t max_uncommitted_operations = 1024;  // of a log, not yet answered
};

struct Counters {
  std::uint64_t committed_operations = 0, takeovers = 0, rejected_appends = 0, snapshot_transfers = 0, stale_stores = 0;
};

class ReplicatedLogs {
 public:
  struct Read {  // entries after a key, up to Options::snapshot_chunk_entries of them; then Chunk()
    LogId log = 0;
    std::uint64_t snapshot_id = 0;
    std::string prefix, after;  // keys with this prefix, after this one; empty: from the first
  };
  struct Actions {
    std::vector<std::pair<NodeId, ReplicationMessage>> send;
    std::vector<StoreWrite>
        write;  // all or none, after all before; then Stored(ticket) or StoreFailed
    std::uint64_t ticket = 0;
    std::vector<std::pair<LogId, SequenceNumber>> committed;  // answered: all up to this operation
    std::vector<LogId>
        acquired;  // this member may act on it; the store has its entries by `ticket`
    std::vector<LogId> released;  // and no more
    std::vector<Read> read;
    bool store_is_stale =
        false;  // this member's disk is older than what it said: it needs a new one
  };
  enum class AppendError : std::uint8_t { kNone, kNotOwner, kTooFewReplicas, kFull, kStoreFailed };

  // `records`: all that the store has under keys of heads and operations.
  ReplicatedLogs(const Options& options,
                 const std::vector<std::pair<std::string, std::string>>& records);

  // To be called before each other event, with a lease looked at just now.
  void OnView(double now, const View& view, bool leased, Actions* actions);
  // This member wants a log of its own; Wants() tells the leader.
  void Open(LogId log) { opened_.insert(log); }
  // An empty log that this member acts on is to end; nothing more is taken into it.
  void Close(LogId log);
  // An operation on a log that this member acts on. Its number; 0: refused; `reason` says why.
  SequenceNumber Append(double now, LogId log, std::string key, std::string value, bool erase,
                        AppendError* reason, Actions* actions);
  void OnMessage(double now, NodeId from, const ReplicationMessage& frame, Actions* actions);
  void OnStored(double now, std::uint64_t ticket, Actions* actions);
  void OnStoreFailed() { failed_ = true; }
  // What a Read found, by rising keys; `last`: there is no more.
  void OnSnapshotChunkRead(double now, LogId log, std::uint64_t snapshot_id,
                           std::vector<Operation> entries, bool last, Actions* actions);
  void Tick(double now, Actions* actions);
  double NextAt() const { return tick_at_; }

  // What the leader is to be asked for.
  std::vector<LogAssignment> RequestedLogs() const;
  // Where the entries of a log that it acts on lie in the store.
  std::string EntryPrefixOf(LogId log) const;
  // May this member act on the log now? To be asked after Look.
  bool MayAct(LogId log) const;
  std::vector<LogId> Owned() const;  // those that it acts on, with a lease
  // An operation that this process has was made or heard at most so long ago; infinite: not known.
  double MaxAge(double now, LogId log, SequenceNumber sequence) const;
  std::string DescribeReplicas(LogId id) const;  // for a log line: how far its holders are
  struct LogStatus {                             // of one log, for figures
    LogId log = 0;
    bool is_owner = false;
    std::size_t replicas = 0, receiving_snapshot = 0;
    SequenceNumber max_lag = 0;  // operations that some holder lacks
  };
  std::vector<LogStatus> LogStatuses() const;
  const Counters& counters() const { return counters_; }
  std::uint64_t store_id() const { return failed_ ? 0 : o_.store_id; }

 private:
  struct Peer {
    std::uint64_t store_id = 0, asked = 0;  // asked: the number of the latest kStatusQuery
    ProcessIncarnation process_incarnation = 0;
    bool holder = false;  // in the view
    bool met = false;     // it has told how far it is
    std::pair<std::uint64_t, SequenceNumber>
        end;  // its last operation as it first told: epoch and number
    SequenceNumber acked = 0, next = 1, first = 1;  // first: after what it had when it was met
    double heard_at = 0, sent_at = -1;
    // A snapshot transfer: which, how far, and what it began with.
    std::uint64_t snapshot_id = 0, chunk = 0;
    bool reading = false;
    SequenceNumber snapshot_sequence = 0;
    std::string after;
    double chunk_at = 0;
    ReplicationMessage part;  // the chunk that waits for its answer
    // It is to be asked anew how far it is; answers to what it was asked before don't count.
    void Forget() {
      met = false;
      asked = snapshot_id = 0;
    }
  };
  struct Log {
    LogHead head;
    std::deque<Operation> operations;  // after the first that is kept; some may be applied already
    std::uint64_t before = 0;   // the epoch of the one before these
    void Drop() {               // the first of them
      before = operations.front().epoch;
      operations.pop_front();
    }
    SequenceNumber stored = 0;       // on this disk
    SequenceNumber head_stored = 0;  // applied, as the disk has it
    SequenceNumber matched = 0;      // as a holder: as the owner has it, in head.epoch
    std::uint64_t snapshot_id = 0, chunk = 0, chunk_stored = 0;
    // When this was the last number here: what follows it was made later. Up to `late` it is not
    // known when.
    std::deque<std::pair<double, SequenceNumber>> marks;
    SequenceNumber late = 0;
    void Mark(double since_s);
    // As the owner:
    bool own = false, begun = false, closing = false;
    std::uint64_t since = 0;
    SequenceNumber base = 0, commit = 0;
    double owned_at = 0;
    std::map<NodeId, Peer> peers;
    std::uint64_t version = 0;       // of what is wanted
    std::vector<LogReplica> wanted;  // holders; empty: as the view has it
    NodeId pass_to = 0;              // it is to be the owner
    bool passing = false;            // that was asked for under this view, and may come to be
    std::set<NodeId> asked;          // under this view; they are waited for until the next
    SequenceNumber End() const { return operations.empty() ? head.applied : operations.back().sequence; }
    const Operation* At(SequenceNumber sequence) const;
    std::uint64_t EpochAt(SequenceNumber sequence) const;
  };
  struct Reach {  // what is there once a write is
    SequenceNumber end = 0, applied = 0;
    std::uint64_t snapshot_id = 0, chunk = 0;
  };
  struct Flight {  // a write under way
    std::uint64_t ticket = 0;
    std::map<LogId, Reach> reaches;
  };

  void Put(LogId id, const Operation& op);
  void PutHead(LogId id, const Log& log);
  void Apply(LogId id, Log* log, SequenceNumber commit);
  void Truncate(LogId id, Log* log, SequenceNumber from);
  void Flush(Actions* actions);
  void BecomeOwner(double now, LogId id, Log* log, const LogAssignment& place, Actions* actions);
  void StepDown(LogId id, Log* log, Actions* actions);
  void SetPeers(double now, Log* log, const LogAssignment& place);
  void SendStatusQuery(LogId id, const Log& log, NodeId to, Peer* peer, Actions* actions);
  void SendAppend(double now, LogId id, Log* log, NodeId to, Peer* peer, Actions* actions);
  void OnAppend(NodeId from, const ReplicationMessage& f, Log* log, Actions* actions);
  void OnSnapshotChunk(NodeId from, const ReplicationMessage& f, Actions* actions);
  void OnStatus(double now, NodeId from, const ReplicationMessage& f, Actions* actions);
  void StartSnapshot(double now, LogId id, Log* log, Peer* peer, Actions* actions);
  void SendStatus(NodeId to, LogId id, const Log& log, bool matched, Actions* actions) const;
  void Commit(double now, LogId id, Log* log, Actions* actions);
  void AbandonStore(Actions* actions);
  std::size_t ReachableReplicas(double now, const Log& log, const LogAssignment& place) const;
  void RequestReplicas(double now, Log* log, const LogAssignment& place);
  NodeId Candidate(double now, LogId id, const Log& log) const;

  Options o_;
  View view_;
  bool leased_ = false, failed_ = false, looked_ = false;
  std::map<LogId, Log> logs_;
  std::set<LogId> opened_;
  std::map<LogId, NodeId> answer_to_;  // owners that wait for what is on its way to disk
  std::vector<StoreWrite> batch_;
  std::deque<Flight> flights_;
  std::uint64_t ticket_ = 0, last_snapshot_id_ = 0, numbers_ = 0;
  double tick_at_ = 0, looked_at_ = 0, before_ = 0;  // before: of the event before this one
  Counters counters_;
};

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_REPLICATED_LOGS_H_
