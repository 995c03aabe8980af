// Replicated logs, as one member sees them: each log has an owner (the primary) and replicas under
// the agreed view. The protocol is PacificA's primary/backup replication (Lin, Yang, Zhang, Zhou
// 2008), with the log matching rule of Raft (Ongaro, Ousterhout 2014); docs/design/copies.md has
// the guarantees.
//
// No I/O and no clock of its own: takes views, operations, messages and the time; returns messages,
// store writes and committed operations. State is bounded by Options. Times are seconds on a clock
// that never runs backwards and includes pauses of the machine.
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

// Settings of ReplicatedLogs.
struct Options {
  NodeId self = 0;
  ProcessIncarnation process_incarnation = 0;
  std::uint64_t store_id = 0;  // of this member's store
  // The replicas that a log should have, and the minimum without which nothing is committed. The
  // owner counts.
  std::size_t replica_count = 3, min_replicas = 2;
  double replica_timeout_s = 1.0;           // a replica silent for longer is to be removed
  double resend_interval_s = 0.25;          // for messages that are not answered
  double snapshot_chunk_interval_s = 0.01;  // between two chunks of a snapshot
  std::size_t snapshot_chunk_entries = 64;  // per chunk
  std::size_t max_message_operations = 64;  // per message
  // Keys and values of one message; a single larger operation is sent alone.
  std::size_t max_message_bytes = 96 * 1024;
  std::size_t retained_operations = 4096;         // per log, kept for the catch-up of replicas
  std::size_t max_uncommitted_operations = 1024;  // per log
};

// Events since the start of the process.
struct Counters {
  std::uint64_t committed_operations = 0, takeovers = 0, rejected_appends = 0,
                snapshot_transfers = 0, stale_stores = 0;
};

// The state of all logs that this member owns or replicates.
//
// Invariants:
// - An operation is committed once it is stored by the owner, by all replicas of the view and by
//   all nodes that the owner asked to be replicas under this view (PacificA's commit rule).
// - A new owner acts on a log only after its replicas have all operations that it had itself when
//   it became the owner (PacificA's reconciliation).
// - A member acknowledges only what its store has written durably.
class ReplicatedLogs {
 public:
  // A request to read the entries after a key, at most Options::snapshot_chunk_entries of them. The
  // result goes to OnSnapshotChunkRead.
  struct Read {
    LogId log = 0;
    std::uint64_t snapshot_id = 0;
    std::string prefix, after;  // keys with this prefix, after this key; empty: from the first
  };
  // The result of a call: messages to be sent, reads and writes of the store, and changes of logs.
  struct Actions {
    std::vector<std::pair<NodeId, ReplicationMessage>> send;
    // To be written atomically and after all earlier writes; then OnStored(ticket) or
    // OnStoreFailed.
    std::vector<StoreWrite> write;
    std::uint64_t ticket = 0;
    // Operations up to this one are committed.
    std::vector<std::pair<LogId, SequenceNumber>> committed;
    // This member may act on the log from now on; the store has its entries once `ticket` is
    // written.
    std::vector<LogId> acquired;
    std::vector<LogId> released;  // this member may no longer act on the log
    std::vector<Read> read;
    // The store has less than this member acknowledged; it must be replaced by a new one.
    bool store_is_stale = false;
  };
  // Why an append was rejected.
  enum class AppendError : std::uint8_t { kNone, kNotOwner, kTooFewReplicas, kFull, kStoreFailed };

  // `records`: all records that the store has under keys of heads and operations.
  ReplicatedLogs(const Options& options,
                 const std::vector<std::pair<std::string, std::string>>& records);

