#include "membership/cluster.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace millethollow::membership {
namespace {

// Of the lease: a process that was silent for so long may be followed by another.
constexpr double kSilentShare = 0.5;
constexpr double kBreakS = 1.0;

std::vector<NodeId> Ids(const Cluster::Options& options, bool voters_only) {
  std::vector<NodeId> ids;
  for (const auto& m : options.members) {
    if (m.voter || !voters_only) ids.push_back(m.id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

Leader::Places PlacesOf(const Cluster::Options& options) {
  Leader::Places places;
  for (const auto& m : options.members) places.emplace(m.id, m.place);
  return places;
}

}  // namespace

Cluster::Cluster(const Options& options, Votes votes, std::uint64_t seed, double now)
    : options_(options),
      detector_(options.self, Ids(options, false), options.detector, seed, now),
      agreement_({.self = options.self,
                  .life = options.life,
                  .voters = Ids(options, true),
                  .members = PlacesOf(options),
                  .timings = options.agreement},
                 std::move(votes), seed ^ 0x9e3779b97f4a7c15ULL, now),
      facts_(options.self, options.life, options.facts, seed + 1, now) {}

// Two processes under one id: who was there first is listened to until it is silent.
bool Cluster::Listens(double now, NodeId from, Life life) {
  if (detector_.Find(from) == nullptr) return false;
  Heard& heard = heard_[from];
  const double silent_s = kSilentShare * options_.agreement.lease_s;
  if (heard.life != 0 && heard.life != life && now - heard.at < silent_s) {
    // Heard of without a break: one that was stopped itself finds late words of the gone and words
    // of its follower side by side.
    if (heard.rival != life || now - heard.rival_at > kBreakS) heard.rival_since = now;
    heard.rival = life;
    heard.rival_at = now;
    return false;
  }
  if (heard.life != life) heard = {.life = life};
  heard.at = now;
  return true;
}

void Cluster::Take(Detector::Actions* from, Actions* to) {
  for (Detector::Out& out : from->send) to->send.emplace_back(out.to, std::move(out.probe));
  for (const Change& change : from->changes) {
    agreement_.Heard(change);
    // Whoever says that it goes may be followed at once.
    if (change.health == Health::kLeft) heard_.erase(change.who);
    to->changes.push_back(change);
  }
}

void Cluster::Take(Agreement::Actions* from, Actions* to) {
  for (Sent& sent : from->send) to->send.emplace_back(sent.to, std::move(sent.message));
  to->write |= from->write;
  to->ticket = std::max(to->ticket, from->ticket);
  to->new_view |= from->new_view;
  to->yield |= from->yield;
}

void Cluster::SendFacts(Actions* actions) {
  for (auto& [to, news] : actions->facts.send) actions->send.emplace_back(to, std::move(news));
  actions->facts.send.clear();
}

std::vector<NodeId> Cluster::Alive() const {
  std::vector<NodeId> alive;
  for (const Detector::Member& m : detector_.members()) {
    if (m.id != options_.self && m.health <= Health::kSuspect) alive.push_back(m.id);
  }
  return alive;
}

std::uint64_t Cluster::Say(double now, const std::string& worker, bool out, Actions* actions) {
  const std::uint64_t number = facts_.Say(now, worker, out, &actions->facts);
  facts_.Tick(now, Alive(), &actions->facts);
  SendFacts(actions);
  return number;
}

void Cluster::Hear(double now, NodeId from, Life life, const Frame& frame, Actions* actions) {
  if (from == options_.self || agreement_.yielded()) return;
  if (!Listens(now, from, life)) {
    Message taken;
    taken.kind = Message::Kind::kTaken;
    const Heard& heard = heard_[from];
    taken.life = heard.life;
    // Late words of one that is gone come before the first of its follower, or soon after.
    taken.yes = heard.at - heard.rival_since > options_.agreement.lease_s;
    actions->answer = std::move(taken);
    return;
  }
  if (const auto* probe = std::get_if<Probe>(&frame)) {
    Detector::Actions a;
    detector_.Hear(now, from, *probe, &a);
    Take(&a, actions);
  } else if (const auto* news = std::get_if<FactNews>(&frame)) {
    facts_.Hear(now, from, *news, &actions->facts);
    SendFacts(actions);
  } else {
    Agreement::Actions a;
    agreement_.Hear(now, from, life, std::get<Message>(frame), &a);
    Take(&a, actions);
  }
}

void Cluster::Tick(double now, Actions* actions) {
  if (agreement_.yielded()) return;
  Detector::Actions d;
  if (detector_.NextAt() <= now) detector_.Tick(now, &d);
  Take(&d, actions);
  Agreement::Actions a;
  agreement_.Tick(now, &a);
  Take(&a, actions);
  if (facts_.NextAt() <= now) facts_.Tick(now, Alive(), &actions->facts);
  SendFacts(actions);
}

void Cluster::Stored(double now, std::uint64_t ticket, Actions* actions) {
  Agreement::Actions a;
  agreement_.Stored(now, ticket, &a);
  Take(&a, actions);
}

void Cluster::Leave(double now, Actions* actions) {
  Agreement::Actions a;
  agreement_.Leave(now, &a);
  Take(&a, actions);
  Detector::Actions d;
  detector_.Leave(now, &d);
  Take(&d, actions);
}

double Cluster::NextAt() const {
  if (agreement_.yielded()) return std::numeric_limits<double>::infinity();
  return std::min({detector_.NextAt(), agreement_.NextAt(), facts_.NextAt()});
}

double Cluster::Part(double now) const {
  const auto all = static_cast<double>(options_.members.size());
  const double kept_back = options_.cut_off_part / all;
  if (!agreement_.Leased(now)) return kept_back;
  const auto here = static_cast<double>(agreement_.view().members.size());
  return (1 - (all - here) * kept_back) / here;
}

}  // namespace millethollow::membership
