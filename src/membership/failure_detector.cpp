#include "membership/failure_detector.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace millethollow::membership {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
// A tick that is this late means that the process was paused.
constexpr double kPauseThresholdS = 0.2;
// Pings that are pending at once on behalf of other members.
constexpr std::size_t kMaxRelayedPings = 64;
constexpr std::size_t kMaxPendingProbes = 64;  // own probes without an ack so far
constexpr std::size_t kMaxTableUpdates = 8;    // in one message, for anti-entropy
// Members that suspect the same member, including the first one. Further ones don't shorten the
// suspicion.
constexpr std::size_t kMaxConfirmations = 4;
constexpr std::uint32_t kMaxIncarnation = 0xffff0000;
// A member that leaves gossips at once to this many times the fanout.
constexpr std::size_t kLeaveFanoutFactor = 4;
// An update is sent this many times the logarithm of the number of members.
constexpr int kTransmissionFactor = 3;

// A suspected member counts as alive: suspicions end soon and are gossiped anyway.
std::uint64_t DigestOf(const FailureDetector::Member& member) {
  const Health health = member.health == Health::kSuspect ? Health::kAlive : member.health;
  return Mix(Mix(member.id) + (std::uint64_t{member.incarnation} << 2) +
             static_cast<std::uint64_t>(health));
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
  // A random phase, so that members that were started together don't send all at once.
  probe_at_ = now + timings_.probe_interval_s * random_.Unit();
  gossip_at_ = now + timings_.gossip_interval_s * random_.Unit();
  probe_failed_at_ = now + timings_.failed_probe_interval_s * random_.Unit();
  next_tick_at_ = NextTickAt();
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

double FailureDetector::NextTickAt() const {
  double at = leaving_ ? kNever : std::min(probe_at_, probe_failed_at_);
  if (!gossip_queue_.empty()) at = std::min(at, gossip_at_);
  for (const PendingProbe& probe : pending_probes_) at = std::min(at, probe.next_at);
  for (const RelayedPing& ping : relayed_pings_) at = std::min(at, ping.nack_at);
  for (std::size_t i = 0; suspect_count_ > 0 && i < members_.size(); ++i) {
    if (members_[i].health == Health::kSuspect) at = std::min(at, SuspicionEndsAt(members_[i]));
  }
  return at;
}

void FailureDetector::CompensatePause(double now) {
  const double paused_s = now - next_tick_at_;
  if (paused_s < kPauseThresholdS || next_tick_at_ == kNever) return;
  counters_.pauses_detected += 1;
  AdjustLocalHealth(1);
  for (PendingProbe& probe : pending_probes_) probe.next_at += paused_s;
  for (RelayedPing& ping : relayed_pings_) ping.nack_at += paused_s;
  for (Member& member : members_) member.suspect_since += paused_s;
  probe_at_ = std::max(probe_at_, now);
  gossip_at_ = std::max(gossip_at_, now);
}

void FailureDetector::AdjustLocalHealth(int change) {
  constexpr int kMaxMultiplier = 8;
  local_health_multiplier_ = std::clamp(local_health_multiplier_ + change, 0, kMaxMultiplier);
}

void FailureDetector::QueueUpdate(Member* member) {
  if (member->transmissions_left == 0) {
    gossip_queue_.push_back(static_cast<std::size_t>(member - members_.data()));
  }
  member->transmissions_left = MaxTransmissions();
}

void FailureDetector::SetHealth(Member* member, std::uint32_t incarnation, Health health,
                                Actions* actions) {
  digest_ ^= DigestOf(*member);
  if (member->health == Health::kSuspect) suspect_count_ -= 1;
  if (health == Health::kSuspect) suspect_count_ += 1;
  member->incarnation = incarnation;
  member->health = health;
  digest_ ^= DigestOf(*member);
  QueueUpdate(member);
  if (health != Health::kSuspect) {
    member->suspected_by = 0;
    member->confirmed_by.clear();
  }
  actions->changes.push_back({member->id, health, incarnation});
}

double FailureDetector::SuspicionEndsAt(const Member& member) const {
  // Lifeguard's dynamic suspicion timeout: it shrinks from the maximum to the minimum with the
  // logarithm of the confirmations. With fewer than three members nobody can confirm a suspicion.
  const double max_confirmations = std::min<double>(3, static_cast<double>(members_.size()) - 2);
  const double confirmations = static_cast<double>(member.confirmed_by.size()) - 1;
  if (max_confirmations <= 0) return member.suspect_since + timings_.suspicion_min_s;
  const double shortened_s = (timings_.suspicion_max_s - timings_.suspicion_min_s) *
                             std::log(confirmations + 1) / std::log(max_confirmations + 1);
  return member.suspect_since +
         std::max(timings_.suspicion_min_s, timings_.suspicion_max_s - shortened_s);
}

void FailureDetector::Suspect(double now, Member* member, std::uint32_t incarnation,
                              NodeId suspected_by, Actions* actions) {
  if (member->health == Health::kSuspect && member->incarnation == incarnation) {
    // An independent confirmation is gossiped on as long as it shortens the suspicion.
    const bool already_confirmed =
        std::find(member->confirmed_by.begin(), member->confirmed_by.end(), suspected_by) !=
        member->confirmed_by.end();
    if (already_confirmed || member->confirmed_by.size() >= kMaxConfirmations) return;
    member->confirmed_by.push_back(suspected_by);
    member->suspected_by = suspected_by;
    QueueUpdate(member);
    return;
  }
  counters_.suspicions += 1;
  SetHealth(member, incarnation, Health::kSuspect, actions);
  member->suspect_since = now;
  member->suspected_by = suspected_by;
  member->confirmed_by = {suspected_by};
}

void FailureDetector::Refute(double now, std::uint32_t incarnation, Actions* actions) {
  Member* self = FindMember(self_);
  if (leaving_) {
    if (incarnation >= self->incarnation) SetHealth(self, incarnation + 1, Health::kLeft, actions);
    return;
  }
  SetHealth(self, incarnation + 1, Health::kAlive, actions);
  // Gossips at once, as the suspicion may end before the next gossip is due.
  Gossip(static_cast<std::size_t>(timings_.fanout), actions);
  gossip_at_ = now + timings_.gossip_interval_s;
}

void FailureDetector::OnUpdate(double now, const GossipUpdate& update, Actions* actions) {
  Member* member = FindMember(update.member);
  // Not a member, or an incarnation that could not be raised any more.
  if (member == nullptr || update.incarnation >= kMaxIncarnation) return;
  if (update.member == self_) {
    const bool accuses_self =
        update.health != Health::kAlive && update.incarnation >= member->incarnation;
    // An earlier process of this member had a higher incarnation. This process takes a higher one
    // still, so that updates about the earlier one don't override its own.
    const bool of_earlier_process =
        update.health == Health::kAlive && update.incarnation > member->incarnation;
    if (accuses_self && !leaving_) {
      counters_.refutations += 1;
      AdjustLocalHealth(1);
    }
    if (accuses_self || of_earlier_process) Refute(now, update.incarnation, actions);
    return;
  }
  const bool same_state =
      update.incarnation == member->incarnation && update.health == member->health;
  if (update.health == Health::kSuspect && same_state)
    Suspect(now, member, update.incarnation, update.suspected_by, actions);
  if (std::pair(update.incarnation, update.health) <=
      std::pair(member->incarnation, member->health))
    return;
  if (update.health == Health::kSuspect) {
    Suspect(now, member, update.incarnation, update.suspected_by, actions);
  } else {
    if (update.health == Health::kFailed) counters_.failures += 1;
    SetHealth(member, update.incarnation, update.health, actions);
  }
}

SwimMessage FailureDetector::MakeMessage(SwimMessage::Kind kind, std::uint32_t sequence,
                                         const Member* to, std::uint64_t peer_digest) {
  SwimMessage message{.kind = kind,
                      .sequence = sequence,
                      .subject = 0,
                      .incarnation = FindMember(self_)->incarnation,
                      .digest = digest_,
                      .updates = {}};
  // The update about the recipient itself comes first, so that it can refute it.
  if (to != nullptr && to->health != Health::kAlive) AddUpdate(*to, &message);
  AddQueuedUpdates(to, &message);
  if (peer_digest != 0 && peer_digest != digest_) AddTableUpdates(&message);
  return message;
}

void FailureDetector::AddUpdate(const Member& member, SwimMessage* message) {
  message->updates.push_back({member.id, member.incarnation, member.health, member.suspected_by});
}

// Adds the queued updates that were sent least often, as many as fit.
void FailureDetector::AddQueuedUpdates(const Member* to, SwimMessage* message) {
  std::sort(gossip_queue_.begin(), gossip_queue_.end(), [this](std::size_t a, std::size_t b) {
    const int left = members_[a].transmissions_left, right = members_[b].transmissions_left;
    return left != right ? left > right : a < b;
  });
  for (const std::size_t i : gossip_queue_) {
    if (message->updates.size() >= SwimMessage::kMaxUpdates) break;
    if (&members_[i] == to && to->health != Health::kAlive) continue;  // MakeMessage has added it
    AddUpdate(members_[i], message);
    members_[i].transmissions_left -= 1;
  }
  std::erase_if(gossip_queue_,
                [this](std::size_t i) { return members_[i].transmissions_left <= 0; });
}

// Anti-entropy with a member whose digest differs: adds the next entries of this member's table.
// The other member sends entries of its own table likewise.
void FailureDetector::AddTableUpdates(SwimMessage* message) {
  for (std::size_t n = 0; n < std::min(kMaxTableUpdates, members_.size()); ++n) {
    if (message->updates.size() >= SwimMessage::kMaxUpdates) break;
    last_table_update_ = (last_table_update_ + 1) % members_.size();
    AddUpdate(members_[last_table_update_], message);
  }
}

void FailureDetector::Gossip(std::size_t fanout, Actions* actions) {
  std::vector<std::size_t> recipients;
  for (const std::size_t i : probe_order_) {
    if (members_[i].health <= Health::kSuspect) recipients.push_back(i);
  }
  for (std::size_t n = 0; n < fanout && !recipients.empty(); ++n) {
    const std::size_t pick = random_.Below(recipients.size());
    const Member& member = members_[recipients[pick]];
    Send(member.id, MakeMessage(SwimMessage::Kind::kGossip, 0, &member, 0), actions);
    recipients[pick] = recipients.back();
    recipients.pop_back();
  }
}

// The member after this one in the order of the table that is alive and not suspected.
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

// Probes in turn the next member in random order and this member's successor: in random order alone
// one member in a hundred is not probed by any other for more than a second.
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
    const Member& member = members_[target];
    if (member.health > Health::kSuspect || pending_probes_.size() >= kMaxPendingProbes) continue;
    return Ping(now, target, actions);
  }
}

