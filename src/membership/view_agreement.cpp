#include "membership/view_agreement.h"

#include <algorithm>
#include <limits>
#include <type_traits>
#include <utility>

namespace millethollow::membership {
namespace {

constexpr double kRecoveryIntervalS = 0.2;  // between messages to recover the storage identity
constexpr std::size_t kMaxUnstored = 512;   // messages; beyond it the oldest is dropped, as if lost
// A LeaderRedirect to a voter that did not answer is ignored for this long.
constexpr double kUnresponsiveVoterS = 10;
constexpr int kRequestsPerVoter = 2;  // unanswered lease requests until another voter is asked

template <typename Message>
concept LeaseMessage =
    std::is_same_v<Message, LeaseRequest> || std::is_same_v<Message, LeaseRelease>;
// Replies to any member. A voter relays those whose `origin` names another member.
template <typename Message>
concept MemberReply = !LeaseMessage<Message> && requires(Message reply) {
  reply.origin;
};

}  // namespace

ViewAgreement::ViewAgreement(Options options, PersistentVoterState voter_state, std::uint64_t seed,
                             double now)
    : options_(std::move(options)),
      voter_(options_.self, options_.voters, options_.process_incarnation, std::move(voter_state)),
      leader_(options_.self, options_.timings, options_.members),
      random_(seed),
      leader_contact_at_(now),
      election_timeout_at_(now + options_.timings.election_s * (1 + random_.Unit())),
      recovery_at_(now),
      renew_at_(now + 0.2 * options_.timings.renew_s * random_.Unit()) {
  lease_voter_ = random_.Below(options_.voters.size());
}

double ViewAgreement::NextTickAt() const {
  double at = renew_at_;
  if (voter_.IsVoter(options_.self) && voter_.state() != Voter::State::kStopped) {
    at = std::min(at, voter_.voting() ? election_timeout_at_ : recovery_at_);
    if (leader_.leading()) at = std::min(at, leader_.NextTickAt());
  }
  if (had_lease_) at = std::min(at, lease_until_);
  return at;
}

double ViewAgreement::LeaseRemaining(double now) const {
  const ViewMember* self = view_.Find(options_.self);
  if (self == nullptr || self->process_incarnation != options_.process_incarnation) return 0;
  if (leaving_ || superseded_) return 0;
  return std::max(0.0, lease_until_ - now);
}

// ---- sending, once the voter's state is on disk ----

void ViewAgreement::Emit(double now, std::vector<OutgoingMessage>* outgoing, Actions* actions) {
  while (true) {
    if (voter_.TakeDirty()) {
      last_ticket_ += 1;
      actions->write = true;
      actions->ticket = last_ticket_;
    }
    std::vector<OutgoingMessage> to_self;
    for (OutgoingMessage& next : *outgoing) {
      if (stored_ticket_ < last_ticket_) {
        if (unstored_.size() >= kMaxUnstored) unstored_.pop_front();
        unstored_.push_back({last_ticket_, std::move(next)});
      } else if (next.to == options_.self) {
        to_self.push_back(std::move(next));
      } else {
        actions->send.push_back(std::move(next));
      }
    }
    outgoing->clear();
    if (to_self.empty()) return;
    for (const OutgoingMessage& next : to_self) {
      Dispatch(now, options_.self, options_.process_incarnation, next.message, outgoing, actions);
    }
  }
}

void ViewAgreement::OnStored(double now, std::uint64_t ticket, Actions* actions) {
  stored_ticket_ = std::max(stored_ticket_, ticket);
  std::vector<OutgoingMessage> replies;
  while (!unstored_.empty() && unstored_.front().ticket <= stored_ticket_) {
    OutgoingMessage next = std::move(unstored_.front().outgoing);
    unstored_.pop_front();
    if (next.to == options_.self) {
      Dispatch(now, options_.self, options_.process_incarnation, next.message, &replies, actions);
    } else {
      actions->send.push_back(std::move(next));
    }
  }
  Emit(now, &replies, actions);
}

void ViewAgreement::OnStoreFailed() {
  voter_.OnStoreFailed();
  leader_.StopLeading();
  unstored_.clear();
}

// ---- dispatch ----

void ViewAgreement::OnMessage(double now, NodeId from, ProcessIncarnation process_incarnation,
                              const AgreementMessage& message, Actions* actions) {
  if (superseded_ || from == options_.self) return;
  std::vector<OutgoingMessage> replies;
  Dispatch(now, from, process_incarnation, message, &replies, actions);
  Emit(now, &replies, actions);
}

void ViewAgreement::Dispatch(double now, NodeId from, ProcessIncarnation process_incarnation,
                             const AgreementMessage& message, std::vector<OutgoingMessage>* send,
                             Actions* actions) {
  const auto handle = [&](const auto& typed) {
    using Message = std::decay_t<decltype(typed)>;
    if constexpr (LeaseMessage<Message>) {
      Handle(now, from, process_incarnation, typed, send);
    } else if constexpr (MemberReply<Message>) {
      if (typed.origin == 0 || typed.origin == options_.self) {
        if (!leaving_) Handle(now, typed, actions);
        return;
      }
      Message relayed = typed;
      relayed.origin = 0;
      send->push_back({typed.origin, std::move(relayed)});
    } else {
      const bool between_voters = voter_.IsVoter(options_.self) && voter_.IsVoter(from);
      if (between_voters) OnVoterMessage(now, from, message, send);
    }
  };
  std::visit(handle, message);
}

// ---- lease requests, at a voter ----

void ViewAgreement::Handle(double now, NodeId from, ProcessIncarnation process_incarnation,
                           const LeaseRequest& request, std::vector<OutgoingMessage>* send) {
  const bool relayed = request.origin != 0;
  if (leader_.leading()) {
    LeaseRequest complete = request;
    if (!relayed) complete.process_incarnation = process_incarnation;
    const NodeId member = relayed ? request.origin : from;
    return leader_.OnLeaseRequest(now, member, relayed ? from : 0, complete, send);
  }
  if (!RelayToLeader(now, from, process_incarnation, request, send)) return;
  send->push_back({from, LeaderRedirect{.ballot = latest_ballot_}});
}

void ViewAgreement::Handle(double now, NodeId from, ProcessIncarnation process_incarnation,
                           const LeaseRelease& release, std::vector<OutgoingMessage>* send) {
  const bool relayed = release.origin != 0;
  if (leader_.leading()) {
    return leader_.OnLeaseRelease(now, relayed ? release.origin : from,
                                  relayed ? release.process_incarnation : process_incarnation);
  }
  RelayToLeader(now, from, process_incarnation, release, send);
}

// Relays the member's message, as the link from the member to the leader may be down while that
// from this voter works. Returns false if this voter knows no leader or got the message by a relay.
template <typename Message>
bool ViewAgreement::RelayToLeader(double now, NodeId from, ProcessIncarnation process_incarnation,
                                  const Message& message, std::vector<OutgoingMessage>* send) {
  if (message.origin != 0 || !voter_.IsVoter(options_.self)) return false;
  if (LeaderLost(now) || latest_ballot_.proposer == 0) return false;
  Message relayed = message;
  relayed.origin = from;
  relayed.process_incarnation = process_incarnation;
  send->push_back({latest_ballot_.proposer, std::move(relayed)});
  return true;
}

// ---- messages between voters ----

void ViewAgreement::OnVoterMessage(double now, NodeId from, const AgreementMessage& message,
                                   std::vector<OutgoingMessage>* send) {
  const std::size_t replies = send->size();
  if (voter_.OnMessage(from, message, send)) {
    // A message of a leader is contact with it unless it was rejected.
    const bool accepted =
        send->size() > replies && !std::holds_alternative<Rejection>(send->back().message);
    if (!accepted) return;
    if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
      OnLeaderContact(now, from, heartbeat->ballot);
    } else if (const auto* propose = std::get_if<Propose>(&message)) {
      OnLeaderContact(now, from, propose->ballot);
    }
    return;
  }
  if (!voter_.voting()) return;
  std::visit(
      [&](const auto& typed) {
        if constexpr (requires { Handle(now, from, typed, send); }) Handle(now, from, typed, send);
      },
      message);
}

