#include "membership/leader.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace millethollow::membership {
namespace {

constexpr std::size_t kMaxUnconfirmedHeartbeats = 16;
constexpr double kViewCheckIntervalS = 0.1;  // between checks whether a new view is needed

template <typename Message>
void SendToVoters(const Message& message, const Voter& voter, std::vector<OutgoingMessage>* send) {
  for (const NodeId id : voter.voters()) send->push_back({id, message});
}

// Replies by the relay, if the request came by one.
template <typename Message>
void Reply(NodeId to, NodeId relay, Message message, std::vector<OutgoingMessage>* send) {
  if (relay != 0) message.origin = to;
  send->push_back({relay != 0 ? relay : to, std::move(message)});
}

}  // namespace

Leader::Leader(NodeId self, const ViewAgreementTimings& timings, FailureDomains failure_domains)
    : self_(self), timings_(timings), failure_domains_(std::move(failure_domains)) {}

// Counts only voters that still have the storage identity with which they voted.
bool Leader::IsMajority(const std::map<NodeId, StorageIdentity>& votes, const Voter& voter) {
  const auto current = [&](const auto& entry) {
    return entry.second == voter.KnownIdentity(entry.first);
  };
  return static_cast<std::size_t>(std::count_if(votes.begin(), votes.end(), current)) >=
         voter.Majority();
}

void Leader::StartLeading(double now, Ballot ballot, VoterIdentities quorum, const View& latest,
                          const Voter& voter, std::vector<OutgoingMessage>* send) {
  leading_ = true;
  ballot_ = ballot;
  quorum_ = std::move(quorum);
  leading_since_ = confirmed_at_ = now;
  view_check_at_ = now + kViewCheckIntervalS;
  // A view decided by an earlier leader is `latest`; but the promises don't tell whether `latest`
  // was decided, so it is proposed again.
  decided_ = {};
  proposing_ = false;
  accepted_by_.clear();
  unconfirmed_heartbeats_.clear();
  leaseholders_.clear();
  pending_requests_.clear();
  settled_epoch_ = latest.settled_epoch;
  caught_up_ = latest.epoch == 0;
  if (!caught_up_) ProposeView(now, latest, voter, send);
  SendHeartbeat(now, voter, send);
}

// ---- proposals and heartbeats ----

void Leader::ProposeView(double now, View view, const Voter& voter,
                         std::vector<OutgoingMessage>* send) {
  proposed_ = std::move(view);
  proposing_ = true;
  accepted_by_.clear();
  proposed_at_ = now;
  SendToVoters(
      Propose{.voter = voter.Header(), .ballot = ballot_, .view = proposed_, .quorum = quorum_},
      voter, send);
}

void Leader::OnAccepted(double now, NodeId from, const Accepted& accepted, const Voter& voter,
                        std::vector<OutgoingMessage>* send) {
  if (!leading_ || !proposing_) return;
  if (accepted.ballot != ballot_ || accepted.epoch != proposed_.epoch) return;
  accepted_by_[from] = accepted.voter.storage_identity;
  if (!IsMajority(accepted_by_, voter)) return;
  UpdateRejoinBackoffs(now);
  decided_ = proposed_;
  proposing_ = false;
  caught_up_ = true;
  for (const ViewMember& member : decided_.members) SendDecided(member.id, 0, send);
}

// Updates the backoffs of the members that the proposed view removes or adds.
void Leader::UpdateRejoinBackoffs(double now) {
  for (const ViewMember& before : decided_.members) {
    if (proposed_.Find(before.id) != nullptr) continue;
    RejoinBackoff& backoff = rejoin_backoffs_[before.id];
    const bool reset = now - backoff.joined_at > timings_.rejoin_backoff_reset_s;
    backoff.wait_s = backoff.wait_s == 0 || reset
                         ? timings_.rejoin_backoff_s
                         : std::min(2 * backoff.wait_s, timings_.rejoin_backoff_max_s);
    backoff.removed_at = now;
  }
  for (const ViewMember& after : proposed_.members) {
    if (decided_.Find(after.id) == nullptr) rejoin_backoffs_[after.id].joined_at = now;
  }
}

