// Attempts and final answers.
#include <algorithm>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kSlotLimitStep = 0.1;  // a threshold's rise after a good send at the threshold
constexpr double kSilentProbeS =
    0.25;  // no word since a send: the worker is asked whether it lives
constexpr double kOverdueFactor = 4.0;  // an attempt this many times its expected time is overdue
constexpr double kRejectBeforeExpiryS = 0.15;  // before its time is over, one that waits is refused
constexpr int kMinProbedFull = 3;              // so many without room say that there is none
constexpr int kCapacityWaitCheck = -2;         // a watch on the wait, not on an attempt
constexpr double kMaxShedBudget =
    10.0;  // starts that earn the right to call off as much hopeless work

// Sends the job somewhere it may go; false if there is no such place now.
bool LoadBalancerImpl::PlaceJob(Job& job) {
  if (job.attempts.size() >= Idx(job.max_attempts) || job.expires_at_s <= now_) return false;
  const ClassSettings& c = ClassOf(job.class_index);
  int anchor = -1;
  for (const Attempt& a : job.attempts) {
    if (a.open && !settings_.allow_hedging) return false;
    if (!a.may_have_run) continue;
    if (c.idempotency == Idempotency::kNotIdempotent) return false;
    if (c.idempotency == Idempotency::kIdempotentWithKey) {
      // Repeats are dropped only within the group and the window, counted from the first sending.
      if (now_ + settings_.tick_s > a.sent_at + 0.9 * c.deduplication_window_s) return false;
      if (anchor < 0) anchor = a.worker;
    }
  }
  // A keyed job that may have run has few places left: it queues there. All others wait for room.
  const bool waits =
      reservations_ && anchor < 0 && !job.AnyOpen() && !Selectable(c.kind, -1).empty();
  if (waits && job.found_worker < 0) {
    const CapacityReservations::Candidate place = reservations_->FindWorker(job.id);
    job.impossible = place.impossible;
    if (place.impossible) return false;
    if (place.worker.empty()) return WaitForCapacity(job);
    job.found_worker = worker_index_.find(place.worker)->second;
  }
  const int index = PickWorker(job, anchor);
  job.found_worker = -1;
  if (index < 0) return waits && WaitForCapacity(job);
  Worker& w = workers_[Idx(index)];
  const auto [time, over] = Forecast(job, w);
  // Exception: while the fleet is full, a first try that must wait and end late even at the best
  // worker makes the queue deeper for all behind it. Refused unsent, it may find room on return.
  if (tier_full_ && job.attempts.empty() && over && !waits && time > LatencyObjectiveOf(job)) {
    full_signals_ += 1;
    return false;
  }
  if (WarmingUp(w)) {
    w.slow_start_tokens = std::min(1.0, SlowStartTokens(w) - SlowStartCost(job));
    w.slow_start_tokens_at = now_;
  }
  // The best of those asked can't end it in time: no worker need tell of a late start.
  const bool told =
      now_ - w.reported_at < kLoadReportFreshS && !job.probed.empty() && job.attempts.empty();
  job.attempts.push_back({.worker = index,
                          .sent_at = now_,
                          .slots_before = w.slots_in_flight,
                          .had_free_slot = !over});
  job.attempts.back().had_free_slot &= told;
  job.attempts.back().recent_key = w.OnSent(job.slots, job.memory, job.key, now_);
  if (told && time > LatencyObjectiveOf(job)) OnBlocked(job, job.attempts.back(), false, true);
  sends_since_report_ += job.attempts.size() == 1;
  hedge_budget_ = std::min(3.0, hedge_budget_ + hedges_per_attempt_);
  actions_->push_back(SendAttempt{job.id, w.name, 0});
  // Looked at as soon as the word of a start is overdue, where a second copy is permitted.
  const bool soon = settings_.allow_hedging && c.idempotency != Idempotency::kNotIdempotent;
  const double first =
      settings_.workers_notify_start
          ? std::max(soon ? 0.0 : c.latency_objective_s * 0.6, 4 * settings_.tick_s)
          : kOverdueFactor * ExpectedRun(job);
  CheckAt(now_ + std::max(first, 0.02), job.id, static_cast<int>(job.attempts.size()) - 1);
  return true;
}

// To wait for room is not to give up; it ends with the job's time.
bool LoadBalancerImpl::WaitForCapacity(Job& job) {
  job.awaiting_capacity = true;
  actions_->push_back(AwaitCapacity{job.id});
  if (!std::exchange(job.wait_check_set, true)) {
    CheckAt(std::min(now_ + ClassOf(job.class_index).latency_objective_s,
                     job.expires_at_s - kRejectBeforeExpiryS),
            job.id, kCapacityWaitCheck);
  }
  return false;
}

void LoadBalancerImpl::On(const CapacityFound& e) {
  const auto it = jobs_.find(e.id);
  if (it == jobs_.end() || !std::exchange(it->second.awaiting_capacity, false)) return;
  if (!e.worker.empty()) {
    it->second.found_worker = worker_index_.find(e.worker)->second;
    PlaceJob(it->second);
  }
  FinishIfIdle(it->second);
}

