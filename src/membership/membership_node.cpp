#include "membership/membership_node.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace millethollow::membership {
namespace {

// Of the lease: a process that was silent for so long may be followed by another.
constexpr double kSilentShare = 0.5;
constexpr double kBreakS = 1.0;

std::vector<NodeId> Ids(const MembershipNode::Options& options, bool voters_only) {
  std::vector<NodeId> ids;
  for (const auto& m : options.members) {
    if (m.voter || !voters_only) ids.push_back(m.id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

Leader::Places PlacesOf(const MembershipNode::Options& options) {
  Leader::Places places;
  for (const auto& m : options.members) places.emplace(m.id, m.failure_domain);
  return places;
}

}  // namespace

MembershipNode::MembershipNode(const Options& options, PersistentVoterState votes,
                               std::uint64_t seed, double now)
    : options_(options),
      detector_(options.self, Ids(options, false), options.detector, seed, now),
      agreement_({.self = options.self,
                  .process_incarnation = options.process_incarnation,
                  .voters = Ids(options, true),
                  .members = PlacesOf(options),
                  .timings = options.agreement},
                 std::move(votes), seed ^ 0x9e3779b97f4a7c15ULL, now),
      maintenance_(options.self, options.process_incarnation, options.maintenance, seed + 1, now) {}

// Two processes under one id: who was there first is listened to until it is silent.
bool MembershipNode::AcceptsProcess(double now, NodeId from,
                                    ProcessIncarnation process_incarnation) {
  if (detector_.Find(from) == nullptr) return false;
  Heard& heard = heard_[from];
  const double silent_s = kSilentShare * options_.agreement.lease_s;
  if (heard.process_incarnation != 0 && heard.process_incarnation != process_incarnation &&
      now - heard.at < silent_s) {
    // Heard of without a break: one that was stopped itself finds late words of the gone and words
    // of its follower side by side.
    if (heard.rival != process_incarnation || now - heard.rival_at > kBreakS)
      heard.rival_since = now;
    heard.rival = process_incarnation;
    heard.rival_at = now;
    return false;
  }
  if (heard.process_incarnation != process_incarnation)
    heard = {.process_incarnation = process_incarnation};
  heard.at = now;
  return true;
}

void MembershipNode::Take(FailureDetector::Actions* from, Actions* to) {
  for (FailureDetector::Out& out : from->send) to->send.emplace_back(out.to, std::move(out.probe));
  for (const HealthChange& change : from->changes) {
    agreement_.OnHealthChange(change);
    // Whoever says that it goes may be followed at once.
    if (change.health == Health::kLeft) heard_.erase(change.member);
    to->changes.push_back(change);
  }
}

void MembershipNode::Take(ViewAgreement::Actions* from, Actions* to) {
  for (OutgoingMessage& sent : from->send) to->send.emplace_back(sent.to, std::move(sent.message));
  to->write |= from->write;
  to->ticket = std::max(to->ticket, from->ticket);
  to->new_view |= from->new_view;
  to->superseded |= from->superseded;
}

void MembershipNode::SendMaintenance(Actions* actions) {
  for (auto& [to, news] : actions->maintenance.send)
    actions->send.emplace_back(to, std::move(news));
  actions->maintenance.send.clear();
}

std::vector<NodeId> MembershipNode::Alive() const {
  std::vector<NodeId> alive;
  for (const FailureDetector::Member& m : detector_.members()) {
    if (m.id != options_.self && m.health <= Health::kSuspect) alive.push_back(m.id);
  }
  return alive;
}

std::uint64_t MembershipNode::SetMaintenance(double now, const std::string& worker, bool out,
                                             Actions* actions) {
  const std::uint64_t number = maintenance_.SetMaintenance(now, worker, out, &actions->maintenance);
  maintenance_.Tick(now, Alive(), &actions->maintenance);
  SendMaintenance(actions);
  return number;
}

void MembershipNode::OnFrame(double now, NodeId from, ProcessIncarnation process_incarnation,
                             const Frame& frame, Actions* actions) {
  if (from == options_.self || agreement_.superseded()) return;
  if (!AcceptsProcess(now, from, process_incarnation)) {
    AgreementMessage taken;
    taken.kind = AgreementMessage::Kind::kTaken;
    const Heard& heard = heard_[from];
    taken.process_incarnation = heard.process_incarnation;
    // Late words of one that is gone come before the first of its follower, or soon after.
    taken.yes = heard.at - heard.rival_since > options_.agreement.lease_s;
    actions->answer = std::move(taken);
    return;
  }
  if (const auto* probe = std::get_if<SwimMessage>(&frame)) {
    FailureDetector::Actions a;
    detector_.OnMessage(now, from, *probe, &a);
    Take(&a, actions);
  } else if (const auto* news = std::get_if<MaintenanceGossip>(&frame)) {
    maintenance_.OnGossip(now, from, *news, &actions->maintenance);
    SendMaintenance(actions);
  } else {
    ViewAgreement::Actions a;
    agreement_.OnMessage(now, from, process_incarnation, std::get<AgreementMessage>(frame), &a);
    Take(&a, actions);
  }
}

void MembershipNode::Tick(double now, Actions* actions) {
  if (agreement_.superseded()) return;
  FailureDetector::Actions d;
  if (detector_.NextAt() <= now) detector_.Tick(now, &d);
  Take(&d, actions);
  ViewAgreement::Actions a;
  agreement_.Tick(now, &a);
  Take(&a, actions);
  if (maintenance_.NextAt() <= now) maintenance_.Tick(now, Alive(), &actions->maintenance);
  SendMaintenance(actions);
}

void MembershipNode::OnStored(double now, std::uint64_t ticket, Actions* actions) {
  ViewAgreement::Actions a;
  agreement_.OnStored(now, ticket, &a);
  Take(&a, actions);
}

void MembershipNode::Leave(double now, Actions* actions) {
  ViewAgreement::Actions a;
  agreement_.Leave(now, &a);
  Take(&a, actions);
  FailureDetector::Actions d;
  detector_.Leave(now, &d);
  Take(&d, actions);
}

double MembershipNode::NextAt() const {
  if (agreement_.superseded()) return std::numeric_limits<double>::infinity();
  return std::min({detector_.NextAt(), agreement_.NextAt(), maintenance_.NextAt()});
}

double MembershipNode::FleetShare(double now) const {
  const auto all = static_cast<double>(options_.members.size());
  const double kept_back = options_.isolated_share / all;
  if (!agreement_.HoldsLease(now)) return kept_back;
  const auto here = static_cast<double>(agreement_.view().members.size());
  return (1 - (all - here) * kept_back) / here;
}

}  // namespace millethollow::membership
