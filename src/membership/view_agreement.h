// Agreed views and leases: what one member does. A voter votes and may lead; every member asks for
// its lease and learns views. docs/design/membership.md has the promises and the sources.
//
// Decides only; not thread-safe: messages and time in, messages and writes out. Times are seconds
// on a clock of the member's own that never runs back and counts pauses of the process; the clocks
// of two members need only run at one pace, to within ViewAgreementTimings::clock_drift. State is
// bounded by the number of members.
// Invariants: two members never see different contents of one epoch; while a member holds its lease
// every later view that another member acts on has its entry as it is in view().
#ifndef MILLETHOLLOW_MEMBERSHIP_VIEW_AGREEMENT_H_
#define MILLETHOLLOW_MEMBERSHIP_VIEW_AGREEMENT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "membership/leader.h"
#include "membership/message.h"
#include "membership/voter.h"

namespace millethollow::membership {

struct ViewAgreementCounters {
  std::uint64_t elections = 0, views = 0, leases = 0, leases_expired = 0;
  std::uint64_t identity_conflicts = 0;
  std::uint64_t conflicts = 0;  // two contents of one epoch: never, or something is broken
};

class ViewAgreement {
 public:
  struct Options {
    NodeId self = 0;
    ProcessIncarnation process_incarnation = 0;
    std::vector<NodeId> voters;
    Leader::FailureDomains members;  // all, this one among them
    ViewAgreementTimings timings;
  };
  struct Actions {
    std::vector<OutgoingMessage> send;
    // voter_state() is to be written; then OnStored(ticket) or OnStoreFailed() is to be called.
    bool write = false;
    std::uint64_t ticket = 0;
    bool new_view = false;
    bool superseded = false;  // another process is this member, and is there to stay
  };

  ViewAgreement(Options options, PersistentVoterState voter_state, std::uint64_t seed, double now);

  void OnMessage(double now, NodeId from, ProcessIncarnation process_incarnation,
                 const AgreementMessage& message, Actions* actions);
  void OnHealthChange(const HealthChange& change) { leader_.OnHealthChange(change); }
  void Tick(double now, Actions* actions);
  double NextAt() const;  // when Tick is due
  // The write of this ticket, and so every one before it, is on disk.
  void OnStored(double now, std::uint64_t ticket, Actions* actions);
  // It is not, and never will be: this process does not vote any more.
  void OnStoreFailed();
  // What this member wants of its logs, and the number of its store; sent with the next lease
  // request.
  void RequestLogs(double now, std::uint64_t store_id, std::vector<LogAssignment> logs);
  // Releases the lease, so that nobody needs to wait for its end.
  void Leave(double now, Actions* actions);

  // May this member act on its entry in view()? To be asked with a clock read just now.
  bool HoldsLease(double now) const { return LeaseRemaining(now) > 0; }
  double LeaseRemaining(double now) const;  // seconds; 0: no lease
  const View& view() const { return view_; }
  const PersistentVoterState& voter_state() const { return voter_.voter_state(); }
  const Voter& voter() const { return voter_; }
  const Leader& leader() const { return leader_; }
  // The member that leads, as far as is known; 0: none.
  NodeId known_leader() const {
    return leader_.leading() ? options_.self : latest_ballot_.proposer;
  }
  bool superseded() const { return superseded_; }
  const ViewAgreementCounters& counters() const { return counters_; }

 private:
  struct UnstoredMessage {  // waits until the write of its ticket is on disk
    std::uint64_t ticket = 0;
    OutgoingMessage outgoing;
  };

  // Sends `outgoing`; what depends on a write waits until that is on disk. What this member sends
  // to itself is handled here.
  void Emit(double now, std::vector<OutgoingMessage>* outgoing, Actions* actions);
  void Dispatch(double now, NodeId from, ProcessIncarnation process_incarnation,
                const AgreementMessage& message, std::vector<OutgoingMessage>* send,
                Actions* actions);