  // To be called before each other event, with a lease that was checked just now.
  void OnView(double now, const View& view, bool leased, Actions* actions);
  // Requests a new log that this member owns; RequestedLogs() passes the request to the leader.
  void Open(LogId log) { logs_to_open_.insert(log); }
  // Requests the end of an empty log that this member acts on; further appends are rejected.
  void Close(LogId log);
  // Appends an operation to a log that this member acts on. Returns its sequence number, or 0 if it
  // is rejected, with the reason in `reason`.
  SequenceNumber Append(double now, LogId log, std::string key, std::string value, bool erase,
                        AppendError* reason, Actions* actions);
  // A message from another node about a log.
  void OnMessage(double now, NodeId from, const ReplicationMessage& message, Actions* actions);
  // All writes up to this ticket are durable.
  void OnStored(double now, std::uint64_t ticket, Actions* actions);
  // A write failed: this member stores and acknowledges nothing any more.
  void OnStoreFailed() { store_failed_ = true; }
  // The result of a Read, in the order of the keys; `last`: there are no further entries.
  void OnSnapshotChunkRead(double now, LogId log, std::uint64_t snapshot_id,
                           std::vector<Operation> entries, bool last, Actions* actions);
  // Resends, transfers snapshots and requests reconfigurations. To be called at NextTickAt().
  void Tick(double now, Actions* actions);
  double NextTickAt() const { return next_tick_at_; }

  // The assignments that the leader is to be asked for.
  std::vector<LogAssignment> RequestedLogs() const;
  // The store prefix of the entries of a log that this member acts on.
  std::string EntryPrefixOf(LogId log) const;
  // Whether this member may act on the log now. To be called after OnView.
  bool MayAct(LogId log) const;
  std::vector<LogId> Owned() const;  // the logs that it acts on while it holds a lease
  // The greatest age, in seconds, of an operation since it was appended or received here;
  // infinite if it is not known.
  double MaxAge(double now, LogId log, SequenceNumber sequence) const;
  // The progress of all replicas, for a log line.
  std::string DescribeReplicas(LogId id) const;
  // The state of one log, for metrics.
  struct LogStatus {
    LogId log = 0;
    bool is_owner = false;
    std::size_t replicas = 0, receiving_snapshot = 0;
    SequenceNumber max_lag = 0;  // operations that the slowest replica has not acknowledged
  };
  std::vector<LogStatus> LogStatuses() const;
  const Counters& counters() const { return counters_; }
  // The id of this member's store; 0 after a failure.
  std::uint64_t store_id() const { return store_failed_ ? 0 : options_.store_id; }

 private:
  // Another member, as the owner of a log sees it: a replica or a candidate in catch-up.
  struct Peer {
    std::uint64_t store_id = 0, query_number = 0;  // query_number: of the latest kStatusQuery
    ProcessIncarnation process_incarnation = 0;
    bool is_replica = false;    // in the view
    bool status_known = false;  // it answered the latest kStatusQuery
    // Its last operation when it first answered: epoch and sequence number.
    std::pair<std::uint64_t, SequenceNumber> initial_end;
    // first_sequence: the operation after those that it had when it answered.
    SequenceNumber acked_sequence = 0, next_sequence = 1, first_sequence = 1;
    double last_status_at = 0, last_sent_at = -1;
    // The snapshot transfer: its id, the chunks acknowledged, and the last operation in it.
    std::uint64_t snapshot_id = 0, chunk = 0;
    bool reading_chunk = false;
    SequenceNumber snapshot_sequence = 0;
    std::string last_key;
    double next_chunk_at = 0;
    ReplicationMessage chunk_message;  // the chunk that waits for its acknowledgement
    // Its status must be queried again; answers to earlier queries no longer count.
    void ResetStatus() {
      status_known = false;
      query_number = snapshot_id = 0;
    }
  };
  // A log that this member owns or replicates.
  struct Log {
    LogHead head;
    std::deque<Operation> operations;  // retained ones; some of them may be applied already
    std::uint64_t previous_epoch = 0;  // the epoch of the operation before the first retained one
    void DropFirst() {
      previous_epoch = operations.front().epoch;
      operations.pop_front();
    }
    SequenceNumber stored = 0;          // the last durable operation in this member's store
    SequenceNumber stored_applied = 0;  // the durable value of head.applied
    SequenceNumber matched = 0;         // as a replica: matches the log of the owner of head.epoch
    std::uint64_t snapshot_id = 0, received_chunks = 0, stored_chunks = 0;
    // Times at which the log ended at a sequence number: what follows it is younger. Operations up
    // to `unknown_age_end` have no known age.
    std::deque<std::pair<double, SequenceNumber>> age_marks;
    SequenceNumber unknown_age_end = 0;
    void AddAgeMark(double time_s);
    // As the owner:
    bool is_owner = false, active = false, closing = false;
    std::uint64_t owner_epoch = 0;
    // takeover_end: End() when this member became the owner.
    SequenceNumber takeover_end = 0, commit_index = 0;
    double owner_since = 0;
    std::map<NodeId, Peer> peers;
    std::uint64_t request_version = 0;           // of the latest request to the leader
    std::vector<LogReplica> requested_replicas;  // empty: those of the view
    NodeId transfer_to = 0;                      // the member that is to become the owner
    bool transfer_requested = false;  // under this view: the transfer may still be decided
    // Requested as replicas under this view: commits wait for them until the next view.
    std::set<NodeId> requested_nodes;
    SequenceNumber End() const {
      return operations.empty() ? head.applied : operations.back().sequence;
    }
    const Operation* At(SequenceNumber sequence) const;
    std::uint64_t EpochAt(SequenceNumber sequence) const;
  };
  // The state of a log in the store once a write is durable.
  struct StoredState {
    SequenceNumber end = 0, applied = 0;
    std::uint64_t snapshot_id = 0, chunk = 0;
  };
  // A write that is not yet durable.
  struct WriteInFlight {
    std::uint64_t ticket = 0;
    std::map<LogId, StoredState> stored_states;
  };

