// Attempts of a request, from the first to its final answer.
#include <algorithm>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

// A worker is ejected when its error rate, an exponentially weighted mean, exceeds the limit. A
// lost connection weighs more than a server error, because the worker may be gone.
constexpr double kErrorRateKeep = 0.8;  // weight of the old mean
constexpr double kServerErrorSample = 0.2;
constexpr double kConnectionLostSample = 0.3;
constexpr double kEjectErrorRate = 0.45;

// Additive increase of a worker's slot limit after a success at the limit.
constexpr double kSlotLimitStep = 0.1;
// Share of the deduplication window in which an attempt may be repeated; the rest allows for clock
// differences and queueing delays.
constexpr double kDeduplicationWindowUse = 0.9;
constexpr double kMinWindowMarginS = 0.15;  // for a process that is held up before it writes
constexpr double kMinOverdueS = 0.02;       // shortest time until an attempt is first checked
constexpr double kStartOverdueShare = 0.6;  // of the latency objective, where starts are notified
// A start notification takes at least this many ticks.
constexpr double kStartNoticeTicks = 4;
// A waiting request is rejected this long before it expires.
constexpr double kRejectBeforeExpiryS = 0.15;

// Where a further attempt may be sent by the idempotency and deduplication rules of the request's
// class.
LoadBalancerImpl::RetryScope LoadBalancerImpl::RetryScopeOf(const Request& request) const {
  const ClassSettings& class_settings = ClassSettingsOf(request.class_index);
  RetryScope scope;
  for (const Attempt& attempt : request.attempts) {
    if (attempt.in_flight && !settings_.allow_hedging) return {.permitted = false};
    if (!attempt.may_have_run) continue;
    if (class_settings.idempotency == Idempotency::kNotIdempotent) return {.permitted = false};
    if (class_settings.idempotency == Idempotency::kIdempotentWithKey) {
      // Repeats are dropped only within the scope and the window, counted from the first attempt.
      const double window_s =
          std::min(kDeduplicationWindowUse * class_settings.deduplication_window_s,
                   class_settings.deduplication_window_s - kMinWindowMarginS);
      if (now_ + settings_.tick_s > attempt.sent_at + window_s) return {.permitted = false};
      if (scope.scope_worker < 0) scope.scope_worker = attempt.worker;
    }
  }
  return scope;
}

// Starts an attempt at the best candidate. Returns false if there is none now.
bool LoadBalancerImpl::PlaceRequest(Request& request) {
  if (request.attempts.size() >= ToIndex(request.max_attempts) || request.expires_at_s <= now_)
    return false;
  const RetryScope scope = RetryScopeOf(request);
  if (!scope.permitted) return false;
  // A keyed request that may have run has few candidates left and is queued at one of them. All
  // others wait for capacity.
  const bool may_wait = reservations_ && scope.scope_worker < 0 && !request.HasAttemptInFlight() &&
                        !EligibleWorkers(ClassSettingsOf(request.class_index).kind, -1).empty();
  if (may_wait && request.worker_with_capacity < 0 && !FindCapacity(request)) return false;
  const int worker_index = PickWorker(request, scope.scope_worker);
  request.worker_with_capacity = -1;
  if (worker_index < 0) return may_wait && WaitForCapacity(request);
  const Forecast forecast = ForecastFor(request, workers_[worker_index]);
  // While the tier is full, a first attempt that would be queued and end late even at the best
  // worker only lengthens the queue. Rejected without being sent, the request may find capacity
  // when it returns.
  if (fleet_rate_.tier_full() && request.attempts.empty() && forecast.no_capacity && !may_wait &&
      forecast.time_s > LatencyObjectiveOf(request)) {
    found_full_count_ += 1;
    return false;
  }
  StartAttempt(request, worker_index, forecast);
  return true;
}

