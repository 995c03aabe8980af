// Start, timers, the list of workers, settings that change.
#include <algorithm>
#include <cmath>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kPeerMessageBudget = 0.003;  // of the result may go into messages
constexpr double kGroupRecovery = 0.05;  // what went badly is forgiven with each report interval

void LoadBalancerImpl::On(const DispatcherStarted&) {
  reported_at_ = now_;
  next_cut_at_ =
      now_ + std::max(kDemandSmoothingS, 2 * report_interval_s_);  // demand is not known yet
  actions_->push_back(SetTimer{kReportTimer, report_interval_s_ * (0.2 + random_.Unit())});
  if (settings_.polls_discovery) PollEndpoints();
}

void LoadBalancerImpl::PollEndpoints() {
  actions_->push_back(Subscribe{true});
  PollIn(std::max(0.5, 0.4 * settings_.max_poll_interval_s));  // in case no answer comes
}

void LoadBalancerImpl::PollIn(double span) {
  poll_at_ = now_ + span;
  actions_->push_back(SetTimer{kPollTimer, span});
}

void LoadBalancerImpl::On(const TimerFired& e) {
  if (e.timer_id == kReportTimer) {
    EndEjections();
    if (!full_mesh_) UpdateThroughputs();
    UpdatePeerSlots();
    // Peers of a large tier don't tell what they have out where; they do as this one does.
    for (Worker& w : workers_)
      w.peer_slots_in_flight =
          full_mesh_ ? w.peer_slots_in_flight
                     : (settings_.dispatcher_count - 1) * w.TakeMeanSlotsInFlight(now_);
    for (double& room : group_success_)
      room += (1 - room) * kGroupRecovery * report_interval_s_ / kReportIntervalS;
    if (now_ - reported_at_ > report_interval_s_ / 4) PublishUsage();
    // Jitter keeps dispatchers that started together from reporting in step.
    // In large tiers of little traffic the price of messages, per job, sets the pace.
    const double price =
        full_mesh_ ? 0 : settings_.price_peer * kGossipFanout * 100 / 256 / kPeerMessageBudget;
    const double even = price / std::max(own_rates_[Idx(tenant_count_)], 1e-3);
    const double span = std::clamp(even, report_interval_s_, 4 * report_interval_s_);
    actions_->push_back(SetTimer{kReportTimer, span * (0.75 + 0.5 * random_.Unit())});
  } else if (e.timer_id == kOverdueTimer) {
    while (!overdue_checks_.empty() && overdue_checks_.top().at <= now_) {
      const OverdueCheck watch = overdue_checks_.top();
      overdue_checks_.pop();
      OnOverdue(watch);
    }
    check_timer_set_ = !overdue_checks_.empty();
    const double next =
        check_timer_set_ ? std::clamp(overdue_checks_.top().at - now_, 0.005, kOverdueCheckS) : 0;
    if (check_timer_set_) actions_->push_back(SetTimer{kOverdueTimer, next});
  } else if (e.timer_id == kPollTimer) {
    if (!subscribed_ && now_ > poll_at_ - settings_.tick_s)
      PollEndpoints();  // else set anew meanwhile
  }
}

void LoadBalancerImpl::On(const EndpointsUpdated& e) {
  if (e.kind == EndpointListKind::kUnavailable) {
    // Ask again soon, but not all at once: the list service has a fixed capacity.
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
    w.ApplyEndpoint(m, now_, static_cast<int>(kind_pace_.size()), zones());
    if (restarted) ResetHealth(w);
  }
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (!listed[i]) workers_[i].ready = workers_[i].listed = false;
  }
  RebuildPools();
}

void LoadBalancerImpl::ResetHealth(Worker& w) {
  w.ejected = w.probation = false;
  w.ejection_s = w.error_rate = 0;
  w.slot_limit = mean_slot_limit_;
  w.reported_at = w.start_wait_at = -kInf;
  // Everyone hears of the start at once: a random first part keeps the first jobs apart.
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

}  // namespace millethollow::balancing