// One that waits past its aim says of the fleet what a late start at a worker says.
void LoadBalancerImpl::OnCapacityWaitCheck(const OverdueCheck& watch) {
  const auto it = jobs_.find(watch.job);
  if (it == jobs_.end()) return;
  Job& job = it->second;
  const double last = job.expires_at_s - kRejectBeforeExpiryS;
  if (now_ >= last && std::exchange(job.awaiting_capacity, false)) return FinishIfIdle(job);
  late_signals_ += job.awaiting_capacity && !job.counted_late;
  job.counted_late |= job.awaiting_capacity;
  if (now_ < last) CheckAt(last, watch.job, kCapacityWaitCheck);
}

// Ends a job that has no attempt under way, with the answer that its class allows.
void LoadBalancerImpl::FinishIfIdle(Job& job) {
  if (job.AnyOpen() || job.awaiting_capacity) return;
  if (!job.ended) {
    const ClassSettings& c = ClassOf(job.class_index);
    const bool repeats_dropped = c.idempotency == Idempotency::kIdempotentWithKey &&
                                 c.deduplication_scope == DeduplicationScope::kAll;
    if (!job.impossible &&
        (!job.MayHaveRun() || c.idempotency == Idempotency::kIdempotent || repeats_dropped)) {
      Reject(job);
    } else {
      actions_->push_back(FailRequest{job.id});
    }
  }
  jobs_.erase(jobs_.find(job.id));
}

void LoadBalancerImpl::On(const AttemptEnded& e) {
  Job* job = nullptr;
  Attempt* a = FindAttempt(e.id, e.attempt, &job);
  if (a == nullptr || !a->open) return;  // a repeat, or forgotten
  Worker& w = workers_[Idx(a->worker)];
  a->open = false;
  w.OnEnded(job->slots, job->memory, now_);
  if (e.has_report) OnLoadReport(w, e.report);
  a->may_have_run = e.status != AttemptStatus::kRejected &&
                    e.status != AttemptStatus::kConnectFailed &&
                    e.status != AttemptStatus::kNotSent;
  switch (e.status) {
    case AttemptStatus::kSucceeded:
      w.heard_at = now_;
      w.probation = false;
      w.ejection_s = 0;
      GroupSuccess(w) += (1 - GroupSuccess(w)) / 5;
      w.error_rate *= 0.8;
      RecordRunTime(*job, *a, w);
      if (!a->blocked && a->slots_before + job->slots >= w.slot_limit)
        w.slot_limit += kSlotLimitStep;
      job->ended = true;
      if (!settings_.workers_notify_start)
        shed_budget_ = std::min(shed_budget_ + 1, kMaxShedBudget);
      break;
    case AttemptStatus::kRejected:
      w.heard_at = now_;
      RecordStartWait(w, ExpectedRun(*job));
      GroupSuccess(w) += (2 * kGroupSuccessMin - GroupSuccess(w)) / 20;  // full is not lost
      OnBlocked(*job, *a, true, false);
      break;
    case AttemptStatus::kServerError:
      w.heard_at = now_;
      [[fallthrough]];
    case AttemptStatus::kConnectionLost:  // one may be chance; a worker that is gone refuses the
                                          // next
      w.error_rate = w.error_rate * 0.8 + (e.status == AttemptStatus::kServerError ? 0.2 : 0.3);
      if (w.error_rate > 0.45 || w.probation) Eject(a->worker);
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
    CancelOpenAttempts(*job, false);
  } else if (!job->AnyOpen() && !job->shed) {
    PlaceJob(*job);
  }
  FinishIfIdle(*job);
}

void LoadBalancerImpl::On(const RequestCancelled& e) {
  const auto it = jobs_.find(e.id);
  if (it == jobs_.end()) return;
  std::erase(jobs_awaiting_probes_, e.id);
  it->second.ended = true;
  it->second.awaiting_capacity = false;
  CancelOpenAttempts(it->second, false);
  FinishIfIdle(it->second);
}

void LoadBalancerImpl::OnAttemptStarted(std::string_view id,
                                        int attempt) {  // word from the worker that it runs
  Job* job = nullptr;
  Attempt* a = FindAttempt(id, attempt, &job);
  if (a == nullptr) return;
  Worker& w = workers_[Idx(a->worker)];
  w.heard_at = now_;
  if (a->started_at >= 0 || !a->open) return;
  a->started_at = now_;
  RecordStartWait(w, now_ - a->sent_at);
  shed_budget_ = std::min(shed_budget_ + 1, kMaxShedBudget);
  if (a->had_free_slot) prompt_starts_.Add(now_ - a->sent_at < 4 * settings_.tick_s, 50);
  // Second copies are sent to find a free slot: one runs, so those still waiting are dropped.
  CancelOpenAttempts(*job, true);
}