// Asks the scheduler for a worker with capacity. Returns false if the request has to wait or can
// never run.
bool LoadBalancerImpl::FindCapacity(Request& request) {
  const CapacityReservations::Candidate candidate = reservations_->FindWorker(request.id);
  request.impossible = candidate.impossible;
  if (candidate.impossible) return false;
  if (candidate.worker.empty()) return WaitForCapacity(request);
  request.worker_with_capacity = workers_.Find(candidate.worker);
  return true;
}

void LoadBalancerImpl::StartAttempt(Request& request, int worker_index, const Forecast& forecast) {
  Worker& worker = workers_[worker_index];
  if (InSlowStart(worker)) {
    worker.slow_start_tokens = std::min(1.0, SlowStartTokens(worker) - SlowStartCost(request));
    worker.slow_start_tokens_at = now_;
  }
  // The worker was probed and its report is recent.
  const bool load_known = now_ - worker.reported_at < kLoadReportFreshS &&
                          !request.probed.empty() && request.attempts.empty();
  Attempt& attempt = request.attempts.emplace_back(
      Attempt{.worker = worker_index, .sent_at = now_, .slots_before = worker.slots_in_flight});
  attempt.had_free_slot = !forecast.no_capacity && load_known;
  attempt.recent_key = worker.OnAttemptSent(request.slots, request.memory, request.key, now_);
  // Not even the best of the probed workers can complete it in time: this counts as a late start,
  // without waiting for one.
  if (load_known && forecast.time_s > LatencyObjectiveOf(request)) {
    OnNoCapacity(request, attempt, false, true);
  }
  sends_since_report_ += request.attempts.size() == 1;
  hedge_budget_.OnAttempt();
  actions_->push_back(SendAttempt{request.id, worker.name, 0});
  CheckAt(now_ + std::max(OverdueAfter(request), kMinOverdueS), request.id,
          static_cast<int>(request.attempts.size()) - 1);
}

// Seconds after which an attempt is first checked. Where hedging is permitted, this is as soon as
// the notification of its start is overdue.
double LoadBalancerImpl::OverdueAfter(const Request& request) const {
  const ClassSettings& class_settings = ClassSettingsOf(request.class_index);
  if (!settings_.workers_notify_start) return kOverdueFactor * ExpectedRunTime(request);
  const bool may_hedge =
      settings_.allow_hedging && class_settings.idempotency != Idempotency::kNotIdempotent;
  return std::max(may_hedge ? 0.0 : class_settings.latency_objective_s * kStartOverdueShare,
                  kStartNoticeTicks * settings_.tick_s);
}

// Lets the request wait for capacity until it is about to expire. Returns false: no attempt was
// started.
bool LoadBalancerImpl::WaitForCapacity(Request& request) {
  request.awaiting_capacity = true;
  actions_->push_back(AwaitCapacity{request.id});
  if (!std::exchange(request.wait_check_set, true)) {
    CheckAt(std::min(now_ + ClassSettingsOf(request.class_index).latency_objective_s,
                     request.expires_at_s - kRejectBeforeExpiryS),
            request.id, kCapacityWaitCheck);
  }
  return false;
}

void LoadBalancerImpl::On(const CapacityFound& event) {
  const auto entry = requests_.find(event.id);
  if (entry == requests_.end() || !std::exchange(entry->second.awaiting_capacity, false)) return;
  if (!event.worker.empty()) {
    entry->second.worker_with_capacity = workers_.Find(event.worker);
    PlaceRequest(entry->second);
  }
  FinishIfIdle(entry->second);
}

// Checks a request that waits for capacity: past its latency objective it counts as a late start,
// as in a worker's queue; shortly before it expires it is ended.
void LoadBalancerImpl::OnCapacityWaitCheck(const ScheduledCheck& check) {
  const auto entry = requests_.find(check.request_id);
  if (entry == requests_.end()) return;
  Request& request = entry->second;
  const double last_check_at = request.expires_at_s - kRejectBeforeExpiryS;
  if (now_ >= last_check_at && std::exchange(request.awaiting_capacity, false))
    return FinishIfIdle(request);
  late_start_count_ += request.awaiting_capacity && !request.late_start_counted;
  request.late_start_counted |= request.awaiting_capacity;
  if (now_ < last_check_at) CheckAt(last_check_at, check.request_id, kCapacityWaitCheck);
}