void ViewAgreement::OnLeaderContact(double now, NodeId from, const Ballot& ballot) {
  leader_contact_at_ = now;
  RestartElectionTimeout(now, 1);
  latest_ballot_ = ballot;
  if (from != options_.self && leader_.leading() && ballot > leader_.ballot()) StepDown(now);
  if (candidate_ballot_ < ballot) candidate_ballot_ = {};
}

void ViewAgreement::Handle(double now, NodeId from, const LeaderLossQuery& query,
                           std::vector<OutgoingMessage>* send) {
  const bool leads =
      leader_.leading() && now - leader_.confirmed_at() < options_.timings.election_s;
  LeaderLossReply reply{.voter = voter_.Header(),
                        .promised = voter_.voter_state().promised,
                        .query_number = query.query_number,
                        .leader_lost = from == options_.self || (!leads && LeaderLost(now))};
  voter_.MergeHeader(from, query.voter);
  send->push_back({from, std::move(reply)});
}

void ViewAgreement::Handle(double now, NodeId from, const LeaderLossReply& reply,
                           std::vector<OutgoingMessage>* send) {
  if (!voter_.MergeHeader(from, reply.voter)) return;
  if (query_number_ == 0 || reply.query_number != query_number_) return;
  if (!reply.leader_lost || !LeaderLost(now)) return;
  leader_lost_votes_[from] = reply.voter.storage_identity;
  latest_ballot_.round = std::max(latest_ballot_.round, reply.promised.round);
  const bool majority = leader_lost_votes_.size() >= voter_.Majority();
  if (majority && candidate_ballot_ == Ballot{}) StartElection(send);
}

