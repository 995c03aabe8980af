#include "copies/replicated_logs.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace millethollow::copies {
namespace {

constexpr double kTickIntervalS = 0.05;

}  // namespace

double ReplicatedLogs::MaxAge(double now, LogId id, SequenceNumber sequence) const {
  const auto it = logs_.find(id);
  if (it != logs_.end() && sequence > it->second.unknown_age_end) {
    const auto& age_marks = it->second.age_marks;
    // clang 14 does not compile std::views::reverse of this library.
    // NOLINTNEXTLINE(modernize-loop-convert)
    for (auto mark = age_marks.rbegin(); mark != age_marks.rend(); ++mark) {
      if (mark->second < sequence) return now - mark->first;
    }
  }
  return std::numeric_limits<double>::infinity();
}

ReplicatedLogs::ReplicatedLogs(const Options& options,
                               const std::vector<std::pair<std::string, std::string>>& records)
    : options_(options) {
  for (const auto& [key, value] : records) {
    const auto parts = ParseStoreKey(key);
    if (!parts || parts->type != 'h') continue;
    if (const auto head = DecodeLogHead(value)) logs_[parts->log].head = *head;
  }
  for (const auto& [key, value] : records) {
    const auto parts = ParseStoreKey(key);
    if (!parts || parts->type != 'o' || !logs_.contains(parts->log)) continue;
    Log& log = logs_[parts->log];
    auto operation = DecodeOperation(value);
    // A gap ends the known log: operations after it may be those of another owner.
    if (operation && operation->sequence == log.End() + 1)
      log.operations.push_back(std::move(*operation));
  }
  for (auto& [id, log] : logs_) {
    log.previous_epoch = log.head.applied_epoch;
    log.stored = log.unknown_age_end = log.End();
    log.stored_applied = log.head.applied;
  }
}

void ReplicatedLogs::OnView(double now, const View& view, bool leased, Actions* actions) {
  leased_ = leased;
  previous_event_at_ = std::exchange(event_at_, now);
  if (view.epoch == view_.epoch && view_known_) return;
  view_known_ = true;
  view_ = view;
  for (const LogAssignment& assignment : view_.logs) {
    logs_to_open_.erase(assignment.log);
    const bool owned_here = assignment.owner == options_.self &&
                            assignment.process_incarnation == options_.process_incarnation &&
                            assignment.Find(options_.self) != nullptr &&
                            assignment.Find(options_.self)->store_id == options_.store_id;
    auto it = logs_.find(assignment.log);
    if (owned_here && it == logs_.end()) {
      it = logs_.emplace(assignment.log, Log{}).first;  // a new log
      WriteHead(assignment.log, it->second);
    }
    if (it == logs_.end()) continue;
    Log& log = it->second;
    if (!owned_here) {
      StepDown(assignment.log, &log, actions);
      continue;
    }
    if (!log.is_owner || log.owner_epoch != assignment.owner_epoch)
      BecomeOwner(now, assignment.log, &log, assignment, actions);
    if (assignment.version == log.request_version) log.requested_replicas.clear();
    log.requested_nodes.clear();
    log.transfer_requested = log.transfer_to != 0;
    for (const LogReplica& replica : log.requested_replicas) log.requested_nodes.insert(replica.id);
    SetPeers(now, &log, assignment);
    Commit(now, assignment.log, &log, actions);
  }
  // Logs that are no longer in the view have been closed.
  for (auto it = logs_.begin(); it != logs_.end();) {
    if (view_.epoch == 0 || view_.Log(it->first) != nullptr ||
        it->second.head.epoch > view_.epoch) {
      ++it;
      continue;
    }
    StepDown(it->first, &it->second, actions);
    pending_writes_.push_back({StoreWrite::Kind::kErasePrefix, LogPrefix(it->first), ""});
    it = logs_.erase(it);
  }
  Flush(actions);
}

std::string ReplicatedLogs::DescribeReplicas(LogId id) const {
  const auto it = logs_.find(id);
  if (it == logs_.end()) return "none";
  const Log& log = it->second;
  std::string text = "since=" + std::to_string(log.owner_epoch) +
                     " end=" + std::to_string(log.End()) + " stored=" + std::to_string(log.stored) +
                     " base=" + std::to_string(log.takeover_end) +
                     " commit=" + std::to_string(log.commit_index);
  for (const auto& [node, peer] : log.peers) {
    text += " " + std::to_string(node) + (peer.is_replica ? ":holder" : ":candidate") +
            (peer.status_known ? "" : ",not-met") + (peer.snapshot_id != 0 ? ",filling" : "") +
            ",acked=" + std::to_string(peer.acked_sequence) +
            ",next=" + std::to_string(peer.next_sequence);
  }
  for (const LogReplica& replica : log.requested_replicas)
    text += " wants=" + std::to_string(replica.id);
  if (log.transfer_to != 0) text += " pass_to=" + std::to_string(log.transfer_to);
  return text;
}

std::string ReplicatedLogs::EntryPrefixOf(LogId id) const {
  const auto it = logs_.find(id);
  return EntryPrefix(id, it == logs_.end() ? 0 : it->second.head.snapshot_generation);
}

