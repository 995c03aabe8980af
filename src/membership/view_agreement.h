// Agreed views and leases: what one member does. A voter votes and may lead; every member asks for
// its lease and learns views. docs/design/membership.md has the promises and the sources.
//
// Decides only: messages and time in, messages and writes out. Times are seconds on a clock of the
// member's own that never runs back and counts pauses of the process; the clocks of two members
// need only run at one pace, to within ViewAgreementTimings::drift. State is bounded by the number
// of members.
#ifndef MILLETHOLLOW_MEMBERSHIP_VIEW_AGREEMENT_H_
#define MILLETHOLLOW_MEMBERSHIP_VIEW_AGREEMENT_H_

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "membership/leader.h"
#include "membership/message.h"
#include "membership/voter.h"

namespace millethollow::membership {

struct ViewAgreementCounters {
  std::uint64_t elections = 0, views = 0, leases = 0, leases_expired = 0, identity_conflicts = 0;
  std::uint64_t conflicts = 0;  // two contents of one epoch: never, or something is broken
};

class ViewAgreement {
 public:
  struct Options {
    NodeId self = 0;
    ProcessIncarnation process_incarnation = 0;
    std::vector<NodeId> voters;
    Leader::Places members;  // all, with their places
    ViewAgreementTimings timings;
  };
  struct Actions {
    std::vector<OutgoingMessage> send;
    // votes() is to be written; then OnStored(ticket) or OnStoreFailed() is to be called.
    bool write = false;
    std::uint64_t ticket = 0;
    bool new_view = false;
    bool superseded = false;  // another process is this member, and is there to stay
  };

  ViewAgreement(Options options, PersistentVoterState votes, std::uint64_t seed, double now);

  void OnMessage(double now, NodeId from, ProcessIncarnation process_incarnation,
                 const AgreementMessage& message, Actions* actions);
  void OnHealthChange(const HealthChange& change) { leader_.OnHealthChange(change); }
  void Tick(double now, Actions* actions);
  double NextAt() const;
  // The write of this ticket, and so every one before it, is on disk.
  void OnStored(double now, std::uint64_t ticket, Actions* actions);
  // It is not, and never will be: this process does not vote any more.
  void OnStoreFailed();
  // What this member wants of its logs, and the number of its store; told with the next renewal.
  void RequestLogs(double now, std::uint64_t store_id, std::vector<LogAssignment> logs);
  // Gives the lease back, so that nobody needs to wait for it.
  void Leave(double now, Actions* actions);

  // May this member act on its place in view()? To be asked with a clock read just now.
  bool HoldsLease(double now) const { return LeaseRemaining(now) > 0; }
  double LeaseRemaining(double now) const;
  const View& view() const { return view_; }
  const PersistentVoterState& voter_state() const { return voter_.voter_state(); }
  const Voter& voter() const { return voter_; }
  const Leader& leader() const { return leader_; }
  // The member that leads, as far as is known; 0: none.
  NodeId known_leader() const { return leader_.leading() ? options_.self : heard_ballot_.proposer; }
  bool superseded() const { return yielded_; }
  const ViewAgreementCounters& counters() const { return counters_; }

 private:
  struct Waiting {  // for the disk
    std::uint64_t ticket = 0;
    OutgoingMessage sent;
  };

  // Whatever a voter or leader says waits until the disk has what it tells of.
  void Emit(double now, std::vector<OutgoingMessage>* said, Actions* actions);
  void Dispatch(double now, NodeId from, ProcessIncarnation process_incarnation,
                const AgreementMessage& m, std::vector<OutgoingMessage>* said, Actions* actions);
  void HearRenewal(double now, NodeId from, ProcessIncarnation process_incarnation,
                   const AgreementMessage& m, std::vector<OutgoingMessage>* said);
  void HearVoter(double now, NodeId from, const AgreementMessage& m,
                 std::vector<OutgoingMessage>* said);
  void HearHolder(double now, const AgreementMessage& m, Actions* actions);
  void Learn(double now, const View& view, Actions* actions);
  void AskAround(double now, std::vector<OutgoingMessage>* said);
  void Stand(std::vector<OutgoingMessage>* said);
  bool Missing(double now) const { return now - beat_heard_at_ > options_.timings.election_s; }
  void StepDown(double now);
  void AskLease(double now, Actions* actions);

  Options options_;
  Voter voter_;
  Leader leader_;
  Random random_;
  // Votes on their way to disk.
  std::uint64_t ticket_ = 0, stored_ = 0;
  std::deque<Waiting> waiting_;
  // Elections.
  double beat_heard_at_, ask_around_at_, ask_mind_at_;
  Ballot heard_ballot_, standing_;
  std::uint64_t question_ = 0;
  std::map<NodeId, StorageIdentity> missed_by_;
  std::map<NodeId, std::pair<StorageIdentity, AgreementMessage>> promises_;
  // The lease, and whom to ask.
  View view_;
  double leased_until_ = -1, renew_at_;
  std::size_t asked_voter_ = 0, silent_voter_ = 0;
  double silent_until_ = -1;
  int unanswered_ = 0;
  std::uint64_t store_id_ = 0;
  std::vector<LogAssignment> wants_;
  bool leaving_ = false, yielded_ = false, had_lease_ = false;
  ViewAgreementCounters counters_;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_VIEW_AGREEMENT_H_
