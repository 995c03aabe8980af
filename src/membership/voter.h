// A voter: the acceptor of a replicated register (Paxos, Lamport 1998; CASPaxos, Rystsov 2018), and
// its storage identity, which tells a voter that lost its disk from one that has it (crash vectors:
// Michael, Ports, Sharma, Szekeres, 'Recovering shared objects without stable storage', 2017).
//
// No I/O; not thread-safe. Invariant: a reply is sent only after the change of voter_state() that
// it reports is on disk; TakeDirty() tells the caller when to wait for the disk.
#ifndef MILLETHOLLOW_MEMBERSHIP_VOTER_H_
#define MILLETHOLLOW_MEMBERSHIP_VOTER_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "membership/message.h"

namespace millethollow::membership {

// What a voter keeps on disk. It is the default where nothing has been stored.
struct PersistentVoterState {
  Ballot promised, accepted_by;  // accepted_by: the ballot in which `accepted` was proposed
  View accepted;
  StorageIdentity storage_identity;
  VoterIdentities known_identities;  // of the other voters
  std::uint64_t writes = 0;          // how often it was written
};

// The acceptor of one voter.
class Voter {
 public:
  enum class State : std::uint8_t {
    kQuerying,  // queries the other voters for its storage identity
    kClaiming,  // it lost its disk: a majority of the voters must record its new identity
    kVoting,
    kStopped,  // its disk failed, or another process has voted as this member: it votes no more
  };
  // `nonce` identifies this process among those of the same member. A single voter is a majority
  // alone, and no other voter could detect that it lost its disk.
  Voter(NodeId self, std::vector<NodeId> voters, std::uint64_t nonce, PersistentVoterState state);

  // Handles a message about votes or storage identities. False if `message` is of another kind.
  bool OnMessage(NodeId from, const AgreementMessage& message, std::vector<OutgoingMessage>* send);
  // Sends the next messages of the recovery of the storage identity, after which this voter may
  // vote. To be called at intervals until then.
  void ContinueRecovery(std::vector<OutgoingMessage>* send);
  void OnStoreFailed() { state_ = State::kStopped; }
  // True once after a change of voter_state(), which must be on disk before the messages produced
  // since are sent.
  bool TakeDirty() { return std::exchange(dirty_, false); }

  State state() const { return state_; }
  bool voting() const { return state_ == State::kVoting; }
  const PersistentVoterState& voter_state() const { return voter_state_; }
  const std::vector<NodeId>& voters() const { return voters_; }
  std::size_t Majority() const { return voters_.size() / 2 + 1; }
  bool IsVoter(NodeId id) const;
  // The latest identity that this voter knows for `id`; number 0: none.
  StorageIdentity KnownIdentity(NodeId id) const;
  // Whether this voter knows of no later identity for any of these voters.
  bool IsCurrent(const VoterIdentities& quorum) const;
  // The header of this voter's messages.
  VoterHeader Header() const;
  // Records the identities that another voter knows. Returns false if the sender's own identity has
  // been replaced, so that its message must be ignored.
  bool MergeHeader(NodeId from, const VoterHeader& header);
  // Whether this voter found at its start that its disk lacks earlier writes.
  bool lost_disk() const { return lost_disk_; }

 private:
  void Handle(NodeId from, const IdentityQuery& query, std::vector<OutgoingMessage>* send);
  void Handle(NodeId from, const IdentityReply& reply, std::vector<OutgoingMessage>* send);
  void Handle(NodeId from, const IdentityClaim& claim, std::vector<OutgoingMessage>* send);
  void Handle(NodeId from, const IdentityClaimAck& ack, std::vector<OutgoingMessage>* send);
  void Handle(NodeId from, const Prepare& prepare, std::vector<OutgoingMessage>* send);
  void Handle(NodeId from, const Propose& propose, std::vector<OutgoingMessage>* send);
  void Handle(NodeId from, const Heartbeat& heartbeat, std::vector<OutgoingMessage>* send);

  void MarkDirty();
  void RecordIdentity(NodeId id, StorageIdentity identity);
  void EndRecoveryIfPossible();
  void Reject(NodeId to, std::vector<OutgoingMessage>* send) const;
  bool NeverPromised() const {
    return voter_state_.promised == Ballot{} && voter_state_.accepted.epoch == 0;
  }

  struct WritesSeen {
    StorageIdentity storage_identity;  // the latest
    std::uint64_t writes = 0;          // the maximum with that identity
    auto operator<=>(const WritesSeen&) const = default;
  };

  NodeId self_;
  std::vector<NodeId> voters_;
  std::uint64_t nonce_;
  PersistentVoterState voter_state_;
  State state_ = State::kQuerying;
  bool dirty_ = false, lost_disk_ = false;
  std::map<NodeId, WritesSeen> writes_seen_;           // in messages of other voters
  std::map<NodeId, StorageIdentity> recorded_claims_;  // on disk or being written to it
  // Recovery.
  std::set<NodeId> never_promised_;        // voters that have no vote on record
  std::set<NodeId> voters_with_identity_;  // voters that have a storage identity
  std::set<NodeId> claim_acks_;
  // Of this voter: the identity that it claims, and the latest one that any voter knows.
  StorageIdentity claimed_identity_, latest_identity_;
  PersistentVoterState recovered_state_;  // the latest votes in the acks of the claim
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_VOTER_H_
