#include "membership/failure_detector.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <limits>

namespace millethollow::membership {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kStopS = 0.2;            // a tick so late means that the process was stopped
constexpr std::size_t kMostRelayed = 64;  // pings on behalf of others at once
constexpr std::size_t kMostAsked = 64;
constexpr std::size_t kTableNews = 8;  // of a table that differs, in one datagram
constexpr std::uint32_t kMostIncarnation = 0xffff0000;
constexpr int kTellFactor = 3;  // news goes out so many times the logarithm of the members

// A suspicion counts as alive here: it passes, and is told often enough.
std::uint64_t DigestOf(const FailureDetector::Member& m) {
  const Health health = m.health == Health::kSuspect ? Health::kAlive : m.health;
  return Mix(Mix(m.id) + (std::uint64_t{m.incarnation} << 2) + static_cast<std::uint64_t>(health));
}

}  // namespace

FailureDetector::FailureDetector(NodeId self, const std::vector<NodeId>& members,
                                 const FailureDetectorTimings& timings, std::uint64_t seed,
                                 double now)
    : self_(self), t_(timings), random_(seed) {
  for (const NodeId id : members) {
    index_.emplace(id, members_.size());
    members_.emplace_back().id = id;
    digest_ ^= DigestOf(members_.back());
    if (id != self) order_.push_back(members_.size() - 1);
  }
  next_in_order_ = order_.size();
  // Members that all started at once must not probe in step.
  probe_at_ = now + t_.probe_interval_s * random_.Unit();
  gossip_at_ = now + t_.gossip_interval_s * random_.Unit();
  ask_failed_at_ = now + t_.failed_probe_interval_s * random_.Unit();
  due_at_ = NextAt();
}

FailureDetector::Member* FailureDetector::At(NodeId id) {
  const auto it = index_.find(id);
  return it == index_.end() ? nullptr : &members_[it->second];
}

const FailureDetector::Member* FailureDetector::Find(NodeId id) const {
  const auto it = index_.find(id);
  return it == index_.end() ? nullptr : &members_[it->second];
}

int FailureDetector::Tells() const {
  return kTellFactor * static_cast<int>(std::bit_width(members_.size()));
}

double FailureDetector::NextAt() const {
  double at = leaving_ ? kNever : std::min(probe_at_, ask_failed_at_);
  if (!fresh_.empty()) at = std::min(at, gossip_at_);
  for (const Asked& a : asked_) at = std::min(at, a.next_at);
  for (const Relayed& r : relayed_) at = std::min(at, r.nack_at);
  for (std::size_t i = 0; suspects_ > 0 && i < members_.size(); ++i) {
    if (members_[i].health == Health::kSuspect) at = std::min(at, SuspicionEnds(members_[i]));
  }
  return at;
}

void FailureDetector::NoticeStop(double now) {
  const double lost = now - due_at_;
  if (lost < kStopS || due_at_ == kNever) return;
  counters_.pauses_detected += 1;
  Slower(1);
  for (Asked& a : asked_) a.next_at += lost;
  for (Relayed& r : relayed_) r.nack_at += lost;
  for (Member& m : members_) m.suspect_since += lost;
  probe_at_ = std::max(probe_at_, now);
  gossip_at_ = std::max(gossip_at_, now);
}

void FailureDetector::Set(Member* m, std::uint32_t incarnation, Health health, Actions* actions) {
  digest_ ^= DigestOf(*m);
  if (m->health == Health::kSuspect) suspects_ -= 1;
  if (health == Health::kSuspect) suspects_ += 1;
  m->incarnation = incarnation;
  m->health = health;
  digest_ ^= DigestOf(*m);
  if (m->tells_left == 0) fresh_.push_back(static_cast<std::size_t>(m - members_.data()));
  m->tells_left = Tells();
  if (health != Health::kSuspect) {
    m->by = 0;
    m->confirmed_by.clear();
  }
  actions->changes.push_back({m->id, health, incarnation});
}

double FailureDetector::SuspicionEnds(const Member& m) const {
  // Lifeguard: the more members say so by themselves, the sooner; alone, its longest. With fewer
  // than three members there is nobody to confirm it.
  const double most = std::min<double>(3, static_cast<double>(members_.size()) - 2);
  const double confirmed = static_cast<double>(m.confirmed_by.size()) - 1;
  if (most <= 0) return m.suspect_since + t_.suspicion_min_s;
  const double down =
      (t_.suspicion_max_s - t_.suspicion_min_s) * std::log(confirmed + 1) / std::log(most + 1);
  return m.suspect_since + std::max(t_.suspicion_min_s, t_.suspicion_max_s - down);
}