// Probes the failed and departed members in turn, since a network partition may have healed.
void FailureDetector::ProbeFailedMember(double now, Actions* actions) {
  for (std::size_t tried = 0; tried < members_.size(); ++tried) {
    last_failed_probed_ = (last_failed_probed_ + 1) % members_.size();
    const Member& member = members_[last_failed_probed_];
    if (member.health < Health::kFailed || member.id == self_ ||
        pending_probes_.size() >= kMaxPendingProbes)
      continue;
    pending_probes_.push_back({.sequence = ++sequence_,
                               .target = last_failed_probed_,
                               .next_at = now + timings_.probe_interval_s,
                               .of_failed_member = true});
    return Send(member.id, MakeMessage(SwimMessage::Kind::kPing, sequence_, &member, 0), actions);
  }
}

// Takes the next step of a probe without an ack. Sets next_at to -1 where there is none.
void FailureDetector::AdvanceProbe(double now, PendingProbe* probe, Actions* actions) {
  Member& member = members_[probe->target];
  const bool undecided = member.health <= Health::kSuspect;
  if (!probe->indirect_probes_requested && !probe->of_failed_member && undecided) {
    return RequestIndirectProbes(now, probe, actions);
  }
  probe->next_at = -1;
  if (probe->of_failed_member || !undecided) return;
  counters_.failed_probes += 1;
  // Lifeguard: relays that sent no nack either mean that this member itself may be slow or cut off.
  const int missing_nacks = probe->nacks_expected - probe->nacks_received;
  AdjustLocalHealth(probe->nacks_expected > 0 ? std::min(1, missing_nacks) : 1);
  Suspect(now, &member, member.incarnation, self_, actions);
}

