#include "membership/failure_detector.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace millethollow::membership {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kPauseS = 0.2;               // a tick so late means that the process was paused
constexpr std::size_t kMaxRelayedPings = 64;  // pings on behalf of others at once
constexpr std::size_t kMaxPendingProbes = 64;
constexpr std::size_t kTableUpdates = 8;   // of the whole table, in one message
constexpr std::size_t kMaxConfirming = 4;  // members that suspect one, as far as it counts
constexpr std::uint32_t kMaxIncarnation = 0xffff0000;
constexpr std::size_t kLeaveFanouts = 4;  // times the fanout hear at once of one that leaves
constexpr int kTransmissionFactor =
    3;  // an update is sent so many times the logarithm of the members

// A suspicion counts as alive here: it passes, and is gossiped often enough.
std::uint64_t DigestOf(const FailureDetector::Member& m) {
  const Health health = m.health == Health::kSuspect ? Health::kAlive : m.health;
  return Mix(Mix(m.id) + (std::uint64_t{m.incarnation} << 2) + static_cast<std::uint64_t>(health));
}

}  // namespace

FailureDetector::FailureDetector(NodeId self, const std::vector<NodeId>& members,
                                 const FailureDetectorTimings& timings, std::uint64_t seed,
                                 double now)
    : self_(self), timings_(timings), random_(seed) {
  for (const NodeId id : members) {
    index_.emplace(id, members_.size());
    members_.emplace_back().id = id;
    digest_ ^= DigestOf(members_.back());
    if (id != self) probe_order_.push_back(members_.size() - 1);
  }
  next_in_probe_order_ = probe_order_.size();
  // Members that were started together must not probe in step.
  probe_at_ = now + timings_.probe_interval_s * random_.Unit();
  gossip_at_ = now + timings_.gossip_interval_s * random_.Unit();
  probe_failed_at_ = now + timings_.failed_probe_interval_s * random_.Unit();
  next_tick_at_ = NextAt();
}

FailureDetector::Member* FailureDetector::FindMember(NodeId id) {
  const auto it = index_.find(id);
  return it == index_.end() ? nullptr : &members_[it->second];
}

const FailureDetector::Member* FailureDetector::Find(NodeId id) const {
  const auto it = index_.find(id);
  return it == index_.end() ? nullptr : &members_[it->second];
}

int FailureDetector::MaxTransmissions() const {
  return kTransmissionFactor * static_cast<int>(std::bit_width(members_.size()));
}

double FailureDetector::NextAt() const {
  double at = leaving_ ? kNever : std::min(probe_at_, probe_failed_at_);
  if (!gossip_queue_.empty()) at = std::min(at, gossip_at_);
  for (const PendingProbe& a : pending_probes_) at = std::min(at, a.next_at);
  for (const RelayedPing& r : relayed_pings_) at = std::min(at, r.nack_at);
  for (std::size_t i = 0; suspect_count_ > 0 && i < members_.size(); ++i) {
    if (members_[i].health == Health::kSuspect) at = std::min(at, SuspicionEndsAt(members_[i]));
  }
  return at;
}

void FailureDetector::CompensatePause(double now) {
  const double lost = now - next_tick_at_;
  if (lost < kPauseS || next_tick_at_ == kNever) return;
  counters_.pauses_detected += 1;
  AdjustLocalHealth(1);
  for (PendingProbe& a : pending_probes_) a.next_at += lost;
  for (RelayedPing& r : relayed_pings_) r.nack_at += lost;
  for (Member& m : members_) m.suspect_since += lost;
  probe_at_ = std::max(probe_at_, now);
  gossip_at_ = std::max(gossip_at_, now);
}

void FailureDetector::AdjustLocalHealth(int by) {
  constexpr int kMaxMultiplier = 8;
  local_health_multiplier_ = std::clamp(local_health_multiplier_ + by, 0, kMaxMultiplier);
}

void FailureDetector::QueueUpdate(Member* m) {
  if (m->transmissions_left == 0) {
    gossip_queue_.push_back(static_cast<std::size_t>(m - members_.data()));
  }
  m->transmissions_left = MaxTransmissions();
}