void FailureDetector::Suspect(double now, Member* m, std::uint32_t incarnation, NodeId by,
                              Actions* actions) {
  if (m->health == Health::kSuspect && m->incarnation == incarnation) {
    // A further one who says so by itself: worth telling on, up to as many as shorten it.
    const bool known =
        std::find(m->confirmed_by.begin(), m->confirmed_by.end(), by) != m->confirmed_by.end();
    if (known || m->confirmed_by.size() >= 4) return;
    m->confirmed_by.push_back(by);
    m->by = by;
    if (m->tells_left == 0) fresh_.push_back(static_cast<std::size_t>(m - members_.data()));
    m->tells_left = Tells();
    return;
  }
  counters_.suspicions += 1;
  Set(m, incarnation, Health::kSuspect, actions);
  m->suspect_since = now;
  m->by = by;
  m->confirmed_by = {by};
}

void FailureDetector::Refute(double now, std::uint32_t incarnation, Actions* actions) {
  Member* self = At(self_);
  if (leaving_) {
    if (incarnation >= self->incarnation) Set(self, incarnation + 1, Health::kLeft, actions);
    return;
  }
  Set(self, incarnation + 1, Health::kAlive, actions);
  SendNews(static_cast<std::size_t>(t_.fanout), actions);  // at once: a deadline runs against us
  gossip_at_ = now + t_.gossip_interval_s;
}

void FailureDetector::Learn(double now, const GossipUpdate& n, Actions* actions) {
  Member* m = At(n.member);
  // A stranger, or a number that leaves none above it.
  if (m == nullptr || n.incarnation >= kMostIncarnation) return;
  if (n.member == self_) {
    const bool against = n.health != Health::kAlive && n.incarnation >= m->incarnation;
    // Or word of a life before this one: what was said of that must not count against this.
    const bool before = n.health == Health::kAlive && n.incarnation > m->incarnation;
    if (against && !leaving_) {
      counters_.refutations += 1;
      Slower(1);
    }
    if (against || before) Refute(now, n.incarnation, actions);
    return;
  }
  const bool same = n.incarnation == m->incarnation && n.health == m->health;
  if (n.health == Health::kSuspect && same) Suspect(now, m, n.incarnation, n.suspected_by, actions);
  if (std::pair(n.incarnation, n.health) <= std::pair(m->incarnation, m->health)) return;
  if (n.health == Health::kSuspect) {
    Suspect(now, m, n.incarnation, n.suspected_by, actions);
  } else {
    if (n.health == Health::kFailed) counters_.failures += 1;
    Set(m, n.incarnation, n.health, actions);
  }
}

SwimMessage FailureDetector::Make(SwimMessage::Kind kind, std::uint32_t seq, const Member* to,
                                  std::uint64_t their_digest) {
  SwimMessage p{.kind = kind,
                .seq = seq,
                .about = 0,
                .incarnation = At(self_)->incarnation,
                .digest = digest_,
                .updates = {}};
  const auto tell = [&](const Member& m) {
    p.updates.push_back({m.id, m.incarnation, m.health, m.by});
  };
  // First what it must hear itself, so that it can refute it.
  if (to != nullptr && to->health != Health::kAlive) tell(*to);
  // Then what was told least often. With a small cluster most of it fits.
  std::sort(fresh_.begin(), fresh_.end(), [this](std::size_t a, std::size_t b) {
    const int left = members_[a].tells_left, right = members_[b].tells_left;
    return left != right ? left > right : a < b;
  });
  for (const std::size_t i : fresh_) {
    if (p.updates.size() >= SwimMessage::kMaxUpdates) break;
    if (&members_[i] == to && to->health != Health::kAlive) continue;
    tell(members_[i]);
    members_[i].tells_left -= 1;
  }
  std::erase_if(fresh_, [this](std::size_t i) { return members_[i].tells_left <= 0; });
  // Tables that differ: some of ours, in turn. Whoever knows better answers in the same way.
  if (their_digest != 0 && their_digest != digest_) {
    for (std::size_t n = 0; n < std::min(kTableNews, members_.size()); ++n) {
      if (p.updates.size() >= SwimMessage::kMaxUpdates) break;
      next_told_ = (next_told_ + 1) % members_.size();
      tell(members_[next_told_]);
    }
  }
  return p;
}

