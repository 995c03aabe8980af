// Overdue attempts: hedged requests, shedding of queued work, ejection of silent workers.
#include <algorithm>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kSilentProbeS =
    0.25;  // no message from the worker since the attempt: a health check is sent
constexpr double kMinSilenceS = 1.0;  // no message from the worker since the send: it is ejected
constexpr double kProgressIntervals = 1.5;  // of silence where workers report progress
constexpr double kOrdinaryPace = 2.0;       // a worker this much slower than expected is slow
constexpr double kMinRecheckS = 0.25;

bool LoadBalancerImpl::WouldEndLate(const Job& job, const Worker& w, double age) const {
  const double run = ExpectedRun(job) * PaceOf(w);
  return age > LatencyObjectiveOf(job) + (settings_.workers_notify_start ? -run : run);
}

// An attempt has not started, or not ended, when it should have.
void LoadBalancerImpl::OnOverdue(const OverdueCheck& check) {
  if (check.attempt == kCapacityWaitCheck) return OnCapacityWaitCheck(check);
  if (check.attempt == kProbeCheck) return OnProbesAnswered(check.job);
  Job* job = nullptr;
  Attempt* a = FindAttempt(check.job, check.attempt, &job);
  if (a == nullptr || !a->open) return;
  const double age_s = now_ - a->sent_at;
  if (settings_.workers_notify_start && a->started_at < 0) OnStartOverdue(*job, *a, age_s);
  if (MayShed(*job, *a, age_s)) {
    shed_budget_.Spend();
    job->shed = true;
    return CancelOpenAttempts(*job, false);
  }
  Worker& w = workers_[a->worker];
  const double silence_s =
      std::max({kOverdueFactor * ExpectedRun(*job),
                kProgressIntervals * settings_.progress_interval_s, kMinSilenceS});
  if (w.heard_at < a->sent_at && age_s > silence_s) Eject(a->worker);
  const bool lost = w.ejected || !w.ready;
  const bool waits = settings_.workers_notify_start ? a->started_at < 0 : age_s > silence_s;
  if (lost || waits) HedgeOrCancel(*job, check.attempt, lost);
  CheckAt(now_ + std::max(kMinRecheckS, age_s / 2), check.job, check.attempt);
}

void LoadBalancerImpl::OnStartOverdue(Job& job, Attempt& a, double age_s) {
  Worker& w = workers_[a.worker];
  estimates_.OnStartWait(std::max(age_s, StartWaitOf(w)), now_, &w);
  // An ejected or slow worker says nothing about the tier.
  const bool late = !w.ejected && age_s > ClassOf(job.class_index).latency_objective_s &&
                    PaceOf(w) < kOrdinaryPace;
  OnBlocked(job, a, false, late);
  if (w.heard_at < a.sent_at && settings_.probing && age_s > kSilentProbeS &&
      w.probed_at < a.sent_at) {
    w.probed_at = now_;
    actions_->push_back(Probe{w.name});
  }
}

// Queued work that would end late is cancelled while the tier is full, else all that waits behind
// it ends late too. No more of it than starts: where none start, cancelling ends nothing.
bool LoadBalancerImpl::MayShed(const Job& job, const Attempt& a, double age_s) const {
  return fleet_rate_.tier_full() && may_shed_queued_ && !job.ended && !job.Running() &&
         shed_budget_.Available() && WouldEndLate(job, workers_[a.worker], age_s);
}

// Sends a hedged request, beyond the budget only where the attempt's worker is lost. Where hedging
// is off, a lost attempt is cancelled, so that it can be retried.
void LoadBalancerImpl::HedgeOrCancel(Job& job, int attempt, bool lost) {
  if (job.ended || job.shed || (!lost && !hedge_budget_.Available())) return;
  if (settings_.allow_hedging) {
    if (PlaceJob(job) && !lost) hedge_budget_.Spend();
  } else if (lost && settings_.cancel &&
             ClassOf(job.class_index).idempotency != Idempotency::kNotIdempotent) {
    actions_->push_back(CancelAttempt{job.id, attempt});
  }
}

void LoadBalancerImpl::CheckAt(double at, const std::string& id, int attempt) {
  overdue_checks_.push({at, ++next_check_order_, id, attempt});
  if (!check_timer_set_) actions_->push_back(SetTimer{kOverdueTimer, kOverdueCheckS / 4});
  check_timer_set_ = true;
}

}  // namespace millethollow::balancing