bool ReplicatedLogs::MayAct(LogId id) const {
  const auto it = logs_.find(id);
  return leased_ && !store_failed_ && it != logs_.end() && it->second.is_owner && it->second.active;
}

std::size_t ReplicatedLogs::ReachableReplicas(double now, const Log& log,
                                              const LogAssignment& assignment) const {
  std::size_t reachable = 1;
  for (const auto& [node, peer] : log.peers) {
    reachable += peer.is_replica && assignment.Find(node) != nullptr &&
                 now - peer.last_status_at <= options_.replica_timeout_s;
  }
  return reachable;
}

SequenceNumber ReplicatedLogs::Append(double now, LogId id, std::string key, std::string value,
                                      bool erase, AppendError* reason, Actions* actions) {
  const auto it = logs_.find(id);
  *reason = AppendError::kNone;
  const LogAssignment* assignment = view_.Log(id);
  if (store_failed_) {
    *reason = AppendError::kStoreFailed;
  } else if (!MayAct(id) || assignment == nullptr || it->second.closing) {
    *reason = AppendError::kNotOwner;
  } else if (ReachableReplicas(now, it->second, *assignment) < options_.min_replicas) {
    *reason = AppendError::kTooFewReplicas;
  } else if (it->second.End() - it->second.commit_index >= options_.max_uncommitted_operations) {
    *reason = AppendError::kFull;
  }
  if (*reason != AppendError::kNone) {
    counters_.rejected_appends += 1;
    return 0;
  }
  Log& log = it->second;
  log.AddAgeMark(now);
  log.operations.push_back(
      {log.End() + 1, log.owner_epoch, std::move(key), std::move(value), erase});
  WriteOperation(id, log.operations.back());
  Flush(actions);
  for (auto& [node, peer] : log.peers) SendAppend(now, id, &log, node, &peer, actions);
  return log.End();
}

std::vector<LogId> ReplicatedLogs::Owned() const {
  std::vector<LogId> owned;
  for (const auto& [id, log] : logs_) {
    if (log.is_owner && log.active) owned.push_back(id);
  }
  return owned;
}

std::vector<ReplicatedLogs::LogStatus> ReplicatedLogs::LogStatuses() const {
  std::vector<LogStatus> all;
  for (const auto& [id, log] : logs_) {
    LogStatus status{.log = id, .is_owner = log.is_owner};
    for (const auto& [node, peer] : log.peers) {
      status.replicas += peer.is_replica;
      status.receiving_snapshot += peer.snapshot_id != 0;
      if (peer.is_replica)
        status.max_lag =
            std::max(status.max_lag, log.End() - std::min(peer.acked_sequence, log.End()));
    }
    all.push_back(status);
  }
  return all;
}

void ReplicatedLogs::Tick(double now, Actions* actions) {
  if (next_tick_at_ > now) return;
  next_tick_at_ = now + kTickIntervalS;
  if (store_failed_) return;
  for (auto& [id, log] : logs_) {
    const LogAssignment* assignment = view_.Log(id);
    if (!log.is_owner || assignment == nullptr || !leased_) continue;
    std::size_t reachable = 1;
    for (const auto& [node, peer] : log.peers)
      reachable += now - peer.last_status_at <= options_.replica_timeout_s;
    if (reachable < options_.replica_count) {
      if (const NodeId node = ChooseCandidate(now, id, log)) {
        Peer& peer = log.peers[node];
        peer.store_id = view_.Find(node)->store_id;
        peer.last_status_at = now;
      }
    }
    for (auto it = log.peers.begin(); it != log.peers.end();) {
      auto& [node, peer] = *it;
      // A silent candidate is dropped, so that another one can be chosen.
      if (!peer.is_replica && !log.requested_nodes.contains(node) &&
          now - peer.last_status_at > 2 * options_.replica_timeout_s) {
        it = log.peers.erase(it);
        continue;
      }
      if (peer.snapshot_id != 0) {
        const bool trimmed =
            !log.operations.empty() && log.operations.front().sequence > peer.snapshot_sequence + 1;
        if (trimmed || now - peer.last_status_at > options_.replica_timeout_s) {
          peer.ResetStatus();
        } else if (!peer.reading_chunk && peer.chunk > peer.chunk_message.chunk &&
                   now >= peer.next_chunk_at) {
          peer.reading_chunk = true;
          actions->read.push_back(
              {id, peer.snapshot_id, EntryPrefix(id, log.head.snapshot_generation),
               peer.last_key.empty() ? ""
                                     : EntryKey(id, log.head.snapshot_generation, peer.last_key)});
        } else if (!peer.reading_chunk && peer.chunk == peer.chunk_message.chunk &&
                   now - peer.last_sent_at > options_.resend_interval_s) {
          peer.last_sent_at = now;
          actions->send.emplace_back(node, peer.chunk_message);
        }
      } else if (now - peer.last_sent_at > options_.resend_interval_s) {
        peer.last_sent_at = now;
        peer.next_sequence = std::max(peer.acked_sequence + 1, peer.first_sequence);
        SendAppend(now, id, &log, node, &peer, actions);
      }
      ++it;
    }
    Commit(now, id, &log, actions);
  }
  Flush(actions);
}

}  // namespace millethollow::copies
