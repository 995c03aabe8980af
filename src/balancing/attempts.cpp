// Attempts and final answers.
#include <algorithm>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kLimitStep = 0.1;   // a threshold's rise after a good send at the threshold
constexpr double kSilentS = 0.25;    // no word since a send: the worker is asked whether it lives
constexpr double kOverdue = 4.0;     // an attempt this many times its expected time is overdue
constexpr double kLastWordS = 0.15;  // before its time is over, one that waits is refused
constexpr int kAskedFull = 3;        // so many without room say that there is none
constexpr int kOnHold = -2;          // a watch on the wait, not on an attempt
constexpr double kDropsKept = 10.0;  // starts that earn the right to call off as much hopeless work

// Sends the job somewhere it may go; false if there is no such place now.
bool LoadBalancerImpl::Place(Job& job) {
  if (job.attempts.size() >= Idx(job.max_attempts) || job.expires_at <= now_) return false;
  const ClassSettings& c = ClassOf(job.cls);
  int anchor = -1;
  for (const Attempt& a : job.attempts) {
    if (a.open && !s_.allow_hedging) return false;
    if (!a.may_have_run) continue;
    if (c.idempotency == Idempotency::kNotIdempotent) return false;
    if (c.idempotency == Idempotency::kIdempotentWithKey) {
      // Repeats are dropped only within the group and the window, counted from the first sending.
      if (now_ + s_.tick_s > a.sent_at + 0.9 * c.deduplication_window_s) return false;
      if (anchor < 0) anchor = a.worker;
    }
  }
  // A keyed job that may have run has few places left: it queues there. All others wait for room.
  const bool waits = room_keeper_ && anchor < 0 && !job.AnyOpen() && !Pool(c.kind, -1).empty();
  if (waits && job.found < 0) {
    const CapacityReservations::Candidate place = room_keeper_->FindWorker(job.id);
    job.impossible = place.impossible;
    if (place.impossible) return false;
    if (place.worker.empty()) return PutOnHold(job);
    job.found = index_.find(place.worker)->second;
  }
  const int index = Pick(job, anchor);
  job.found = -1;
  if (index < 0) return waits && PutOnHold(job);
  Worker& w = workers_[Idx(index)];
  const auto [time, over] = Outlook(job, w);
  // Exception: while the fleet is full, a first try that must wait and end late even at the best
  // worker makes the queue deeper for all behind it. Refused unsent, it may find room on return.
  if (full_ && job.attempts.empty() && over && !waits && time > AimOf(job)) {
    fulls_ += 1;
    return false;
  }
  if (Cold(w)) {
    w.cold_tokens = std::min(1.0, ColdHeld(w) - ColdCost(job));
    w.cold_at = now_;
  }
  // The best of those asked can't end it in time: no worker need tell of a late start.
  const bool told =
      now_ - w.report_at < kReportTrustS && !job.asked.empty() && job.attempts.empty();
  job.attempts.push_back({.worker = index, .sent_at = now_, .out_before = w.out, .roomy = !over});
  job.attempts.back().roomy &= told;
  job.attempts.back().warm = w.Sent(job.slots, job.memory, job.key, now_);
  if (told && time > AimOf(job)) Blocked(job, job.attempts.back(), false, true);
  sends_ += job.attempts.size() == 1;
  hedges_ = std::min(3.0, hedges_ + copies_);
  actions_->push_back(SendAttempt{job.id, w.name, 0});
  // Looked at as soon as the word of a start is overdue, where a second copy is permitted.
  const bool soon = s_.allow_hedging && c.idempotency != Idempotency::kNotIdempotent;
  const double first = s_.workers_notify_start
                           ? std::max(soon ? 0.0 : c.latency_objective_s * 0.6, 4 * s_.tick_s)
                           : kOverdue * ExpectedRun(job);
  WatchAt(now_ + std::max(first, 0.02), job.id, static_cast<int>(job.attempts.size()) - 1);
  return true;
}

// To wait for room is not to give up; it ends with the job's time.
bool LoadBalancerImpl::PutOnHold(Job& job) {
  job.on_hold = true;
  actions_->push_back(AwaitCapacity{job.id});
  if (!std::exchange(job.hold_watched, true)) {
    WatchAt(std::min(now_ + ClassOf(job.cls).latency_objective_s, job.expires_at - kLastWordS),
            job.id, kOnHold);
  }
  return false;
}

void LoadBalancerImpl::On(const CapacityFound& e) {
  const auto it = jobs_.find(e.id);
  if (it == jobs_.end() || !std::exchange(it->second.on_hold, false)) return;
  if (!e.worker.empty()) {
    it->second.found = index_.find(e.worker)->second;
    Place(it->second);
  }
  Settle(it->second);
}

