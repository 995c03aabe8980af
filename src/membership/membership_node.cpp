#include "membership/membership_node.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace millethollow::membership {
namespace {

// A process that has sent nothing for this fraction of a lease may be replaced by another one of
// the same member.
constexpr double kSilentLeaseFraction = 0.5;
// A longer gap between frames of a competing process starts its time anew.
constexpr double kMaxCompetingGapS = 1.0;

std::vector<NodeId> Ids(const MembershipNode::Options& options, bool voters_only) {
  std::vector<NodeId> ids;
  for (const auto& member : options.members) {
    if (member.voter || !voters_only) ids.push_back(member.id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

Leader::FailureDomains FailureDomainsOf(const MembershipNode::Options& options) {
  Leader::FailureDomains domains;
  for (const auto& member : options.members) domains.emplace(member.id, member.failure_domain);
  return domains;
}

}  // namespace

MembershipNode::MembershipNode(const Options& options, PersistentVoterState voter_state,
                               std::uint64_t seed, double now)
    : options_(options),
      detector_(options.self, Ids(options, false), options.detector, seed, now),
      agreement_({.self = options.self,
                  .process_incarnation = options.process_incarnation,
                  .voters = Ids(options, true),
                  .members = FailureDomainsOf(options),
                  .timings = options.agreement},
                 std::move(voter_state), seed ^ 0x9e3779b97f4a7c15ULL, now),
      maintenance_(options.self, options.process_incarnation, options.maintenance, seed + 1, now) {}

// Of two processes with one member id the first is accepted until it stops sending.
bool MembershipNode::AcceptsProcess(double now, NodeId from,
                                    ProcessIncarnation process_incarnation) {
  if (detector_.Find(from) == nullptr) return false;
  AcceptedProcess& accepted = accepted_processes_[from];
  const bool other_process = accepted.process_incarnation != process_incarnation;
  const double silent_s = kSilentLeaseFraction * options_.agreement.lease_s;
  const bool present = accepted.process_incarnation != 0 && now - accepted.last_frame_at < silent_s;
  if (other_process && present) {
    // The competing process must send without a gap: after a pause of this process, delayed frames
    // of an ended process arrive together with those of its successor.
    const bool is_new = accepted.competing_process != process_incarnation;
    if (is_new || now - accepted.competing_frame_at > kMaxCompetingGapS)
      accepted.competing_since = now;
    accepted.competing_process = process_incarnation;
    accepted.competing_frame_at = now;
    return false;
  }
  if (other_process) accepted = {.process_incarnation = process_incarnation};
  accepted.last_frame_at = now;
  return true;
}

void MembershipNode::Merge(FailureDetector::Actions* from, Actions* to) {
  for (FailureDetector::Outgoing& outgoing : from->send)
    to->send.emplace_back(outgoing.to, std::move(outgoing.message));
  for (const HealthChange& change : from->changes) {
    agreement_.OnHealthChange(change);
    // The next process of a member that has left is accepted at once.
    if (change.health == Health::kLeft) accepted_processes_.erase(change.member);
    to->changes.push_back(change);
  }
}

void MembershipNode::Merge(ViewAgreement::Actions* from, Actions* to) {
  for (OutgoingMessage& outgoing : from->send)
    to->send.emplace_back(outgoing.to, std::move(outgoing.message));
  to->write |= from->write;
  to->ticket = std::max(to->ticket, from->ticket);
  to->new_view |= from->new_view;
  to->superseded |= from->superseded;
}

void MembershipNode::SendMaintenance(Actions* actions) {
  for (auto& [to, gossip] : actions->maintenance.send) {
    actions->send.emplace_back(to, std::move(gossip));
  }
  actions->maintenance.send.clear();
}

std::vector<NodeId> MembershipNode::AliveOthers() const {
  std::vector<NodeId> alive;
  for (const FailureDetector::Member& member : detector_.members()) {
    if (member.id != options_.self && member.health <= Health::kSuspect) alive.push_back(member.id);
  }
  return alive;
}

std::uint64_t MembershipNode::SetMaintenance(double now, const std::string& worker,
                                             bool in_maintenance, Actions* actions) {
  const std::uint64_t number =
      maintenance_.SetMaintenance(now, worker, in_maintenance, &actions->maintenance);
  maintenance_.Tick(now, AliveOthers(), &actions->maintenance);
  SendMaintenance(actions);
  return number;
}

void MembershipNode::OnFrame(double now, NodeId from, ProcessIncarnation process_incarnation,
                             const Frame& frame, Actions* actions) {
  if (from == options_.self || agreement_.superseded()) return;
  if (!AcceptsProcess(now, from, process_incarnation)) {
    const AcceptedProcess& accepted = accepted_processes_[from];
    // Delayed frames of an ended process arrive before the first of its successor or soon after it.
    const bool both_present =
        accepted.last_frame_at - accepted.competing_since > options_.agreement.lease_s;
    actions->reply = IdentityConflict{.process_incarnation = accepted.process_incarnation,
                                      .both_present = both_present};
    return;
  }
  if (const auto* message = std::get_if<SwimMessage>(&frame)) {
    FailureDetector::Actions detector_actions;
    detector_.OnMessage(now, from, *message, &detector_actions);
    Merge(&detector_actions, actions);
  } else if (const auto* gossip = std::get_if<MaintenanceGossip>(&frame)) {
    maintenance_.OnGossip(now, from, *gossip, &actions->maintenance);
    SendMaintenance(actions);
  } else {
    ViewAgreement::Actions agreement_actions;
    agreement_.OnMessage(now, from, process_incarnation, std::get<AgreementMessage>(frame),
                         &agreement_actions);
    Merge(&agreement_actions, actions);
  }
}

void MembershipNode::Tick(double now, Actions* actions) {
  if (agreement_.superseded()) return;
  FailureDetector::Actions detector_actions;
  if (detector_.NextTickAt() <= now) detector_.Tick(now, &detector_actions);
  Merge(&detector_actions, actions);
  ViewAgreement::Actions agreement_actions;
  agreement_.Tick(now, &agreement_actions);
  Merge(&agreement_actions, actions);
  if (maintenance_.NextTickAt() <= now)
    maintenance_.Tick(now, AliveOthers(), &actions->maintenance);
  SendMaintenance(actions);
}

void MembershipNode::OnStored(double now, std::uint64_t ticket, Actions* actions) {
  ViewAgreement::Actions agreement_actions;
  agreement_.OnStored(now, ticket, &agreement_actions);
  Merge(&agreement_actions, actions);
}

void MembershipNode::Leave(double now, Actions* actions) {
  ViewAgreement::Actions agreement_actions;
  agreement_.Leave(now, &agreement_actions);
  Merge(&agreement_actions, actions);
  FailureDetector::Actions detector_actions;
  detector_.Leave(now, &detector_actions);
  Merge(&detector_actions, actions);
}

double MembershipNode::NextTickAt() const {
  if (agreement_.superseded()) return std::numeric_limits<double>::infinity();
  return std::min({detector_.NextTickAt(), agreement_.NextTickAt(), maintenance_.NextTickAt()});
}

double MembershipNode::FleetShare(double now) const {
  const auto members = static_cast<double>(options_.members.size());
  const double isolated_share = options_.isolated_share / members;
  if (!agreement_.HoldsLease(now)) return isolated_share;
  const auto in_view = static_cast<double>(agreement_.view().members.size());
  return (1 - (members - in_view) * isolated_share) / in_view;
}

}  // namespace millethollow::membership