void FailureDetector::SendNews(std::size_t how_many, Actions* actions) {
  std::vector<std::size_t> to;
  for (const std::size_t i : order_) {
    if (members_[i].health <= Health::kSuspect) to.push_back(i);
  }
  for (std::size_t n = 0; n < how_many && !to.empty(); ++n) {
    const std::size_t pick = random_.Below(to.size());
    const Member& m = members_[to[pick]];
    Send(m.id, Make(SwimMessage::Kind::kGossip, 0, &m, 0), actions);
    to[pick] = to.back();
    to.pop_back();
  }
}

// The next one after us by id that is alive. One suspected leaves the turn to the one behind it.
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
  asked_.push_back(
      {.seq = ++seq_, .target = target, .next_at = now + t_.probe_timeout_s * (1 + slowness_)});
  Send(members_[target].id, Make(SwimMessage::Kind::kPing, seq_, &members_[target], 0), actions);
}

// In turn the one that is next by chance, and our successor: by chance alone one in a hundred is
// not probed by anyone for more than a second.
void FailureDetector::StartProbe(double now, Actions* actions) {
  const std::size_t successor = Successor();
  successors_turn_ = !successors_turn_;
  if (successors_turn_ && members_[successor].id != self_ && asked_.size() < kMostAsked) {
    return Ping(now, successor, actions);
  }
  for (std::size_t tried = 0; tried <= order_.size(); ++tried) {
    if (next_in_order_ >= order_.size()) {
      for (std::size_t i = order_.size(); i > 1; --i)
        std::swap(order_[i - 1], order_[random_.Below(i)]);
      next_in_order_ = 0;
    }
    if (order_.empty()) return;
    const std::size_t target = order_[next_in_order_++];
    const Member& m = members_[target];
    if (m.health > Health::kSuspect || asked_.size() >= kMostAsked) continue;
    return Ping(now, target, actions);
  }
}

// One member that is failed or left, in turn: a cut may be healed.
void FailureDetector::AskFailed(double now, Actions* actions) {
  for (std::size_t tried = 0; tried < members_.size(); ++tried) {
    next_failed_ = (next_failed_ + 1) % members_.size();
    const Member& m = members_[next_failed_];
    if (m.health < Health::kFailed || m.id == self_ || asked_.size() >= kMostAsked) continue;
    asked_.push_back({.seq = ++seq_,
                      .target = next_failed_,
                      .next_at = now + t_.probe_interval_s,
                      .only_asks = true});
    return Send(m.id, Make(SwimMessage::Kind::kPing, seq_, &m, 0), actions);
  }
}

// The next step of a ping without an answer; next_at of -1: it is done with.
void FailureDetector::Step(double now, Asked* a, Actions* actions) {
  Member& m = members_[a->target];
  if (!a->asked_others && !a->only_asks && m.health <= Health::kSuspect) {
    a->asked_others = true;
    a->next_at = now + (t_.probe_interval_s - t_.probe_timeout_s) * (1 + slowness_);
    Send(m.id, Make(SwimMessage::Kind::kPing, a->seq, &m, 0), actions);  // it may have been lost
    std::vector<std::size_t> relays;
    for (const std::size_t i : order_) {
      if (i != a->target && members_[i].health == Health::kAlive) relays.push_back(i);
    }
    for (int n = 0; n < t_.relays && !relays.empty(); ++n) {
      const std::size_t pick = random_.Below(relays.size());
      const Member& relay = members_[relays[pick]];
      SwimMessage p = Make(SwimMessage::Kind::kPingRequest, a->seq, &relay, 0);
      p.about = m.id;
      Send(relay.id, std::move(p), actions);
      a->nacks_due += 1;
      relays[pick] = relays.back();
      relays.pop_back();
    }
    return;
  }
  a->next_at = -1;
  if (a->only_asks || m.health > Health::kSuspect) return;
  counters_.failed_probes += 1;
  // Relays that said nothing either: it may be we who can't be heard.
  Slower(a->nacks_due > 0 ? std::min(1, a->nacks_due - a->nacks) : 1);
  Suspect(now, &m, m.incarnation, self_, actions);
}

void FailureDetector::Answered(std::uint32_t seq, NodeId about, bool yes, Actions* actions) {
  for (Asked& a : asked_) {
    if (a.seq != seq || members_[a.target].id != about) continue;
    if (!yes) {
      a.nacks = std::min(a.nacks + 1, a.nacks_due);
      return;
    }
    Slower(-1);
    a = asked_.back();
    asked_.pop_back();
    return;
  }
  for (Relayed& r : relayed_) {
    if (r.seq != seq || r.target != about || !yes) continue;
    SwimMessage p = Make(SwimMessage::Kind::kAck, r.their_seq, At(r.whom), 0);
    p.about = about;
    Send(r.whom, std::move(p), actions);
    r = relayed_.back();
    relayed_.pop_back();
    return;
  }
}

