// The leader of view agreement: proposes the views, one after the other, and grants leases to their
// members. The leases are those of PacificA's configuration manager (Lin, Yang, Zhang, Zhou 2008),
// but a majority of the voters confirms each, so that a leader that has been replaced without
// knowing it grants none.
//
// No I/O and no clock of its own; not thread-safe. Times are seconds on this member's clock.
// Invariants: views are proposed one at a time, each with the next epoch; a member whose lease may
// still be in force keeps its entry in the next view, unless it released the lease.
#ifndef MILLETHOLLOW_MEMBERSHIP_LEADER_H_
#define MILLETHOLLOW_MEMBERSHIP_LEADER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/log_assignment.h"
#include "membership/message.h"
#include "membership/voter.h"

namespace millethollow::membership {

// Durations in seconds, and the maximum clock drift.
struct ViewAgreementTimings {
  double heartbeat_s = 0.25;  // between heartbeats of the leader
  // Election timeout. A voter that gets no heartbeat for a random time of one to two timeouts asks
  // the other voters whether they have lost the leader too.
  double election_s = 1.0;
  double lease_s = 4.0;                 // duration of a lease, from its request
  double renew_s = 0.5;                 // between two lease requests of a member
  double min_view_interval_s = 1.0;     // between two proposals of a view
  double first_view_delay_s = 0.5;      // the first view waits this long for members to join
  double clock_drift = 0.01;            // maximum relative difference of the rates of two clocks
  double rejoin_backoff_s = 1.0;        // until a removed member may be added again
  double rejoin_backoff_max_s = 30;     // the backoff doubles with each removal up to this
  double rejoin_backoff_reset_s = 120;  // a stay in the view for longer resets the backoff
};

// The leader's part of one voter.
class Leader {
 public:
  // The configured failure domain of each member.
  using FailureDomains = std::map<NodeId, std::string>;
  Leader(NodeId self, const ViewAgreementTimings& timings, FailureDomains failure_domains);

  // `quorum`, a majority, has promised `ballot`; `latest` is the latest view that any of them had
  // accepted.
  void StartLeading(double now, Ballot ballot, VoterIdentities quorum, const View& latest,
                    const Voter& voter, std::vector<OutgoingMessage>* send);
  void StopLeading() { leading_ = false; }
  bool leading() const { return leading_; }
  // The ballot that this voter leads with, or led with last.
  const Ballot& ballot() const { return ballot_; }

  void OnAccepted(double now, NodeId from, const Accepted& accepted, const Voter& voter,
                  std::vector<OutgoingMessage>* send);
  void OnHeartbeatAck(double now, NodeId from, const HeartbeatAck& ack, const Voter& voter,
                      std::vector<OutgoingMessage>* send);
  // `relay`: the voter that relayed the request; 0: none.
  void OnLeaseRequest(double now, NodeId from, NodeId relay, const LeaseRequest& request,
                      std::vector<OutgoingMessage>* send);
  void OnLeaseRelease(double now, NodeId from, ProcessIncarnation process_incarnation);
  void OnHealthChange(const HealthChange& change) { health_[change.member] = change.health; }
  // Sends the heartbeat that is due, and proposes the next view where one is needed.
  void Tick(double now, const Voter& voter, std::vector<OutgoingMessage>* send);
  // When Tick is due.
  double NextTickAt() const { return std::min(heartbeat_at_, view_check_at_); }
  // When the last heartbeat that a majority acknowledged was sent.
  double confirmed_at() const { return confirmed_at_; }
  // The latest view that this leader knows to be decided.
  const View& decided() const { return decided_; }

