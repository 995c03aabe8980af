// Overdue attempts: hedged requests, shedding of queued work, ejection of silent workers.
#include <algorithm>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kSilentProbeS =
    0.25;  // no word since a send: the worker is asked whether it lives

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
  if (fleet_rate_.tier_full() && may_shed_queued_ && !job->ended && !job->Running() &&
      shed_budget_ >= 1 && WouldEndLate(*job, w, age)) {
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

void LoadBalancerImpl::CheckAt(double at, const std::string& id, int attempt) {
  overdue_checks_.push({at, ++next_check_order_, id, attempt});
  if (!check_timer_set_) actions_->push_back(SetTimer{kOverdueTimer, kOverdueCheckS / 4});
  check_timer_set_ = true;
}

}  // namespace millethollow::balancing