void FailureDetector::OnMessage(double now, NodeId from, const SwimMessage& p, Actions* actions) {
  NoticeStop(now);
  Member* sender = At(from);
  if (sender == nullptr || from == self_) return;
  sender->seen_at = now;
  Learn(now, {from, p.incarnation, Health::kAlive, 0}, actions);
  const std::size_t most = std::min(p.updates.size(), SwimMessage::kMaxUpdates);
  for (std::size_t i = 0; i < most; ++i) Learn(now, p.updates[i], actions);
  switch (p.kind) {
    case SwimMessage::Kind::kPing: {
      SwimMessage ack = Make(SwimMessage::Kind::kAck, p.seq, sender, p.digest);
      ack.about = self_;
      Send(from, std::move(ack), actions);
      break;
    }
    case SwimMessage::Kind::kPingRequest: {
      const Member* target = At(p.about);
      if (target == nullptr || p.about == self_ || relayed_.size() >= kMostRelayed) break;
      relayed_.push_back({.seq = ++seq_,
                          .their_seq = p.seq,
                          .whom = from,
                          .target = p.about,
                          .nack_at = now + t_.probe_timeout_s});
      Send(p.about, Make(SwimMessage::Kind::kPing, seq_, target, 0), actions);
      break;
    }
    case SwimMessage::Kind::kAck:
    case SwimMessage::Kind::kNack:
      Answered(p.seq, p.about, p.kind == SwimMessage::Kind::kAck, actions);
      break;
    case SwimMessage::Kind::kGossip:
      break;
  }
  // Its table says otherwise, or it does not know what is said of it: let it hear ours.
  const bool unaware = sender->health != Health::kAlive;
  if (p.kind != SwimMessage::Kind::kPing &&
      (unaware || (p.kind == SwimMessage::Kind::kAck && p.digest != digest_)))
    Send(from, Make(SwimMessage::Kind::kGossip, 0, sender, p.digest), actions);
  due_at_ = NextAt();
}

void FailureDetector::Tick(double now, Actions* actions) {
  NoticeStop(now);
  for (std::size_t i = 0; i < asked_.size();) {
    if (asked_[i].next_at <= now) Step(now, &asked_[i], actions);
    if (asked_[i].next_at >= 0) {
      ++i;
      continue;
    }
    asked_[i] = asked_.back();
    asked_.pop_back();
  }
  for (std::size_t i = 0; i < relayed_.size();) {
    if (relayed_[i].nack_at > now) {
      ++i;
      continue;
    }
    SwimMessage p = Make(SwimMessage::Kind::kNack, relayed_[i].their_seq, At(relayed_[i].whom), 0);
    p.about = relayed_[i].target;
    Send(relayed_[i].whom, std::move(p), actions);
    relayed_[i] = relayed_.back();
    relayed_.pop_back();
  }
  for (std::size_t i = 0; suspects_ > 0 && i < members_.size(); ++i) {
    Member& m = members_[i];
    if (m.health != Health::kSuspect || SuspicionEnds(m) > now) continue;
    counters_.failures += 1;
    Set(&m, m.incarnation, Health::kFailed, actions);
  }
  if (!leaving_ && probe_at_ <= now) {
    StartProbe(now, actions);
    probe_at_ = now + t_.probe_interval_s * (1 + slowness_);
  }
  if (!leaving_ && ask_failed_at_ <= now) {
    AskFailed(now, actions);
    ask_failed_at_ = now + t_.failed_probe_interval_s;
  }
  if (gossip_at_ <= now) {
    if (!fresh_.empty()) SendNews(static_cast<std::size_t>(t_.fanout), actions);
    gossip_at_ = now + t_.gossip_interval_s;
  }
  due_at_ = NextAt();
}

void FailureDetector::Leave(double now, Actions* actions) {
  if (leaving_) return;
  leaving_ = true;
  asked_.clear();
  Set(At(self_), At(self_)->incarnation, Health::kLeft, actions);
  SendNews(4 * static_cast<std::size_t>(t_.fanout), actions);
  gossip_at_ = now + t_.gossip_interval_s;
  due_at_ = NextAt();
}

}  // namespace millethollow::membership