// Ends a request that has no attempt in flight, with the final answer that its class permits.
void LoadBalancerImpl::FinishIfIdle(Request& request) {
  if (request.HasAttemptInFlight() || request.awaiting_capacity) return;
  if (!request.ended) {
    const ClassSettings& class_settings = ClassSettingsOf(request.class_index);
    const bool repeats_are_dropped =
        class_settings.idempotency == Idempotency::kIdempotentWithKey &&
        class_settings.deduplication_scope == DeduplicationScope::kAll;
    if (!request.impossible &&
        (!request.MayHaveRun() || class_settings.idempotency == Idempotency::kIdempotent ||
         repeats_are_dropped)) {
      Reject(request);
    } else {
      actions_->push_back(FailRequest{request.id});
    }
  }
  requests_.erase(requests_.find(request.id));
}

void LoadBalancerImpl::On(const AttemptEnded& event) {
  Request* request = nullptr;
  Attempt* attempt = FindAttempt(event.id, event.attempt, &request);
  if (attempt == nullptr || !attempt->in_flight)
    return;  // a duplicate event, or the request has ended
  Worker& worker = workers_[attempt->worker];
  attempt->in_flight = false;
  worker.OnAttemptEnded(request->slots, request->memory, now_);
  if (event.has_report) OnLoadReport(worker, event.report);
  attempt->may_have_run = event.status != AttemptStatus::kRejected &&
                          event.status != AttemptStatus::kConnectFailed &&
                          event.status != AttemptStatus::kNotSent;
  LearnFromOutcome(*request, *attempt, event.status);
  if (event.terminal) request->ended = true;
  if (request->ended) {
    CancelAttemptsInFlight(*request, false);
  } else if (!request->HasAttemptInFlight() && !request->shed) {
    PlaceRequest(*request);
  }
  FinishIfIdle(*request);
}

void LoadBalancerImpl::LearnFromOutcome(Request& request, Attempt& attempt, AttemptStatus status) {
  Worker& worker = workers_[attempt.worker];
  switch (status) {
    case AttemptStatus::kSucceeded:
      OnAttemptSucceeded(request, attempt);
      break;
    case AttemptStatus::kRejected: {
      worker.last_response_at = now_;
      estimates_.OnStartWait(ExpectedRunTime(request), now_, &worker);
      double& group_success = estimates_.GroupSuccess(worker);
      group_success +=
          (2 * kMinGroupSuccess - group_success) /
          20;  // a rejection is no failure: the rate tends to a value above the minimum
      OnNoCapacity(request, attempt, true, false);
      break;
    }
    case AttemptStatus::kServerError:
      worker.last_response_at = now_;
      [[fallthrough]];
    // A lost connection alone does not eject the worker: if it is gone, the next connection fails.
    case AttemptStatus::kConnectionLost:
      worker.error_rate =
          worker.error_rate * kErrorRateKeep +
          (status == AttemptStatus::kServerError ? kServerErrorSample : kConnectionLostSample);
      if (worker.error_rate > kEjectErrorRate || worker.probation) Eject(attempt.worker);
      break;
    case AttemptStatus::kConnectFailed:
    case AttemptStatus::kNoResponse:
      if (status == AttemptStatus::kConnectFailed || worker.last_response_at < attempt.sent_at)
        Eject(attempt.worker);
      break;
    default:  // cancelled or not sent: nothing is learned
      break;
  }
}