void LoadBalancerImpl::On(const ProbeAnswered& e) {
  const auto it = worker_index_.find(e.worker);
  if (it == worker_index_.end()) return;
  Worker& w = workers_[Idx(it->second)];
  const bool silent = e.status == AttemptStatus::kNoResponse ||
                      e.status == AttemptStatus::kConnectFailed ||
                      e.status == AttemptStatus::kConnectionLost;
  if (!silent && e.status != AttemptStatus::kNotSent) w.heard_at = now_;
  if (silent && w.heard_at < w.probed_at) Eject(it->second);
  if (e.has_report) OnLoadReport(w, e.report);
  for (const std::string& id : std::vector<std::string>(jobs_awaiting_probes_)) {
    Job& job = jobs_.find(id)->second;
    const auto now_asked = job.probed.begin() + static_cast<std::ptrdiff_t>(job.probe_round_begin);
    if (std::count(now_asked, job.probed.end(), it->second) == 0) continue;
    if (--job.probes_awaited == 0) OnProbesAnswered(id);
  }
}

void LoadBalancerImpl::OnProbesAnswered(
    std::string_view id) {  // all asked have answered, or time is up
  if (std::erase(jobs_awaiting_probes_, id) == 0) return;
  Job& job = jobs_.find(id)->second;
  const auto has_room = [&](int w) {
    const Worker& worker = workers_[Idx(w)];
    return now_ - worker.reported_at < kLoadReportFreshS && !Forecast(job, worker).second;
  };
  if (!full_mesh_ && job.probe_round_begin == 0 && job.probed[0] != job.slow_start_worker) {
    first_probes_ += 1;
    first_probes_free_ += has_room(job.probed[0]);
  }
  if (!full_mesh_ && std::none_of(job.probed.begin(), job.probed.end(), has_room)) {
    if (ProbeCandidates(job)) return;
    // Where the whole tier is full it would end late, and so would all that wait behind it:
    // workers' queues then stay full for long after. Refused unsent, it may find room when it
    // returns.
    const auto told = [&](int w) {
      return now_ - workers_[Idx(w)].reported_at < kLoadReportFreshS;
    };
    if (std::ranges::count_if(job.probed, told) >= kMinProbedFull &&
        ProbedFreeShare(1) < kFreeShareNotFull) {
      full_signals_ += 1;
      return FinishIfIdle(job);
    }
  }
  PlaceJob(job);
  FinishIfIdle(job);
}

bool LoadBalancerImpl::WouldEndLate(const Job& job, const Worker& w, double age) const {
  const double run = ExpectedRun(job) * PaceOf(w);
  return age > LatencyObjectiveOf(job) + (settings_.workers_notify_start ? -run : run);
}

// An attempt has not started, or not ended, when it should have.
void LoadBalancerImpl::OnOverdue(const OverdueCheck& watch) {
  if (watch.attempt == kCapacityWaitCheck) return OnCapacityWaitCheck(watch);
  if (watch.attempt < 0) return OnProbesAnswered(watch.job);
  Job* job = nullptr;
  Attempt* a = FindAttempt(watch.job, watch.attempt, &job);
  if (a == nullptr || !a->open) return;
  Worker& w = workers_[Idx(a->worker)];
  const double age = now_ - a->sent_at;
  if (settings_.workers_notify_start && a->started_at < 0) {
    RecordStartWait(w, std::max(age, StartWaitOf(w)));
    // One that is left out says nothing of the fleet.
    OnBlocked(*job, *a, false,
              !w.ejected && age > ClassOf(job->class_index).latency_objective_s && PaceOf(w) < 2);
    if (w.heard_at < a->sent_at && settings_.probing && age > kSilentProbeS &&
        w.probed_at < a->sent_at) {
      w.probed_at = now_;
      actions_->push_back(Probe{w.name});
    }
  }
  // Exception: work that waits past hope is called off while the fleet is full, else all that
  // waits behind it ends late too. No more of it than starts: else cancels end nothing here.
  if (tier_full_ && may_shed_queued_ && !job->ended && !job->Running() && shed_budget_ >= 1 &&
      WouldEndLate(*job, w, age)) {
    shed_budget_ -= 1;
    job->shed = true;
    return CancelOpenAttempts(*job, false);
  }
  const double silence =
      std::max({kOverdueFactor * ExpectedRun(*job), 1.5 * settings_.progress_interval_s, 1.0});
  if (w.heard_at < a->sent_at && age > silence) Eject(a->worker);
  const bool lost = w.ejected || !w.ready;
  const bool waits = settings_.workers_notify_start ? a->started_at < 0 : age > silence;
  if (!job->ended && !job->shed && (lost || waits) && (lost || hedge_budget_ >= 1)) {
    if (settings_.allow_hedging) {
      if (PlaceJob(*job) && !lost) hedge_budget_ -= 1;
    } else if (lost && settings_.cancel &&
               ClassOf(job->class_index).idempotency != Idempotency::kNotIdempotent) {
      actions_->push_back(CancelAttempt{job->id, watch.attempt});
    }
  }
  CheckAt(now_ + std::max(0.25, age / 2), watch.job, watch.attempt);
}

}  // namespace millethollow::balancing