void ViewAgreement::Handle(double now, NodeId from, const Promise& promise,
                           std::vector<OutgoingMessage>* send) {
  if (!voter_.MergeHeader(from, promise.voter)) return;
  if (promise.ballot != candidate_ballot_ || candidate_ballot_ == Ballot{}) return;
  promises_[from] = promise;
  if (from == options_.self) {
    const Prepare prepare{.voter = voter_.Header(), .ballot = candidate_ballot_};
    for (const NodeId id : options_.voters) {
      if (id != options_.self) send->push_back({id, prepare});
    }
  }
  EndElectionIfWon(now, send);
}

void ViewAgreement::Handle(double now, NodeId from, const Accepted& accepted,
                           std::vector<OutgoingMessage>* send) {
  if (!voter_.MergeHeader(from, accepted.voter)) return;
  leader_.OnAccepted(now, from, accepted, voter_, send);
}

void ViewAgreement::Handle(double now, NodeId from, const HeartbeatAck& ack,
                           std::vector<OutgoingMessage>* send) {
  if (!voter_.MergeHeader(from, ack.voter)) return;
  leader_.OnHeartbeatAck(now, from, ack, voter_, send);
}

void ViewAgreement::Handle(double now, NodeId from, const Rejection& rejection,
                           std::vector<OutgoingMessage>* /*send*/) {
  if (!voter_.MergeHeader(from, rejection.voter)) return;
  if (rejection.promised > leader_.ballot() && leader_.leading()) StepDown(now);
  if (rejection.promised > candidate_ballot_) candidate_ballot_ = {};
  latest_ballot_.round = std::max(latest_ballot_.round, rejection.promised.round);
}

// ---- elections ----

void ViewAgreement::RestartElectionTimeout(double now, double min_timeouts) {
  election_timeout_at_ = now + options_.timings.election_s * (min_timeouts + random_.Unit());
}