void FailureDetector::SetHealth(Member* m, std::uint32_t incarnation, Health health,
                                Actions* actions) {
  digest_ ^= DigestOf(*m);
  if (m->health == Health::kSuspect) suspect_count_ -= 1;
  if (health == Health::kSuspect) suspect_count_ += 1;
  m->incarnation = incarnation;
  m->health = health;
  digest_ ^= DigestOf(*m);
  QueueUpdate(m);
  if (health != Health::kSuspect) {
    m->suspected_by = 0;
    m->confirmed_by.clear();
  }
  actions->changes.push_back({m->id, health, incarnation});
}

double FailureDetector::SuspicionEndsAt(const Member& m) const {
  // Lifeguard: the more members confirm it, the sooner; none, the longest. With fewer
  // than three members there is nobody to confirm it.
  const double max_confirmations = std::min<double>(3, static_cast<double>(members_.size()) - 2);
  const double confirmations = static_cast<double>(m.confirmed_by.size()) - 1;
  if (max_confirmations <= 0) return m.suspect_since + timings_.suspicion_min_s;
  const double shortened_s = (timings_.suspicion_max_s - timings_.suspicion_min_s) *
                             std::log(confirmations + 1) / std::log(max_confirmations + 1);
  return m.suspect_since +
         std::max(timings_.suspicion_min_s, timings_.suspicion_max_s - shortened_s);
}

void FailureDetector::Suspect(double now, Member* m, std::uint32_t incarnation, NodeId by,
                              Actions* actions) {
  if (m->health == Health::kSuspect && m->incarnation == incarnation) {
    // An independent confirmation: worth passing on, up to as many as shorten the suspicion.
    const bool known =
        std::find(m->confirmed_by.begin(), m->confirmed_by.end(), by) != m->confirmed_by.end();
    if (known || m->confirmed_by.size() >= kMaxConfirming) return;
    m->confirmed_by.push_back(by);
    m->suspected_by = by;
    QueueUpdate(m);
    return;
  }
  counters_.suspicions += 1;
  SetHealth(m, incarnation, Health::kSuspect, actions);
  m->suspect_since = now;
  m->suspected_by = by;
  m->confirmed_by = {by};
}

void FailureDetector::Refute(double now, std::uint32_t incarnation, Actions* actions) {
  Member* self = FindMember(self_);
  if (leaving_) {
    if (incarnation >= self->incarnation) SetHealth(self, incarnation + 1, Health::kLeft, actions);
    return;
  }
  SetHealth(self, incarnation + 1, Health::kAlive, actions);
  Gossip(static_cast<std::size_t>(timings_.fanout),
         actions);  // at once: a deadline runs against us
  gossip_at_ = now + timings_.gossip_interval_s;
}

void FailureDetector::OnUpdate(double now, const GossipUpdate& update, Actions* actions) {
  Member* m = FindMember(update.member);
  // Not a member, or a number that leaves none above it.
  if (m == nullptr || update.incarnation >= kMaxIncarnation) return;
  if (update.member == self_) {
    const bool against = update.health != Health::kAlive && update.incarnation >= m->incarnation;
    // Or of an earlier process of this member: what was said of that must not count against this.
    const bool before = update.health == Health::kAlive && update.incarnation > m->incarnation;
    if (against && !leaving_) {
      counters_.refutations += 1;
      AdjustLocalHealth(1);
    }
    if (against || before) Refute(now, update.incarnation, actions);
    return;
  }
  const bool same = update.incarnation == m->incarnation && update.health == m->health;
  if (update.health == Health::kSuspect && same)
    Suspect(now, m, update.incarnation, update.suspected_by, actions);
  if (std::pair(update.incarnation, update.health) <= std::pair(m->incarnation, m->health)) return;
  if (update.health == Health::kSuspect) {
    Suspect(now, m, update.incarnation, update.suspected_by, actions);
  } else {
    if (update.health == Health::kFailed) counters_.failures += 1;
    SetHealth(m, update.incarnation, update.health, actions);
  }
}

SwimMessage FailureDetector::MakeMessage(SwimMessage::Kind kind, std::uint32_t sequence,
                                         const Member* to, std::uint64_t their_digest) {
  SwimMessage p{.kind = kind,
                .sequence = sequence,
                .subject = 0,
                .incarnation = FindMember(self_)->incarnation,
                .digest = digest_,
                .updates = {}};
  // First what it must hear itself, so that it can refute it.
  if (to != nullptr && to->health != Health::kAlive) AddUpdate(*to, &p);
  AddQueuedUpdates(to, &p);
  if (their_digest != 0 && their_digest != digest_) AddTableUpdates(&p);
  return p;
}

