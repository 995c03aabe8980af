#include "membership/view_agreement.h"

#include <algorithm>
#include <limits>

namespace millethollow::membership {
namespace {

constexpr double kAskMindS = 0.2;
constexpr std::size_t kMostWaiting =
    512;                         // messages for the disk; the oldest are lost, as any may be
constexpr double kSilentS = 10;  // a voter that gave no answer is not gone back to for so long
constexpr int kTriesAtOne = 2;   // renewals without an answer, then another voter is asked

}  // namespace

ViewAgreement::ViewAgreement(Options options, PersistentVoterState votes, std::uint64_t seed,
                             double now)
    : options_(std::move(options)),
      voter_(options_.self, options_.voters, options_.process_incarnation, std::move(votes)),
      leader_(options_.self, options_.timings, options_.members),
      random_(seed),
      beat_heard_at_(now),
      ask_around_at_(now + options_.timings.election_s * (1 + random_.Unit())),
      ask_mind_at_(now),
      renew_at_(now + 0.2 * options_.timings.renew_s * random_.Unit()) {
  asked_voter_ = random_.Below(options_.voters.size());
}

double ViewAgreement::NextAt() const {
  double at = renew_at_;
  if (voter_.Is(options_.self) && voter_.state() != Voter::State::kStopped) {
    at = std::min(at, voter_.voting() ? ask_around_at_ : ask_mind_at_);
    if (leader_.leading()) at = std::min(at, leader_.NextAt());
  }
  if (had_lease_) at = std::min(at, leased_until_);
  return at;
}

double ViewAgreement::LeaseRemaining(double now) const {
  const ViewMember* me = view_.Find(options_.self);
  if (me == nullptr || me->process_incarnation != options_.process_incarnation || leaving_ ||
      yielded_)
    return 0;
  return std::max(0.0, leased_until_ - now);
}

void ViewAgreement::Emit(double now, std::vector<OutgoingMessage>* said, Actions* actions) {
  // What a process says to itself it hears at once, or once it is on disk.
  while (true) {
    if (voter_.TakeDirty()) {
      ticket_ += 1;
      actions->write = true;
      actions->ticket = ticket_;
    }
    std::vector<OutgoingMessage> own;
    for (OutgoingMessage& s : *said) {
      if (stored_ < ticket_) {
        if (waiting_.size() >= kMostWaiting) waiting_.pop_front();
        waiting_.push_back({ticket_, std::move(s)});
      } else if (s.to == options_.self) {
        own.push_back(std::move(s));
      } else {
        actions->send.push_back(std::move(s));
      }
    }
    said->clear();
    if (own.empty()) return;
    for (const OutgoingMessage& s : own) {
      Dispatch(now, options_.self, options_.process_incarnation, s.message, said, actions);
    }
  }
}

void ViewAgreement::OnStored(double now, std::uint64_t ticket, Actions* actions) {
  stored_ = std::max(stored_, ticket);
  std::vector<OutgoingMessage> said;
  while (!waiting_.empty() && waiting_.front().ticket <= stored_) {
    OutgoingMessage s = std::move(waiting_.front().sent);
    waiting_.pop_front();
    if (s.to == options_.self) {
      Dispatch(now, options_.self, options_.process_incarnation, s.message, &said, actions);
    } else {
      actions->send.push_back(std::move(s));
    }
  }
  Emit(now, &said, actions);
}

void ViewAgreement::OnStoreFailed() {
  voter_.OnStoreFailed();
  leader_.End();
  waiting_.clear();
}

void ViewAgreement::OnMessage(double now, NodeId from, ProcessIncarnation process_incarnation,
                              const AgreementMessage& m, Actions* actions) {
  if (yielded_ || from == options_.self) return;
  std::vector<OutgoingMessage> said;
  Dispatch(now, from, process_incarnation, m, &said, actions);
  Emit(now, &said, actions);
}

void ViewAgreement::Dispatch(double now, NodeId from, ProcessIncarnation process_incarnation,
                             const AgreementMessage& m, std::vector<OutgoingMessage>* said,
                             Actions* actions) {
  using Kind = AgreementMessage::Kind;
  if (m.kind == Kind::kRenew || m.kind == Kind::kRelease) {
    return HearRenewal(now, from, process_incarnation, m, said);
  }
  if (m.kind == Kind::kDecided || m.kind == Kind::kGrant || m.kind == Kind::kElsewhere ||
      m.kind == Kind::kTaken) {
    if (m.origin == 0 || m.origin == options_.self) return HearHolder(now, m, actions);
    AgreementMessage on = m;
    on.origin = 0;
    said->push_back({m.origin, std::move(on)});
    return;
  }
  if (voter_.Is(options_.self) && voter_.Is(from)) HearVoter(now, from, m, said);
}

void ViewAgreement::HearRenewal(double now, NodeId from, ProcessIncarnation process_incarnation,
                                const AgreementMessage& m, std::vector<OutgoingMessage>* said) {
  using Kind = AgreementMessage::Kind;
  const bool passed_on = m.origin != 0;
  const NodeId whose = passed_on ? m.origin : from;
  if (leader_.leading()) {
    AgreementMessage asked = m;
    if (!passed_on) asked.process_incarnation = process_incarnation;
    if (m.kind == Kind::kRelease) return leader_.Released(now, whose, asked.process_incarnation);
    return leader_.Renew(now, whose, passed_on ? from : 0, asked, said);
  }
  if (passed_on || !voter_.Is(options_.self) || Missing(now) || heard_ballot_.proposer == 0) return;
  // It may be that it does not reach the leader itself: ours goes through.
  AgreementMessage on = m;
  on.origin = from;
  on.process_incarnation = process_incarnation;
  said->push_back({heard_ballot_.proposer, std::move(on)});
  if (m.kind == Kind::kRelease) return;
  AgreementMessage elsewhere;
  elsewhere.kind = Kind::kElsewhere;
  elsewhere.ballot = heard_ballot_;
  said->push_back({from, std::move(elsewhere)});
}

void ViewAgreement::HearVoter(double now, NodeId from, const AgreementMessage& m,
                              std::vector<OutgoingMessage>* said) {
  using Kind = AgreementMessage::Kind;
  const std::size_t answers = said->size();
  if (voter_.OnMessage(from, m, said)) {
    // A beat counts where it was not refused.
    const bool led = (m.kind == Kind::kBeat || m.kind == Kind::kPropose) &&
                     said->size() > answers && said->back().message.kind != Kind::kRefused;
    if (led) {
      beat_heard_at_ = now;
      ask_around_at_ = now + options_.timings.election_s * (1 + random_.Unit());
      heard_ballot_ = m.ballot;
      if (from != options_.self && leader_.leading() && m.ballot > leader_.ballot()) StepDown(now);
      if (standing_ < m.ballot) standing_ = {};
    }
    return;
  }
  if (!voter_.voting()) return;
  if (m.kind == Kind::kMiss) {
    const bool leads =
        leader_.leading() && now - leader_.confirmed_at() < options_.timings.election_s;
    AgreementMessage reply = voter_.Say(Kind::kMissed);
    reply.number = m.number;
    reply.ballot = voter_.voter_state().promised;
    reply.yes = from == options_.self || (!leads && Missing(now));
    voter_.Merge(from, m);
    said->push_back({from, std::move(reply)});
    return;
  }
  if (!voter_.Merge(from, m)) return;
  switch (m.kind) {
    case Kind::kMissed:
      if (question_ == 0 || m.number != question_ || !m.yes || !Missing(now)) return;
      missed_by_[from] = m.storage_identity;
      heard_ballot_.round = std::max(heard_ballot_.round, m.ballot.round);
      if (missed_by_.size() >= voter_.Majority() && standing_ == Ballot{}) Stand(said);
      return;
    case Kind::kPromise: {
      if (m.ballot != standing_ || standing_ == Ballot{}) return;
      promises_[from] = {m.storage_identity, m};
      if (from == options_.self) {
        AgreementMessage prepare = voter_.Say(Kind::kPrepare);
        prepare.ballot = standing_;
        for (const NodeId id : options_.voters) {
          if (id != options_.self) said->push_back({id, prepare});
        }
      }
      StorageIdentities quorum;
      View best;
      Ballot best_by;
      for (const auto& [id, promise] : promises_) {
        if (promise.first != voter_.Known(id)) continue;
        quorum.emplace_back(id, promise.first);
        const AgreementMessage& p = promise.second;
        if (std::pair(p.accepted_by, p.view.epoch) <= std::pair(best_by, best.epoch)) continue;
        best_by = p.accepted_by;
        best = p.view;
      }
      if (quorum.size() < voter_.Majority()) return;
      standing_ = {};
      counters_.elections += 1;
      leader_.Begin(now, m.ballot, std::move(quorum), best, voter_, said);
      return;
    }
    case Kind::kAccepted:
      return leader_.Accepted(now, from, m, voter_, said);
    case Kind::kBeaten:
      return leader_.Beaten(now, from, m, voter_, said);
    case Kind::kRefused:
      if (m.ballot > leader_.ballot() && leader_.leading()) StepDown(now);
      if (m.ballot > standing_) standing_ = {};
      heard_ballot_.round = std::max(heard_ballot_.round, m.ballot.round);
      return;
    default:
      return;
  }
}

void ViewAgreement::StepDown(double now) {
  leader_.End();
  ask_around_at_ = now + options_.timings.election_s * (1 + random_.Unit());
}

void ViewAgreement::AskAround(double now, std::vector<OutgoingMessage>* said) {
  ask_around_at_ = now + options_.timings.election_s * (0.5 + random_.Unit());
  standing_ = {};
  missed_by_.clear();
  promises_.clear();
  question_ = random_.NextUint64();
  AgreementMessage m = voter_.Say(AgreementMessage::Kind::kMiss);
  m.number = question_;
  for (const NodeId id : options_.voters) said->push_back({id, m});
}

void ViewAgreement::Stand(std::vector<OutgoingMessage>* said) {
  const std::uint64_t round =
      std::max({voter_.voter_state().promised.round, heard_ballot_.round, leader_.ballot().round}) +
      1;
  standing_ = {round, options_.self};
  // Of this ballot alone, and a late answer to the question asks for no other.
  promises_.clear();
  missed_by_.clear();
  question_ = 0;
  // To itself first. Asked of others before it is on disk here, a ballot could be used again by the
  // next life of this process, for other views.
  AgreementMessage m = voter_.Say(AgreementMessage::Kind::kPrepare);
  m.ballot = standing_;
  said->push_back({options_.self, std::move(m)});
}

void ViewAgreement::Learn(double now, const View& view, Actions* actions) {
  if (view.epoch == view_.epoch && view != view_) counters_.conflicts += 1;
  if (view.epoch <= view_.epoch) return;
  view_ = view;
  counters_.views += 1;
  actions->new_view = true;
  const ViewMember* me = view_.Find(options_.self);
  if (me == nullptr || me->process_incarnation != options_.process_incarnation) leased_until_ = -1;
  renew_at_ = std::min(renew_at_, now);  // say that we know it: others may wait for that
}

void ViewAgreement::HearHolder(double now, const AgreementMessage& m, Actions* actions) {
  using Kind = AgreementMessage::Kind;
  if (leaving_) return;
  if (m.kind == Kind::kDecided) return Learn(now, m.view, actions);
  if (m.kind == Kind::kElsewhere) {
    const auto at = std::find(options_.voters.begin(), options_.voters.end(), m.ballot.proposer);
    if (at == options_.voters.end() || unanswered_ == 0) return;
    const auto index = static_cast<std::size_t>(at - options_.voters.begin());
    // Not to one who left us without an answer a moment ago: it was passed on to that one.
    if (index == asked_voter_ || (index == silent_voter_ && now < silent_until_)) return;
    asked_voter_ = index;
    unanswered_ = 0;
    renew_at_ = std::min(renew_at_, now);
    return;
  }
  if (m.kind == Kind::kTaken) {
    unanswered_ = 0;
    counters_.identity_conflicts += 1;
    if (m.yes && m.process_incarnation != options_.process_incarnation)
      actions->superseded = yielded_ = true;
    return;
  }
  if (m.process_incarnation != options_.process_incarnation || m.number != view_.epoch ||
      view_.epoch == 0)
    return;
  unanswered_ = 0;
  const double until = m.asked_at + m.span * (1 - options_.timings.clock_drift);
  // An answer from the future, or for longer than any lease runs, is none.
  if (m.asked_at > now || m.span > options_.timings.lease_s) return;
  leased_until_ = std::max(leased_until_, until);
  counters_.leases += 1;
  had_lease_ = true;
}

void ViewAgreement::AskLease(double now, Actions* actions) {
  const ViewAgreementTimings& t = options_.timings;
  renew_at_ = now + t.renew_s * (0.9 + 0.2 * random_.Unit());
  if (leaving_ || yielded_) return;
  if (++unanswered_ > kTriesAtOne) {
    silent_voter_ = asked_voter_;
    silent_until_ = now + kSilentS;
    asked_voter_ = (asked_voter_ + 1) % options_.voters.size();
    unanswered_ = 1;
  }
  AgreementMessage m;
  m.kind = AgreementMessage::Kind::kRenew;
  m.process_incarnation = options_.process_incarnation;
  m.number = view_.epoch;
  m.asked_at = now;
  m.store_id = store_id_;
  m.logs = wants_;
  const NodeId to = options_.voters[asked_voter_];
  if (to != options_.self) {
    actions->send.push_back({to, std::move(m)});
    return;
  }
  std::vector<OutgoingMessage> said;
  Dispatch(now, options_.self, options_.process_incarnation, m, &said, actions);
  Emit(now, &said, actions);
}

void ViewAgreement::Tick(double now, Actions* actions) {
  if (had_lease_ && leased_until_ <= now) {
    had_lease_ = false;
    counters_.leases_expired += 1;
  }
  if (yielded_) {
    renew_at_ = std::numeric_limits<double>::infinity();
    return;
  }
  std::vector<OutgoingMessage> said;
  if (voter_.Is(options_.self)) {
    if (!voter_.voting() && ask_mind_at_ <= now) {
      ask_mind_at_ = now + kAskMindS;
      voter_.Ask(&said);
      Emit(now, &said, actions);
    }
    if (voter_.voting()) {
      leader_.Tick(now, voter_, &said);
      // A leader whom no majority answers leads nobody.
      if (leader_.leading() && now - leader_.confirmed_at() > 2 * options_.timings.election_s) {
        StepDown(now);
      }
      if (ask_around_at_ <= now) {
        if (leader_.leading() || leaving_) {
          ask_around_at_ = now + options_.timings.election_s;
        } else {
          AskAround(now, &said);
        }
      }
      Emit(now, &said, actions);
    }
  }
  if (renew_at_ <= now) AskLease(now, actions);
}

void ViewAgreement::RequestLogs(double now, std::uint64_t store_id,
                                std::vector<LogAssignment> logs) {
  if (store_id == store_id_ && logs == wants_) return;
  store_id_ = store_id;
  wants_ = std::move(logs);
  renew_at_ = std::min(renew_at_, now);
}

void ViewAgreement::Leave(double now, Actions* actions) {
  if (leaving_) return;
  AgreementMessage m;
  m.kind = AgreementMessage::Kind::kRelease;
  m.process_incarnation = options_.process_incarnation;
  for (const NodeId to : options_.voters) {
    if (to != options_.self) actions->send.push_back({to, m});
  }
  if (leader_.leading()) leader_.Released(now, options_.self, options_.process_incarnation);
  leaving_ = true;
  leased_until_ = -1;
}

}  // namespace millethollow::membership