void ViewAgreement::StepDown(double now) {
  leader_.StopLeading();
  RestartElectionTimeout(now, 1);
}

void ViewAgreement::QueryLeaderLoss(double now, std::vector<OutgoingMessage>* send) {
  RestartElectionTimeout(now, 0.5);
  candidate_ballot_ = {};
  leader_lost_votes_.clear();
  promises_.clear();
  query_number_ = random_.NextUint64();
  const LeaderLossQuery query{.voter = voter_.Header(), .query_number = query_number_};
  for (const NodeId id : options_.voters) send->push_back({id, query});
}

void ViewAgreement::StartElection(std::vector<OutgoingMessage>* send) {
  const std::uint64_t round = std::max({voter_.voter_state().promised.round, latest_ballot_.round,
                                        leader_.ballot().round}) +
                              1;
  candidate_ballot_ = {round, options_.self};
  // Only promises of this ballot count, and a late reply to the query starts no other election.
  promises_.clear();
  leader_lost_votes_.clear();
  query_number_ = 0;
  // To itself first: if others saw the ballot before it is on disk here, the next process of this
  // member could use it again for other views.
  send->push_back({options_.self, Prepare{.voter = voter_.Header(), .ballot = candidate_ballot_}});
}

void ViewAgreement::EndElectionIfWon(double now, std::vector<OutgoingMessage>* send) {
  VoterIdentities quorum;
  View latest;
  Ballot latest_accepted_by;
  for (const auto& [id, promise] : promises_) {
    const StorageIdentity identity = promise.voter.storage_identity;
    if (identity != voter_.KnownIdentity(id)) continue;
    quorum.push_back({id, identity});
    const bool later = std::pair(promise.accepted_by, promise.accepted.epoch) >
                       std::pair(latest_accepted_by, latest.epoch);
    if (!later) continue;
    latest_accepted_by = promise.accepted_by;
    latest = promise.accepted;
  }
  if (quorum.size() < voter_.Majority()) return;
  const Ballot won = std::exchange(candidate_ballot_, {});
  counters_.elections += 1;
  leader_.StartLeading(now, won, std::move(quorum), latest, voter_, send);
}

// ---- views and leases, at any member ----

void ViewAgreement::LearnView(double now, const View& view, Actions* actions) {
  if (view.epoch == view_.epoch && view != view_) counters_.conflicts += 1;
  if (view.epoch <= view_.epoch) return;
  view_ = view;
  counters_.views += 1;
  actions->new_view = true;
  const ViewMember* self = view_.Find(options_.self);
  const bool in_view = self != nullptr && self->process_incarnation == options_.process_incarnation;
  if (!in_view) lease_until_ = -1;
  // At once, as the leader may wait until this member knows the view.
  renew_at_ = std::min(renew_at_, now);
}

void ViewAgreement::Handle(double now, const ViewDecided& decided, Actions* actions) {
  LearnView(now, decided.view, actions);
}

void ViewAgreement::Handle(double now, const LeaderRedirect& redirect, Actions* /*actions*/) {
  const auto at =
      std::find(options_.voters.begin(), options_.voters.end(), redirect.ballot.proposer);
  if (at == options_.voters.end() || unanswered_requests_ == 0) return;
  const auto index = static_cast<std::size_t>(at - options_.voters.begin());
  // A voter that has not answered lately is not asked again: requests are relayed to it meanwhile.
  if (index == lease_voter_ || (index == unresponsive_voter_ && now < avoid_voter_until_)) return;
  lease_voter_ = index;
  unanswered_requests_ = 0;
  renew_at_ = std::min(renew_at_, now);
}

void ViewAgreement::Handle(double /*now*/, const IdentityConflict& conflict, Actions* actions) {
  unanswered_requests_ = 0;
  counters_.identity_conflicts += 1;
  const bool other = conflict.process_incarnation != options_.process_incarnation;
  if (conflict.both_present && other) actions->superseded = superseded_ = true;
}

