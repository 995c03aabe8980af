// Attempts of a job, from the first to its final answer.
#include <algorithm>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

// A worker is ejected when its error rate, a mean that forgets, exceeds the limit. A lost
// connection counts for more than a server error: the worker may be gone.
constexpr double kErrorRateKeep = 0.8;
constexpr double kServerErrorSample = 0.2;
constexpr double kConnectionLostSample = 0.3;
constexpr double kEjectErrorRate = 0.45;

constexpr double kSlotLimitStep = 0.1;  // rise of a worker's limit after a success at the limit
constexpr double kDeduplicationWindowUse = 0.9;  // of the window: clocks and queues differ
constexpr double kMinOverdueS = 0.02;
constexpr double kStartOverdueShare = 0.6;  // of the latency objective, without notice of a start
constexpr double kStartNoticeTicks = 4;     // a notice of a start takes so long at least
constexpr double kRejectBeforeExpiryS =
    0.15;  // a job that waits is rejected so long before it expires

// Where a further attempt may go: at-most-once and deduplication rules of the job's class.
LoadBalancerImpl::RetryScope LoadBalancerImpl::RetryScopeOf(const Job& job) const {
  const ClassSettings& c = ClassOf(job.class_index);
  RetryScope scope;
  for (const Attempt& a : job.attempts) {
    if (a.open && !settings_.allow_hedging) return {.permitted = false};
    if (!a.may_have_run) continue;
    if (c.idempotency == Idempotency::kNotIdempotent) return {.permitted = false};
    if (c.idempotency == Idempotency::kIdempotentWithKey) {
      // Repeats are dropped only within the group and the window, counted from the first sending.
      const double window_s = kDeduplicationWindowUse * c.deduplication_window_s;
      if (now_ + settings_.tick_s > a.sent_at + window_s) return {.permitted = false};
      if (scope.anchor < 0) scope.anchor = a.worker;
    }
  }
  return scope;
}

// Starts an attempt at the best worker that the job may go to; false if there is none now.
bool LoadBalancerImpl::PlaceJob(Job& job) {
  if (job.attempts.size() >= Idx(job.max_attempts) || job.expires_at_s <= now_) return false;
  const RetryScope scope = RetryScopeOf(job);
  if (!scope.permitted) return false;
  // A keyed job that may have run has few workers left: it queues there. All others wait for
  // capacity.
  const bool waits = reservations_ && scope.anchor < 0 && !job.AnyOpen() &&
                     !Selectable(ClassOf(job.class_index).kind, -1).empty();
  if (waits && job.found_worker < 0 && !FindCapacity(job)) return false;
  const int index = PickWorker(job, scope.anchor);
  job.found_worker = -1;
  if (index < 0) return waits && WaitForCapacity(job);
  const Forecast forecast = ForecastFor(job, workers_[index]);
  // While the tier is full, a first attempt that must wait and end late even at the best worker
  // makes the queue longer for all behind it. Rejected unsent, it may find capacity on its return.
  if (fleet_rate_.tier_full() && job.attempts.empty() && forecast.no_capacity && !waits &&
      forecast.time_s > LatencyObjectiveOf(job)) {
    full_signals_ += 1;
    return false;
  }
  StartAttempt(job, index, forecast);
  return true;
}

// Asks the scheduler for a worker with capacity; false if the job has to wait or can never run.
bool LoadBalancerImpl::FindCapacity(Job& job) {
  const CapacityReservations::Candidate candidate = reservations_->FindWorker(job.id);
  job.impossible = candidate.impossible;
  if (candidate.impossible) return false;
  if (candidate.worker.empty()) return WaitForCapacity(job);
  job.found_worker = workers_.Find(candidate.worker);
  return true;
}

void LoadBalancerImpl::StartAttempt(Job& job, int index, const Forecast& forecast) {
  Worker& w = workers_[index];
  if (WarmingUp(w)) {
    w.slow_start_tokens = std::min(1.0, SlowStartTokens(w) - SlowStartCost(job));
    w.slow_start_tokens_at = now_;
  }
  // By a fresh report of a probed worker.
  const bool load_known =
      now_ - w.reported_at < kLoadReportFreshS && !job.probed.empty() && job.attempts.empty();
  Attempt& attempt = job.attempts.emplace_back(
      Attempt{.worker = index, .sent_at = now_, .slots_before = w.slots_in_flight});
  attempt.had_free_slot = !forecast.no_capacity && load_known;
  attempt.recent_key = w.OnSent(job.slots, job.memory, job.key, now_);
  // The best of the probed workers can't end it in time: none need report a late start.
  if (load_known && forecast.time_s > LatencyObjectiveOf(job)) {
    OnBlocked(job, attempt, false, true);
  }
  sends_since_report_ += job.attempts.size() == 1;
  hedge_budget_.OnAttempt();
  actions_->push_back(SendAttempt{job.id, w.name, 0});
  CheckAt(now_ + std::max(OverdueAfter(job), kMinOverdueS), job.id,
          static_cast<int>(job.attempts.size()) - 1);
}

// Seconds after which an attempt is looked at first. Where hedging is permitted that is as soon as
// the notice of its start is overdue.
double LoadBalancerImpl::OverdueAfter(const Job& job) const {
  const ClassSettings& c = ClassOf(job.class_index);
  if (!settings_.workers_notify_start) return kOverdueFactor * ExpectedRun(job);
  const bool may_hedge = settings_.allow_hedging && c.idempotency != Idempotency::kNotIdempotent;
  return std::max(may_hedge ? 0.0 : c.latency_objective_s * kStartOverdueShare,
                  kStartNoticeTicks * settings_.tick_s);
}

