#include "membership/voter.h"

#include <algorithm>
#include <tuple>

namespace millethollow::membership {

Voter::Voter(NodeId self, std::vector<NodeId> voters, std::uint64_t nonce,
             PersistentVoterState votes)
    : self_(self), voters_(std::move(voters)), nonce_(nonce), votes_(std::move(votes)) {
  best_known_ = votes_.storage_identity;
}

bool Voter::Is(NodeId id) const {
  return std::find(voters_.begin(), voters_.end(), id) != voters_.end();
}

StorageIdentity Voter::Known(NodeId id) const {
  if (id == self_) return votes_.storage_identity;
  for (const auto& [who, storage_identity] : votes_.storage_identities) {
    if (who == id) return storage_identity;
  }
  return {};
}

void Voter::Note(NodeId id, StorageIdentity storage_identity) {
  if (id == self_ || !Is(id)) return;
  auto it = std::lower_bound(votes_.storage_identities.begin(), votes_.storage_identities.end(), id,
                             [](const auto& entry, NodeId key) { return entry.first < key; });
  if (it == votes_.storage_identities.end() || it->first != id) {
    it = votes_.storage_identities.insert(it, {id, StorageIdentity{}});
  }
  it->second = std::max(it->second, storage_identity);
}

bool Voter::Current(const StorageIdentities& quorum) const {
  return std::all_of(quorum.begin(), quorum.end(),
                     [this](const auto& entry) { return entry.second >= Known(entry.first); });
}

AgreementMessage Voter::Say(AgreementMessage::Kind kind) const {
  AgreementMessage m;
  m.kind = kind;
  m.storage_identity = votes_.storage_identity;
  m.storage_identities = votes_.storage_identities;
  m.count = votes_.writes;
  if (votes_.storage_identity.number > 0)
    m.storage_identities.emplace_back(self_, votes_.storage_identity);
  m.knows = kKnowsLogs;
  return m;
}

bool Voter::Merge(NodeId from, const AgreementMessage& m) {
  if (!Is(from)) return false;
  for (const auto& [id, storage_identity] : m.storage_identities) {
    // Another process has spoken for this voter since: its vote is that one's now.
    if (id == self_ && storage_identity > votes_.storage_identity && state_ == State::kVoting)
      state_ = State::kStopped;
    Note(id, storage_identity);
  }
  Note(from, m.storage_identity);
  if (m.storage_identity < Known(from)) return false;
  writes_seen_[from] = std::max(writes_seen_[from], {m.storage_identity, m.count});
  return true;
}

// Counted before anything that tells of the change is said, so that whoever hears it can notice if
// this disk later shows less.
void Voter::Touch() {
  if (dirty_) return;
  dirty_ = true;
  votes_.writes += 1;
}

void Voter::Refuse(NodeId to, std::vector<OutgoingMessage>* send) const {
  AgreementMessage m = Say(AgreementMessage::Kind::kRefused);
  m.ballot = votes_.promised;
  send->push_back({to, std::move(m)});
}

void Voter::Promise(NodeId from, const AgreementMessage& m, std::vector<OutgoingMessage>* send) {
  if (m.ballot < votes_.promised) return Refuse(from, send);
  if (m.ballot > votes_.promised) {
    votes_.promised = m.ballot;
    Touch();
  }
  AgreementMessage reply = Say(AgreementMessage::Kind::kPromise);
  reply.ballot = m.ballot;
  reply.accepted_by = votes_.accepted_by;
  reply.view = votes_.accepted;
  send->push_back({from, std::move(reply)});
}

void Voter::Accept(NodeId from, const AgreementMessage& m, std::vector<OutgoingMessage>* send) {
  // A leader made by a mind that is lost may have missed what that mind had accepted.
  if (m.ballot < votes_.promised || !Current(m.quorum)) return Refuse(from, send);
  const bool later =
      std::pair(m.ballot, m.view.epoch) > std::pair(votes_.accepted_by, votes_.accepted.epoch);
  if (later) {
    votes_.promised = votes_.accepted_by = m.ballot;
    votes_.accepted = m.view;
    Touch();
  }
  AgreementMessage reply = Say(AgreementMessage::Kind::kAccepted);
  reply.ballot = m.ballot;
  reply.number = m.view.epoch;
  send->push_back({from, std::move(reply)});
}

bool Voter::OnMessage(NodeId from, const AgreementMessage& m, std::vector<OutgoingMessage>* send) {
  using Kind = AgreementMessage::Kind;
  const bool asks = m.kind == Kind::kWho || m.kind == Kind::kClaim;
  const bool votes = m.kind == Kind::kPrepare || m.kind == Kind::kPropose || m.kind == Kind::kBeat;
  const bool answers = m.kind == Kind::kKnown || m.kind == Kind::kClaimed;
  if (!asks && !votes && !answers) return false;
  if (!Is(from) || state_ == State::kStopped) return true;
  if (m.kind == Kind::kWho) {
    // Also one that does not vote yet tells what its disk says.
    AgreementMessage reply = Say(Kind::kKnown);
    reply.number = m.number;
    reply.yes = Fresh();
    const auto& [storage_identity, writes] = writes_seen_[from];
    reply.count = storage_identity == Known(from) ? writes : 0;
    if (from != self_) send->push_back({from, std::move(reply)});
    return true;
  }
  if (m.kind == Kind::kKnown) return HearKnown(from, m), true;
  if (m.kind == Kind::kClaimed) return HearClaimed(from, m), true;
  if (!voting() || !Merge(from, m)) return true;
  switch (m.kind) {
    case Kind::kClaim: {
      if (claims_[from] != m.storage_identity)
        Touch();  // Merge has noted it: on disk before we say so
      claims_[from] = m.storage_identity;
      AgreementMessage reply = Say(Kind::kClaimed);
      reply.storage_identity = m.storage_identity;
      reply.ballot = votes_.promised;
      reply.accepted_by = votes_.accepted_by;
      reply.view = votes_.accepted;
      send->push_back({from, std::move(reply)});
      break;
    }
    case Kind::kPrepare:
      Promise(from, m, send);
      break;
    case Kind::kPropose:
      Accept(from, m, send);
      break;
    default: {  // kBeat
      if (m.ballot < votes_.promised || !Current(m.quorum)) {
        Refuse(from, send);
        break;
      }
      AgreementMessage reply = Say(Kind::kBeaten);
      reply.ballot = m.ballot;
      reply.number = m.number;
      send->push_back({from, std::move(reply)});
    }
  }
  return true;
}

void Voter::Ask(std::vector<OutgoingMessage>* send) {
  if (state_ == State::kVoting || state_ == State::kStopped) return;
  if (voters_.size() == 1 && state_ == State::kAsking) {
    if (votes_.storage_identity.number == 0) votes_.storage_identity = {1, nonce_};
    Touch();
    state_ = State::kVoting;
    return;
  }
  AgreementMessage m =
      Say(state_ == State::kAsking ? AgreementMessage::Kind::kWho : AgreementMessage::Kind::kClaim);
  m.number = nonce_;
  if (state_ == State::kClaiming) m.storage_identity = claim_;
  for (const NodeId id : voters_) {
    if (id != self_) send->push_back({id, m});
  }
}

void Voter::HearKnown(NodeId from, const AgreementMessage& m) {
  if (state_ != State::kAsking || m.number != nonce_) return;
  for (const auto& [id, storage_identity] : m.storage_identities) {
    if (id == self_) best_known_ = std::max(best_known_, storage_identity);
  }
  // It saw more than our disk holds.
  if (m.count > votes_.writes && best_known_ == votes_.storage_identity) lost_disk_ = true;
  if (m.yes) fresh_.insert(from);
  if (m.storage_identity.number > 0) remember_.insert(from);
  if (best_known_ > votes_.storage_identity) lost_disk_ = true;
  const std::size_t others = voters_.size() - 1;
  if (votes_.storage_identity.number > 0 && !lost_disk_) {
    // With itself a majority that remembers, and none of them knows better.
    if (remember_.size() + 1 >= Majority()) state_ = State::kVoting;
  } else if (!lost_disk_ && fresh_.size() == others) {
    // The very first start: nobody has ever promised anything.
    votes_.storage_identity = {1, nonce_};
    Touch();
    state_ = State::kVoting;
  } else if (remember_.size() >= Majority()) {
    lost_disk_ = true;
    claim_ = {best_known_.number + 1, nonce_};
    gathered_ = {};
    gathered_.writes = votes_.writes;
    state_ = State::kClaiming;
  }
}

void Voter::HearClaimed(NodeId from, const AgreementMessage& m) {
  if (state_ != State::kClaiming || m.storage_identity != claim_) return;
  claimed_.insert(from);
  gathered_.promised = std::max(gathered_.promised, m.ballot);
  if (std::pair(m.accepted_by, m.view.epoch) >
      std::pair(gathered_.accepted_by, gathered_.accepted.epoch)) {
    gathered_.accepted_by = m.accepted_by;
    gathered_.accepted = m.view;
  }
  for (const auto& [id, storage_identity] : m.storage_identities) Note(id, storage_identity);
  if (claimed_.size() < Majority()) return;
  gathered_.storage_identity = claim_;
  gathered_.storage_identities = votes_.storage_identities;
  votes_ = gathered_;
  Touch();
  state_ = State::kVoting;
}

}  // namespace millethollow::membership
