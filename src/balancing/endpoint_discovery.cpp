// The endpoint list, maintenance, and load reports of workers.
#include <algorithm>
#include <tuple>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kMaxReportedValue = 1e6;

int LoadBalancerImpl::AddWorker(const std::string& name) {
  const auto in_use = [this](int worker_index) {
    return std::any_of(requests_.begin(), requests_.end(), [worker_index](const auto& entry) {
      return entry.second.RefersTo(worker_index);
    });
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

// Updates the weights of random choices by the throughputs learned so far.
void LoadBalancerImpl::UpdateThroughputs() {
  max_throughput_ = 1e-9;
  double throughput_sum = 0;
  for (const Worker& worker : workers_) {
    if (!worker.ready) continue;
    throughput_sum += ThroughputOf(worker);
    max_throughput_ = std::max(max_throughput_, ThroughputOf(worker));
  }
  mean_throughput_ = throughput_sum > 0 ? throughput_sum / workers_.ready_count() : 1.0;
}

void LoadBalancerImpl::On(const EndpointsUpdated& event) {
  if (event.kind == EndpointListKind::kUnavailable) {
    // Polls again soon, with jitter, because the discovery service has a fixed capacity.
    subscribed_ = false;
    if (settings_.polls_discovery)
      PollIn(std::min(0.3 * settings_.max_poll_interval_s, 0.4 + 1.2 * random_.Uniform()));
    return;
  }
  if (event.kind != EndpointListKind::kRestored) subscribed_ = true;
  if (event.endpoints == nullptr) return;
  std::vector<char> listed(ToIndex(workers_.size()), event.kind == EndpointListKind::kIncremental);
  for (const Endpoint& endpoint : *event.endpoints) {
    const int known_index = workers_.Find(endpoint.worker);
    const int index = known_index >= 0 ? known_index : AddWorker(endpoint.worker);
    listed.resize(ToIndex(workers_.size()), 1);
    listed[ToIndex(index)] = 1;
    Worker& worker = workers_[index];
    const bool restarted = endpoint.started_at_s > worker.started_at_s && endpoint.started_at_s > 0;
    worker.ApplyEndpoint(endpoint, now_, estimates_.kinds(), estimates_.zones());
    if (restarted) ResetHealth(worker);
  }
  for (int i = 0; i < workers_.size(); ++i) {
    if (!listed[ToIndex(i)]) workers_[i].ready = workers_[i].listed = false;
  }
  RebuildPools();
}

void LoadBalancerImpl::OnLoadReport(Worker& worker, const double (&report)[4]) {
  for (const double value : report) {  // a negative or huge value makes the whole report invalid
    if (!(value >= 0 && value < kMaxReportedValue)) return;
  }
  worker.ApplyReport(now_, settings_.load_report_metrics, report);
  ++version_;
  estimates_.OnLoadReport(workers_.IndexOf(worker), &worker);
}

void LoadBalancerImpl::ResetHealth(Worker& worker) {
  worker.ejected = worker.probation = false;
  worker.ejection_s = worker.error_rate = 0;
  worker.slot_limit = workers_.mean_slot_limit();
  worker.reported_at = worker.start_wait_at = -kInf;
  // All dispatchers learn of the start at once: random initial tokens spread the first requests.
  worker.slow_start_tokens =
      random_.Uniform() * (agreed_share_.enabled() ? agreed_share_.share() : 1.0);
  worker.slow_start_tokens_at = std::max(now_, worker.started_at_s);
}

void LoadBalancerImpl::On(const MaintenanceChanged& event) {
  const int index = workers_.Find(event.worker);
  if (index < 0) return;
  Worker& worker = workers_[index];
  if (!event.out_of_service && worker.out_of_service) {
    worker.started_at_s = worker.returned_at = now_;
    ResetHealth(worker);
  }
  worker.out_of_service = event.out_of_service;
  worker.ready = worker.listed && !event.out_of_service;
  RebuildPools();
}

void LoadBalancerImpl::PollEndpoints() {
  actions_->push_back(Subscribe{true});
  PollIn(std::max(0.5, 0.4 * settings_.max_poll_interval_s));  // fallback in case no answer arrives
}

void LoadBalancerImpl::PollIn(double delay_s) {
  poll_at_ = now_ + delay_s;
  actions_->push_back(SetTimer{kPollTimer, delay_s});
}

}  // namespace millethollow::balancing
