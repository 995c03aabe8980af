// What the leader does: one view after the other, and leases to their members. The leases are those
// of PacificA's configuration manager (Lin, Yang, Zhang, Zhou 2008), but each is confirmed by a
// majority of the voters, so that a leader that has been replaced without knowing it gives none.
#ifndef MILLETHOLLOW_MEMBERSHIP_LEADER_H_
#define MILLETHOLLOW_MEMBERSHIP_LEADER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "membership/log_assignment.h"
#include "membership/message.h"
#include "membership/voter.h"

namespace millethollow::membership {

struct ViewAgreementTimings {
  double heartbeat_s = 0.25;  // between beats of the leader
  double election_s = 1.0;    // without a beat for this long, and up to twice, a voter asks around
  double lease_s = 4.0;       // how long a lease runs from its asking
  double renew_s = 0.5;       // how often it is asked for
  double min_view_interval_s = 1.0;  // at least, between two views
  double first_view_delay_s = 0.5;   // the first view waits this long for members to come
  double clock_drift = 0.01;         // by which the pace of two clocks may differ
  double rejoin_backoff_s =
      1.0;  // a member that was put out is taken in again after this, doubled each
  double rejoin_backoff_max_s = 30;     // time up to this,
  double rejoin_backoff_reset_s = 120;  // and forgiven after so long in the view
};

class Leader {
 public:
  // Of a member, as the file has it.
  using Places = std::map<NodeId, std::string>;
  Leader(NodeId self, const ViewAgreementTimings& timings, Places places);

  // A majority promised `ballot`; `best` is the newest view among their answers.
  void Begin(double now, Ballot ballot, StorageIdentities quorum, const View& best,
             const Voter& voter, std::vector<OutgoingMessage>* send);
  void End() { leading_ = false; }
  bool leading() const { return leading_; }
  const Ballot& ballot() const { return ballot_; }
  // Answers of voters to proposals and beats, and members that ask for leases.
  void Accepted(double now, NodeId from, const AgreementMessage& m, const Voter& voter,
                std::vector<OutgoingMessage>* send);
  void Beaten(double now, NodeId from, const AgreementMessage& m, const Voter& voter,
              std::vector<OutgoingMessage>* send);
  // `by`: the voter that passed it on; 0: none.
  void Renew(double now, NodeId from, NodeId by, const AgreementMessage& m,
             std::vector<OutgoingMessage>* send);
  void Released(double now, NodeId from, ProcessIncarnation process_incarnation);
  void OnHealthChange(const HealthChange& change) { health_[change.member] = change.health; }
  void Tick(double now, const Voter& voter, std::vector<OutgoingMessage>* send);
  double NextAt() const { return std::min(beat_at_, check_at_); }
  // When a majority last answered a beat, as of its sending.
  double confirmed_at() const { return confirmed_at_; }
  const View& decided() const { return decided_; }

 private:
  struct Holder {
    ProcessIncarnation process_incarnation = 0;
    double until = 0;         // a lease given by this leader may run so long, by its clock
    double asked_at = -1;     // last, as it came in; -1: never
    std::uint64_t epoch = 0;  // known to it, as it last said
    bool released = false;
    std::uint64_t store_id = 0, wants_epoch = 0;  // what it wants, and the view that it knew then
    std::vector<LogAssignment> wants = {};
  };
  struct Asking {  // for a lease
    ProcessIncarnation process_incarnation = 0;
    std::uint64_t epoch = 0, beat = 0;  // the first beat that was sent after it
    double asked_at = 0;
    NodeId by = 0;  // the voter that passed it on
  };
  struct Return {  // of a member that was put out
    double out_at = 0, in_at = 0, wait_s = 0;
  };

  double MayRunUntil(NodeId id) const;
  bool Settled(double now, std::uint64_t epoch);
  bool Failed(NodeId id) const;
  bool Gone(double now, const ViewMember& member) const;
  bool Wanted(double now, NodeId id) const;
  bool MayOpenLogs(const Voter& voter) const;
  void Consider(double now, const Voter& voter, std::vector<OutgoingMessage>* send);
  void Propose(double now, View view, const Voter& voter, std::vector<OutgoingMessage>* send);
  void Grant(double now, NodeId to, const Asking& asking, std::vector<OutgoingMessage>* send);
  void Beat(double now, const Voter& voter, std::vector<OutgoingMessage>* send);
  void ToVoters(AgreementMessage m, const Voter& voter, std::vector<OutgoingMessage>* send) const;
  void SendDecided(NodeId to, NodeId by, std::vector<OutgoingMessage>* send) const;
  static void Answer(NodeId to, NodeId by, AgreementMessage m, std::vector<OutgoingMessage>* send);
  static bool Majority(const std::map<NodeId, StorageIdentity>& who, const Voter& voter);

  NodeId self_;
  ViewAgreementTimings t_;
  Places places_;
  bool leading_ = false, caught_up_ = false;  // caught up: what an earlier leader began is decided
  Ballot ballot_;
  StorageIdentities quorum_;
  double began_at_ = 0, confirmed_at_ = 0, beat_at_ = 0, check_at_ = 0, view_at_ = 0;
  View decided_, proposed_;
  std::uint64_t settled_ = 0;  // nobody acts on a view before this epoch any more
  bool proposing_ = false;
  std::map<NodeId, StorageIdentity> accepted_;
  std::uint64_t beat_ = 0;
  std::map<std::uint64_t, std::pair<double, std::map<NodeId, StorageIdentity>>>
      beats_;  // sent, and by whom heard
  std::map<NodeId, Holder> holders_;
  std::map<NodeId, Asking> asking_;
  std::map<NodeId, Return> returns_;
  std::map<NodeId, Health> health_;
  std::set<NodeId> know_logs_;  // voters, as they last said
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_LEADER_H_