void Leader::SendDecided(NodeId to, NodeId relay, std::vector<OutgoingMessage>* send) const {
  Reply(to, relay, ViewDecided{.view = decided_}, send);
}

void Leader::SendHeartbeat(double now, const Voter& voter, std::vector<OutgoingMessage>* send) {
  heartbeat_at_ = now + timings_.heartbeat_s;
  unconfirmed_heartbeats_[++heartbeat_sequence_].sent_at = now;
  if (unconfirmed_heartbeats_.size() > kMaxUnconfirmedHeartbeats) {
    unconfirmed_heartbeats_.erase(unconfirmed_heartbeats_.begin());
  }
  SendToVoters(Heartbeat{.voter = voter.Header(),
                         .ballot = ballot_,
                         .quorum = quorum_,
                         .sequence = heartbeat_sequence_},
               voter, send);
}

void Leader::OnHeartbeatAck(double now, NodeId from, const HeartbeatAck& ack, const Voter& voter,
                            std::vector<OutgoingMessage>* send) {
  const auto it = unconfirmed_heartbeats_.find(ack.sequence);
  if (!leading_ || ack.ballot != ballot_ || it == unconfirmed_heartbeats_.end()) return;
  SentHeartbeat& heartbeat = it->second;
  heartbeat.acked_by[from] = ack.voter.storage_identity;
  if (ack.voter.feature_level >= kLogsFeatureLevel) {
    voters_with_log_support_.insert(from);
  } else {
    voters_with_log_support_.erase(from);
  }
  if (!IsMajority(heartbeat.acked_by, voter)) return;
  confirmed_at_ = std::max(confirmed_at_, heartbeat.sent_at);
  // The requests that arrived before this heartbeat was sent arrived while no other voter led.
  for (auto request = pending_requests_.begin(); request != pending_requests_.end();) {
    if (request->second.heartbeat > ack.sequence) {
      ++request;
      continue;
    }
    Grant(now, request->first, request->second, send);
    request = pending_requests_.erase(request);
  }
  unconfirmed_heartbeats_.erase(unconfirmed_heartbeats_.begin(), std::next(it));
}

// ---- leases ----

double Leader::LatestLeaseEnd(NodeId id) const {
  // An earlier leader may have granted a lease until it was replaced.
  const double earlier = leading_since_ + timings_.lease_s * (1 + timings_.clock_drift);
  const auto it = leaseholders_.find(id);
  return it == leaseholders_.end() ? earlier : std::max(earlier, it->second.lease_until);
}

bool Leader::CheckSettled(double now, std::uint64_t epoch) {
  if (epoch <= settled_epoch_) return true;
  if (decided_.epoch < epoch) return false;
  const bool settled =
      std::all_of(decided_.members.begin(), decided_.members.end(), [&](const ViewMember& member) {
        const auto it = leaseholders_.find(member.id);
        const bool knows = it != leaseholders_.end() &&
                           it->second.process_incarnation == member.process_incarnation &&
                           it->second.epoch >= epoch;
        return knows || member.joined_epoch >= epoch || LatestLeaseEnd(member.id) < now;
      });
  if (settled) settled_epoch_ = epoch;
  return settled;
}

bool Leader::MayGrant(double now, NodeId to, const PendingRequest& request) {
  const ViewMember* member = decided_.Find(to);
  if (member == nullptr || member->process_incarnation != request.process_incarnation) return false;
  if (request.epoch != decided_.epoch) return false;
  // A view without the member may be decided already, while its acceptances are on their way here.
  const ViewMember* next = proposing_ ? proposed_.Find(to) : member;
  if (next == nullptr || next->process_incarnation != request.process_incarnation) return false;
  // A member that sends but does not receive could not use the lease, which would only delay its
  // removal and keep its share from the others.
  if (HasFailed(to)) return false;
  // The share of a member that joined belonged to others, which may use it until they know the
  // view.
  return CheckSettled(now, member->joined_epoch);
}