void LoadBalancerImpl::OnAttemptSucceeded(Request& request, const Attempt& attempt) {
  Worker& worker = workers_[attempt.worker];
  worker.last_response_at = now_;
  worker.probation = false;
  worker.ejection_s = 0;
  double& group_success = estimates_.GroupSuccess(worker);
  group_success += (1 - group_success) / 5;
  worker.error_rate *= kErrorRateKeep;
  const RunSample sample =
      estimates_.OnRunEnded(request, ClassSettingsOf(request.class_index), attempt, now_, &worker);
  if (!full_mesh_) ShareRunSample(request, worker, sample);
  if (!attempt.found_no_capacity && attempt.slots_before + request.slots >= worker.slot_limit)
    worker.slot_limit += kSlotLimitStep;
  request.ended = true;
  if (!settings_.workers_notify_start) shed_budget_.OnStart();
}

void LoadBalancerImpl::On(const RequestCancelled& event) {
  const auto entry = requests_.find(event.id);
  if (entry == requests_.end()) return;
  std::erase(requests_awaiting_probes_, event.id);
  entry->second.ended = true;
  entry->second.awaiting_capacity = false;
  CancelAttemptsInFlight(entry->second, false);
  FinishIfIdle(entry->second);
}

// The worker has notified the start of the attempt, or its answer has begun.
void LoadBalancerImpl::OnAttemptStarted(std::string_view id, int attempt_index) {
  Request* request = nullptr;
  Attempt* attempt = FindAttempt(id, attempt_index, &request);
  if (attempt == nullptr) return;
  Worker& worker = workers_[attempt->worker];
  worker.last_response_at = now_;
  if (attempt->started_at >= 0 || !attempt->in_flight) return;
  attempt->started_at = now_;
  estimates_.OnStartWait(now_ - attempt->sent_at, now_, &worker);
  shed_budget_.OnStart();
  if (attempt->had_free_slot) {
    estimates_.OnPromptStart(now_ - attempt->sent_at < kStartNoticeTicks * settings_.tick_s);
  }
  // The purpose of hedging is to find a free slot. One attempt runs now, so queued ones are
  // cancelled.
  CancelAttemptsInFlight(*request, true);
}

Attempt* LoadBalancerImpl::FindAttempt(std::string_view id, int attempt_index, Request** request) {
  const auto entry = requests_.find(id);
  if (entry == requests_.end() || ToIndex(attempt_index) >= entry->second.attempts.size())
    return nullptr;
  *request = &entry->second;
  return &entry->second.attempts[ToIndex(attempt_index)];
}

void LoadBalancerImpl::CancelAttemptsInFlight(const Request& request, bool only_queued) {
  for (std::size_t i = 0; settings_.cancel && i < request.attempts.size(); ++i) {
    const Attempt& attempt = request.attempts[i];
    if (!attempt.in_flight || (only_queued && attempt.started_at >= 0)) continue;
    actions_->push_back(CancelAttempt{request.id, static_cast<int>(i)});
  }
}

// Records that the request found no capacity at a worker. This indicates a full tier only if the
// worker is ready, past its slow start and large enough for the request. A second rejection by a
// full worker is the stronger indication, since after the first another worker may have capacity:
// where workers never report load, only the second is counted, otherwise each counts as one half.
void LoadBalancerImpl::OnNoCapacity(Request& request, Attempt& attempt, bool full, bool late) {
  Worker& worker = workers_[attempt.worker];
  if (!attempt.found_no_capacity)
    worker.slot_limit = std::max(1.0, (worker.slot_limit + attempt.slots_before) / 2);
  attempt.found_no_capacity = true;
  const bool large_enough = SlotsOf(worker) == 0 || request.slots <= SlotsOf(worker);
  if (!worker.ready || worker.probation || InSlowStart(worker) || !large_enough) return;
  if (full && ++request.full_rejections <= 2)
    found_full_count_ += load_unreported_ ? request.full_rejections - 1 : 0.5;
  if (late && !request.late_start_counted) late_start_count_ += 1;
  request.late_start_counted |= late;
}

}  // namespace millethollow::balancing
