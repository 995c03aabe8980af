#include "membership/voter.h"

#include <algorithm>
#include <utility>

namespace millethollow::membership {

Voter::Voter(NodeId self, std::vector<NodeId> voters, std::uint64_t nonce,
             PersistentVoterState state)
    : self_(self), voters_(std::move(voters)), nonce_(nonce), voter_state_(std::move(state)) {
  latest_identity_ = voter_state_.storage_identity;
}

bool Voter::IsVoter(NodeId id) const {
  return std::find(voters_.begin(), voters_.end(), id) != voters_.end();
}

StorageIdentity Voter::KnownIdentity(NodeId id) const {
  if (id == self_) return voter_state_.storage_identity;
  for (const VoterIdentity& known : voter_state_.known_identities) {
    if (known.id == id) return known.storage_identity;
  }
  return {};
}

void Voter::RecordIdentity(NodeId id, StorageIdentity identity) {
  if (id == self_ || !IsVoter(id)) return;
  VoterIdentities& known = voter_state_.known_identities;
  auto it = std::lower_bound(known.begin(), known.end(), id,
                             [](const VoterIdentity& entry, NodeId key) { return entry.id < key; });
  if (it == known.end() || it->id != id) it = known.insert(it, {id, {}});
  it->storage_identity = std::max(it->storage_identity, identity);
}

bool Voter::IsCurrent(const VoterIdentities& quorum) const {
  return std::all_of(quorum.begin(), quorum.end(), [this](const VoterIdentity& entry) {
    return entry.storage_identity >= KnownIdentity(entry.id);
  });
}

VoterHeader Voter::Header() const {
  VoterHeader header{.storage_identity = voter_state_.storage_identity,
                     .known_identities = voter_state_.known_identities,
                     .writes = voter_state_.writes,
                     .feature_level = kLogsFeatureLevel};
  if (voter_state_.storage_identity.number > 0) {
    header.known_identities.push_back({self_, voter_state_.storage_identity});
  }
  return header;
}

bool Voter::MergeHeader(NodeId from, const VoterHeader& header) {
  if (!IsVoter(from)) return false;
  for (const auto& [id, identity] : header.known_identities) {
    // Another process of this member has claimed a later identity, and votes in its place.
    const bool replaced = id == self_ && identity > voter_state_.storage_identity;
    if (replaced && state_ == State::kVoting) state_ = State::kStopped;
    RecordIdentity(id, identity);
  }
  RecordIdentity(from, header.storage_identity);
  if (header.storage_identity < KnownIdentity(from)) return false;
  WritesSeen& seen = writes_seen_[from];
  seen = std::max(seen, WritesSeen{header.storage_identity, header.writes});
  return true;
}

// Counts the write before any message that reports the change is sent, so that its recipients can
// detect a disk that has fewer writes later.
void Voter::MarkDirty() {
  if (dirty_) return;
  dirty_ = true;
  voter_state_.writes += 1;
}

void Voter::Reject(NodeId to, std::vector<OutgoingMessage>* send) const {
  send->push_back({to, Rejection{.voter = Header(), .promised = voter_state_.promised}});
}

bool Voter::OnMessage(NodeId from, const AgreementMessage& message,
                      std::vector<OutgoingMessage>* send) {
  return std::visit(
      [&](const auto& typed) {
        if constexpr (requires { Handle(from, typed, send); }) {
          if (IsVoter(from) && state_ != State::kStopped) Handle(from, typed, send);
          return true;
        } else {
          return false;
        }
      },
      message);
}

// ---- votes ----

void Voter::Handle(NodeId from, const Prepare& prepare, std::vector<OutgoingMessage>* send) {
  if (!voting() || !MergeHeader(from, prepare.voter)) return;
  if (prepare.ballot < voter_state_.promised) return Reject(from, send);
  if (prepare.ballot > voter_state_.promised) {
    voter_state_.promised = prepare.ballot;
    MarkDirty();
  }
  send->push_back({from, Promise{.voter = Header(),
                                 .ballot = prepare.ballot,
                                 .accepted_by = voter_state_.accepted_by,
                                 .accepted = voter_state_.accepted}});
}

void Voter::Handle(NodeId from, const Propose& propose, std::vector<OutgoingMessage>* send) {
  if (!voting() || !MergeHeader(from, propose.voter)) return;
  // A leader whose quorum has a voter that lost its disk since may not know a view that this voter
  // had accepted.
  if (propose.ballot < voter_state_.promised || !IsCurrent(propose.quorum)) {
    return Reject(from, send);
  }
  const bool later = std::pair(propose.ballot, propose.view.epoch) >
                     std::pair(voter_state_.accepted_by, voter_state_.accepted.epoch);
  if (later) {
    voter_state_.promised = voter_state_.accepted_by = propose.ballot;
    voter_state_.accepted = propose.view;
    MarkDirty();
  }
  send->push_back(
      {from, Accepted{.voter = Header(), .ballot = propose.ballot, .epoch = propose.view.epoch}});
}

void Voter::Handle(NodeId from, const Heartbeat& heartbeat, std::vector<OutgoingMessage>* send) {
  if (!voting() || !MergeHeader(from, heartbeat.voter)) return;
  if (heartbeat.ballot < voter_state_.promised || !IsCurrent(heartbeat.quorum)) {
    return Reject(from, send);
  }
  send->push_back(
      {from, HeartbeatAck{
                 .voter = Header(), .ballot = heartbeat.ballot, .sequence = heartbeat.sequence}});
}

// ---- recovery of the storage identity ----

void Voter::ContinueRecovery(std::vector<OutgoingMessage>* send) {
  if (state_ == State::kVoting || state_ == State::kStopped) return;
  if (voters_.size() == 1 && state_ == State::kQuerying) {
    if (voter_state_.storage_identity.number == 0) voter_state_.storage_identity = {1, nonce_};
    MarkDirty();
    state_ = State::kVoting;
    return;
  }
  AgreementMessage message = IdentityQuery{.voter = Header(), .nonce = nonce_};
  if (state_ == State::kClaiming) {
    IdentityClaim claim{.voter = Header(), .nonce = nonce_};
    claim.voter.storage_identity = claimed_identity_;
    message = std::move(claim);
  }
  for (const NodeId id : voters_) {
    if (id != self_) send->push_back({id, message});
  }
}

// A voter that may not vote yet replies too, with what is on its disk.
void Voter::Handle(NodeId from, const IdentityQuery& query, std::vector<OutgoingMessage>* send) {
  const WritesSeen& seen = writes_seen_[from];
  const bool latest = seen.storage_identity == KnownIdentity(from);
  if (from == self_) return;
  send->push_back({from, IdentityReply{.voter = Header(),
                                       .nonce = query.nonce,
                                       .writes_seen = latest ? seen.writes : 0,
                                       .never_promised = NeverPromised()}});
}

void Voter::Handle(NodeId from, const IdentityReply& reply,
                   std::vector<OutgoingMessage>* /*send*/) {
  if (state_ != State::kQuerying || reply.nonce != nonce_) return;
  for (const auto& [id, identity] : reply.voter.known_identities) {
    if (id == self_) latest_identity_ = std::max(latest_identity_, identity);
  }
  // Another voter has seen more writes than this disk has.
  const bool same_identity = latest_identity_ == voter_state_.storage_identity;
  if (reply.writes_seen > voter_state_.writes && same_identity) lost_disk_ = true;
  if (reply.never_promised) never_promised_.insert(from);
  if (reply.voter.storage_identity.number > 0) voters_with_identity_.insert(from);
  if (latest_identity_ > voter_state_.storage_identity) lost_disk_ = true;
  EndRecoveryIfPossible();
}

void Voter::EndRecoveryIfPossible() {
  const std::size_t others = voters_.size() - 1;
  if (voter_state_.storage_identity.number > 0 && !lost_disk_) {
    // A majority including this voter has its storage, and none knows a later identity of it.
    if (voters_with_identity_.size() + 1 >= Majority()) state_ = State::kVoting;
  } else if (!lost_disk_ && never_promised_.size() == others) {
    // The first start of the cluster: no voter has ever promised anything.
    voter_state_.storage_identity = {1, nonce_};
    MarkDirty();
    state_ = State::kVoting;
  } else if (voters_with_identity_.size() >= Majority()) {
    lost_disk_ = true;
    claimed_identity_ = {latest_identity_.number + 1, nonce_};
    recovered_state_ = {};
    recovered_state_.writes = voter_state_.writes;
    state_ = State::kClaiming;
  }
}

void Voter::Handle(NodeId from, const IdentityClaim& claim, std::vector<OutgoingMessage>* send) {
  if (!voting() || !MergeHeader(from, claim.voter)) return;
  // MergeHeader has recorded the claim, which must be on disk before the ack is sent.
  const StorageIdentity claimed = claim.voter.storage_identity;
  if (recorded_claims_[from] != claimed) MarkDirty();
  recorded_claims_[from] = claimed;
  IdentityClaimAck ack{.voter = Header(),
                       .promised = voter_state_.promised,
                       .accepted_by = voter_state_.accepted_by,
                       .accepted = voter_state_.accepted};
  ack.voter.storage_identity = claimed;
  send->push_back({from, std::move(ack)});
}

void Voter::Handle(NodeId from, const IdentityClaimAck& ack,
                   std::vector<OutgoingMessage>* /*send*/) {
  if (state_ != State::kClaiming || ack.voter.storage_identity != claimed_identity_) return;
  claim_acks_.insert(from);
  recovered_state_.promised = std::max(recovered_state_.promised, ack.promised);
  if (std::pair(ack.accepted_by, ack.accepted.epoch) >
      std::pair(recovered_state_.accepted_by, recovered_state_.accepted.epoch)) {
    recovered_state_.accepted_by = ack.accepted_by;
    recovered_state_.accepted = ack.accepted;
  }
  for (const auto& [id, identity] : ack.voter.known_identities) RecordIdentity(id, identity);
  if (claim_acks_.size() < Majority()) return;
  recovered_state_.storage_identity = claimed_identity_;
  recovered_state_.known_identities = voter_state_.known_identities;
  voter_state_ = recovered_state_;
  MarkDirty();
  state_ = State::kVoting;
}

}  // namespace millethollow::membership
