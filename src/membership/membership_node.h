// What one member knows and decides: the detector and the agreement together, and which process of
// a member is listened to. Decides only; the process and the tests run this same class.
#ifndef MILLETHOLLOW_MEMBERSHIP_MEMBERSHIP_NODE_H_
#define MILLETHOLLOW_MEMBERSHIP_MEMBERSHIP_NODE_H_

#include <map>
#include <optional>
#include <string>
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
    // Of one Nth that each member has while it is cut off, and that is kept back for it: 0 to 1.
    double isolated_share = 0.5;
  };
  struct Actions {
    std::vector<std::pair<NodeId, Frame>> send;
    std::vector<HealthChange> changes;
    bool write = false;  // votes(), then OnStored(ticket) or OnStoreFailed()
    std::uint64_t ticket = 0;
    bool new_view = false, superseded = false;
    MaintenanceRegistry::Actions maintenance;
    // To where the frame came from, whatever address its sender has in the list.
    std::optional<AgreementMessage> answer = std::nullopt;
  };

  // The clock of `now` is one of this machine that counts pauses and never runs back, in seconds.
  MembershipNode(const Options& options, PersistentVoterState votes, std::uint64_t seed,
                 double now);

  void OnFrame(double now, NodeId from, ProcessIncarnation process_incarnation, const Frame& frame,
               Actions* actions);
  // Is what this process of a member says to be listened to, beside what OnFrame takes?
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
  // A worker is taken out by hand or put back; as MaintenanceRegistry::SetMaintenance.
  std::uint64_t SetMaintenance(double now, const std::string& worker, bool out, Actions* actions);
  void OnDrainNotice(double now, const std::string& worker, double started_at_s, bool gone) {
    maintenance_.OnDrainNotice(now, worker, started_at_s, gone);
  }
  void Restore(double now, const MaintenanceRecord& fact) { maintenance_.Restore(now, fact); }
  double NextAt() const;

  // This member's part of what the whole cluster may do, 0 to 1. Over all members, whatever is cut,
  // the parts never come to more than 1.
  double FleetShare(double now) const;
  const FailureDetector& detector() const { return detector_; }
  const ViewAgreement& agreement() const { return agreement_; }
  const MaintenanceRegistry& maintenance() const { return maintenance_; }
  const Options& options() const { return options_; }

 private:
  struct Heard {
    ProcessIncarnation process_incarnation = 0;
    double at = 0;
    // Another that speaks under the same id and is not listened to.
    ProcessIncarnation rival = 0;
    double rival_since = 0, rival_at = 0;
  };
  bool AcceptsProcess(double now, NodeId from, ProcessIncarnation process_incarnation);
  void Take(FailureDetector::Actions* from, Actions* to);
  void Take(ViewAgreement::Actions* from, Actions* to);
  void SendMaintenance(Actions* actions);
  std::vector<NodeId> Alive() const;  // others

  Options options_;
  FailureDetector detector_;
  ViewAgreement agreement_;
  MaintenanceRegistry maintenance_;
  std::map<NodeId, Heard> heard_;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_MEMBERSHIP_NODE_H_