// One that waits past its aim says of the fleet what a late start at a worker says.
void LoadBalancerImpl::Waited(const Watch& watch) {
  const auto it = jobs_.find(watch.id);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  const double last = job.expires_at - kLastWordS;
  if (now_ >= last && std::exchange(job.on_hold, false)) return Settle(job);
  lates_ += job.on_hold && !job.late;
  job.late |= job.on_hold;
  if (now_ < last) WatchAt(last, watch.id, kOnHold);
}

// Ends a job that has no attempt under way, with the answer that its class allows.
void LoadBalancerImpl::Settle(Job& job) {
  if (job.AnyOpen() || job.on_hold) return;
  if (!job.ended) {
    const ClassSettings& c = ClassOf(job.cls);
    const bool repeats_dropped = c.idempotency == Idempotency::kIdempotentWithKey &&
                                 c.deduplication_scope == DeduplicationScope::kAll;
    if (!job.impossible &&
        (!job.MayHaveRun() || c.idempotency == Idempotency::kIdempotent || repeats_dropped)) {
      Decline(job);
    } else {
      actions_->push_back(FailRequest{job.id});
    }
  }
  jobs_.erase(jobs_.find(job.id));
}

void LoadBalancerImpl::On(const AttemptEnded& e) {
  Job* job = nullptr;
  Attempt* a = Find(e.id, e.attempt, &job);
  if (a == nullptr || !a->open) return;  // a repeat, or forgotten
  Worker& w = workers_[Idx(a->worker)];
  a->open = false;
  w.Back(job->slots, job->memory, now_);
  if (e.has_report) TakeReport(w, e.report);
  a->may_have_run = e.status != AttemptStatus::kRejected &&
                    e.status != AttemptStatus::kConnectFailed &&
                    e.status != AttemptStatus::kNotSent;
  switch (e.status) {
    case AttemptStatus::kSucceeded:
      w.heard_at = now_;
      w.probation = false;
      w.eject_s = 0;
      Room(w) += (1 - Room(w)) / 5;
      w.errors *= 0.8;
      LearnPace(*job, *a, w);
      if (!a->blocked && a->out_before + job->slots >= w.limit) w.limit += kLimitStep;
      job->ended = true;
      if (!s_.workers_notify_start) drops_ = std::min(drops_ + 1, kDropsKept);
      break;
    case AttemptStatus::kRejected:
      w.heard_at = now_;
      LearnWait(w, ExpectedRun(*job));
      Room(w) += (2 * kGroupBad - Room(w)) / 20;  // full is not lost
      Blocked(*job, *a, true, false);
      break;
    case AttemptStatus::kServerError:
      w.heard_at = now_;
      [[fallthrough]];
    case AttemptStatus::kConnectionLost:  // one may be chance; a worker that is gone refuses the
                                          // next
      w.errors = w.errors * 0.8 + (e.status == AttemptStatus::kServerError ? 0.2 : 0.3);
      if (w.errors > 0.45 || w.probation) Eject(a->worker);
      break;
    case AttemptStatus::kConnectFailed:
    case AttemptStatus::kNoResponse:
      if (e.status == AttemptStatus::kConnectFailed || w.heard_at < a->sent_at) Eject(a->worker);
      break;
    default:  // called off, not sent: nothing is learned
      break;
  }
  if (e.terminal) job->ended = true;
  if (job->ended) {
    CancelOpen(*job, false);
  } else if (!job->AnyOpen() && !job->dropped) {
    Place(*job);
  }
  Settle(*job);
}

void LoadBalancerImpl::On(const RequestCancelled& e) {
  const auto it = jobs_.find(e.id);
  if (it == jobs_.end()) return;
  std::erase(asking_, e.id);
  it->second.ended = true;
  it->second.on_hold = false;
  CancelOpen(it->second, false);
  Settle(it->second);
}

void LoadBalancerImpl::Begun(std::string_view id,
                             int attempt) {  // word from the worker that it runs
  Job* job = nullptr;
  Attempt* a = Find(id, attempt, &job);
  if (a == nullptr) return;
  Worker& w = workers_[Idx(a->worker)];
  w.heard_at = now_;
  if (a->started_at >= 0 || !a->open) return;
  a->started_at = now_;
  LearnWait(w, now_ - a->sent_at);
  drops_ = std::min(drops_ + 1, kDropsKept);
  if (a->roomy) prompt_.Add(now_ - a->sent_at < 4 * s_.tick_s, 50);
  // Second copies are sent to find a free slot: one runs, so those still waiting are dropped.
  CancelOpen(*job, true);
}