 private:
  // What this leader knows of a member by its lease requests.
  struct Leaseholder {
    ProcessIncarnation process_incarnation = 0;
    double lease_until = 0;    // the latest end of a lease granted by this leader, on its clock
    double requested_at = -1;  // arrival of the last request; -1: none has arrived
    std::uint64_t epoch = 0;   // of the latest view that it knows
    bool released = false;     // it has given up its lease
    std::uint64_t store_id = 0;
    // Of the view that it knew when it sent `requested_logs`.
    std::uint64_t requested_logs_epoch = 0;
    std::vector<LogAssignment> requested_logs = {};
  };
  // A lease request that waits until a majority confirms the leader.
  struct PendingRequest {
    ProcessIncarnation process_incarnation = 0;
    std::uint64_t epoch = 0;
    std::uint64_t heartbeat = 0;  // sequence of the first heartbeat sent after its arrival
    double requested_at_s = 0;    // on the member's clock
    NodeId relay = 0;
  };
  // The wait of a removed member until it may be added again, in seconds.
  struct RejoinBackoff {
    double removed_at = 0, joined_at = 0, wait_s = 0;
  };
  struct SentHeartbeat {
    double sent_at = 0;
    std::map<NodeId, StorageIdentity> acked_by;
  };
  struct MemberChanges {
    bool added = false, removed = false;
  };

  // The latest end of any lease on the member's entry, from this leader or an earlier one.
  double LatestLeaseEnd(NodeId id) const;
  // Whether no member acts on a view of an earlier epoch than `epoch` any more. If so,
  // settled_epoch_ is raised to it.
  bool CheckSettled(double now, std::uint64_t epoch);
  bool HasFailed(NodeId id) const;
  // Whether the member may be removed in the next view.
  bool MayRemove(double now, const ViewMember& member) const;
  // Whether the member, which is not in the view, may be added to the next one.
  bool MayAdd(double now, NodeId id) const;
  bool MayOpenLogs(const Voter& voter) const;
  void UpdateRejoinBackoffs(double now);
  bool MayGrant(double now, NodeId to, const PendingRequest& request);
  void Grant(double now, NodeId to, const PendingRequest& request,
             std::vector<OutgoingMessage>* send);
  // Proposes the next view if it differs from the decided one and the time has come.
  void ConsiderNextView(double now, const Voter& voter, std::vector<OutgoingMessage>* send);
  // Fills in the members of `next`; returns how they differ from those of the decided view.
  MemberChanges FillMembers(double now, View* next);
  std::vector<LogRequest> CurrentLogRequests(const View& next) const;
  void ProposeView(double now, View view, const Voter& voter, std::vector<OutgoingMessage>* send);
  void SendHeartbeat(double now, const Voter& voter, std::vector<OutgoingMessage>* send);
  void SendDecided(NodeId to, NodeId relay, std::vector<OutgoingMessage>* send) const;
  // Whether these votes, each with the voter's storage identity at its vote, are a majority.
  static bool IsMajority(const std::map<NodeId, StorageIdentity>& votes, const Voter& voter);

  NodeId self_;
  ViewAgreementTimings timings_;
  FailureDomains failure_domains_;
  bool leading_ = false;
  bool caught_up_ = false;  // the view that an earlier leader may have proposed is decided
  Ballot ballot_;
  VoterIdentities quorum_;  // the voters whose promises elected this leader
  double leading_since_ = 0, confirmed_at_ = 0, heartbeat_at_ = 0, view_check_at_ = 0,
         proposed_at_ = 0;
  View decided_, proposed_;
  std::uint64_t settled_epoch_ = 0;  // no member acts on a view of an earlier epoch any more
  bool proposing_ = false;           // proposed_ is not decided yet
  std::map<NodeId, StorageIdentity> accepted_by_;
  std::uint64_t heartbeat_sequence_ = 0;
  std::map<std::uint64_t, SentHeartbeat> unconfirmed_heartbeats_;
  std::map<NodeId, Leaseholder> leaseholders_;
  std::map<NodeId, PendingRequest> pending_requests_;
  std::map<NodeId, RejoinBackoff> rejoin_backoffs_;
  std::map<NodeId, Health> health_;
  std::set<NodeId> voters_with_log_support_;  // voters whose build supports logs, by their last ack
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_LEADER_H_