void Leader::Grant(double now, NodeId to, const PendingRequest& request,
                   std::vector<OutgoingMessage>* send) {
  if (!caught_up_) return;
  if (request.epoch < decided_.epoch) return SendDecided(to, request.relay, send);
  if (!MayGrant(now, to, request)) return;
  Leaseholder& holder = leaseholders_[to];
  holder.lease_until =
      std::max(holder.lease_until, now + timings_.lease_s * (1 + timings_.clock_drift));
  Reply(to, request.relay,
        LeaseGrant{.ballot = ballot_,
                   .epoch = decided_.epoch,
                   .process_incarnation = request.process_incarnation,
                   .requested_at_s = request.requested_at_s,
                   .duration_s = timings_.lease_s},
        send);
}

void Leader::OnLeaseRequest(double now, NodeId from, NodeId relay, const LeaseRequest& request,
                            std::vector<OutgoingMessage>* send) {
  if (!leading_ || !failure_domains_.contains(from)) return;
  Leaseholder& holder = leaseholders_[from];
  const ViewMember* member = caught_up_ ? decided_.Find(from) : nullptr;
  const bool other_process =
      member != nullptr && member->process_incarnation != request.process_incarnation;
  if (other_process && now < LatestLeaseEnd(from)) {
    IdentityConflict conflict{.process_incarnation = member->process_incarnation};
    return Reply(from, relay, conflict, send);
  }
  if (holder.process_incarnation != request.process_incarnation) {
    holder.process_incarnation = request.process_incarnation;
    holder.epoch = holder.requested_logs_epoch = 0;
    holder.released = false;
  }
  if (holder.released) return;  // sent before the release, which has overtaken it
  holder.epoch = std::max(holder.epoch, request.epoch);
  holder.requested_at = now;
  if (request.epoch >= holder.requested_logs_epoch) {
    holder.store_id = request.store_id;
    holder.requested_logs_epoch = request.epoch;
    holder.requested_logs = request.requested_logs;
  }
  pending_requests_[from] = {.process_incarnation = request.process_incarnation,
                             .epoch = request.epoch,
                             .heartbeat = heartbeat_sequence_ + 1,
                             .requested_at_s = request.requested_at_s,
                             .relay = relay};
}

void Leader::OnLeaseRelease(double now, NodeId from, ProcessIncarnation process_incarnation) {
  const ViewMember* member = decided_.Find(from);
  if (!leading_ || member == nullptr || member->process_incarnation != process_incarnation) return;
  Leaseholder& holder = leaseholders_[from];
  holder = {.process_incarnation = process_incarnation,
            .lease_until = 0,
            .requested_at = now,
            .epoch = holder.epoch,
            .released = true};
  pending_requests_.erase(from);
}

// ---- the next view ----

bool Leader::HasFailed(NodeId id) const {
  const auto health = health_.find(id);
  return health != health_.end() && health->second >= Health::kFailed;
}

bool Leader::MayRemove(double now, const ViewMember& member) const {
  const auto it = leaseholders_.find(member.id);
  const bool known = it != leaseholders_.end();
  const bool same_process = known && it->second.process_incarnation == member.process_incarnation;
  if (same_process && it->second.released) return true;
  if (LatestLeaseEnd(member.id) >= now) return false;
  const double requested_at = known ? it->second.requested_at : leading_since_;
  const bool other_process = known && it->second.requested_at >= 0 && !same_process;
  const double silent_s = timings_.lease_s + 2 * timings_.renew_s;
  return HasFailed(member.id) || other_process || now - requested_at > silent_s;
}

bool Leader::MayAdd(double now, NodeId id) const {
  const auto it = leaseholders_.find(id);
  if (it == leaseholders_.end() || it->second.released) return false;
  const double requested_at = it->second.requested_at;
  if (requested_at < 0 || now - requested_at > 3 * timings_.renew_s) return false;
  if (HasFailed(id)) return false;
  const auto backoff = rejoin_backoffs_.find(id);
  return backoff == rejoin_backoffs_.end() ||
         now >= backoff->second.removed_at + backoff->second.wait_s;
}