void LoadBalancerImpl::On(const ProbeAnswered& e) {
  const auto it = index_.find(e.worker);
  if (it == index_.end()) return;
  Worker& w = workers_[Idx(it->second)];
  const bool silent = e.status == AttemptStatus::kNoResponse ||
                      e.status == AttemptStatus::kConnectFailed ||
                      e.status == AttemptStatus::kConnectionLost;
  if (!silent && e.status != AttemptStatus::kNotSent) w.heard_at = now_;
  if (silent && w.heard_at < w.probed_at) Eject(it->second);
  if (e.has_report) TakeReport(w, e.report);
  for (const std::string& id : std::vector<std::string>(asking_)) {
    Job& job = jobs_.find(id)->second;
    const auto now_asked = job.asked.begin() + static_cast<std::ptrdiff_t>(job.round);
    if (std::count(now_asked, job.asked.end(), it->second) == 0) continue;
    if (--job.awaited == 0) Answered(id);
  }
}

void LoadBalancerImpl::Answered(std::string_view id) {  // all asked have answered, or time is up
  if (std::erase(asking_, id) == 0) return;
  Job& job = jobs_.find(id)->second;
  const auto has_room = [&](int w) {
    const Worker& worker = workers_[Idx(w)];
    return now_ - worker.report_at < kReportTrustS && !Outlook(job, worker).second;
  };
  if (!direct_ && job.round == 0 && job.asked[0] != job.cold_drawn) {
    asked_ += 1;
    roomy_ += has_room(job.asked[0]);
  }
  if (!direct_ && std::none_of(job.asked.begin(), job.asked.end(), has_room)) {
    if (AskAround(job)) return;
    // Where the whole tier is full it would end late, and so would all that wait behind it:
    // workers' queues then stay full for long after. Refused unsent, it may find room when it
    // returns.
    const auto told = [&](int w) { return now_ - workers_[Idx(w)].report_at < kReportTrustS; };
    if (std::ranges::count_if(job.asked, told) >= kAskedFull && Found(1) < kRoomy) {
      fulls_ += 1;
      return Settle(job);
    }
  }
  Place(job);
  Settle(job);
}

bool LoadBalancerImpl::Hopeless(const Job& job, const Worker& w, double age) const {
  const double run = ExpectedRun(job) * PaceOf(w);
  return age > AimOf(job) + (s_.workers_notify_start ? -run : run);
}

// An attempt has not started, or not ended, when it should have.
void LoadBalancerImpl::Overdue(const Watch& watch) {
  if (watch.attempt == kOnHold) return Waited(watch);
  if (watch.attempt < 0) return Answered(watch.id);
  Job* job = nullptr;
  Attempt* a = Find(watch.id, watch.attempt, &job);
  if (a == nullptr || !a->open) return;
  Worker& w = workers_[Idx(a->worker)];
  const double age = now_ - a->sent_at;
  if (s_.workers_notify_start && a->started_at < 0) {
    LearnWait(w, std::max(age, WaitOf(w)));
    // One that is left out says nothing of the fleet.
    Blocked(*job, *a, false,
            !w.ejected && age > ClassOf(job->cls).latency_objective_s && PaceOf(w) < 2);
    if (w.heard_at < a->sent_at && s_.probing && age > kSilentS && w.probed_at < a->sent_at) {
      w.probed_at = now_;
      actions_->push_back(Probe{w.name});
    }
  }
  // Exception: work that waits past hope is called off while the fleet is full, else all that
  // waits behind it ends late too. No more of it than starts: else cancels end nothing here.
  if (full_ && sheds_ && !job->ended && !job->Running() && drops_ >= 1 && Hopeless(*job, w, age)) {
    drops_ -= 1;
    job->dropped = true;
    return CancelOpen(*job, false);
  }
  const double silence =
      std::max({kOverdue * ExpectedRun(*job), 1.5 * s_.progress_interval_s, 1.0});
  if (w.heard_at < a->sent_at && age > silence) Eject(a->worker);
  const bool lost = w.ejected || !w.ready;
  const bool waits = s_.workers_notify_start ? a->started_at < 0 : age > silence;
  if (!job->ended && !job->dropped && (lost || waits) && (lost || hedges_ >= 1)) {
    if (s_.allow_hedging) {
      if (Place(*job) && !lost) hedges_ -= 1;
    } else if (lost && s_.cancel && ClassOf(job->cls).idempotency != Idempotency::kNotIdempotent) {
      actions_->push_back(CancelAttempt{job->id, watch.attempt});
    }
  }
  WatchAt(now_ + std::max(0.25, age / 2), watch.id, watch.attempt);
}

}  // namespace millethollow::balancing
