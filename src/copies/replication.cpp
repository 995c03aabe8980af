// Replication from the owner of a log to its replicas: appends, snapshot transfer, acknowledgements
// and commits.
#include <algorithm>
#include <iterator>
#include <utility>

#include "copies/replicated_logs.h"
#include "membership/log_assignment.h"

namespace millethollow::copies {
namespace {

// The greatest age of a message on arrival, pauses of this process aside.
constexpr double kMaxTransitS = 3.0;

}  // namespace

// Commits the operations that are durable here, at all replicas of the view, and at all nodes
// requested as replicas.
void ReplicatedLogs::Commit(double now, LogId id, Log* log, Actions* actions) {
  const LogAssignment* assignment = view_.Log(id);
  if (!log->is_owner || assignment == nullptr || store_failed_ || !leased_) return;
  SequenceNumber committed = log->stored;
  for (const auto& [node, peer] : log->peers) {
    if (peer.is_replica || log->requested_nodes.contains(node))
      committed = std::min(committed, peer.status_known ? peer.acked_sequence : 0);
  }
  for (const NodeId node : log->requested_nodes) {
    if (node != options_.self && !log->peers.contains(node)) committed = 0;
  }
  if (committed > log->commit_index && assignment->replicas.size() >= options_.min_replicas) {
    counters_.committed_operations +=
        committed - std::max(log->commit_index, std::min(log->takeover_end, committed));
    log->commit_index = committed;
    actions->committed.emplace_back(id, committed);
    Apply(id, log, committed);
  }
  if (!log->active && log->commit_index >= log->takeover_end && log->transfer_to == 0 &&
      !log->transfer_requested) {
    log->active = true;
    counters_.takeovers += 1;
    actions->acquired.push_back(id);
  }
  RequestReplicas(now, log, *assignment);
}

void ReplicatedLogs::SendStatus(NodeId to, LogId id, const Log& log, bool matched,
                                Actions* actions) const {
  ReplicationMessage message{.kind = ReplicationMessage::Kind::kStatus,
                             .log = id,
                             .epoch = log.head.epoch,
                             .store_id = options_.store_id};
  message.sequence = matched ? std::min(log.matched, log.stored) : log.head.applied;
  message.matched = matched;
  message.commit_index = log.head.applied;
  message.end_sequence = log.End();
  message.end_epoch = log.EpochAt(message.end_sequence);
  message.process_incarnation = options_.process_incarnation;
  message.snapshot_id = log.snapshot_id;
  message.chunk = log.stored_chunks;
  actions->send.emplace_back(to, std::move(message));
}

void ReplicatedLogs::SendStatusQuery(LogId id, const Log& log, NodeId to, Peer* peer,
                                     Actions* actions) {
  peer->query_number = ++last_query_number_;
  ReplicationMessage message{.kind = ReplicationMessage::Kind::kStatusQuery,
                             .log = id,
                             .epoch = log.owner_epoch,
                             .store_id = peer->store_id};
  message.query_number = peer->query_number;
  actions->send.emplace_back(to, std::move(message));
}

// Sends operations that the peer does not have yet, as many as fit into one message. Without new
// operations the message asks for its progress again.
void ReplicatedLogs::SendAppend(double now, LogId id, Log* log, NodeId to, Peer* peer,
                                Actions* actions) {
  if (!peer->status_known) return SendStatusQuery(id, *log, to, peer, actions);
  if (peer->snapshot_id != 0) return;
  const SequenceNumber first =
      log->operations.empty() ? log->head.applied + 1 : log->operations.front().sequence;
  if (peer->next_sequence < first) return StartSnapshot(now, id, log, peer, actions);
  ReplicationMessage message{.kind = ReplicationMessage::Kind::kAppend,
                             .log = id,
                             .epoch = log->owner_epoch,
                             .store_id = peer->store_id};
  message.sequence = peer->next_sequence - 1;
  message.sequence_epoch = log->EpochAt(message.sequence);
  message.commit_index = log->commit_index;
  std::size_t bytes = 0;
  for (std::size_t count = 0;
       count < options_.max_message_operations && peer->next_sequence <= log->End(); ++count) {
    const Operation& operation = *log->At(peer->next_sequence);
    bytes += operation.key.size() + operation.value.size();
    if (count > 0 && bytes > options_.max_message_bytes) break;
    message.operations.push_back(operation);
    peer->next_sequence += 1;
  }
  peer->last_sent_at = now;
  actions->send.emplace_back(to, std::move(message));
}

void ReplicatedLogs::StartSnapshot(double now, LogId id, Log* log, Peer* peer, Actions* actions) {
  // The snapshot must contain at least the operations that the replica has.
  const SequenceNumber from = std::min(log->stored_applied, log->head.applied);
  if (from + 1 < peer->next_sequence) return;
  counters_.snapshot_transfers += 1;
  peer->snapshot_id = ++last_snapshot_id_;
  peer->chunk = 0;
  peer->last_key.clear();
  peer->snapshot_sequence = from;
  peer->acked_sequence = 0;
  peer->reading_chunk = true;
  peer->next_chunk_at = now;
  peer->chunk_message = {};
  actions->read.push_back(
      {id, peer->snapshot_id, EntryPrefix(id, log->head.snapshot_generation), ""});
}

void ReplicatedLogs::OnSnapshotChunkRead(double now, LogId id, std::uint64_t snapshot_id,
                                         std::vector<Operation> entries, bool last,
                                         Actions* actions) {
  const auto it = logs_.find(id);
  if (it == logs_.end() || !it->second.is_owner) return;
  for (auto& [node, peer] : it->second.peers) {
    if (peer.snapshot_id != snapshot_id || !peer.reading_chunk) continue;
    peer.reading_chunk = false;
    ReplicationMessage& message = peer.chunk_message;
    message = {.kind = ReplicationMessage::Kind::kSnapshotChunk,
               .log = id,
               .epoch = it->second.owner_epoch,
               .store_id = peer.store_id};
    message.snapshot_id = snapshot_id;
    message.chunk = peer.chunk;
    message.last_chunk = last;
    message.sequence = peer.snapshot_sequence;
    message.sequence_epoch = it->second.EpochAt(peer.snapshot_sequence);
    if (!entries.empty()) peer.last_key = entries.back().key;
    message.operations = std::move(entries);
    peer.last_sent_at = now;
    actions->send.emplace_back(node, message);
    return;
  }
}

// Entries of a snapshot are stored under a separate prefix until it is complete; until then the
// existing entries count.
void ReplicatedLogs::OnSnapshotChunk(NodeId from, const ReplicationMessage& message,
                                     Actions* actions) {
  Log& log = logs_[message.log];
  const std::uint64_t next_generation = log.head.snapshot_generation + 1;
  if (message.snapshot_id < log.snapshot_id) return;  // an outdated message
  if (message.chunk == 0 && log.snapshot_id != message.snapshot_id) {
    pending_writes_.push_back(
        {StoreWrite::Kind::kErasePrefix, EntryPrefix(message.log, next_generation), ""});
    log.snapshot_id = message.snapshot_id;
    log.received_chunks = log.stored_chunks = 0;
  }
  if (log.snapshot_id != message.snapshot_id || message.chunk != log.received_chunks ||
      message.sequence < log.head.applied) {
    return SendStatus(from, message.log, log, false, actions);
  }
  for (const Operation& operation : message.operations) {
    pending_writes_.push_back({StoreWrite::Kind::kPut,
                               EntryKey(message.log, next_generation, operation.key),
                               Encode(operation)});
  }
  log.received_chunks += 1;
  if (message.last_chunk) {
    pending_writes_.push_back({StoreWrite::Kind::kErasePrefix,
                               EntryPrefix(message.log, log.head.snapshot_generation), ""});
    // Operations after the snapshot stay: they may have been committed.
    while (!log.operations.empty() && log.operations.front().sequence <= message.sequence) {
      pending_writes_.push_back({StoreWrite::Kind::kErase,
                                 OperationKey(message.log, log.operations.front().sequence), ""});
      log.DropFirst();
    }
    log.head.snapshot_generation = next_generation;
    log.unknown_age_end = std::max(log.unknown_age_end, log.End());
    log.head.applied = message.sequence;
    log.head.applied_epoch = log.previous_epoch = message.sequence_epoch;
    log.matched = message.sequence;
    WriteHead(message.log, log);
  }
  pending_acknowledgements_[message.log] = from;
  Flush(actions);
}

// Raft's log matching rule: if both logs have an operation with the same sequence number and epoch,
// they are equal up to it, and the operations sent after it replace conflicting ones.
void ReplicatedLogs::OnAppend(NodeId from, const ReplicationMessage& message, Log* log,
                              Actions* actions) {
  const bool known = message.sequence < log->head.applied ||
                     log->EpochAt(message.sequence) == message.sequence_epoch;
  if (message.sequence > log->End() || !known)
    return SendStatus(from, message.log, *log, false, actions);
  SequenceNumber last_sequence = message.sequence;
  if (!message.operations.empty()) {
    // Commits wait for a replica of the view, so it receives an operation before it is committed,
    // at most kMaxTransitS after it was sent; messages that waited while this process was paused
    // count as received at the previous event. A member that commits do not wait for may receive
    // an operation at any later time, so its age is not known.
    const LogAssignment* assignment = view_.Log(message.log);
    const LogReplica* self = assignment == nullptr ? nullptr : assignment->Find(options_.self);
    if (self == nullptr || self->store_id != options_.store_id ||
        message.commit_index > log->End()) {
      log->unknown_age_end = std::max(log->unknown_age_end, message.operations.back().sequence);
    } else {
      log->AddAgeMark(previous_event_at_ - kMaxTransitS);
    }
  }
  for (const Operation& operation : message.operations) {
    if (operation.sequence != ++last_sequence) return;  // not a valid message
    if (operation.sequence <= log->head.applied) continue;
    const Operation* existing = log->At(operation.sequence);
    if (existing != nullptr && existing->epoch == operation.epoch) continue;
    if (existing != nullptr) Truncate(message.log, log, operation.sequence);
    log->operations.push_back(operation);
    WriteOperation(message.log, operation);
  }
  log->matched = std::max(log->matched, last_sequence);
  Apply(message.log, log, std::min(message.commit_index, std::min(log->matched, log->stored)));
  Flush(actions);
  if (log->stored >= log->matched) return SendStatus(from, message.log, *log, true, actions);
  pending_acknowledgements_[message.log] = from;
}

void ReplicatedLogs::OnMessage(double now, NodeId from, const ReplicationMessage& message,
                               Actions* actions) {
  if (store_failed_) return;
  if (message.kind == ReplicationMessage::Kind::kStatus)
    return OnStatus(now, from, message, actions);
  if (message.store_id != options_.store_id) return;
  // Messages of a former owner are ignored; the view of a newer owner may still be on its way.
  const LogAssignment* assignment = view_.Log(message.log);
  if (assignment != nullptr && assignment->owner_epoch > message.epoch) return;
  auto it = logs_.find(message.log);
  if (it == logs_.end()) {
    if (message.epoch < view_.epoch && assignment == nullptr) return;  // the log was closed
    if (logs_.size() >= membership::kMaxLogs) return;
    it = logs_.emplace(message.log, Log{}).first;
  }
  Log& log = it->second;
  if (message.epoch < log.head.epoch || (log.is_owner && message.epoch <= log.owner_epoch)) return;
  if (log.is_owner) StepDown(message.log, &log, actions);
  if (message.epoch > log.head.epoch) {
    log.head.epoch = message.epoch;
    log.matched = log.snapshot_id = log.received_chunks = log.stored_chunks = 0;
    for (WriteInFlight& write : writes_in_flight_)
      write.stored_states[message.log].snapshot_id = 0;  // the ids are of another owner
    WriteHead(message.log, log);
  }
  switch (message.kind) {
    case ReplicationMessage::Kind::kStaleStore:
      return AbandonStore(actions);
    case ReplicationMessage::Kind::kStatusQuery:
      Flush(actions);
      SendStatus(from, message.log, log, false, actions);
      actions->send.back().second.query_number = message.query_number;
      return;
    case ReplicationMessage::Kind::kAppend:
      return OnAppend(from, message, &log, actions);
    default:
      return OnSnapshotChunk(from, message, actions);
  }
}

void ReplicatedLogs::OnStatus(double now, NodeId from, const ReplicationMessage& message,
                              Actions* actions) {
  const auto it = logs_.find(message.log);
  if (it == logs_.end() || !it->second.is_owner || message.epoch != it->second.owner_epoch) return;
  Log& log = it->second;
  const auto found = log.peers.find(from);
  if (found == log.peers.end() || found->second.store_id != message.store_id) return;
  Peer& peer = found->second;
  peer.last_status_at = now;
  // Another process runs on that store: its status must be queried again.
  if (peer.status_known && message.process_incarnation != peer.process_incarnation) {
    peer.ResetStatus();
  }
  if (!peer.status_known) {
    if (message.query_number == 0 || message.query_number != peer.query_number) return;
    peer.status_known = true;
    peer.process_incarnation = message.process_incarnation;
    peer.next_sequence = peer.first_sequence = message.sequence + 1;
    peer.initial_end = {message.end_epoch, message.end_sequence};
    // The store has less than the replica acknowledged.
    if (message.end_sequence < peer.acked_sequence) {
      actions->send.emplace_back(from,
                                 ReplicationMessage{.kind = ReplicationMessage::Kind::kStaleStore,
                                                    .log = message.log,
                                                    .epoch = log.owner_epoch,
                                                    .store_id = message.store_id});
      return;
    }
  }
  if (message.commit_index > log.End()) return AbandonStore(actions);
  if (peer.snapshot_id != 0) {
    if (message.commit_index > peer.snapshot_sequence) {  // it has more than the snapshot
      peer.ResetStatus();
      return;
    }
    if (message.snapshot_id != peer.snapshot_id || message.chunk != peer.chunk + 1 ||
        peer.reading_chunk)
      return;
    peer.chunk += 1;
    peer.next_chunk_at = now + options_.snapshot_chunk_interval_s;
    if (!peer.chunk_message.last_chunk) return;
    peer.snapshot_id = 0;  // the transfer is complete
    peer.acked_sequence = peer.snapshot_sequence;
    peer.next_sequence = peer.first_sequence = peer.snapshot_sequence + 1;
  } else if (message.query_number == 0 && !message.matched) {
    peer.ResetStatus();  // the logs do not match; this status may itself be outdated
    return;
  } else if (message.matched) {
    peer.acked_sequence = std::max(peer.acked_sequence, message.sequence);
    peer.next_sequence = std::max(peer.next_sequence, peer.acked_sequence + 1);
  }
  // The previous owner may have committed more than this member has, if its store was restored
  // from an old copy.
  if (!log.active && peer.is_replica &&
      peer.initial_end > std::pair(log.EpochAt(log.End()), log.End())) {
    log.transfer_to = from;
  }
  Commit(now, message.log, &log, actions);
  if (peer.next_sequence <= log.End() || message.query_number != 0)
    SendAppend(now, message.log, &log, from, &peer, actions);
  Flush(actions);
}

void ReplicatedLogs::AbandonStore(Actions* actions) {
  actions->store_is_stale = true;
  store_failed_ = true;
  counters_.stale_stores += 1;
}

}  // namespace millethollow::copies
