// Start, timers, the list of workers, settings that change.
#include <algorithm>
#include <cmath>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kPeerPoints = 0.003;  // of the result may go into messages
constexpr double kGroupFade = 0.05;    // what went badly is forgiven with each report interval

void LoadBalancerImpl::On(const DispatcherStarted&) {
  reported_at_ = now_;
  next_cut_ = now_ + std::max(kDemandS, 2 * interval_);  // demand is not known yet
  actions_->push_back(SetTimer{kReportMark, interval_ * (0.2 + random_.Unit())});
  if (s_.polls_discovery) Ask();
}

void LoadBalancerImpl::Ask() {
  actions_->push_back(Subscribe{true});
  AskIn(std::max(0.5, 0.4 * s_.max_poll_interval_s));  // in case no answer comes
}

void LoadBalancerImpl::AskIn(double span) {
  ask_at_ = now_ + span;
  actions_->push_back(SetTimer{kAskMark, span});
}

void LoadBalancerImpl::On(const TimerFired& e) {
  if (e.timer_id == kReportMark) {
    LetBack();
    if (!direct_) Weigh();
    SumOthers();
    // Peers of a large tier don't tell what they have out where; they do as this one does.
    for (Worker& w : workers_)
      w.others = direct_ ? w.others : (s_.dispatcher_count - 1) * w.MeanOut(now_);
    for (double& room : room_) room += (1 - room) * kGroupFade * interval_ / kReportS;
    if (now_ - reported_at_ > interval_ / 4) Report();
    // Jitter keeps dispatchers that started together from reporting in step.
    // In large tiers of little traffic the price of messages, per job, sets the pace.
    const double price = direct_ ? 0 : s_.price_peer * kFanout * 100 / 256 / kPeerPoints;
    const double even = price / std::max(own_[Idx(tenants_)], 1e-3);
    const double span = std::clamp(even, interval_, 4 * interval_);
    actions_->push_back(SetTimer{kReportMark, span * (0.75 + 0.5 * random_.Unit())});
  } else if (e.timer_id == kWatchMark) {
    while (!watch_.empty() && watch_.top().at <= now_) {
      const Watch watch = watch_.top();
      watch_.pop();
      Overdue(watch);
    }
    watching_ = !watch_.empty();
    const double next = watching_ ? std::clamp(watch_.top().at - now_, 0.005, kWatchS) : 0;
    if (watching_) actions_->push_back(SetTimer{kWatchMark, next});
  } else if (e.timer_id == kAskMark) {
    if (!subscribed_ && now_ > ask_at_ - s_.tick_s) Ask();  // else set anew meanwhile
  }
}

void LoadBalancerImpl::On(const EndpointsUpdated& e) {
  if (e.kind == EndpointListKind::kUnavailable) {
    // Ask again soon, but not all at once: the list service has a fixed capacity.
    subscribed_ = false;
    if (s_.polls_discovery)
      AskIn(std::min(0.3 * s_.max_poll_interval_s, 0.4 + 1.2 * random_.Unit()));
    return;
  }
  if (e.kind != EndpointListKind::kRestored) subscribed_ = true;
  if (e.endpoints == nullptr) return;
  std::vector<char> listed(workers_.size(), e.kind == EndpointListKind::kIncremental);
  for (const Endpoint& m : *e.endpoints) {
    auto it = index_.find(m.worker);
    if (it == index_.end()) it = index_.emplace(m.worker, SlotFor(m.worker, &listed)).first;
    listed[Idx(it->second)] = 1;
    Worker& w = workers_[Idx(it->second)];
    const bool restarted = m.started_at_s > w.born && m.started_at_s > 0;
    w.Follow(m, now_, static_cast<int>(kind_pace_.size()), zones());
    if (restarted) StartAfresh(w);
  }
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    if (!listed[i]) workers_[i].ready = workers_[i].listed = false;
  }
  RemakePools();
}

void LoadBalancerImpl::StartAfresh(Worker& w) {
  w.ejected = w.probation = false;
  w.eject_s = w.errors = 0;
  w.limit = mean_limit_;
  w.report_at = w.wait_at = -kInf;
  // Everyone hears of the start at once: a random first part keeps the first jobs apart.
  w.cold_tokens = random_.Unit() * (agreed_.on() ? agreed_.part() : 1.0);
  w.cold_at = std::max(now_, w.born);
}

void LoadBalancerImpl::On(const MaintenanceChanged& e) {
  const auto it = index_.find(e.worker);
  if (it == index_.end()) return;
  Worker& w = workers_[Idx(it->second)];
  if (!e.out_of_service && w.out_by_hand) {
    w.born = w.back_at = now_;
    StartAfresh(w);
  }
  w.out_by_hand = e.out_of_service;
  w.ready = w.listed && !e.out_of_service;
  RemakePools();
}

}  // namespace millethollow::balancing
