// Reconfiguration: the owner and replicas of a log as the agreed view has them, and the changes
// that the owner requests from the leader.
#include <algorithm>
#include <set>
#include <utility>

#include "copies/replicated_logs.h"

namespace millethollow::copies {

void ReplicatedLogs::BecomeOwner(double now, LogId id, Log* log, const LogAssignment& assignment,
                                 Actions* actions) {
  StepDown(id, log, actions);
  log->is_owner = true;
  log->owner_epoch = assignment.owner_epoch;
  log->transfer_to = 0;
  log->transfer_requested = false;
  log->head.epoch = std::max(log->head.epoch, assignment.owner_epoch);
  log->takeover_end = log->End();
  log->commit_index = log->head.applied;
  log->owner_since = now;
  log->request_version = assignment.version;
  WriteHead(id, *log);
}

void ReplicatedLogs::StepDown(LogId id, Log* log, Actions* actions) {
  if (log->is_owner && log->active) actions->released.push_back(id);
  log->is_owner = log->active = log->closing = false;
  log->peers.clear();
  log->requested_replicas.clear();
  log->requested_nodes.clear();
}

void ReplicatedLogs::SetPeers(double now, Log* log, const LogAssignment& assignment) {
  for (auto it = log->peers.begin(); it != log->peers.end();) {
    const auto* member = view_.Find(it->first);
    const bool removed = assignment.Find(it->first) == nullptr &&
                         (member == nullptr || member->store_id != it->second.store_id);
    it = removed ? log->peers.erase(it) : std::next(it);
  }
  for (auto& [node, peer] : log->peers) peer.is_replica = false;
  for (const LogReplica& replica : assignment.replicas) {
    if (replica.id == options_.self) continue;
    Peer& peer = log->peers[replica.id];
    if (peer.store_id != replica.store_id) {
      peer = Peer{};
      peer.store_id = replica.store_id;
      peer.last_status_at = now;
    }
    peer.is_replica = true;
  }
}

// A further member to replicate the log: preferably in a failure domain without a replica, and
// among those by rendezvous hashing. 0: none.
NodeId ReplicatedLogs::ChooseCandidate(double now, LogId id, const Log& log) const {
  std::set<std::string> domains;
  const auto domain_of = [this](NodeId node) {
    const auto* member = view_.Find(node);
    return member == nullptr ? std::string() : member->failure_domain;
  };
  domains.insert(domain_of(options_.self));
  for (const auto& [node, peer] : log.peers) {
    if (now - peer.last_status_at <= options_.replica_timeout_s) domains.insert(domain_of(node));
  }
  NodeId best = 0;
  std::pair<bool, std::uint64_t> best_weight;
  for (const auto& member : view_.members) {
    if (member.id == options_.self || member.store_id == 0 || log.peers.contains(member.id))
      continue;
    const std::pair weight(!domains.contains(member.failure_domain),
                           membership::Mix(id ^ membership::Mix(member.id)));
    if (best == 0 || weight > best_weight) best = member.id, best_weight = weight;
  }
  return best;
}

// Requests the replicas that the log should have, if they differ from those of the view.
void ReplicatedLogs::RequestReplicas(double now, Log* log, const LogAssignment& assignment) {
  if (log->closing) return;
  // If the member that had a longer log left with its store, is unreachable, or was removed before
  // the transfer, the log of this member is the longest that is left.
  if (log->transfer_to != 0) {
    const auto* member = view_.Find(log->transfer_to);
    const auto peer = log->peers.find(log->transfer_to);
    if (member == nullptr || peer == log->peers.end() ||
        assignment.Find(log->transfer_to) == nullptr || member->store_id != peer->second.store_id ||
        now - peer->second.last_status_at > options_.replica_timeout_s) {
      log->transfer_to = 0;
    }
  }
  std::vector<LogReplica> replicas, timed_out_replicas;
  for (const LogReplica& replica : assignment.replicas) {
    const auto* member = view_.Find(replica.id);
    const auto peer = log->peers.find(replica.id);
    const bool other_store = member != nullptr && member->store_id != replica.store_id;
    const bool timed_out =
        replica.id != options_.self && peer != log->peers.end() &&
        now - std::max(peer->second.last_status_at, log->owner_since) > options_.replica_timeout_s;
    if (other_store && log->transfer_to == 0) continue;  // its replica is lost
    (timed_out && log->transfer_to == 0 ? timed_out_replicas : replicas).push_back(replica);
  }
  const SequenceNumber required_sequence = std::max(log->takeover_end, log->commit_index);
  for (const auto& [node, peer] : log->peers) {
    const auto* member = view_.Find(node);
    // Commits wait for a replica from the moment it is requested; it qualifies only with all
    // operations that may have been committed before.
    if (peer.is_replica || !peer.status_known || peer.acked_sequence < required_sequence ||
        log->transfer_to != 0 || member == nullptr || member->store_id != peer.store_id)
      continue;
    if (now - peer.last_status_at <= options_.replica_timeout_s &&
        replicas.size() < options_.replica_count)
      replicas.push_back({node, peer.store_id});
  }
  // Never below the minimum: a replica that timed out may return with the whole log.
  for (const LogReplica& replica : timed_out_replicas) {
    if (replicas.size() < options_.min_replicas) replicas.push_back(replica);
  }
  const auto by_id = [](const LogReplica& a, const LogReplica& b) { return a.id < b.id; };
  std::sort(replicas.begin(), replicas.end(), by_id);
  std::vector<LogReplica> current = assignment.replicas;
  std::sort(current.begin(), current.end(), by_id);
  const std::vector<LogReplica>& requested =
      log->requested_replicas.empty() ? current : log->requested_replicas;
  if (replicas == requested && (log->transfer_to == 0 || !log->requested_replicas.empty())) return;
  log->request_version += 1;
  log->transfer_requested |= log->transfer_to != 0;
  log->requested_replicas = replicas;
  for (const LogReplica& replica : replicas) log->requested_nodes.insert(replica.id);
}

void ReplicatedLogs::Close(LogId id) {
  const auto it = logs_.find(id);
  if (it == logs_.end() || !it->second.is_owner || it->second.closing) return;
  it->second.closing = true;
  it->second.request_version += 1;
}

std::vector<LogAssignment> ReplicatedLogs::RequestedLogs() const {
  std::vector<LogAssignment> requests;
  for (const auto& [id, log] : logs_) {
    if (log.is_owner && log.closing) {
      requests.push_back({.log = id,
                          .owner = options_.self,
                          .process_incarnation = options_.process_incarnation,
                          .owner_epoch = log.owner_epoch,
                          .version = log.request_version,
                          .replicas = {}});
      continue;
    }
    if (!log.is_owner || log.requested_replicas.empty()) continue;
    requests.push_back({.log = id,
                        .owner = log.transfer_to == 0 ? options_.self : log.transfer_to,
                        .process_incarnation = options_.process_incarnation,
                        .owner_epoch = log.owner_epoch,
                        .version = log.request_version,
                        .replicas = log.requested_replicas});
  }
  for (const LogId id : logs_to_open_) {
    requests.push_back({.log = id,
                        .owner = options_.self,
                        .process_incarnation = options_.process_incarnation,
                        .owner_epoch = 0,
                        .version = 1,
                        .replicas = {{options_.self, options_.store_id}}});
  }
  return requests;
}

}  // namespace millethollow::copies
