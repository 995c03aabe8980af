// One member's part in the agreement on views and in leases. A voter votes and may lead; every
// member requests its lease and learns views. docs/design/membership.md has the guarantees and the
// sources.
//
// No I/O and no clock of its own: takes messages and the time, returns messages and writes. Not
// thread-safe. Times are seconds on the member's own monotonic clock, which counts pauses of the
// process; the rates of two members' clocks may differ by ViewAgreementTimings::clock_drift, their
// values by anything. State is bounded by the number of members.
// Invariants: two members never learn different views of one epoch; while a member holds its lease,
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

// Counts since the start.
struct ViewAgreementCounters {
  // Elections that this voter won; views that this member learned; leases granted to it.
  std::uint64_t elections = 0, views = 0, leases = 0, leases_expired = 0;
  std::uint64_t identity_conflicts = 0;
  std::uint64_t conflicts = 0;  // different views of one epoch: more than 0 is a violated invariant
};

class ViewAgreement {
 public:
  struct Options {
    NodeId self = 0;
    ProcessIncarnation process_incarnation = 0;
    std::vector<NodeId> voters;
    Leader::FailureDomains members;  // all, including this one
    ViewAgreementTimings timings;
  };
  // The result of a call: messages to be sent, a write, and changes of the view.
  struct Actions {
    std::vector<OutgoingMessage> send;
    // voter_state() is to be written; then OnStored(ticket) or OnStoreFailed() is to be called.
    bool write = false;
    std::uint64_t ticket = 0;
    bool new_view = false;
    bool superseded = false;  // another running process has this member id: this one must end
  };

  ViewAgreement(Options options, PersistentVoterState voter_state, std::uint64_t seed, double now);

  void OnMessage(double now, NodeId from, ProcessIncarnation process_incarnation,
                 const AgreementMessage& message, Actions* actions);
  void OnHealthChange(const HealthChange& change) { leader_.OnHealthChange(change); }
  // Sends the requests, heartbeats and proposals that are due.
  void Tick(double now, Actions* actions);
  double NextTickAt() const;  // when Tick is due
  // The write with this ticket and all before it are on disk.
  void OnStored(double now, std::uint64_t ticket, Actions* actions);
  // A write has failed: this process votes no more.
  void OnStoreFailed();
  // The logs that this member requests (LogRequest::logs), and the id of its store. They are sent
  // with the next lease request.
  void RequestLogs(double now, std::uint64_t store_id, std::vector<LogAssignment> logs);
  // Releases the lease, so that no other member has to wait for its end.
  void Leave(double now, Actions* actions);

  // Whether this member may act on its entry in view(). `now` must have been read just before.
  bool HoldsLease(double now) const { return LeaseRemaining(now) > 0; }
  double LeaseRemaining(double now) const;  // seconds; 0: no lease
  const View& view() const { return view_; }
  const PersistentVoterState& voter_state() const { return voter_.voter_state(); }
  const Voter& voter() const { return voter_; }
  const Leader& leader() const { return leader_; }
  // The leader that this member knows; 0: none.
  NodeId known_leader() const {
    return leader_.leading() ? options_.self : latest_ballot_.proposer;
  }
  bool superseded() const { return superseded_; }
  const ViewAgreementCounters& counters() const { return counters_; }

 private:
  struct UnstoredMessage {  // to be sent once the write with its ticket is on disk
    std::uint64_t ticket = 0;
    OutgoingMessage outgoing;
  };

  // Sends `outgoing`, or queues it until the pending writes are on disk. Handles what this member
  // sends to itself.
  void Emit(double now, std::vector<OutgoingMessage>* outgoing, Actions* actions);
  void Dispatch(double now, NodeId from, ProcessIncarnation process_incarnation,
                const AgreementMessage& message, std::vector<OutgoingMessage>* send,
                Actions* actions);

  // Lease requests and releases, from the member or relayed by another voter.
  void Handle(double now, NodeId from, ProcessIncarnation process_incarnation,
              const LeaseRequest& request, std::vector<OutgoingMessage>* send);
  void Handle(double now, NodeId from, ProcessIncarnation process_incarnation,
              const LeaseRelease& release, std::vector<OutgoingMessage>* send);
  template <typename Message>
  bool RelayToLeader(double now, NodeId from, ProcessIncarnation process_incarnation,
                     const Message& message, std::vector<OutgoingMessage>* send);

  // Replies to this member, from the leader or a voter.
  void Handle(double now, const ViewDecided& decided, Actions* actions);
  void Handle(double now, const LeaseGrant& grant, Actions* actions);
  void Handle(double now, const LeaderRedirect& redirect, Actions* actions);
  void Handle(double now, const IdentityConflict& conflict, Actions* actions);

  // Messages between voters.
  void OnVoterMessage(double now, NodeId from, const AgreementMessage& message,
                      std::vector<OutgoingMessage>* send);
  void OnLeaderContact(double now, NodeId from, const Ballot& ballot);
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
    return now - leader_contact_at_ > options_.timings.election_s;
  }
  void StepDown(double now);
  // Restarts the timer with a random value from min_timeouts to min_timeouts + 1 election timeouts,
  // so that voters don't all stand for election at once.
  void RestartElectionTimeout(double now, double min_timeouts);
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
  double leader_contact_at_;        // the last heartbeat or proposal of any leader
  double election_timeout_at_;      // when the other voters are queried for the loss of the leader
  double recovery_at_;              // when the voter's recovery continues
  Ballot latest_ballot_;            // of the last known leader; its round, the highest known
  Ballot candidate_ballot_;         // of this voter while it stands for election; else the default
  std::uint64_t query_number_ = 0;  // of the pending query; 0: none
  std::map<NodeId, StorageIdentity> leader_lost_votes_;
  std::map<NodeId, Promise> promises_;
  // The lease, and the voter that gets the requests for it.
  View view_;
  double lease_until_ = -1, renew_at_;
  std::size_t lease_voter_ = 0, unresponsive_voter_ = 0;  // in options_.voters
  double avoid_voter_until_ = -1;  // until then no redirect to unresponsive_voter_ is followed
  int unanswered_requests_ = 0;
  std::uint64_t store_id_ = 0;
  std::vector<LogAssignment> requested_logs_;
  bool leaving_ = false, superseded_ = false, had_lease_ = false;
  ViewAgreementCounters counters_;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_VIEW_AGREEMENT_H_