// Pings the target again, as the first ping may have been lost, and has relays ping it too: the
// indirect probes of SWIM.
void FailureDetector::RequestIndirectProbes(double now, PendingProbe* probe, Actions* actions) {
  const Member& target = members_[probe->target];
  probe->indirect_probes_requested = true;
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

void FailureDetector::OnProbeReply(std::uint32_t sequence, NodeId subject, bool acked,
                                   Actions* actions) {
  for (PendingProbe& probe : pending_probes_) {
    if (probe.sequence != sequence || members_[probe.target].id != subject) continue;
    if (!acked) {
      probe.nacks_received = std::min(probe.nacks_received + 1, probe.nacks_expected);
      return;
    }
    AdjustLocalHealth(-1);
    probe = pending_probes_.back();
    pending_probes_.pop_back();
    return;
  }
  for (RelayedPing& ping : relayed_pings_) {
    if (ping.sequence != sequence || ping.target != subject || !acked) continue;
    SwimMessage ack = MakeMessage(SwimMessage::Kind::kAck, ping.requester_sequence,
                                  FindMember(ping.requester), 0);
    ack.subject = subject;
    Send(ping.requester, std::move(ack), actions);
    ping = relayed_pings_.back();
    relayed_pings_.pop_back();
    return;
  }
}

void FailureDetector::OnMessage(double now, NodeId from, const SwimMessage& message,
                                Actions* actions) {
  CompensatePause(now);
  Member* sender = FindMember(from);
  if (sender == nullptr || from == self_) return;
  sender->last_message_at = now;
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
      OnProbeReply(message.sequence, message.subject, message.kind == Kind::kAck, actions);
      break;
    case Kind::kGossip:
      break;
  }
  // The sender's table differs, or it does not know that it is suspected or failed.
  const bool unaware = sender->health != Health::kAlive;
  const bool differs = message.kind == Kind::kAck && message.digest != digest_;
  if (message.kind != Kind::kPing && (unaware || differs)) {
    Send(from, MakeMessage(Kind::kGossip, 0, sender, message.digest), actions);
  }
  next_tick_at_ = NextTickAt();
}

