#include "membership/membership_node.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace millethollow::membership {
namespace {

// A process that was silent for this fraction of the lease may be succeeded by another.
constexpr double kSilentLeaseFraction = 0.5;
constexpr double kRivalBreakS = 1.0;

std::vector<NodeId> Ids(const MembershipNode::Options& options, bool voters_only) {
  std::vector<NodeId> ids;
  for (const auto& m : options.members) {
    if (m.voter || !voters_only) ids.push_back(m.id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

Leader::FailureDomains FailureDomainsOf(const MembershipNode::Options& options) {
  Leader::FailureDomains domains;
  for (const auto& m : options.members) domains.emplace(m.id, m.failure_domain);
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

// Two processes under one id: the one that was there first is accepted until it is silent.
bool MembershipNode::AcceptsProcess(double now, NodeId from,
                                    ProcessIncarnation process_incarnation) {
  if (detector_.Find(from) == nullptr) return false;
  AcceptedProcess& accepted = accepted_processes_[from];
  const bool other = accepted.process_incarnation != process_incarnation;
  const double silent_s = kSilentLeaseFraction * options_.agreement.lease_s;
  const bool present = accepted.process_incarnation != 0 && now - accepted.heard_at < silent_s;
  if (other && present) {
    // Heard without a break: a process that was paused itself finds late messages of the one that
    // ended beside those of its successor.
    const bool first = accepted.rival != process_incarnation;
    if (first || now - accepted.rival_heard_at > kRivalBreakS) accepted.rival_since = now;
    accepted.rival = process_incarnation;
    accepted.rival_heard_at = now;
    return false;
  }
  if (other) accepted = {.process_incarnation = process_incarnation};
  accepted.heard_at = now;
  return true;
}

void MembershipNode::Merge(FailureDetector::Actions* from, Actions* to) {
  for (FailureDetector::Outgoing& out : from->send)
    to->send.emplace_back(out.to, std::move(out.message));
  for (const HealthChange& change : from->changes) {
    agreement_.OnHealthChange(change);
    // A member that leaves may be succeeded at once.
    if (change.health == Health::kLeft) accepted_processes_.erase(change.member);
    to->changes.push_back(change);
  }
}

void MembershipNode::Merge(ViewAgreement::Actions* from, Actions* to) {
  for (OutgoingMessage& sent : from->send) to->send.emplace_back(sent.to, std::move(sent.message));
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
  for (const FailureDetector::Member& m : detector_.members()) {
    if (m.id != options_.self && m.health <= Health::kSuspect) alive.push_back(m.id);
  }
  return alive;
}

std::uint64_t MembershipNode::SetMaintenance(double now, const std::string& worker, bool out,
                                             Actions* actions) {
  const std::uint64_t number = maintenance_.SetMaintenance(now, worker, out, &actions->maintenance);
  maintenance_.Tick(now, AliveOthers(), &actions->maintenance);
  SendMaintenance(actions);
  return number;
}

void MembershipNode::OnFrame(double now, NodeId from, ProcessIncarnation process_incarnation,
                             const Frame& frame, Actions* actions) {
  if (from == options_.self || agreement_.superseded()) return;
  if (!AcceptsProcess(now, from, process_incarnation)) {
    const AcceptedProcess& accepted = accepted_processes_[from];
    // Late messages of one that ended come before the first of its successor, or soon after.
    const bool both_present = accepted.heard_at - accepted.rival_since > options_.agreement.lease_s;
    actions->answer = IdentityConflict{.process_incarnation = accepted.process_incarnation,
                                       .both_present = both_present};
    return;
  }
  if (const auto* message = std::get_if<SwimMessage>(&frame)) {
    FailureDetector::Actions a;
    detector_.OnMessage(now, from, *message, &a);
    Merge(&a, actions);
  } else if (const auto* gossip = std::get_if<MaintenanceGossip>(&frame)) {
    maintenance_.OnGossip(now, from, *gossip, &actions->maintenance);
    SendMaintenance(actions);
  } else {
    ViewAgreement::Actions a;
    agreement_.OnMessage(now, from, process_incarnation, std::get<AgreementMessage>(frame), &a);
    Merge(&a, actions);
  }
}

void MembershipNode::Tick(double now, Actions* actions) {
  if (agreement_.superseded()) return;
  FailureDetector::Actions d;
  if (detector_.NextAt() <= now) detector_.Tick(now, &d);
  Merge(&d, actions);
  ViewAgreement::Actions a;
  agreement_.Tick(now, &a);
  Merge(&a, actions);
  if (maintenance_.NextAt() <= now) maintenance_.Tick(now, AliveOthers(), &actions->maintenance);
  SendMaintenance(actions);
}

void MembershipNode::OnStored(double now, std::uint64_t ticket, Actions* actions) {
  ViewAgreement::Actions a;
  agreement_.OnStored(now, ticket, &a);
  Merge(&a, actions);
}

void MembershipNode::Leave(double now, Actions* actions) {
  ViewAgreement::Actions a;
  agreement_.Leave(now, &a);
  Merge(&a, actions);
  FailureDetector::Actions d;
  detector_.Leave(now, &d);
  Merge(&d, actions);
}

double MembershipNode::NextAt() const {
  if (agreement_.superseded()) return std::numeric_limits<double>::infinity();
  return std::min({detector_.NextAt(), agreement_.NextAt(), maintenance_.NextAt()});
}

double MembershipNode::FleetShare(double now) const {
  const auto members = static_cast<double>(options_.members.size());
  const double isolated_share = options_.isolated_share / members;
  if (!agreement_.HoldsLease(now)) return isolated_share;
  const auto in_view = static_cast<double>(agreement_.view().members.size());
  return (1 - (members - in_view) * isolated_share) / in_view;
}

}  // namespace millethollow::membership
