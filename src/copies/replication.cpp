// Operations from the owner of a log to its holders: sending, snapshots, acknowledging, committing.
#include <algorithm>
#include <iterator>
#include <utility>

#include "copies/replicated_logs.h"
#include "membership/log_assignment.h"

namespace millethollow::copies {
namespace {

// A frame is no older when it comes, but for a stop of this process.
constexpr double kOnItsWayS = 3.0;

}  // namespace

// What all holders have, and whoever was asked for as one, and this disk too.
void ReplicatedLogs::Commit(double now, LogId id, Log* log, Actions* actions) {
  const LogAssignment* place = view_.Log(id);
  if (!log->own || place == nullptr || failed_ || !leased_) return;
  SequenceNumber commit = log->stored;
  for (const auto& [who, peer] : log->peers) {
    if (peer.holder || log->asked.contains(who))
      commit = std::min(commit, peer.met ? peer.acked : 0);
  }
  for (const NodeId who : log->asked) {
    if (who != o_.self && !log->peers.contains(who)) commit = 0;
  }
  if (commit > log->commit && place->replicas.size() >= o_.min_replicas) {
    counters_.committed_operations += commit - std::max(log->commit, std::min(log->base, commit));
    log->commit = commit;
    actions->committed.emplace_back(id, commit);
    Apply(id, log, commit);
  }
  if (!log->begun && log->commit >= log->base && log->pass_to == 0 && !log->passing) {
    log->begun = true;
    counters_.takeovers += 1;
    actions->acquired.push_back(id);
  }
  RequestReplicas(now, log, *place);
}

void ReplicatedLogs::SendStatus(NodeId to, LogId id, const Log& log, bool matched,
                                Actions* actions) const {
  ReplicationMessage f{.kind = ReplicationMessage::Kind::kStatus,
                       .log = id,
                       .epoch = log.head.epoch,
                       .store_id = o_.store_id};
  f.sequence = matched ? std::min(log.matched, log.stored) : log.head.applied;
  f.matched = matched;
  f.commit_index = log.head.applied;
  f.end_sequence = log.End();
  f.end_epoch = log.EpochAt(f.end_sequence);
  f.process_incarnation = o_.process_incarnation;
  f.snapshot_id = log.snapshot_id;
  f.chunk = log.chunk_stored;
  actions->send.emplace_back(to, std::move(f));
}

void ReplicatedLogs::SendStatusQuery(LogId id, const Log& log, NodeId to, Peer* peer,
                                     Actions* actions) {
  peer->asked = ++numbers_;
  ReplicationMessage f{.kind = ReplicationMessage::Kind::kStatusQuery,
                       .log = id,
                       .epoch = log.since,
                       .store_id = peer->store_id};
  f.query_number = peer->asked;
  actions->send.emplace_back(to, std::move(f));
}

// What a holder has not got yet, as much as one frame takes; nothing new: it is asked again.
void ReplicatedLogs::SendAppend(double now, LogId id, Log* log, NodeId to, Peer* peer,
                                Actions* actions) {
  if (!peer->met) return SendStatusQuery(id, *log, to, peer, actions);
  if (peer->snapshot_id != 0) return;
  const SequenceNumber first = log->operations.empty() ? log->head.applied + 1 : log->operations.front().sequence;
  if (peer->next < first) return StartSnapshot(now, id, log, peer, actions);
  ReplicationMessage f{.kind = ReplicationMessage::Kind::kAppend,
                       .log = id,
                       .epoch = log->since,
                       .store_id = peer->store_id};
  f.sequence = peer->next - 1;
  f.sequence_epoch = log->EpochAt(f.sequence);
  f.commit_index = log->commit;
  std::size_t bytes = 0;
  for (std::size_t n = 0; n < o_.max_message_operations && peer->next <= log->End(); ++n) {
    const Operation& op = *log->At(peer->next);
    bytes += op.key.size() + op.value.size();
    if (n > 0 && bytes > o_.max_message_bytes) break;
    f.operations.push_back(op);
    peer->next += 1;
  }
  peer->sent_at = now;
  actions->send.emplace_back(to, std::move(f));
}

void ReplicatedLogs::StartSnapshot(double now, LogId id, Log* log, Peer* peer, Actions* actions) {
  // The snapshot must not hold less than what the replica has.
  const SequenceNumber from = std::min(log->head_stored, log->head.applied);
  if (from + 1 < peer->next) return;
  counters_.snapshot_transfers += 1;
  peer->snapshot_id = ++last_snapshot_id_;
  peer->chunk = 0;
  peer->after.clear();
  peer->snapshot_sequence = from;
  peer->acked = 0;
  peer->reading = true;
  peer->chunk_at = now;
  peer->part = {};
  actions->read.push_back(
      {id, peer->snapshot_id, EntryPrefix(id, log->head.snapshot_generation), ""});
}

void ReplicatedLogs::OnSnapshotChunkRead(double now, LogId id, std::uint64_t snapshot_id,
                                         std::vector<Operation> entries, bool last,
                                         Actions* actions) {
  const auto it = logs_.find(id);
  if (it == logs_.end() || !it->second.own) return;
  for (auto& [who, peer] : it->second.peers) {
    if (peer.snapshot_id != snapshot_id || !peer.reading) continue;
    peer.reading = false;
    ReplicationMessage& f = peer.part;
    f = {.kind = ReplicationMessage::Kind::kSnapshotChunk,
         .log = id,
         .epoch = it->second.since,
         .store_id = peer.store_id};
    f.snapshot_id = snapshot_id;
    f.chunk = peer.chunk;
    f.last_chunk = last;
    f.sequence = peer.snapshot_sequence;
    f.sequence_epoch = it->second.EpochAt(peer.snapshot_sequence);
    if (!entries.empty()) peer.after = entries.back().key;
    f.operations = std::move(entries);
    peer.sent_at = now;
    actions->send.emplace_back(who, f);
    return;
  }
}

// Entries of a snapshot are kept apart until all are there: what this disk has counts until then.
void ReplicatedLogs::OnSnapshotChunk(NodeId from, const ReplicationMessage& f, Actions* actions) {
  Log& log = logs_[f.log];
  const std::uint64_t next = log.head.snapshot_generation + 1;
  if (f.snapshot_id < log.snapshot_id) return;  // late
  if (f.chunk == 0 && log.snapshot_id != f.snapshot_id) {
    batch_.push_back({StoreWrite::Kind::kErasePrefix, EntryPrefix(f.log, next), ""});
    log.snapshot_id = f.snapshot_id;
    log.chunk = log.chunk_stored = 0;
  }
  if (log.snapshot_id != f.snapshot_id || f.chunk != log.chunk || f.sequence < log.head.applied) {
    return SendStatus(from, f.log, log, false, actions);
  }
  for (const Operation& op : f.operations) {
    batch_.push_back({StoreWrite::Kind::kPut, EntryKey(f.log, next, op.key), Encode(op)});
  }
  log.chunk += 1;
  if (f.last_chunk) {
    batch_.push_back(
        {StoreWrite::Kind::kErasePrefix, EntryPrefix(f.log, log.head.snapshot_generation), ""});
    // Later ones stay: they may have been answered.
    while (!log.operations.empty() && log.operations.front().sequence <= f.sequence) {
      batch_.push_back({StoreWrite::Kind::kErase, OperationKey(f.log, log.operations.front().sequence), ""});
      log.Drop();
    }
    log.head.snapshot_generation = next;
    log.late = std::max(log.late, log.End());
    log.head.applied = f.sequence;
    log.head.applied_epoch = log.before = f.sequence_epoch;
    log.matched = f.sequence;
    PutHead(f.log, log);
  }
  answer_to_[f.log] = from;
  Flush(actions);
}

// Raft's rule: what follows an operation that both have in the same epoch follows it in both.
void ReplicatedLogs::OnAppend(NodeId from, const ReplicationMessage& f, Log* log,
                              Actions* actions) {
  const bool known = f.sequence < log->head.applied || log->EpochAt(f.sequence) == f.sequence_epoch;
  if (f.sequence > log->End() || !known) return SendStatus(from, f.log, *log, false, actions);
  SequenceNumber upto = f.sequence;
  if (!f.operations.empty()) {
    // A holder that is waited for hears of an operation before it counts. One that was stopped may
    // find frames that waited as long; one that is not waited for hears of it when it may.
    const LogAssignment* place = view_.Log(f.log);
    const LogReplica* self = place == nullptr ? nullptr : place->Find(o_.self);
    if (self == nullptr || self->store_id != o_.store_id || f.commit_index > log->End()) {
      log->late = std::max(log->late, f.operations.back().sequence);
    } else {
      log->Mark(before_ - kOnItsWayS);
    }
  }
  for (const Operation& op : f.operations) {
    if (op.sequence != ++upto) return;  // no frame of ours
    if (op.sequence <= log->head.applied) continue;
    const Operation* mine = log->At(op.sequence);
    if (mine != nullptr && mine->epoch == op.epoch) continue;
    if (mine != nullptr) Truncate(f.log, log, op.sequence);
    log->operations.push_back(op);
    Put(f.log, op);
  }
  log->matched = std::max(log->matched, upto);
  Apply(f.log, log, std::min(f.commit_index, std::min(log->matched, log->stored)));
  Flush(actions);
  if (log->stored >= log->matched) return SendStatus(from, f.log, *log, true, actions);
  answer_to_[f.log] = from;
}

void ReplicatedLogs::OnMessage(double now, NodeId from, const ReplicationMessage& f,
                               Actions* actions) {
  if (failed_) return;
  if (f.kind == ReplicationMessage::Kind::kStatus) return OnStatus(now, from, f, actions);
  if (f.store_id != o_.store_id) return;
  // One that was its owner and does not know that it is no more; or one whose view is to come.
  const LogAssignment* place = view_.Log(f.log);
  if (place != nullptr && place->owner_epoch > f.epoch) return;
  auto it = logs_.find(f.log);
  if (it == logs_.end()) {
    if (f.epoch < view_.epoch && place == nullptr) return;  // at its end
    if (logs_.size() >= membership::kMaxLogs) return;
    it = logs_.emplace(f.log, Log{}).first;
  }
  Log& log = it->second;
  if (f.epoch < log.head.epoch || (log.own && f.epoch <= log.since)) return;
  if (log.own) StepDown(f.log, &log, actions);
  if (f.epoch > log.head.epoch) {
    log.head.epoch = f.epoch;
    log.matched = log.snapshot_id = log.chunk = log.chunk_stored = 0;
    for (Flight& flight : flights_) flight.reaches[f.log].snapshot_id = 0;  // numbered by another
    PutHead(f.log, log);
  }
  switch (f.kind) {
    case ReplicationMessage::Kind::kStaleStore:
      return AbandonStore(actions);
    case ReplicationMessage::Kind::kStatusQuery:
      Flush(actions);
      SendStatus(from, f.log, log, false, actions);
      actions->send.back().second.query_number = f.query_number;
      return;
    case ReplicationMessage::Kind::kAppend:
      return OnAppend(from, f, &log, actions);
    default:
      return OnSnapshotChunk(from, f, actions);
  }
}

void ReplicatedLogs::OnStatus(double now, NodeId from, const ReplicationMessage& f,
                              Actions* actions) {
  const auto it = logs_.find(f.log);
  if (it == logs_.end() || !it->second.own || f.epoch != it->second.since) return;
  Log& log = it->second;
  const auto p = log.peers.find(from);
  if (p == log.peers.end() || p->second.store_id != f.store_id) return;
  Peer& peer = p->second;
  peer.heard_at = now;
  // Another process on that disk: what is on it is to be asked for anew.
  if (peer.met && f.process_incarnation != peer.process_incarnation) {
    peer.Forget();
  }
  if (!peer.met) {
    if (f.query_number == 0 || f.query_number != peer.asked) return;
    peer.met = true;
    peer.process_incarnation = f.process_incarnation;
    peer.next = peer.first = f.sequence + 1;
    peer.end = {f.end_epoch, f.end_sequence};
    // It has less than it said that it had on disk.
    if (f.end_sequence < peer.acked) {
      actions->send.emplace_back(from,
                                 ReplicationMessage{.kind = ReplicationMessage::Kind::kStaleStore,
                                                    .log = f.log,
                                                    .epoch = log.since,
                                                    .store_id = f.store_id});
      return;
    }
  }
  if (f.commit_index > log.End()) return AbandonStore(actions);
  if (peer.snapshot_id != 0) {
    if (f.commit_index > peer.snapshot_sequence) {  // it has more than the snapshot holds
      peer.Forget();
      return;
    }
    if (f.snapshot_id != peer.snapshot_id || f.chunk != peer.chunk + 1 || peer.reading) return;
    peer.chunk += 1;
    peer.chunk_at = now + o_.snapshot_chunk_interval_s;
    if (!peer.part.last_chunk) return;
    peer.snapshot_id = 0;  // it has all of it
    peer.acked = peer.snapshot_sequence;
    peer.next = peer.first = peer.snapshot_sequence + 1;
  } else if (f.query_number == 0 && !f.matched) {
    peer.Forget();  // ours did not fit to what it has; this word of it may be late itself
    return;
  } else if (f.matched) {
    peer.acked = std::max(peer.acked, f.sequence);
    peer.next = std::max(peer.next, peer.acked + 1);
  }
  // What was answered by the one before may be more than we have, if our disk was put back.
  if (!log.begun && peer.holder && peer.end > std::pair(log.EpochAt(log.End()), log.End())) {
    log.pass_to = from;
  }
  Commit(now, f.log, &log, actions);
  if (peer.next <= log.End() || f.query_number != 0) SendAppend(now, f.log, &log, from, &peer, actions);
  Flush(actions);
}

void ReplicatedLogs::AbandonStore(Actions* actions) {
  actions->store_is_stale = true;
  failed_ = true;
  counters_.stale_stores += 1;
}

}  // namespace millethollow::copies