  void WriteOperation(LogId id, const Operation& operation);
  void WriteHead(LogId id, const Log& log);
  void Apply(LogId id, Log* log, SequenceNumber commit_index);
  void Truncate(LogId id, Log* log, SequenceNumber from);
  void Flush(Actions* actions);
  void BecomeOwner(double now, LogId id, Log* log, const LogAssignment& assignment,
                   Actions* actions);
  void StepDown(LogId id, Log* log, Actions* actions);
  void SetPeers(double now, Log* log, const LogAssignment& assignment);
  void SendStatusQuery(LogId id, const Log& log, NodeId to, Peer* peer, Actions* actions);
  void SendAppend(double now, LogId id, Log* log, NodeId to, Peer* peer, Actions* actions);
  void OnAppend(NodeId from, const ReplicationMessage& message, Log* log, Actions* actions);
  void OnSnapshotChunk(NodeId from, const ReplicationMessage& message, Actions* actions);
  void OnStatus(double now, NodeId from, const ReplicationMessage& message, Actions* actions);
  void StartSnapshot(double now, LogId id, Log* log, Peer* peer, Actions* actions);
  void SendStatus(NodeId to, LogId id, const Log& log, bool matched, Actions* actions) const;
  void Commit(double now, LogId id, Log* log, Actions* actions);
  void AbandonStore(Actions* actions);
  std::size_t ReachableReplicas(double now, const Log& log, const LogAssignment& assignment) const;
  void RequestReplicas(double now, Log* log, const LogAssignment& assignment);
  NodeId ChooseCandidate(double now, LogId id, const Log& log) const;

  Options options_;
  View view_;
  bool leased_ = false, store_failed_ = false, view_known_ = false;
  std::map<LogId, Log> logs_;
  std::set<LogId> logs_to_open_;
  // Owners that are acknowledged once the operations or chunks received from them are durable.
  std::map<LogId, NodeId> pending_acknowledgements_;
  std::vector<StoreWrite> pending_writes_;
  std::deque<WriteInFlight> writes_in_flight_;
  std::uint64_t last_ticket_ = 0, last_snapshot_id_ = 0, last_query_number_ = 0;
  double next_tick_at_ = 0, event_at_ = 0, previous_event_at_ = 0;
  Counters counters_;
};

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_REPLICATED_LOGS_H_