void FailureDetector::AddUpdate(const Member& m, SwimMessage* message) {
  message->updates.push_back({m.id, m.incarnation, m.health, m.suspected_by});
}

// What was sent least often comes first. In a small cluster most of it fits.
void FailureDetector::AddQueuedUpdates(const Member* to, SwimMessage* message) {
  std::sort(gossip_queue_.begin(), gossip_queue_.end(), [this](std::size_t a, std::size_t b) {
    const int left = members_[a].transmissions_left, right = members_[b].transmissions_left;
    return left != right ? left > right : a < b;
  });
  for (const std::size_t i : gossip_queue_) {
    if (message->updates.size() >= SwimMessage::kMaxUpdates) break;
    if (&members_[i] == to && to->health != Health::kAlive) continue;  // is in it already
    AddUpdate(members_[i], message);
    members_[i].transmissions_left -= 1;
  }
  std::erase_if(gossip_queue_,
                [this](std::size_t i) { return members_[i].transmissions_left <= 0; });
}

// To one whose table differs: a part of ours, in turn. Whoever knows better answers likewise.
void FailureDetector::AddTableUpdates(SwimMessage* message) {
  for (std::size_t n = 0; n < std::min(kTableUpdates, members_.size()); ++n) {
    if (message->updates.size() >= SwimMessage::kMaxUpdates) break;
    next_table_update_ = (next_table_update_ + 1) % members_.size();
    AddUpdate(members_[next_table_update_], message);
  }
}

void FailureDetector::Gossip(std::size_t receivers, Actions* actions) {
  std::vector<std::size_t> to;
  for (const std::size_t i : probe_order_) {
    if (members_[i].health <= Health::kSuspect) to.push_back(i);
  }
  for (std::size_t n = 0; n < receivers && !to.empty(); ++n) {
    const std::size_t pick = random_.Below(to.size());
    const Member& m = members_[to[pick]];
    Send(m.id, MakeMessage(SwimMessage::Kind::kGossip, 0, &m, 0), actions);
    to[pick] = to.back();
    to.pop_back();
  }
}

// The next member by id that is alive, a suspected one is skipped.
std::size_t FailureDetector::Successor() const {
  const std::size_t self = index_.at(self_);
  for (std::size_t n = 1; n < members_.size(); ++n) {
    const std::size_t i = (self + n) % members_.size();
    if (members_[i].health == Health::kAlive) return i;
  }
  return self;
}

void FailureDetector::Ping(double now, std::size_t target, Actions* actions) {
  counters_.probes += 1;
  pending_probes_.push_back(
      {.sequence = ++sequence_,
       .target = target,
       .next_at = now + timings_.probe_timeout_s * (1 + local_health_multiplier_)});
  Send(members_[target].id, MakeMessage(SwimMessage::Kind::kPing, sequence_, &members_[target], 0),
       actions);
}

// In turn the one that is next by chance, and our successor: by chance alone one in a hundred is
// not probed by anyone for more than a second.
void FailureDetector::ProbeNext(double now, Actions* actions) {
  const std::size_t successor = Successor();
  probe_successor_next_ = !probe_successor_next_;
  if (probe_successor_next_ && members_[successor].id != self_ &&
      pending_probes_.size() < kMaxPendingProbes) {
    return Ping(now, successor, actions);
  }
  for (std::size_t tried = 0; tried <= probe_order_.size(); ++tried) {
    if (next_in_probe_order_ >= probe_order_.size()) {
      for (std::size_t i = probe_order_.size(); i > 1; --i)
        std::swap(probe_order_[i - 1], probe_order_[random_.Below(i)]);
      next_in_probe_order_ = 0;
    }
    if (probe_order_.empty()) return;
    const std::size_t target = probe_order_[next_in_probe_order_++];
    const Member& m = members_[target];
    if (m.health > Health::kSuspect || pending_probes_.size() >= kMaxPendingProbes) continue;
    return Ping(now, target, actions);
  }
}