void ViewAgreement::Handle(double now, const LeaseGrant& grant, Actions* /*actions*/) {
  if (grant.process_incarnation != options_.process_incarnation) return;
  if (grant.epoch != view_.epoch || view_.epoch == 0) return;
  unanswered_requests_ = 0;
  const double until = grant.requested_at_s + grant.duration_s * (1 - options_.timings.clock_drift);
  // A grant for a request in the future or for longer than a lease lasts is invalid.
  if (grant.requested_at_s > now || grant.duration_s > options_.timings.lease_s) return;
  lease_until_ = std::max(lease_until_, until);
  counters_.leases += 1;
  had_lease_ = true;
}

void ViewAgreement::RequestLease(double now, Actions* actions) {
  renew_at_ = now + options_.timings.renew_s * (0.9 + 0.2 * random_.Unit());
  if (leaving_ || superseded_) return;
  if (++unanswered_requests_ > kRequestsPerVoter) {
    unresponsive_voter_ = lease_voter_;
    avoid_voter_until_ = now + kUnresponsiveVoterS;
    lease_voter_ = (lease_voter_ + 1) % options_.voters.size();
    unanswered_requests_ = 1;
  }
  LeaseRequest request{.epoch = view_.epoch,
                       .process_incarnation = options_.process_incarnation,
                       .requested_at_s = now,
                       .store_id = store_id_,
                       .requested_logs = requested_logs_};
  const NodeId to = options_.voters[lease_voter_];
  if (to != options_.self) {
    actions->send.push_back({to, std::move(request)});
    return;
  }
  std::vector<OutgoingMessage> replies;
  Dispatch(now, options_.self, options_.process_incarnation, request, &replies, actions);
  Emit(now, &replies, actions);
}

void ViewAgreement::RequestLogs(double now, std::uint64_t store_id,
                                std::vector<LogAssignment> logs) {
  if (store_id == store_id_ && logs == requested_logs_) return;
  store_id_ = store_id;
  requested_logs_ = std::move(logs);
  renew_at_ = std::min(renew_at_, now);
}

void ViewAgreement::Leave(double now, Actions* actions) {
  if (leaving_) return;
  const LeaseRelease release{.process_incarnation = options_.process_incarnation};
  for (const NodeId to : options_.voters) {
    if (to != options_.self) actions->send.push_back({to, release});
  }
  if (leader_.leading()) {
    leader_.OnLeaseRelease(now, options_.self, options_.process_incarnation);
  }
  leaving_ = true;
  lease_until_ = -1;
}

// ---- time ----

void ViewAgreement::Tick(double now, Actions* actions) {
  if (had_lease_ && lease_until_ <= now) {
    had_lease_ = false;
    counters_.leases_expired += 1;
  }
  if (superseded_) {
    renew_at_ = std::numeric_limits<double>::infinity();
    return;
  }
  if (voter_.IsVoter(options_.self)) TickVoter(now, actions);
  if (renew_at_ <= now) RequestLease(now, actions);
}

void ViewAgreement::TickVoter(double now, Actions* actions) {
  std::vector<OutgoingMessage> send;
  if (!voter_.voting() && recovery_at_ <= now) {
    recovery_at_ = now + kRecoveryIntervalS;
    voter_.ContinueRecovery(&send);
    Emit(now, &send, actions);
  }
  if (!voter_.voting()) return;
  leader_.Tick(now, voter_, &send);
  // A leader steps down when no majority has acknowledged a heartbeat for two election timeouts.
  const double unconfirmed_s = now - leader_.confirmed_at();
  if (leader_.leading() && unconfirmed_s > 2 * options_.timings.election_s) StepDown(now);
  if (election_timeout_at_ <= now) {
    if (leader_.leading() || leaving_) {
      election_timeout_at_ = now + options_.timings.election_s;
    } else {
      QueryLeaderLoss(now, &send);
    }
  }
  Emit(now, &send, actions);
}

}  // namespace millethollow::membership