// Waiting ends with the job's time. Returns false: no attempt was started.
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
    it->second.found_worker = workers_.Find(e.worker);
    PlaceJob(it->second);
  }
  FinishIfIdle(it->second);
}

// A job that waits past its latency objective counts as a late start at a worker does.
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

// Ends a job that has no attempt open, with the answer that its class allows.
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
  if (a == nullptr || !a->open) return;  // a duplicate event, or of a job that is over
  Worker& w = workers_[a->worker];
  a->open = false;
  w.OnEnded(job->slots, job->memory, now_);
  if (e.has_report) OnLoadReport(w, e.report);
  a->may_have_run = e.status != AttemptStatus::kRejected &&
                    e.status != AttemptStatus::kConnectFailed &&
                    e.status != AttemptStatus::kNotSent;
  LearnFromOutcome(*job, *a, e.status);
  if (e.terminal) job->ended = true;
  if (job->ended) {
    CancelOpenAttempts(*job, false);
  } else if (!job->AnyOpen() && !job->shed) {
    PlaceJob(*job);
  }
  FinishIfIdle(*job);
}

void LoadBalancerImpl::LearnFromOutcome(Job& job, Attempt& a, AttemptStatus status) {
  Worker& w = workers_[a.worker];
  switch (status) {
    case AttemptStatus::kSucceeded:
      OnAttemptSucceeded(job, a);
      break;
    case AttemptStatus::kRejected: {
      w.heard_at = now_;
      estimates_.OnStartWait(ExpectedRun(job), now_, &w);
      double& success = estimates_.GroupSuccess(w);
      success += (2 * kGroupSuccessMin - success) / 20;  // full is not failed
      OnBlocked(job, a, true, false);
      break;
    }
    case AttemptStatus::kServerError:
      w.heard_at = now_;
      [[fallthrough]];
    case AttemptStatus::kConnectionLost:  // one may be chance; a worker that is gone refuses the
                                          // next connection
      w.error_rate =
          w.error_rate * kErrorRateKeep +
          (status == AttemptStatus::kServerError ? kServerErrorSample : kConnectionLostSample);
      if (w.error_rate > kEjectErrorRate || w.probation) Eject(a.worker);
      break;
    case AttemptStatus::kConnectFailed:
    case AttemptStatus::kNoResponse:
      if (status == AttemptStatus::kConnectFailed || w.heard_at < a.sent_at) Eject(a.worker);
      break;
    default:  // cancelled, not sent: nothing is learned
      break;
  }
}

void LoadBalancerImpl::OnAttemptSucceeded(Job& job, const Attempt& a) {
  Worker& w = workers_[a.worker];
  w.heard_at = now_;
  w.probation = false;
  w.ejection_s = 0;
  double& success = estimates_.GroupSuccess(w);
  success += (1 - success) / 5;
  w.error_rate *= kErrorRateKeep;
  const RunSample sample = estimates_.OnRunEnded(job, ClassOf(job.class_index), a, now_, &w);
  if (!full_mesh_) ShareRunSample(job, w, sample);
  if (!a.blocked && a.slots_before + job.slots >= w.slot_limit) w.slot_limit += kSlotLimitStep;
  job.ended = true;
  if (!settings_.workers_notify_start) shed_budget_.OnStart();
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
                                        int attempt) {  // by notice of the worker
  Job* job = nullptr;
  Attempt* a = FindAttempt(id, attempt, &job);
  if (a == nullptr) return;
  Worker& w = workers_[a->worker];
  w.heard_at = now_;
  if (a->started_at >= 0 || !a->open) return;
  a->started_at = now_;
  estimates_.OnStartWait(now_ - a->sent_at, now_, &w);
  shed_budget_.OnStart();
  if (a->had_free_slot) {
    estimates_.OnPromptStart(now_ - a->sent_at < kStartNoticeTicks * settings_.tick_s);
  }
  // Hedged requests look for a free slot: one runs, so those still queued are cancelled.
  CancelOpenAttempts(*job, true);
}

Attempt* LoadBalancerImpl::FindAttempt(std::string_view id, int attempt, Job** job) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || Idx(attempt) >= it->second.attempts.size()) return nullptr;
  *job = &it->second;
  return &it->second.attempts[Idx(attempt)];
}

void LoadBalancerImpl::CancelOpenAttempts(const Job& job, bool only_waiting) {
  for (std::size_t i = 0; settings_.cancel && i < job.attempts.size(); ++i) {
    const Attempt& a = job.attempts[i];
    if (!a.open || (only_waiting && a.started_at >= 0)) continue;
    actions_->push_back(CancelAttempt{job.id, static_cast<int>(i)});
  }
}

// The job found no capacity at a worker. Only a warm, ready worker that could hold the job says
// something about the tier; one full worker says little while others have capacity, two say more.
void LoadBalancerImpl::OnBlocked(Job& job, Attempt& a, bool full, bool late) {
  Worker& w = workers_[a.worker];
  if (!a.blocked) w.slot_limit = std::max(1.0, (w.slot_limit + a.slots_before) / 2);
  a.blocked = true;
  const bool holds = SlotsOf(w) == 0 || job.slots <= SlotsOf(w);
  if (!w.ready || w.probation || WarmingUp(w) || !holds) return;
  if (full && ++job.full_count <= 2) full_signals_ += load_unreported_ ? job.full_count - 1 : 0.5;
  if (late && !job.counted_late) late_signals_ += 1;
  job.counted_late |= late;
}

}  // namespace millethollow::balancing