  // Lease requests and releases, from the member or by way of another voter.
  void Handle(double now, NodeId from, ProcessIncarnation process_incarnation,
              const LeaseRequest& request, std::vector<OutgoingMessage>* send);
  void Handle(double now, NodeId from, ProcessIncarnation process_incarnation,
              const LeaseRelease& release, std::vector<OutgoingMessage>* send);
  template <typename Message>
  bool PassOnToLeader(double now, NodeId from, ProcessIncarnation process_incarnation,
                      const Message& message, std::vector<OutgoingMessage>* send);

  // Answers of the leader, or of a voter in between, to this member.
  void Handle(double now, const ViewDecided& decided, Actions* actions);
  void Handle(double now, const LeaseGrant& grant, Actions* actions);
  void Handle(double now, const LeaderRedirect& redirect, Actions* actions);
  void Handle(double now, const IdentityConflict& conflict, Actions* actions);

  // Messages between voters.
  void OnVoterMessage(double now, NodeId from, const AgreementMessage& message,
                      std::vector<OutgoingMessage>* send);
  void OnLeaderHeard(double now, NodeId from, const Ballot& ballot);
  void Handle(double now, NodeId from, const LeaderLossQuery& query,
              std::vector<OutgoingMessage>* send);
  void Handle(double now, NodeId from, const LeaderLossReply& reply,
              std::vector<OutgoingMessage>* send);
  void Handle(double now, NodeId from, const Promise& promise, std::vector<OutgoingMessage>* send);
  void Handle(double now, NodeId from, const Accepted& accepted,
              std::vector<OutgoingMessage>* send);
  void Handle(double now, NodeId from, const HeartbeatAck& ack, std::vector<OutgoingMessage>* send);
  void Handle(double now, NodeId from, const Rejection& rejection,
              std::vector<OutgoingMessage>* send);

  // Elections.
  void QueryLeaderLoss(double now, std::vector<OutgoingMessage>* send);
  void StartElection(std::vector<OutgoingMessage>* send);
  void EndElectionIfWon(double now, std::vector<OutgoingMessage>* send);
  bool LeaderLost(double now) const {
    return now - heartbeat_heard_at_ > options_.timings.election_s;
  }
  void StepDown(double now);
  // Once per election timeout; random, so that voters don't all stand for election at once.
  void RestartElectionTimeout(double now, double least);
  void TickVoter(double now, Actions* actions);

  void LearnView(double now, const View& view, Actions* actions);
  void RequestLease(double now, Actions* actions);

  Options options_;
  Voter voter_;
  Leader leader_;
  Random random_;
  // Writes of the voter's state, and the messages that wait for them.
  std::uint64_t last_ticket_ = 0, stored_ticket_ = 0;
  std::deque<UnstoredMessage> unstored_;
  // Elections.
  double heartbeat_heard_at_;       // of any leader
  double election_timeout_at_;      // when the other voters are asked
  double recovery_at_;              // when the voter's recovery goes on
  Ballot latest_ballot_;            // of a leader, as far as known
  Ballot candidate_ballot_;         // of this voter while it stands for election; else the default
  std::uint64_t query_number_ = 0;  // of the query that is out; 0: none
  std::map<NodeId, StorageIdentity> leader_lost_by_;
  std::map<NodeId, Promise> promises_;
  // The lease, and the voter that is asked for it.
  View view_;
  double lease_until_ = -1, renew_at_;
  std::size_t asked_voter_ = 0, silent_voter_ = 0;  // in options_.voters
  double silent_until_ = -1;                        // until then silent_voter_ is not gone back to
  int unanswered_requests_ = 0;
  std::uint64_t store_id_ = 0;
  std::vector<LogAssignment> wanted_logs_;
  bool leaving_ = false, superseded_ = false, had_lease_ = false;
  ViewAgreementCounters counters_;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_VIEW_AGREEMENT_H_
