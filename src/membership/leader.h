// The leader: one view after the other, and leases to their members. The leases are those of
// PacificA's configuration manager (Lin, Yang, Zhang, Zhou 2008), but each is confirmed by a
// majority of the voters, so that a leader that has been replaced without knowing it grants none.
//
// Decides only; not thread-safe. Times are seconds on the clock of this member.
// Invariants: views are proposed one at a time, each with the next epoch; a member whose lease may
// still run keeps its entry in the next view, unless it released the lease.
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

struct ViewAgreementTimings {
  double heartbeat_s = 0.25;  // between heartbeats of the leader
  double election_s = 1.0;    // without a heartbeat for this long, and up to twice, a voter
                              // asks whether the others miss the leader too
  double lease_s = 4.0;       // how long a lease runs from its request
  double renew_s = 0.5;       // between two requests of a member
  double min_view_interval_s = 1.0;
  double first_view_delay_s = 0.5;      // the first view waits this long for members to come
  double clock_drift = 0.01;            // by which the pace of two clocks may differ
  double rejoin_backoff_s = 1.0;        // a member that was removed is taken in again after this,
  double rejoin_backoff_max_s = 30;     // doubled each time up to this,
  double rejoin_backoff_reset_s = 120;  // and reset after so long in the view
};

class Leader {
 public:
  // The failure domain of each member, as the configuration has it.
  using FailureDomains = std::map<NodeId, std::string>;
  Leader(NodeId self, const ViewAgreementTimings& timings, FailureDomains failure_domains);

  // A majority promised `ballot`; `latest` is the newest view that one of them had accepted.
  void StartLeading(double now, Ballot ballot, VoterIdentities quorum, const View& latest,
                    const Voter& voter, std::vector<OutgoingMessage>* send);
  void StopLeading() { leading_ = false; }
  bool leading() const { return leading_; }
  const Ballot& ballot() const { return ballot_; }

  void OnAccepted(double now, NodeId from, const Accepted& accepted, const Voter& voter,
                  std::vector<OutgoingMessage>* send);
  void OnHeartbeatAck(double now, NodeId from, const HeartbeatAck& ack, const Voter& voter,
                      std::vector<OutgoingMessage>* send);
  // `relay`: the voter that passed the request on; 0: none.
  void OnLeaseRequest(double now, NodeId from, NodeId relay, const LeaseRequest& request,
                      std::vector<OutgoingMessage>* send);
  void OnLeaseRelease(double now, NodeId from, ProcessIncarnation process_incarnation);
  void OnHealthChange(const HealthChange& change) { health_[change.member] = change.health; }
  void Tick(double now, const Voter& voter, std::vector<OutgoingMessage>* send);
  double NextAt() const { return std::min(heartbeat_at_, check_at_); }
  // When a majority last acknowledged a heartbeat, as of its sending.
  double confirmed_at() const { return confirmed_at_; }
  const View& decided() const { return decided_; }

 private:
  struct Leaseholder {
    ProcessIncarnation process_incarnation = 0;
    double lease_until = 0;    // the latest end of a lease granted by this leader, by its clock
    double requested_at = -1;  // when the last request came in; -1: never
    std::uint64_t epoch = 0;   // known to it, by its last request
    bool released = false;
    std::uint64_t store_id = 0;
    std::uint64_t wants_epoch = 0;  // the view that it knew when it asked for `wanted_logs`
    std::vector<LogAssignment> wanted_logs = {};
  };
  struct PendingRequest {  // a lease request that waits for the confirmation by a majority
    ProcessIncarnation process_incarnation = 0;
    std::uint64_t epoch = 0;
    std::uint64_t heartbeat = 0;  // the first one that was sent after it
    double requested_at_s = 0;    // on the member's clock
    NodeId relay = 0;
  };
  struct RejoinBackoff {  // of a member that was removed
    double removed_at = 0, joined_at = 0, wait_s = 0;
  };
  struct SentHeartbeat {
    double sent_at = 0;
    std::map<NodeId, StorageIdentity> acked_by;
  };
  struct MemberChanges {
    bool added = false, removed = false;
  };

  // The end of any lease on the member's entry, as far as this leader can know.
  double LeaseMayRunUntil(NodeId id) const;
  // Does nobody act on a view before this epoch any more? Remembered where it does not.
  bool CheckSettled(double now, std::uint64_t epoch);
  bool HasFailed(NodeId id) const;
  // May the member be left out of the next view?
  bool MayRemove(double now, const ViewMember& member) const;
  // May the member, which is in no view, be taken in?
  bool MayAdd(double now, NodeId id) const;
  bool MayOpenLogs(const Voter& voter) const;
  void UpdateRejoinBackoffs(double now);
  bool MayGrant(double now, NodeId to, const PendingRequest& request);
  void Grant(double now, NodeId to, const PendingRequest& request,
             std::vector<OutgoingMessage>* send);
  void ConsiderNextView(double now, const Voter& voter, std::vector<OutgoingMessage>* send);
  MemberChanges FillMembers(double now, View* next);
  std::vector<LogRequest> CurrentLogRequests(const View& next) const;
  void ProposeView(double now, View view, const Voter& voter, std::vector<OutgoingMessage>* send);
  void SendHeartbeat(double now, const Voter& voter, std::vector<OutgoingMessage>* send);
  void SendDecided(NodeId to, NodeId relay, std::vector<OutgoingMessage>* send) const;
  static bool IsMajority(const std::map<NodeId, StorageIdentity>& who, const Voter& voter);

  NodeId self_;
  ViewAgreementTimings timings_;
  FailureDomains failure_domains_;
  bool leading_ = false;
  bool caught_up_ = false;  // what an earlier leader proposed is decided
  Ballot ballot_;
  VoterIdentities quorum_;  // whose promises made this leader
  double began_at_ = 0, confirmed_at_ = 0, heartbeat_at_ = 0, check_at_ = 0, proposed_at_ = 0;
  View decided_, proposed_;
  std::uint64_t settled_epoch_ = 0;  // nobody acts on a view before this epoch any more
  bool proposing_ = false;
  std::map<NodeId, StorageIdentity> accepted_by_;
  std::uint64_t heartbeat_sequence_ = 0;
  std::map<std::uint64_t, SentHeartbeat> unconfirmed_heartbeats_;
  std::map<NodeId, Leaseholder> leaseholders_;
  std::map<NodeId, PendingRequest> pending_requests_;
  std::map<NodeId, RejoinBackoff> rejoin_backoffs_;
  std::map<NodeId, Health> health_;
  std::set<NodeId> know_logs_;  // voters whose build does, by their last acknowledgement
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_LEADER_H_
