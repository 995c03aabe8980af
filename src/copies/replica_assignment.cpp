// Who owns a log and who holds it: what the agreed view says, and what the owner asks for.
#include <algorithm>
#include <set>
#include <utility>

#include "copies/replicated_logs.h"

namespace millethollow::copies {

void ReplicatedLogs::BecomeOwner(double now, LogId id, Log* log, const LogAssignment& place,
                                 Actions* actions) {
  StepDown(id, log, actions);
  log->own = true;
  log->since = place.owner_epoch;
  log->pass_to = 0;
  log->passing = false;
  log->head.epoch = std::max(log->head.epoch, place.owner_epoch);
  log->base = log->End();
  log->commit = log->head.applied;
  log->owned_at = now;
  log->version = place.version;
  PutHead(id, *log);
}

void ReplicatedLogs::StepDown(LogId id, Log* log, Actions* actions) {
  if (log->own && log->begun) actions->released.push_back(id);
  log->own = log->begun = log->closing = false;
  log->peers.clear();
  log->wanted.clear();
  log->asked.clear();
}

void ReplicatedLogs::SetPeers(double now, Log* log, const LogAssignment& place) {
  for (auto it = log->peers.begin(); it != log->peers.end();) {
    const auto* member = view_.Find(it->first);
    const bool goes = place.Find(it->first) == nullptr &&
                      (member == nullptr || member->store_id != it->second.store_id);
    it = goes ? log->peers.erase(it) : std::next(it);
  }
  for (auto& [who, peer] : log->peers) peer.holder = false;
  for (const LogReplica& h : place.replicas) {
    if (h.id == o_.self) continue;
    Peer& peer = log->peers[h.id];
    if (peer.store_id != h.store_id) {
      peer = Peer{};
      peer.store_id = h.store_id;
      peer.heard_at = now;
    }
    peer.holder = true;
  }
}

// A further member to hold the log: at a place without a copy first, then by rendezvous.
NodeId ReplicatedLogs::Candidate(double now, LogId id, const Log& log) const {
  std::set<std::string> places;
  const auto place_of = [this](NodeId who) {
    const auto* member = view_.Find(who);
    return member == nullptr ? std::string() : member->failure_domain;
  };
  places.insert(place_of(o_.self));
  for (const auto& [who, peer] : log.peers) {
    if (now - peer.heard_at <= o_.replica_timeout_s) places.insert(place_of(who));
  }
  NodeId best = 0;
  std::pair<bool, std::uint64_t> most;
  for (const auto& member : view_.members) {
    if (member.id == o_.self || member.store_id == 0 || log.peers.contains(member.id)) continue;
    const std::pair weight(!places.contains(member.failure_domain),
                           membership::Mix(id ^ membership::Mix(member.id)));
    if (best == 0 || weight > most) best = member.id, most = weight;
  }
  return best;
}

// Which holders the log should have, where the view has others.
void ReplicatedLogs::RequestReplicas(double now, Log* log, const LogAssignment& place) {
  if (log->closing) return;
  // Gone since with what it had, cut off, or put out before it was heard: ours is the most there
  // is.
  if (log->pass_to != 0) {
    const auto* member = view_.Find(log->pass_to);
    const auto peer = log->peers.find(log->pass_to);
    if (member == nullptr || peer == log->peers.end() || place.Find(log->pass_to) == nullptr ||
        member->store_id != peer->second.store_id ||
        now - peer->second.heard_at > o_.replica_timeout_s) {
      log->pass_to = 0;
    }
  }
  std::vector<LogReplica> holders, silent;
  for (const LogReplica& h : place.replicas) {
    const auto* member = view_.Find(h.id);
    const auto peer = log->peers.find(h.id);
    const bool other_store = member != nullptr && member->store_id != h.store_id;
    const bool late = h.id != o_.self && peer != log->peers.end() &&
                      now - std::max(peer->second.heard_at, log->owned_at) > o_.replica_timeout_s;
    if (other_store && log->pass_to == 0) continue;  // what it had is lost
    (late && log->pass_to == 0 ? silent : holders).push_back(h);
  }
  const SequenceNumber must = std::max(log->base, log->commit);
  for (const auto& [who, peer] : log->peers) {
    const auto* member = view_.Find(who);
    // From the asking on it is waited for; until then it must have all that may have been answered.
    if (peer.holder || !peer.met || peer.acked < must || log->pass_to != 0 || member == nullptr ||
        member->store_id != peer.store_id)
      continue;
    if (now - peer.heard_at <= o_.replica_timeout_s && holders.size() < o_.replica_count)
      holders.push_back({who, peer.store_id});
  }
  // Not fewer than must be: who is silent may come back with all of it.
  for (const LogReplica& h : silent) {
    if (holders.size() < o_.min_replicas) holders.push_back(h);
  }
  const auto by_id = [](const LogReplica& a, const LogReplica& b) { return a.id < b.id; };
  std::sort(holders.begin(), holders.end(), by_id);
  std::vector<LogReplica> now_held = place.replicas;
  std::sort(now_held.begin(), now_held.end(), by_id);
  const std::vector<LogReplica>& asked_for = log->wanted.empty() ? now_held : log->wanted;
  if (holders == asked_for && (log->pass_to == 0 || !log->wanted.empty())) return;
  log->version += 1;
  log->passing |= log->pass_to != 0;
  log->wanted = holders;
  for (const LogReplica& h : holders) log->asked.insert(h.id);
}

void ReplicatedLogs::Close(LogId id) {
  const auto it = logs_.find(id);
  if (it == logs_.end() || !it->second.own || it->second.closing) return;
  it->second.closing = true;
  it->second.version += 1;
}

std::vector<LogAssignment> ReplicatedLogs::RequestedLogs() const {
  std::vector<LogAssignment> wants;
  for (const auto& [id, log] : logs_) {
    if (log.own && log.closing) {
      wants.push_back({.log = id,
                       .owner = o_.self,
                       .process_incarnation = o_.process_incarnation,
                       .owner_epoch = log.since,
                       .version = log.version,
                       .replicas = {}});
      continue;
    }
    if (!log.own || log.wanted.empty()) continue;
    wants.push_back({.log = id,
                     .owner = log.pass_to == 0 ? o_.self : log.pass_to,
                     .process_incarnation = o_.process_incarnation,
                     .owner_epoch = log.since,
                     .version = log.version,
                     .replicas = log.wanted});
  }
  for (const LogId id : opened_) {
    wants.push_back({.log = id,
                     .owner = o_.self,
                     .process_incarnation = o_.process_incarnation,
                     .owner_epoch = 0,
                     .version = 1,
                     .replicas = {{o_.self, o_.store_id}}});
  }
  return wants;
}

}  // namespace millethollow::copies
