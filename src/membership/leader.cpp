#include "membership/leader.h"

#include <algorithm>

namespace millethollow::membership {
namespace {

constexpr std::size_t kMostBeats = 16;  // without an answer
constexpr double kCheckS = 0.1;

}  // namespace

Leader::Leader(NodeId self, const ViewAgreementTimings& timings, Places places)
    : self_(self), t_(timings), places_(std::move(places)) {}

// Counts only voters whose mind is still the one that answered.
bool Leader::Majority(const std::map<NodeId, StorageIdentity>& who, const Voter& voter) {
  const auto current = [&](const auto& entry) { return entry.second == voter.Known(entry.first); };
  return static_cast<std::size_t>(std::count_if(who.begin(), who.end(), current)) >=
         voter.Majority();
}

void Leader::Begin(double now, Ballot ballot, StorageIdentities quorum, const View& best,
                   const Voter& voter, std::vector<OutgoingMessage>* send) {
  leading_ = true;
  ballot_ = ballot;
  quorum_ = std::move(quorum);
  began_at_ = confirmed_at_ = now;
  check_at_ = now + kCheckS;
  // Whatever was decided before is in `best`; whether it was, its members' answers will not tell.
  decided_ = {};
  proposing_ = false;
  accepted_.clear();
  beats_.clear();
  holders_.clear();
  asking_.clear();
  settled_ = best.settled_epoch;
  caught_up_ = best.epoch == 0;
  if (!caught_up_) Propose(now, best, voter, send);
  Beat(now, voter, send);
}

void Leader::Propose(double now, View view, const Voter& voter,
                     std::vector<OutgoingMessage>* send) {
  proposed_ = std::move(view);
  proposing_ = true;
  accepted_.clear();
  view_at_ = now;
  AgreementMessage m = voter.Say(AgreementMessage::Kind::kPropose);
  m.view = proposed_;
  ToVoters(std::move(m), voter, send);
}

void Leader::ToVoters(AgreementMessage m, const Voter& voter,
                      std::vector<OutgoingMessage>* send) const {
  m.ballot = ballot_;
  m.quorum = quorum_;
  for (const NodeId id : voter.voters()) send->push_back({id, m});
}

void Leader::Accepted(double now, NodeId from, const AgreementMessage& m, const Voter& voter,
                      std::vector<OutgoingMessage>* send) {
  if (!leading_ || !proposing_ || m.ballot != ballot_ || m.number != proposed_.epoch) return;
  accepted_[from] = m.storage_identity;
  if (!Majority(accepted_, voter)) return;
  for (const ViewMember& was : decided_.members) {
    if (proposed_.Find(was.id) != nullptr) continue;
    Return& r = returns_[was.id];
    const bool forgiven = now - r.in_at > t_.rejoin_backoff_reset_s;
    r.wait_s = r.wait_s == 0 || forgiven ? t_.rejoin_backoff_s
                                         : std::min(2 * r.wait_s, t_.rejoin_backoff_max_s);
    r.out_at = now;
  }
  for (const ViewMember& is : proposed_.members) {
    if (decided_.Find(is.id) == nullptr) returns_[is.id].in_at = now;
  }
  decided_ = proposed_;
  proposing_ = false;
  caught_up_ = true;
  for (const ViewMember& member : decided_.members) SendDecided(member.id, 0, send);
}

// The way that it came.
void Leader::Answer(NodeId to, NodeId by, AgreementMessage m, std::vector<OutgoingMessage>* send) {
  if (by != 0) m.origin = to;
  send->push_back({by != 0 ? by : to, std::move(m)});
}

void Leader::SendDecided(NodeId to, NodeId by, std::vector<OutgoingMessage>* send) const {
  AgreementMessage m;
  m.kind = AgreementMessage::Kind::kDecided;
  m.view = decided_;
  Answer(to, by, std::move(m), send);
}

void Leader::Beat(double now, const Voter& voter, std::vector<OutgoingMessage>* send) {
  beat_at_ = now + t_.heartbeat_s;
  beats_[++beat_].first = now;
  if (beats_.size() > kMostBeats) beats_.erase(beats_.begin());
  AgreementMessage m = voter.Say(AgreementMessage::Kind::kBeat);
  m.number = beat_;
  ToVoters(std::move(m), voter, send);
}

void Leader::Beaten(double now, NodeId from, const AgreementMessage& m, const Voter& voter,
                    std::vector<OutgoingMessage>* send) {
  const auto it = beats_.find(m.number);
  if (!leading_ || m.ballot != ballot_ || it == beats_.end()) return;
  it->second.second[from] = m.storage_identity;
  if (m.knows >= kKnowsLogs) {
    know_logs_.insert(from);
  } else {
    know_logs_.erase(from);
  }
  if (!Majority(it->second.second, voter)) return;
  confirmed_at_ = std::max(confirmed_at_, it->second.first);
  // Whoever asked before that beat was sent asked while no other led.
  for (auto a = asking_.begin(); a != asking_.end();) {
    if (a->second.beat > m.number) {
      ++a;
      continue;
    }
    Grant(now, a->first, a->second, send);
    a = asking_.erase(a);
  }
  beats_.erase(beats_.begin(), std::next(it));
}

// The end of any lease on the member's place, as far as this leader can know.
double Leader::MayRunUntil(NodeId id) const {
  const double before = began_at_ + t_.lease_s * (1 + t_.clock_drift);  // given by a leader before
  const auto it = holders_.find(id);
  // A first word with the life that is in the view gives no news of what was given before.
  return it == holders_.end() ? before : std::max(before, it->second.until);
}

// Does nobody act on a view before this epoch any more?
bool Leader::Settled(double now, std::uint64_t epoch) {
  if (epoch <= settled_) return true;
  if (decided_.epoch < epoch) return false;
  const bool settled =
      std::all_of(decided_.members.begin(), decided_.members.end(), [&](const ViewMember& m) {
        const auto it = holders_.find(m.id);
        const bool knows = it != holders_.end() &&
                           it->second.process_incarnation == m.process_incarnation &&
                           it->second.epoch >= epoch;
        return knows || m.joined_epoch >= epoch || MayRunUntil(m.id) < now;
      });
  if (settled) settled_ = epoch;
  return settled;
}

void Leader::Grant(double now, NodeId to, const Asking& asking,
                   std::vector<OutgoingMessage>* send) {
  if (!caught_up_) return;
  const ViewMember* member = decided_.Find(to);
  if (asking.epoch < decided_.epoch) return SendDecided(to, asking.by, send);
  if (member == nullptr || member->process_incarnation != asking.process_incarnation ||
      asking.epoch != decided_.epoch)
    return;
  // A view without it may be decided already, though the answers are still under way.
  const ViewMember* next = proposing_ ? proposed_.Find(to) : member;
  if (next == nullptr || next->process_incarnation != asking.process_incarnation) return;
  // One that speaks but does not hear: what it was given would bind its place for nobody.
  if (Failed(to)) return;
  // A newcomer's part was another's, who may act on it until he knows the view.
  if (!Settled(now, member->joined_epoch)) return;
  Holder& holder = holders_[to];
  holder.until = std::max(holder.until, now + t_.lease_s * (1 + t_.clock_drift));
  AgreementMessage m;
  m.kind = AgreementMessage::Kind::kGrant;
  m.ballot = ballot_;
  m.number = decided_.epoch;
  m.process_incarnation = asking.process_incarnation;
  m.asked_at = asking.asked_at;
  m.span = t_.lease_s;
  Answer(to, asking.by, std::move(m), send);
}

void Leader::Renew(double now, NodeId from, NodeId by, const AgreementMessage& m,
                   std::vector<OutgoingMessage>* send) {
  if (!leading_ || !places_.contains(from)) return;
  Holder& holder = holders_[from];
  const ViewMember* member = caught_up_ ? decided_.Find(from) : nullptr;
  if (member != nullptr && member->process_incarnation != m.process_incarnation &&
      now < MayRunUntil(from)) {
    AgreementMessage taken;
    taken.kind = AgreementMessage::Kind::kTaken;
    taken.process_incarnation = member->process_incarnation;
    Answer(from, by, std::move(taken), send);
    return;
  }
  if (holder.process_incarnation != m.process_incarnation) {
    holder.process_incarnation = m.process_incarnation;
    holder.epoch = holder.wants_epoch = 0;
    holder.released = false;
  }
  if (holder.released) return;  // it was under way when the release came
  holder.epoch = std::max(holder.epoch, m.number);
  holder.asked_at = now;
  if (m.number >= holder.wants_epoch) {
    holder.store_id = m.store_id;
    holder.wants_epoch = m.number;
    holder.wants = m.logs;
  }
  asking_[from] = {.process_incarnation = m.process_incarnation,
                   .epoch = m.number,
                   .beat = beat_ + 1,
                   .asked_at = m.asked_at,
                   .by = by};
}

void Leader::Released(double now, NodeId from, ProcessIncarnation process_incarnation) {
  const ViewMember* member = decided_.Find(from);
  if (!leading_ || member == nullptr || member->process_incarnation != process_incarnation) return;
  Holder& holder = holders_[from];
  holder = {.process_incarnation = process_incarnation,
            .until = 0,
            .asked_at = now,
            .epoch = holder.epoch,
            .released = true};
  asking_.erase(from);
}

bool Leader::Failed(NodeId id) const {
  const auto health = health_.find(id);
  return health != health_.end() && health->second >= Health::kFailed;
}

bool Leader::Gone(double now, const ViewMember& member) const {
  const auto it = holders_.find(member.id);
  if (it != holders_.end() && it->second.released &&
      it->second.process_incarnation == member.process_incarnation)
    return true;
  if (MayRunUntil(member.id) >= now) return false;
  const double asked_at = it == holders_.end() ? began_at_ : it->second.asked_at;
  const bool other_life = it != holders_.end() && it->second.asked_at >= 0 &&
                          it->second.process_incarnation != member.process_incarnation;
  return Failed(member.id) || other_life || now - asked_at > t_.lease_s + 2 * t_.renew_s;
}

bool Leader::Wanted(double now, NodeId id) const {
  const auto it = holders_.find(id);
  if (it == holders_.end() || it->second.released) return false;
  if (it->second.asked_at < 0 || now - it->second.asked_at > 3 * t_.renew_s) return false;
  if (Failed(id)) return false;
  const auto r = returns_.find(id);
  return r == returns_.end() || now >= r->second.out_at + r->second.wait_s;
}

// Where there are some, all voters have said so once.
bool Leader::MayOpenLogs(const Voter& voter) const {
  const auto& voters = voter.voters();
  return !decided_.logs.empty() || std::all_of(voters.begin(), voters.end(), [this](NodeId id) {
    return know_logs_.contains(id);
  });
}

// Is another view wanted?
void Leader::Consider(double now, const Voter& voter, std::vector<OutgoingMessage>* send) {
  if (!caught_up_ || proposing_ || now < view_at_ + t_.min_view_interval_s) return;
  if (decided_.epoch == 0 && now < began_at_ + t_.first_view_delay_s) return;
  View next{.epoch = decided_.epoch + 1, .members = {}, .settled_epoch = settled_, .logs = {}};
  bool more = false, fewer = false;
  for (const auto& [id, place] : places_) {
    const ViewMember* member = decided_.Find(id);
    if (member != nullptr && !Gone(now, *member)) {
      next.members.push_back(*member);
      const auto holder = holders_.find(id);
      if (holder != holders_.end() &&
          holder->second.process_incarnation == member->process_incarnation) {
        next.members.back().store_id = holder->second.store_id;
      }
      continue;
    }
    fewer |= member != nullptr;
    if (!Wanted(now, id)) continue;
    more = true;
    next.members.push_back({.id = id,
                            .process_incarnation = holders_[id].process_incarnation,
                            .failure_domain = place,
                            .joined_epoch = next.epoch,
                            .store_id = holders_[id].store_id});
  }
  // Who came last must be known to all before others come; who goes may go at any time.
  if (more && !Settled(now, decided_.epoch)) {
    std::erase_if(next.members, [&](const ViewMember& m) { return m.joined_epoch == next.epoch; });
    more = false;
  }
  std::vector<LogRequest> wants;
  for (const ViewMember& m : next.members) {
    const auto holder = holders_.find(m.id);
    // Asked for under another view, it may rest on answers that were given since without it.
    if (holder == holders_.end() || holder->second.wants_epoch != decided_.epoch) continue;
    if (holder->second.process_incarnation == m.process_incarnation)
      wants.push_back({m.id, m.process_incarnation, holder->second.wants});
  }
  next.logs = NextLogs(decided_, next, wants, MayOpenLogs(voter));
  const bool other =
      next.logs != decided_.logs || (!more && !fewer && next.members != decided_.members);
  if ((more || fewer || other) && !next.members.empty()) Propose(now, std::move(next), voter, send);
}

void Leader::Tick(double now, const Voter& voter, std::vector<OutgoingMessage>* send) {
  if (!leading_) return;
  if (beat_at_ <= now) {
    if (proposing_) {  // some of it may have been lost
      const double at = view_at_;
      const auto accepted = accepted_;
      Propose(at, proposed_, voter, send);
      accepted_ = accepted;
    }
    Beat(now, voter, send);
  }
  if (check_at_ <= now) {
    check_at_ = now + kCheckS;
    Consider(now, voter, send);
  }
}

}  // namespace millethollow::membership
