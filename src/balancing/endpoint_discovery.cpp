// The endpoint list, maintenance, and load reports of workers.
#include <algorithm>
#include <tuple>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kMaxReportValue = 1e6;

int LoadBalancerImpl::AddWorker(const std::string& name) {
  const auto in_use = [this](int worker) {
    return std::any_of(jobs_.begin(), jobs_.end(),
                       [worker](const auto& entry) { return entry.second.Names(worker); });
  };
  const int replaced = workers_.FindForgettable(now_, in_use);
  if (replaced >= 0) estimates_.OnWorkerForgotten(replaced);
  return workers_.Add(name, replaced);
}

void LoadBalancerImpl::RebuildPools() {
  workers_.RebuildPools();
  UpdateThroughputs();
  ++version_;
}

void LoadBalancerImpl::UpdateThroughputs() {  // weights of random choices, as learned so far
  max_throughput_ = 1e-9;
  double sum = 0;
  for (const Worker& w : workers_) {
    if (!w.ready) continue;
    sum += ThroughputOf(w);
    max_throughput_ = std::max(max_throughput_, ThroughputOf(w));
  }
  mean_throughput_ = sum > 0 ? sum / workers_.ready_count() : 1.0;
}

void LoadBalancerImpl::On(const EndpointsUpdated& e) {
  if (e.kind == EndpointListKind::kUnavailable) {
    // Poll again soon, with jitter: the discovery service has a fixed capacity.
    subscribed_ = false;
    if (settings_.polls_discovery)
      PollIn(std::min(0.3 * settings_.max_poll_interval_s, 0.4 + 1.2 * random_.Unit()));
    return;
  }
  if (e.kind != EndpointListKind::kRestored) subscribed_ = true;
  if (e.endpoints == nullptr) return;
  std::vector<char> listed(Idx(workers_.size()), e.kind == EndpointListKind::kIncremental);
  for (const Endpoint& endpoint : *e.endpoints) {
    const int known = workers_.Find(endpoint.worker);
    const int index = known >= 0 ? known : AddWorker(endpoint.worker);
    listed.resize(Idx(workers_.size()), 1);
    listed[Idx(index)] = 1;
    Worker& w = workers_[index];
    const bool restarted = endpoint.started_at_s > w.started_at_s && endpoint.started_at_s > 0;
    w.ApplyEndpoint(endpoint, now_, estimates_.kinds(), estimates_.zones());
    if (restarted) ResetHealth(w);
  }
  for (int i = 0; i < workers_.size(); ++i) {
    if (!listed[Idx(i)]) workers_[i].ready = workers_[i].listed = false;
  }
  RebuildPools();
}

void LoadBalancerImpl::OnLoadReport(Worker& w, const double (&report)[4]) {
  for (const double value : report) {  // negative or too large: unreadable
    if (!(value >= 0 && value < kMaxReportValue)) return;
  }
  w.ApplyReport(now_, settings_.load_report_metrics, report);
  ++version_;
  estimates_.OnLoadReport(workers_.IndexOf(w), &w);
}

void LoadBalancerImpl::ResetHealth(Worker& w) {
  w.ejected = w.probation = false;
  w.ejection_s = w.error_rate = 0;
  w.slot_limit = workers_.mean_slot_limit();
  w.reported_at = w.start_wait_at = -kInf;
  // All dispatchers hear of the start at once: random first tokens spread the first jobs.
  w.slow_start_tokens = random_.Unit() * (agreed_share_.on() ? agreed_share_.share() : 1.0);
  w.slow_start_tokens_at = std::max(now_, w.started_at_s);
}

void LoadBalancerImpl::On(const MaintenanceChanged& e) {
  const int index = workers_.Find(e.worker);
  if (index < 0) return;
  Worker& w = workers_[index];
  if (!e.out_of_service && w.out_of_service) {
    w.started_at_s = w.returned_at = now_;
    ResetHealth(w);
  }
  w.out_of_service = e.out_of_service;
  w.ready = w.listed && !e.out_of_service;
  RebuildPools();
}

void LoadBalancerImpl::PollEndpoints() {
  actions_->push_back(Subscribe{true});
  PollIn(std::max(0.5, 0.4 * settings_.max_poll_interval_s));  // fallback if no answer comes
}

void LoadBalancerImpl::PollIn(double span) {
  poll_at_ = now_ + span;
  actions_->push_back(SetTimer{kPollTimer, span});
}

}  // namespace millethollow::balancing
