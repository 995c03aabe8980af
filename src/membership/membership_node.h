// All decisions of one member: failure detector, view agreement and maintenance registry together,
// and which process of a member its frames are taken from.
//
// Decides only; not thread-safe. Network, disk and clock are the caller's (net/cluster, or the
// tests' simulation). Invariant: of two processes under one member id one at most is accepted.
#ifndef MILLETHOLLOW_MEMBERSHIP_MEMBERSHIP_NODE_H_
#define MILLETHOLLOW_MEMBERSHIP_MEMBERSHIP_NODE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "membership/failure_detector.h"
#include "membership/maintenance_registry.h"
#include "membership/view_agreement.h"

namespace millethollow::membership {

using Frame = std::variant<SwimMessage, AgreementMessage, MaintenanceGossip>;

class MembershipNode {
 public:
  struct MemberOptions {
    NodeId id = 0;
    std::string failure_domain;
    bool voter = false;
  };
  struct Options {
    NodeId self = 0;
    ProcessIncarnation process_incarnation = 0;
    std::vector<MemberOptions> members;  // this one among them
    FailureDetectorTimings detector;
    ViewAgreementTimings agreement;
    MaintenanceTimings maintenance;
    // Of 1/N of the fleet, that each of N members may use while it has no lease, and that the
    // others leave to it: 0 to 1.
    double isolated_share = 0.5;
  };
  struct Actions {
    std::vector<std::pair<NodeId, Frame>> send;
    std::vector<HealthChange> changes;
    bool write = false;  // agreement().voter_state(), then OnStored(ticket) or OnStoreFailed()
    std::uint64_t ticket = 0;
    bool new_view = false, superseded = false;
    MaintenanceRegistry::Actions maintenance;
    // To the address that the frame came from, whatever address its sender is configured with.
    std::optional<AgreementMessage> answer = std::nullopt;
  };

  // The clock of `now` is one of this machine that counts pauses and never runs back, in seconds.
  MembershipNode(const Options& options, PersistentVoterState voter_state, std::uint64_t seed,
                 double now);

  void OnFrame(double now, NodeId from, ProcessIncarnation process_incarnation, const Frame& frame,
               Actions* actions);
  // Are other frames of this process of a member, which don't come through OnFrame, to be taken?
  bool Accepts(double now, NodeId from, ProcessIncarnation process_incarnation) {
    return from != options_.self && !agreement_.superseded() &&
           AcceptsProcess(now, from, process_incarnation);
  }
  void Tick(double now, Actions* actions);
  void OnStored(double now, std::uint64_t ticket, Actions* actions);
  void OnStoreFailed() { agreement_.OnStoreFailed(); }
  void Leave(double now, Actions* actions);
  void RequestLogs(double now, std::uint64_t store_id, std::vector<LogAssignment> logs) {
    agreement_.RequestLogs(now, store_id, std::move(logs));
  }
  // As MaintenanceRegistry::SetMaintenance.
  std::uint64_t SetMaintenance(double now, const std::string& worker, bool out, Actions* actions);
  void OnDrainNotice(double now, const std::string& worker, double started_at_s, bool gone) {
    maintenance_.OnDrainNotice(now, worker, started_at_s, gone);
  }
  void Restore(double now, const MaintenanceRecord& record) { maintenance_.Restore(now, record); }
  double NextAt() const;  // when Tick is due

  // This member's share of what the whole cluster may do, 0 to 1. Over all members the shares never
  // come to more than 1, whatever links are cut.
  double FleetShare(double now) const;
  const FailureDetector& detector() const { return detector_; }
  const ViewAgreement& agreement() const { return agreement_; }
  const MaintenanceRegistry& maintenance() const { return maintenance_; }
  const Options& options() const { return options_; }

 private:
  // The process of a member whose frames are taken.
  struct AcceptedProcess {
    ProcessIncarnation process_incarnation = 0;
    double heard_at = 0;
    // Another one that sends under the same id, and since when without a break.
    ProcessIncarnation rival = 0;
    double rival_since = 0, rival_heard_at = 0;
  };
  bool AcceptsProcess(double now, NodeId from, ProcessIncarnation process_incarnation);
  void Merge(FailureDetector::Actions* from, Actions* to);
  void Merge(ViewAgreement::Actions* from, Actions* to);
  void SendMaintenance(Actions* actions);
  std::vector<NodeId> AliveOthers() const;

  Options options_;
  FailureDetector detector_;
  ViewAgreement agreement_;
  MaintenanceRegistry maintenance_;
  std::map<NodeId, AcceptedProcess> accepted_processes_;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_MEMBERSHIP_NODE_H_