// All voters must have a build that supports logs. If the view has logs, all of them had one when
// the first log was opened.
bool Leader::MayOpenLogs(const Voter& voter) const {
  const auto& voters = voter.voters();
  return !decided_.logs.empty() || std::all_of(voters.begin(), voters.end(), [this](NodeId id) {
    return voters_with_log_support_.contains(id);
  });
}

Leader::MemberChanges Leader::FillMembers(double now, View* next) {
  MemberChanges changes;
  for (const auto& [id, failure_domain] : failure_domains_) {
    const ViewMember* member = decided_.Find(id);
    if (member != nullptr && !MayRemove(now, *member)) {
      next->members.push_back(*member);
      const auto holder = leaseholders_.find(id);
      const bool same_process = holder != leaseholders_.end() &&
                                holder->second.process_incarnation == member->process_incarnation;
      if (same_process) next->members.back().store_id = holder->second.store_id;
      continue;
    }
    changes.removed |= member != nullptr;
    if (!MayAdd(now, id)) continue;
    changes.added = true;
    next->members.push_back({.id = id,
                             .process_incarnation = leaseholders_[id].process_incarnation,
                             .failure_domain = failure_domain,
                             .joined_epoch = next->epoch,
                             .store_id = leaseholders_[id].store_id});
  }
  // Members are added only once all members know the last view. They may be removed at any time.
  if (changes.added && !CheckSettled(now, decided_.epoch)) {
    std::erase_if(next->members,
                  [&](const ViewMember& member) { return member.joined_epoch == next->epoch; });
    changes.added = false;
  }
  return changes;
}

std::vector<LogRequest> Leader::CurrentLogRequests(const View& next) const {
  std::vector<LogRequest> requests;
  for (const ViewMember& member : next.members) {
    const auto holder = leaseholders_.find(member.id);
    // Replicas requested under another view may lack operations that were acknowledged since.
    if (holder == leaseholders_.end() || holder->second.requested_logs_epoch != decided_.epoch)
      continue;
    if (holder->second.process_incarnation != member.process_incarnation) continue;
    requests.push_back({member.id, member.process_incarnation, holder->second.requested_logs});
  }
  return requests;
}

void Leader::ConsiderNextView(double now, const Voter& voter, std::vector<OutgoingMessage>* send) {
  if (!caught_up_ || proposing_ || now < proposed_at_ + timings_.min_view_interval_s) return;
  if (decided_.epoch == 0 && now < leading_since_ + timings_.first_view_delay_s) return;
  View next{
      .epoch = decided_.epoch + 1, .members = {}, .settled_epoch = settled_epoch_, .logs = {}};
  const MemberChanges changes = FillMembers(now, &next);
  next.logs = NextLogs(decided_, next, CurrentLogRequests(next), MayOpenLogs(voter));
  const bool same_members = !changes.added && !changes.removed;
  const bool entries_differ = same_members && next.members != decided_.members;
  const bool wanted = !same_members || entries_differ || next.logs != decided_.logs;
  if (wanted && !next.members.empty()) ProposeView(now, std::move(next), voter, send);
}

void Leader::Tick(double now, const Voter& voter, std::vector<OutgoingMessage>* send) {
  if (!leading_) return;
  if (heartbeat_at_ <= now) {
    if (proposing_) {  // sent again, as messages may have been lost
      const double proposed_at = proposed_at_;
      const auto accepted_by = accepted_by_;
      ProposeView(proposed_at, proposed_, voter, send);
      accepted_by_ = accepted_by;
    }
    SendHeartbeat(now, voter, send);
  }
  if (view_check_at_ <= now) {
    view_check_at_ = now + kViewCheckIntervalS;
    ConsiderNextView(now, voter, send);
  }
}

}  // namespace millethollow::membership
