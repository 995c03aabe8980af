// Slow start: what a worker that has just started may be sent.
#include <algorithm>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kSlowStartShare = 0.5;  // of what the guarantee allows
// In a large tier the probed worker itself reports when it is full.
constexpr double kSlowStartShareProbed = 0.8;

bool LoadBalancerImpl::WarmingUp(const Worker& w) const {
  return w.started_at_s > 0 && now_ - w.started_at_s < settings_.slow_start_s;
}

// A worker in slow start gets the mean rate of a warm one, times the share that the guarantee
// allows at its age. Rejected attempts count too: every attempt is charged.
double LoadBalancerImpl::SlowStartShare(const Worker& w) const {
  const double age =
      std::clamp((now_ - w.started_at_s) / std::max(settings_.slow_start_s, 1e-9), 0.0, 1.0);
  const double part = !full_mesh_ && settings_.probing ? kSlowStartShareProbed : kSlowStartShare;
  return part * settings_.slow_start_load_multiple *
         (settings_.slow_start_min_share + (1 - settings_.slow_start_min_share) * age);
}

bool LoadBalancerImpl::SlowStartHasCapacity(const Worker& w) const {
  return now_ - w.reported_at > kLoadReportFreshS ||
         w.reported_free_slots - w.slots_sent_since_report > SlotsOf(w) / 4;
}

double LoadBalancerImpl::SlowStartTokens(const Worker& w) const {
  return w.slow_start_tokens +
         SlowStartShare(w) * worker_rate_rps_ * (now_ - w.slow_start_tokens_at);
}

double LoadBalancerImpl::SlowStartCost(const Job& job) const {
  const double run = ExpectedRun(job);
  return std::max(1.0, job.slots) * std::max(0.5, run / estimates_.MeanRunTime(run));
}

// In a large tier a dispatcher's rate for one worker is less than a job, so that tokens do not
// add up. Instead each job draws a worker and, if that is in slow start, may go there with the
// probability that gives the worker its share by throughput.
void LoadBalancerImpl::DrawSlowStartWorker(Job& job) {
  const std::vector<int>& all = Selectable(ClassOf(job.class_index).kind, -1);
  job.slow_start_worker = -1;
  if (full_mesh_ || all.empty()) return;
  const int index = all[random_.Below(all.size())];
  const Worker& w = workers_[index];
  if (!WarmingUp(w)) return;
  if (random_.Unit() < SlowStartShare(w) * ThroughputOf(w) / mean_throughput_)
    job.slow_start_worker = index;
}

}  // namespace millethollow::balancing
