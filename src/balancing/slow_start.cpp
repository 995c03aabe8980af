// Slow start: what a worker that has just started may be sent.
#include <algorithm>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

// Share that is used of the load which the settings permit a worker in slow start.
constexpr double kSlowStartShare = 0.5;
// In a large tier the probed worker itself reports when it is full.
constexpr double kSlowStartShareProbed = 0.8;

bool LoadBalancerImpl::InSlowStart(const Worker& worker) const {
  return worker.started_at_s > 0 && now_ - worker.started_at_s < settings_.slow_start_s;
}

// The share of the mean rate of a worker past its slow start that this worker may be sent at its
// age, by the settings. Rejected attempts are charged too.
double LoadBalancerImpl::SlowStartShare(const Worker& worker) const {
  const double age_share =
      std::clamp((now_ - worker.started_at_s) / std::max(settings_.slow_start_s, 1e-9), 0.0, 1.0);
  const double permitted_share =
      !full_mesh_ && settings_.probing ? kSlowStartShareProbed : kSlowStartShare;
  return permitted_share * settings_.slow_start_load_multiple *
         (settings_.slow_start_min_share + (1 - settings_.slow_start_min_share) * age_share);
}

// Whether more than a quarter of the worker's slots are free by its load report; true without a
// recent report.
bool LoadBalancerImpl::SlowStartHasCapacity(const Worker& worker) const {
  return now_ - worker.reported_at > kLoadReportFreshS ||
         worker.reported_free_slots - worker.slots_sent_since_report > SlotsOf(worker) / 4;
}

double LoadBalancerImpl::SlowStartTokens(const Worker& worker) const {
  return worker.slow_start_tokens +
         SlowStartShare(worker) * worker_rate_rps_ * (now_ - worker.slow_start_tokens_at);
}

// The tokens that the request takes: 1 for one slot and the mean run time.
double LoadBalancerImpl::SlowStartCost(const Request& request) const {
  const double run_time_s = ExpectedRunTime(request);
  return std::max(1.0, request.slots) *
         std::max(0.5, run_time_s / estimates_.MeanRunTime(run_time_s));
}

// Draws the worker in slow start that the request may be sent to, in a large tier. There the rate
// of one dispatcher for one worker is less than a request, so that tokens would never add up to
// one. Instead each request draws a worker; if that is in slow start, the request may be sent
// there, with the probability that gives the worker its share by throughput.
void LoadBalancerImpl::DrawSlowStartWorker(Request& request) {
  const std::vector<int>& eligible = EligibleWorkers(ClassSettingsOf(request.class_index).kind, -1);
  request.slow_start_worker = -1;
  if (full_mesh_ || eligible.empty()) return;
  const int index = eligible[random_.Below(eligible.size())];
  const Worker& worker = workers_[index];
  if (!InSlowStart(worker)) return;
  if (random_.Uniform() < SlowStartShare(worker) * ThroughputOf(worker) / mean_throughput_)
    request.slow_start_worker = index;
}

}  // namespace millethollow::balancing
