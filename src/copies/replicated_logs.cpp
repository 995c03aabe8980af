#include "copies/replicated_logs.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace millethollow::copies {
namespace {

constexpr double kTickS = 0.05;

}  // namespace

double ReplicatedLogs::MaxAge(double now, LogId id, SequenceNumber sequence) const {
  const auto it = logs_.find(id);
  if (it != logs_.end() && sequence > it->second.late) {
    const auto& marks = it->second.marks;
    // clang 14 does not compile std::views::reverse of this library.
    // NOLINTNEXTLINE(modernize-loop-convert)
    for (auto mark = marks.rbegin(); mark != marks.rend(); ++mark) {
      if (mark->second < sequence) return now - mark->first;
    }
  }
  return std::numeric_limits<double>::infinity();
}

ReplicatedLogs::ReplicatedLogs(const Options& options,
                               const std::vector<std::pair<std::string, std::string>>& records)
    : o_(options) {
  for (const auto& [key, value] : records) {
    const auto parts = ParseStoreKey(key);
    if (!parts || parts->type != 'h') continue;
    if (const auto head = DecodeLogHead(value)) logs_[parts->log].head = *head;
  }
  for (const auto& [key, value] : records) {
    const auto parts = ParseStoreKey(key);
    if (!parts || parts->type != 'o' || !logs_.contains(parts->log)) continue;
    Log& log = logs_[parts->log];
    auto op = DecodeOperation(value);
    // One that is missing ends what is known: what follows it can't be told from another's.
    if (op && op->sequence == log.End() + 1) log.operations.push_back(std::move(*op));
  }
  for (auto& [id, log] : logs_) {
    log.before = log.head.applied_epoch;
    log.stored = log.late = log.End();
    log.head_stored = log.head.applied;
  }
}

void ReplicatedLogs::OnView(double now, const View& view, bool leased, Actions* actions) {
  leased_ = leased;
  before_ = std::exchange(looked_at_, now);
  if (view.epoch == view_.epoch && looked_) return;
  looked_ = true;
  view_ = view;
  for (const LogAssignment& place : view_.logs) {
    opened_.erase(place.log);
    const bool ours = place.owner == o_.self &&
                      place.process_incarnation == o_.process_incarnation &&
                      place.Find(o_.self) != nullptr && place.Find(o_.self)->store_id == o_.store_id;
    auto it = logs_.find(place.log);
    if (ours && it == logs_.end()) {
      it = logs_.emplace(place.log, Log{}).first;  // a new one
      PutHead(place.log, it->second);
    }
    if (it == logs_.end()) continue;
    Log& log = it->second;
    if (!ours) {
      StepDown(place.log, &log, actions);
      continue;
    }
    if (!log.own || log.since != place.owner_epoch)
      BecomeOwner(now, place.log, &log, place, actions);
    if (place.version == log.version) log.wanted.clear();
    log.asked.clear();
    log.passing = log.pass_to != 0;
    for (const LogReplica& h : log.wanted) log.asked.insert(h.id);
    SetPeers(now, &log, place);
    Commit(now, place.log, &log, actions);
  }
  // What the view does not have is at its end.
  for (auto it = logs_.begin(); it != logs_.end();) {
    if (view_.epoch == 0 || view_.Log(it->first) != nullptr ||
        it->second.head.epoch > view_.epoch) {
      ++it;
      continue;
    }
    StepDown(it->first, &it->second, actions);
    batch_.push_back({StoreWrite::Kind::kErasePrefix, LogPrefix(it->first), ""});
    it = logs_.erase(it);
  }
  Flush(actions);
}

std::string ReplicatedLogs::DescribeReplicas(LogId id) const {
  const auto it = logs_.find(id);
  if (it == logs_.end()) return "none";
  const Log& log = it->second;
  std::string text = "since=" + std::to_string(log.since) + " end=" + std::to_string(log.End()) +
                     " stored=" + std::to_string(log.stored) + " base=" + std::to_string(log.base) +
                     " commit=" + std::to_string(log.commit);
  for (const auto& [who, peer] : log.peers) {
    text += " " + std::to_string(who) + (peer.holder ? ":holder" : ":candidate") +
            (peer.met ? "" : ",not-met") + (peer.snapshot_id != 0 ? ",filling" : "") +
            ",acked=" + std::to_string(peer.acked) + ",next=" + std::to_string(peer.next);
  }
  for (const LogReplica& h : log.wanted) text += " wants=" + std::to_string(h.id);
  if (log.pass_to != 0) text += " pass_to=" + std::to_string(log.pass_to);
  return text;
}

std::string ReplicatedLogs::EntryPrefixOf(LogId id) const {
  const auto it = logs_.find(id);
  return EntryPrefix(id, it == logs_.end() ? 0 : it->second.head.snapshot_generation);
}

