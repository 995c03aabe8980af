// One member of the cluster: its failure detector, view agreement and maintenance registry, and the
// choice of the process from which each other member's frames are accepted.
//
// No I/O and no clock of its own; not thread-safe. The caller has the network, the disk and the
// clock (net/cluster, or the simulation of the tests). Invariant: of two processes with one member
// id at most one is accepted.
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

// Any message between two members.
using Frame = std::variant<SwimMessage, AgreementMessage, MaintenanceGossip>;

class MembershipNode {
 public:
  // A configured member.
  struct MemberOptions {
    NodeId id = 0;
    std::string failure_domain;
    bool voter = false;
  };
  struct Options {
    NodeId self = 0;
    ProcessIncarnation process_incarnation = 0;
    std::vector<MemberOptions> members;  // includes this one
    FailureDetectorTimings detector;
    ViewAgreementTimings agreement;
    MaintenanceTimings maintenance;
    // The fraction, 0 to 1, of 1/N of the fleet that each of N members may use without a lease.
    // The other members leave it unused.
    double isolated_share = 0.5;
  };
  // The result of a call: messages to be sent, writes, and changes of the cluster.
  struct Actions {
    std::vector<std::pair<NodeId, Frame>> send;  // with their recipients
    std::vector<HealthChange> changes;
    // agreement().voter_state() is to be written, then OnStored(ticket) or OnStoreFailed() called.
    bool write = false;
    std::uint64_t ticket = 0;
    bool new_view = false, superseded = false;  // as in ViewAgreement::Actions
    MaintenanceRegistry::Actions maintenance;
    // Goes to the address that the frame came from, whatever address its sender is configured with.
    std::optional<AgreementMessage> reply = std::nullopt;
  };

  // `now`, here and below: seconds on a monotonic clock of this machine that counts pauses of the
  // process.
  MembershipNode(const Options& options, PersistentVoterState voter_state, std::uint64_t seed,
                 double now);

  void OnFrame(double now, NodeId from, ProcessIncarnation process_incarnation, const Frame& frame,
               Actions* actions);
  // Whether to accept a frame of this process that does not go through OnFrame.
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
  std::uint64_t SetMaintenance(double now, const std::string& worker, bool in_maintenance,
                               Actions* actions);
  void OnDrainNotice(double now, const std::string& worker, double started_at_s, bool gone) {
    maintenance_.OnDrainNotice(now, worker, started_at_s, gone);
  }
  void Restore(double now, const MaintenanceRecord& record) { maintenance_.Restore(now, record); }
  double NextTickAt() const;  // when Tick is due

  // This member's share of the fleet's capacity, 0 to 1. The shares of all members never sum to
  // more than 1, even during network partitions.
  double FleetShare(double now) const;
  const FailureDetector& detector() const { return detector_; }
  const ViewAgreement& agreement() const { return agreement_; }
  const MaintenanceRegistry& maintenance() const { return maintenance_; }
  const Options& options() const { return options_; }

 private:
  // The process of a member whose frames are accepted.
  struct AcceptedProcess {
    ProcessIncarnation process_incarnation = 0;
    double last_frame_at = 0;
    // Another process that sends with the same member id, and since when without a gap.
    ProcessIncarnation competing_process = 0;
    double competing_since = 0, competing_frame_at = 0;
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