// One member that is failed or left, in turn: a cut may be healed.
void FailureDetector::ProbeFailedMember(double now, Actions* actions) {
  for (std::size_t tried = 0; tried < members_.size(); ++tried) {
    next_failed_ = (next_failed_ + 1) % members_.size();
    const Member& m = members_[next_failed_];
    if (m.health < Health::kFailed || m.id == self_ || pending_probes_.size() >= kMaxPendingProbes)
      continue;
    pending_probes_.push_back({.sequence = ++sequence_,
                               .target = next_failed_,
                               .next_at = now + timings_.probe_interval_s,
                               .of_failed_member = true});
    return Send(m.id, MakeMessage(SwimMessage::Kind::kPing, sequence_, &m, 0), actions);
  }
}

// The next step of a ping without an answer; next_at of -1: it is done with.
void FailureDetector::AdvanceProbe(double now, PendingProbe* probe, Actions* actions) {
  Member& m = members_[probe->target];
  const bool undecided = m.health <= Health::kSuspect;
  if (!probe->relays_asked && !probe->of_failed_member && undecided) {
    return AskRelays(now, probe, actions);
  }
  probe->next_at = -1;
  if (probe->of_failed_member || !undecided) return;
  counters_.failed_probes += 1;
  // Relays that sent no nack either: it may be that this member is not heard.
  const int missing_nacks = probe->nacks_expected - probe->nacks_received;
  AdjustLocalHealth(probe->nacks_expected > 0 ? std::min(1, missing_nacks) : 1);
  Suspect(now, &m, m.incarnation, self_, actions);
}

// Pings once more, as the first may have been lost, and by way of others.
void FailureDetector::AskRelays(double now, PendingProbe* probe, Actions* actions) {
  const Member& target = members_[probe->target];
  probe->relays_asked = true;
  probe->next_at =
      now + (timings_.probe_interval_s - timings_.probe_timeout_s) * (1 + local_health_multiplier_);
  Send(target.id, MakeMessage(SwimMessage::Kind::kPing, probe->sequence, &target, 0), actions);
  std::vector<std::size_t> relays;
  for (const std::size_t i : probe_order_) {
    if (i != probe->target && members_[i].health == Health::kAlive) relays.push_back(i);
  }
  for (int n = 0; n < timings_.relays && !relays.empty(); ++n) {
    const std::size_t pick = random_.Below(relays.size());
    const Member& relay = members_[relays[pick]];
    SwimMessage request = MakeMessage(SwimMessage::Kind::kPingRequest, probe->sequence, &relay, 0);
    request.subject = target.id;
    Send(relay.id, std::move(request), actions);
    probe->nacks_expected += 1;
    relays[pick] = relays.back();
    relays.pop_back();
  }
}

void FailureDetector::OnProbeAnswer(std::uint32_t sequence, NodeId subject, bool yes,
                                    Actions* actions) {
  for (PendingProbe& a : pending_probes_) {
    if (a.sequence != sequence || members_[a.target].id != subject) continue;
    if (!yes) {
      a.nacks_received = std::min(a.nacks_received + 1, a.nacks_expected);
      return;
    }
    AdjustLocalHealth(-1);
    a = pending_probes_.back();
    pending_probes_.pop_back();
    return;
  }
  for (RelayedPing& r : relayed_pings_) {
    if (r.sequence != sequence || r.target != subject || !yes) continue;
    SwimMessage p =
        MakeMessage(SwimMessage::Kind::kAck, r.their_sequence, FindMember(r.requester), 0);
    p.subject = subject;
    Send(r.requester, std::move(p), actions);
    r = relayed_pings_.back();
    relayed_pings_.pop_back();
    return;
  }
}

