// A voter's vote: the acceptor of a register that is decided by ballots (Paxos; CASPaxos, Rystsov
// 2018), and its mind, by which a voter that lost its disk is told from one that has it (crash
// vectors: Michael, Ports, Sharma, Szekeres, 'Recovering shared objects without stable storage',
// 2017).
#ifndef MILLETHOLLOW_MEMBERSHIP_VOTER_H_
#define MILLETHOLLOW_MEMBERSHIP_VOTER_H_

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
  StorageIdentities storage_identities;
  std::uint64_t writes = 0;  // how often it was written
};

class Voter {
 public:
  enum class State : std::uint8_t {
    kAsking,    // what the others know of its mind
    kClaiming,  // it lost its disk: a majority of the others must note its new mind
    kVoting,
    kStopped,  // its disk failed: no more votes in this life
  };
  // Of one voter alone a majority is itself, whatever it has lost: then nobody could tell.
  Voter(NodeId self, std::vector<NodeId> voters, std::uint64_t nonce, PersistentVoterState votes);

  // Answers what concerns the vote; true if `m` was such a message.
  bool OnMessage(NodeId from, const AgreementMessage& m, std::vector<OutgoingMessage>* send);
  // Goes on with what it asks until it may vote. To be called every now and then.
  void Ask(std::vector<OutgoingMessage>* send);
  void OnStoreFailed() { state_ = State::kStopped; }
  // True once after a change of votes(): it must be on disk before what was sent since goes out.
  bool TakeDirty() { return std::exchange(dirty_, false); }

  State state() const { return state_; }
  bool voting() const { return state_ == State::kVoting; }
  const PersistentVoterState& voter_state() const { return votes_; }
  const std::vector<NodeId>& voters() const { return voters_; }
  std::size_t Majority() const { return voters_.size() / 2 + 1; }
  bool Is(NodeId id) const;  // a voter
  // The mind that this voter knows for another; number 0 where it knows none.
  StorageIdentity Known(NodeId id) const;
  // Are these all the latest minds that it knows?
  bool Current(const StorageIdentities& quorum) const;
  // A message of a voter, with all that it knows of minds.
  AgreementMessage Say(AgreementMessage::Kind kind) const;
  // Takes in what another knows. False: its words come from a mind that it has since lost.
  bool Merge(NodeId from, const AgreementMessage& m);
  bool lost_disk() const { return lost_disk_; }

 private:
  void Touch();
  void Note(NodeId id, StorageIdentity storage_identity);
  void Promise(NodeId from, const AgreementMessage& m, std::vector<OutgoingMessage>* send);
  void Accept(NodeId from, const AgreementMessage& m, std::vector<OutgoingMessage>* send);
  void HearKnown(NodeId from, const AgreementMessage& m);
  void HearClaimed(NodeId from, const AgreementMessage& m);
  void Refuse(NodeId to, std::vector<OutgoingMessage>* send) const;
  bool Fresh() const { return votes_.promised == Ballot{} && votes_.accepted.epoch == 0; }

  NodeId self_;
  std::vector<NodeId> voters_;
  std::uint64_t nonce_;
  PersistentVoterState votes_;
  State state_ = State::kAsking;
  bool dirty_ = false, lost_disk_ = false;
  std::map<NodeId, std::pair<StorageIdentity, std::uint64_t>>
      writes_seen_;                           // of each one's latest mind
  std::map<NodeId, StorageIdentity> claims_;  // noted, and on the way to disk
  // While asking and claiming.
  std::set<NodeId> fresh_, remember_, claimed_;
  StorageIdentity claim_, best_known_;
  PersistentVoterState gathered_;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_VOTER_H_