bool ReplicatedLogs::MayAct(LogId id) const {
  const auto it = logs_.find(id);
  return leased_ && !failed_ && it != logs_.end() && it->second.own && it->second.begun;
}

std::size_t ReplicatedLogs::ReachableReplicas(double now, const Log& log,
                                              const LogAssignment& place) const {
  std::size_t there = 1;
  for (const auto& [who, peer] : log.peers) {
    there +=
        peer.holder && place.Find(who) != nullptr && now - peer.heard_at <= o_.replica_timeout_s;
  }
  return there;
}

SequenceNumber ReplicatedLogs::Append(double now, LogId id, std::string key, std::string value,
                                      bool erase, AppendError* reason, Actions* actions) {
  const auto it = logs_.find(id);
  *reason = AppendError::kNone;
  const LogAssignment* place = view_.Log(id);
  if (failed_) {
    *reason = AppendError::kStoreFailed;
  } else if (!MayAct(id) || place == nullptr || it->second.closing) {
    *reason = AppendError::kNotOwner;
  } else if (ReachableReplicas(now, it->second, *place) < o_.min_replicas) {
    *reason = AppendError::kTooFewReplicas;
  } else if (it->second.End() - it->second.commit >= o_.max_uncommitted_operations) {
    *reason = AppendError::kFull;
  }
  if (*reason != AppendError::kNone) {
    counters_.rejected_appends += 1;
    return 0;
  }
  Log& log = it->second;
  log.Mark(now);
  log.operations.push_back({log.End() + 1, log.since, std::move(key), std::move(value), erase});
  Put(id, log.operations.back());
  Flush(actions);
  for (auto& [who, peer] : log.peers) SendAppend(now, id, &log, who, &peer, actions);
  return log.End();
}

std::vector<LogId> ReplicatedLogs::Owned() const {
  std::vector<LogId> owned;
  for (const auto& [id, log] : logs_) {
    if (log.own && log.begun) owned.push_back(id);
  }
  return owned;
}

std::vector<ReplicatedLogs::LogStatus> ReplicatedLogs::LogStatuses() const {
  std::vector<LogStatus> all;
  for (const auto& [id, log] : logs_) {
    LogStatus status{.log = id, .is_owner = log.own};
    for (const auto& [who, peer] : log.peers) {
      status.replicas += peer.holder;
      status.receiving_snapshot += peer.snapshot_id != 0;
      if (peer.holder)
        status.max_lag = std::max(status.max_lag, log.End() - std::min(peer.acked, log.End()));
    }
    all.push_back(status);
  }
  return all;
}

void ReplicatedLogs::Tick(double now, Actions* actions) {
  if (tick_at_ > now) return;
  tick_at_ = now + kTickS;
  if (failed_) return;
  for (auto& [id, log] : logs_) {
    const LogAssignment* place = view_.Log(id);
    if (!log.own || place == nullptr || !leased_) continue;
    std::size_t copies = 1;
    for (const auto& [who, peer] : log.peers) copies += now - peer.heard_at <= o_.replica_timeout_s;
    if (copies < o_.replica_count) {
      if (const NodeId who = Candidate(now, id, log)) {
        Peer& peer = log.peers[who];
        peer.store_id = view_.Find(who)->store_id;
        peer.heard_at = now;
      }
    }
    for (auto it = log.peers.begin(); it != log.peers.end();) {
      auto& [who, peer] = *it;
      // A candidate that says nothing makes room for another.
      if (!peer.holder && !log.asked.contains(who) &&
          now - peer.heard_at > 2 * o_.replica_timeout_s) {
        it = log.peers.erase(it);
        continue;
      }
      if (peer.snapshot_id != 0) {
        const bool trimmed = !log.operations.empty() && log.operations.front().sequence > peer.snapshot_sequence + 1;
        if (trimmed || now - peer.heard_at > o_.replica_timeout_s) {
          peer.Forget();
        } else if (!peer.reading && peer.chunk > peer.part.chunk && now >= peer.chunk_at) {
          peer.reading = true;
          actions->read.push_back(
              {id, peer.snapshot_id, EntryPrefix(id, log.head.snapshot_generation),
               peer.after.empty() ? "" : EntryKey(id, log.head.snapshot_generation, peer.after)});
        } else if (!peer.reading && peer.chunk == peer.part.chunk &&
                   now - peer.sent_at > o_.resend_interval_s) {
          peer.sent_at = now;
          actions->send.emplace_back(who, peer.part);
        }
      } else if (now - peer.sent_at > o_.resend_interval_s) {
        peer.sent_at = now;
        peer.next = std::max(peer.acked + 1, peer.first);
        SendAppend(now, id, &log, who, &peer, actions);
      }
      ++it;
    }
    Commit(now, id, &log, actions);
  }
  Flush(actions);
}

}  // namespace millethollow::copies
