// Overdue attempts: hedged requests, shedding of queued requests, ejection of unresponsive workers.
#include <algorithm>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

// Age of an attempt without a response from its worker, after which the worker is probed.
constexpr double kProbeAfterSilenceS = 0.25;
// Shortest time without a response since an attempt after which the worker is ejected.
constexpr double kMinSilenceS = 1.0;
// Progress intervals without a response, where workers report progress.
constexpr double kProgressIntervals = 1.5;
constexpr double kSlowWorkerSlowdown = 2.0;  // slowdown from which a worker counts as slow
constexpr double kMinRecheckS = 0.25;        // shortest time between two checks of an attempt

// Whether an attempt that was sent `age_s` seconds ago is expected to end after the latency
// objective. Where starts are notified, the attempt is known not to run yet. Otherwise it may be
// running, and counts as late only once a whole run beyond the objective has passed.
bool LoadBalancerImpl::WouldEndLate(const Request& request, const Worker& worker,
                                    double age_s) const {
  const double run_time_s = ExpectedRunTime(request) * SlowdownOf(worker);
  return age_s >
         LatencyObjectiveOf(request) + (settings_.workers_notify_start ? -run_time_s : run_time_s);
}

// Runs a check. An attempt that has not started, or not ended, when it should have is hedged,
// cancelled or shed, and its worker probed or ejected if it does not respond.
void LoadBalancerImpl::RunCheck(const ScheduledCheck& check) {
  if (check.attempt == kCapacityWaitCheck) return OnCapacityWaitCheck(check);
  if (check.attempt == kProbeCheck) return OnProbesAnswered(check.request_id);
  Request* request = nullptr;
  Attempt* attempt = FindAttempt(check.request_id, check.attempt, &request);
  if (attempt == nullptr || !attempt->in_flight) return;
  const double age_s = now_ - attempt->sent_at;
  if (settings_.workers_notify_start && attempt->started_at < 0)
    OnStartOverdue(*request, *attempt, age_s);
  if (MayShed(*request, *attempt, age_s)) {
    shed_budget_.Spend();
    request->shed = true;
    return CancelAttemptsInFlight(*request, false);
  }
  Worker& worker = workers_[attempt->worker];
  const double silence_limit_s =
      std::max({kOverdueFactor * ExpectedRunTime(*request),
                kProgressIntervals * settings_.progress_interval_s, kMinSilenceS});
  if (worker.last_response_at < attempt->sent_at && age_s > silence_limit_s) Eject(attempt->worker);
  const bool lost = worker.ejected || !worker.ready;
  const bool is_waiting =
      settings_.workers_notify_start ? attempt->started_at < 0 : age_s > silence_limit_s;
  if (lost || is_waiting) HedgeOrCancel(*request, check.attempt, lost);
  CheckAt(now_ + std::max(kMinRecheckS, age_s / 2), check.request_id, check.attempt);
}

void LoadBalancerImpl::OnStartOverdue(Request& request, Attempt& attempt, double age_s) {
  Worker& worker = workers_[attempt.worker];
  estimates_.OnStartWait(std::max(age_s, StartWaitOf(worker)), now_, &worker);
  // A late start at an ejected or slow worker does not indicate a full tier.
  const bool late = !worker.ejected &&
                    age_s > ClassSettingsOf(request.class_index).latency_objective_s &&
                    SlowdownOf(worker) < kSlowWorkerSlowdown;
  OnNoCapacity(request, attempt, false, late);
  if (worker.last_response_at < attempt.sent_at && settings_.probing &&
      age_s > kProbeAfterSilenceS && worker.probed_at < attempt.sent_at) {
    worker.probed_at = now_;
    actions_->push_back(Probe{worker.name});
  }
}

// Whether a queued request that would end late may be cancelled, because the tier is full and
// everything queued behind it would end late too. The budget bounds such cancels by the number of
// starts: where no request starts, a cancel does not remove queued work.
bool LoadBalancerImpl::MayShed(const Request& request, const Attempt& attempt, double age_s) const {
  return fleet_rate_.tier_full() && may_shed_queued_ && !request.ended && !request.IsRunning() &&
         shed_budget_.Available() && WouldEndLate(request, workers_[attempt.worker], age_s);
}

// Sends a hedged request; the budget does not apply if the attempt's worker is lost. Where hedging
// is off, a lost attempt is cancelled so that the request can be retried.
void LoadBalancerImpl::HedgeOrCancel(Request& request, int attempt_index, bool lost) {
  if (request.ended || request.shed || (!lost && !hedge_budget_.Available())) return;
  if (settings_.allow_hedging) {
    if (PlaceRequest(request) && !lost) hedge_budget_.Spend();
  } else if (lost && settings_.cancel &&
             ClassSettingsOf(request.class_index).idempotency != Idempotency::kNotIdempotent) {
    actions_->push_back(CancelAttempt{request.id, attempt_index});
  }
}

void LoadBalancerImpl::CheckAt(double due_at, const std::string& id, int attempt_index) {
  scheduled_checks_.push({due_at, ++last_check_sequence_, id, attempt_index});
  if (!check_timer_set_) actions_->push_back(SetTimer{kCheckTimer, kMaxCheckIntervalS / 4});
  check_timer_set_ = true;
}

}  // namespace millethollow::balancing