void FailureDetector::OnMessage(double now, NodeId from, const SwimMessage& message,
                                Actions* actions) {
  CompensatePause(now);
  Member* sender = FindMember(from);
  if (sender == nullptr || from == self_) return;
  sender->seen_at = now;
  OnUpdate(now, {from, message.incarnation, Health::kAlive, 0}, actions);
  const std::size_t updates = std::min(message.updates.size(), SwimMessage::kMaxUpdates);
  for (std::size_t i = 0; i < updates; ++i) OnUpdate(now, message.updates[i], actions);
  using Kind = SwimMessage::Kind;
  switch (message.kind) {
    case Kind::kPing: {
      SwimMessage ack = MakeMessage(Kind::kAck, message.sequence, sender, message.digest);
      ack.subject = self_;
      Send(from, std::move(ack), actions);
      break;
    }
    case Kind::kPingRequest:
      RelayPing(now, from, message, actions);
      break;
    case Kind::kAck:
    case Kind::kNack:
      OnProbeAnswer(message.sequence, message.subject, message.kind == Kind::kAck, actions);
      break;
    case Kind::kGossip:
      break;
  }
  // Its table differs, or it does not know what is said of it: it gets ours.
  const bool unaware = sender->health != Health::kAlive;
  const bool differs = message.kind == Kind::kAck && message.digest != digest_;
  if (message.kind != Kind::kPing && (unaware || differs)) {
    Send(from, MakeMessage(Kind::kGossip, 0, sender, message.digest), actions);
  }
  next_tick_at_ = NextAt();
}

void FailureDetector::RelayPing(double now, NodeId from, const SwimMessage& request,
                                Actions* actions) {
  const Member* target = FindMember(request.subject);
  if (target == nullptr || request.subject == self_) return;
  if (relayed_pings_.size() >= kMaxRelayedPings) return;
  relayed_pings_.push_back({.sequence = ++sequence_,
                            .their_sequence = request.sequence,
                            .requester = from,
                            .target = request.subject,
                            .nack_at = now + timings_.probe_timeout_s});
  Send(request.subject, MakeMessage(SwimMessage::Kind::kPing, sequence_, target, 0), actions);
}

void FailureDetector::Tick(double now, Actions* actions) {
  CompensatePause(now);
  AdvanceProbes(now, actions);
  SendNacks(now, actions);
  FailSuspects(now, actions);
  if (!leaving_ && probe_at_ <= now) {
    ProbeNext(now, actions);
    probe_at_ = now + timings_.probe_interval_s * (1 + local_health_multiplier_);
  }
  if (!leaving_ && probe_failed_at_ <= now) {
    ProbeFailedMember(now, actions);
    probe_failed_at_ = now + timings_.failed_probe_interval_s;
  }
  if (gossip_at_ <= now) {
    if (!gossip_queue_.empty()) Gossip(static_cast<std::size_t>(timings_.fanout), actions);
    gossip_at_ = now + timings_.gossip_interval_s;
  }
  next_tick_at_ = NextAt();
}

void FailureDetector::AdvanceProbes(double now, Actions* actions) {
  for (std::size_t i = 0; i < pending_probes_.size();) {
    if (pending_probes_[i].next_at <= now) AdvanceProbe(now, &pending_probes_[i], actions);
    if (pending_probes_[i].next_at >= 0) {
      ++i;
      continue;
    }
    pending_probes_[i] = pending_probes_.back();
    pending_probes_.pop_back();
  }
}

void FailureDetector::SendNacks(double now, Actions* actions) {
  for (std::size_t i = 0; i < relayed_pings_.size();) {
    const RelayedPing& ping = relayed_pings_[i];
    if (ping.nack_at > now) {
      ++i;
      continue;
    }
    SwimMessage nack =
        MakeMessage(SwimMessage::Kind::kNack, ping.their_sequence, FindMember(ping.requester), 0);
    nack.subject = ping.target;
    Send(ping.requester, std::move(nack), actions);
    relayed_pings_[i] = relayed_pings_.back();
    relayed_pings_.pop_back();
  }
}

void FailureDetector::FailSuspects(double now, Actions* actions) {
  for (std::size_t i = 0; suspect_count_ > 0 && i < members_.size(); ++i) {
    Member& m = members_[i];
    if (m.health != Health::kSuspect || SuspicionEndsAt(m) > now) continue;
    counters_.failures += 1;
    SetHealth(&m, m.incarnation, Health::kFailed, actions);
  }
}

void FailureDetector::Leave(double now, Actions* actions) {
  if (leaving_) return;
  leaving_ = true;
  pending_probes_.clear();
  SetHealth(FindMember(self_), FindMember(self_)->incarnation, Health::kLeft, actions);
  Gossip(kLeaveFanouts * static_cast<std::size_t>(timings_.fanout), actions);
  gossip_at_ = now + timings_.gossip_interval_s;
  next_tick_at_ = NextAt();
}

}  // namespace millethollow::membership
