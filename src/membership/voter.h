// A voter: the acceptor of a register that is decided by ballots (Paxos; CASPaxos, Rystsov 2018),
// and its storage identity, by which a voter that lost its disk is told from one that has it (crash
// vectors: Michael, Ports, Sharma, Szekeres, 'Recovering shared objects without stable storage',
// 2017).
//
// Decides only; not thread-safe. Invariant: a reply goes out only after the change of voter_state()
// that it tells of is on disk; the caller sees to that by TakeDirty().
#ifndef MILLETHOLLOW_MEMBERSHIP_VOTER_H_
#define MILLETHOLLOW_MEMBERSHIP_VOTER_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "membership/message.h"

namespace millethollow::membership {

// What a voter keeps on disk. An empty folder gives the default.
struct PersistentVoterState {
  Ballot promised, accepted_by;
  View accepted;
  StorageIdentity storage_identity;
  VoterIdentities known_identities;  // of the other voters
  std::uint64_t writes = 0;          // how often it was written
};

class Voter {
 public:
  enum class State : std::uint8_t {
    kAsking,    // asks the others what they know of its storage identity
    kClaiming,  // it lost its disk: a majority of the others must note its new identity
    kVoting,
    kStopped,  // its disk failed, or another process has voted as this member: no more votes
  };
  // `nonce` tells this process from others of the same member. Of one voter alone a majority is
  // itself, whatever it has lost: then nobody could tell.
  Voter(NodeId self, std::vector<NodeId> voters, std::uint64_t nonce, PersistentVoterState state);

  // Answers what concerns the vote; true if `message` was of such a kind.
  bool OnMessage(NodeId from, const AgreementMessage& message, std::vector<OutgoingMessage>* send);
  // Goes on with the recovery of the storage identity until this voter may vote. To be called
  // every now and then.
  void ContinueRecovery(std::vector<OutgoingMessage>* send);
  void OnStoreFailed() { state_ = State::kStopped; }
  // True once after a change of voter_state(): it must be on disk before what was sent since goes
  // out.
  bool TakeDirty() { return std::exchange(dirty_, false); }

  State state() const { return state_; }
  bool voting() const { return state_ == State::kVoting; }
  const PersistentVoterState& voter_state() const { return voter_state_; }
  const std::vector<NodeId>& voters() const { return voters_; }
  std::size_t Majority() const { return voters_.size() / 2 + 1; }
  bool IsVoter(NodeId id) const;
  // The identity that this voter knows for another; number 0 where it knows none.
  StorageIdentity KnownIdentity(NodeId id) const;
  // Are these all the latest identities that it knows?
  bool IsCurrent(const VoterIdentities& quorum) const;
  // What this voter's messages say of its storage.
  VoterHeader Header() const;
  // Notes the identities that another voter knows. False: the sender's own has been replaced since,
  // and its message doesn't count.
  bool MergeHeader(NodeId from, const VoterHeader& header);
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
  void NoteIdentity(NodeId id, StorageIdentity identity);
  void EndRecoveryIfKnown();
  void Reject(NodeId to, std::vector<OutgoingMessage>* send) const;
  bool NeverPromised() const {
    return voter_state_.promised == Ballot{} && voter_state_.accepted.epoch == 0;
  }

  struct WritesSeen {
    StorageIdentity storage_identity;  // the latest
    std::uint64_t writes = 0;          // the most under it
    auto operator<=>(const WritesSeen&) const = default;
  };

  NodeId self_;
  std::vector<NodeId> voters_;
  std::uint64_t nonce_;
  PersistentVoterState voter_state_;
  State state_ = State::kAsking;
  bool dirty_ = false, lost_disk_ = false;
  std::map<NodeId, WritesSeen> writes_seen_;        // by other voters
  std::map<NodeId, StorageIdentity> noted_claims_;  // on disk, or on the way there
  // Recovery.
  std::set<NodeId> never_promised_;  // voters that have no vote on record
  std::set<NodeId> with_identity_;   // voters that have a storage identity
  std::set<NodeId> claim_acks_;
  StorageIdentity claim_, best_known_;  // of this voter: claimed, and the latest that anybody knows
  PersistentVoterState recovered_;      // the latest of what the others' acks tell
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_VOTER_H_
