// The workers: endpoint list, maintenance, selectable pools.
#include <algorithm>
#include <tuple>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

// A worker that is off the list for so long, with nothing in flight and named by no open job,
// gives its index to the next new one. Else the table would grow with every name that a list ever
// carried.
constexpr double kForgetWorkerS = 300;
constexpr double kMaxReportValue = 1e6;
constexpr double kSlotResidue = 1e-6;  // below the least slots of a job

int LoadBalancerImpl::AddWorker(const std::string& name, std::vector<char>* listed) {
  Worker fresh{.name = name, .hash = HashText(name), .slot_limit = mean_slot_limit_};
  const auto named = [this](int i) {
    return std::any_of(jobs_.begin(), jobs_.end(), [i](const auto& entry) {
      const Job& job = entry.second;
      return job.slow_start_worker == i || job.found_worker == i ||
             std::find(job.probed.begin(), job.probed.end(), i) != job.probed.end() ||
             job.Any([i](const Attempt& a) { return a.worker == i; });
    });
  };
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    const Worker& w = workers_[i];
    const int at = static_cast<int>(i);
    if (w.listed || w.out_of_service || w.slots_in_flight > kSlotResidue ||
        w.memory_in_flight > kSlotResidue || now_ - w.seen_at < kForgetWorkerS || named(at)) {
      continue;
    }
    worker_index_.erase(w.name);
    estimates_.OnWorkerForgotten(static_cast<std::ptrdiff_t>(i));
    workers_[i] = std::move(fresh);
    return at;
  }
  workers_.push_back(std::move(fresh));
  listed->push_back(1);
  return static_cast<int>(workers_.size()) - 1;
}

void LoadBalancerImpl::RebuildPools() {  // when the endpoint list or an ejection changes
  pools_.Rebuild(workers_);
  ready_count_ = ejected_count_ = 0;
  double limits = 0;
  for (const Worker& w : workers_) {
    if (!w.ready) continue;
    ready_count_ += 1;
    ejected_count_ += w.ejected;
    limits += w.slot_limit;
  }
  if (ready_count_ > 0) mean_slot_limit_ = limits / ready_count_;
  UpdateThroughputs();
  ++pool_version_;
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
  mean_throughput_ = sum > 0 ? sum / ready_count_ : 1.0;
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
  std::vector<char> listed(workers_.size(), e.kind == EndpointListKind::kIncremental);
  for (const Endpoint& m : *e.endpoints) {
    auto it = worker_index_.find(m.worker);
    if (it == worker_index_.end())
      it = worker_index_.emplace(m.worker, AddWorker(m.worker, &listed)).first;
    listed[Idx(it->second)] = 1;
    Worker& w = workers_[Idx(it->second)];
    const bool restarted = m.started_at_s > w.started_at_s && m.started_at_s > 0;
    w.ApplyEndpoint(m, now_, estimates_.kinds(), estimates_.zones());
    if (restarted) ResetHealth(w);
  }
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (!listed[i]) workers_[i].ready = workers_[i].listed = false;
  }
  RebuildPools();
}

void LoadBalancerImpl::OnLoadReport(Worker& w, const double (&report)[4]) {
  for (const double value : report) {  // negative or too large: unreadable
    if (!(value >= 0 && value < kMaxReportValue)) return;
  }
  w.ApplyReport(now_, settings_.load_report_metrics, report);
  ++version_;
  estimates_.OnLoadReport(&w - workers_.data(), &w);
}

void LoadBalancerImpl::ResetHealth(Worker& w) {
  w.ejected = w.probation = false;
  w.ejection_s = w.error_rate = 0;
  w.slot_limit = mean_slot_limit_;
  w.reported_at = w.start_wait_at = -kInf;
  // All dispatchers hear of the start at once: random first tokens spread the first jobs.
  w.slow_start_tokens = random_.Unit() * (agreed_share_.on() ? agreed_share_.share() : 1.0);
  w.slow_start_tokens_at = std::max(now_, w.started_at_s);
}

void LoadBalancerImpl::On(const MaintenanceChanged& e) {
  const auto it = worker_index_.find(e.worker);
  if (it == worker_index_.end()) return;
  Worker& w = workers_[Idx(it->second)];
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