void FailureDetector::RelayPing(double now, NodeId from, const SwimMessage& request,
                                Actions* actions) {
  const Member* target = FindMember(request.subject);
  if (target == nullptr || request.subject == self_) return;
  if (relayed_pings_.size() >= kMaxRelayedPings) return;
  relayed_pings_.push_back({.sequence = ++sequence_,
                            .requester_sequence = request.sequence,
                            .requester = from,
                            .target = request.subject,
                            .nack_at = now + timings_.probe_timeout_s});
  Send(request.subject, MakeMessage(SwimMessage::Kind::kPing, sequence_, target, 0), actions);
}

void FailureDetector::Tick(double now, Actions* actions) {
  CompensatePause(now);
  AdvanceProbes(now, actions);
  SendNacks(now, actions);
  ExpireSuspicions(now, actions);
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
  next_tick_at_ = NextTickAt();
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
    SwimMessage nack = MakeMessage(SwimMessage::Kind::kNack, ping.requester_sequence,
                                   FindMember(ping.requester), 0);
    nack.subject = ping.target;
    Send(ping.requester, std::move(nack), actions);
    relayed_pings_[i] = relayed_pings_.back();
    relayed_pings_.pop_back();
  }
}

void FailureDetector::ExpireSuspicions(double now, Actions* actions) {
  for (std::size_t i = 0; suspect_count_ > 0 && i < members_.size(); ++i) {
    Member& member = members_[i];
    if (member.health != Health::kSuspect || SuspicionEndsAt(member) > now) continue;
    counters_.failures += 1;
    SetHealth(&member, member.incarnation, Health::kFailed, actions);
  }
}

void FailureDetector::Leave(double now, Actions* actions) {
  if (leaving_) return;
  leaving_ = true;
  pending_probes_.clear();
  SetHealth(FindMember(self_), FindMember(self_)->incarnation, Health::kLeft, actions);
  Gossip(kLeaveFanoutFactor * static_cast<std::size_t>(timings_.fanout), actions);
  gossip_at_ = now + timings_.gossip_interval_s;
  next_tick_at_ = NextTickAt();
}

}  // namespace millethollow::membership
