// Construction, settings, timers, and the view of the workers for callers.
#include "balancing/load_balancer_impl.h"

#include <algorithm>
#include <cmath>

namespace millethollow::balancing {

constexpr double kPeerMessageBudget = 0.003;  // share of a job's weight that messages may cost
constexpr double kGroupRecovery = 0.05;       // of a group's failures, with each report interval

LoadBalancerImpl::LoadBalancerImpl(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      workers_(settings_.kinds, settings_.zones),
      estimates_(settings_.kinds, settings_.zones) {
  SizeForSettings();
  full_mesh_ = settings_.dispatcher_count - 1 <= kMaxFullMeshPeers;
  report_interval_s_ =
      kReportIntervalS * std::max(1.0, std::cbrt(settings_.dispatcher_count / 4.0));
  shared_class_count_ = full_mesh_ ? 0 : class_count_;
  layout_ = {.tenants = Idx(tenant_count_),
             .large_tier = !full_mesh_,
             .classes = Idx(shared_class_count_),
             .kinds = Idx(std::max(1, settings_.kinds))};
  own_rates_.assign(layout_.size(), 0.0);
  tier_mean_rates_ = own_rates_;
  peers_.rows.resize(full_mesh_ && settings_.peers ? Idx(settings_.dispatcher_count) : 0);
  load_unreported_ =
      settings_.workers_notify_start && settings_.load_report_source == LoadReportSource::kOff;
  hedge_budget_.SetPerAttempt(load_unreported_ ? HedgeBudget::kMaxPerAttempt : 0.0);
  may_shed_queued_ =
      settings_.cancel &&
      (settings_.workers_notify_start ? load_unreported_
                                      : settings_.load_report_source == LoadReportSource::kOnProbe);
}

// At the start and when settings change. Buckets are ordered by class first, so that indices
// stay.
void LoadBalancerImpl::SizeForSettings() {
  class_count_ = static_cast<int>(settings_.classes.size());
  if (settings_.tenants.empty()) settings_.tenants.push_back({.share = 1});
  tenant_count_ = static_cast<int>(settings_.tenants.size());
  admission_.SetShape(class_count_, tenant_count_);
  estimates_.SetClassCount(settings_.classes.size());
}

void LoadBalancerImpl::On(const SettingsChanged& e) {
  settings_ = *e.settings;
  SizeForSettings();
  for (const int c : *e.redefined_classes) {
    estimates_.ForgetClass(c);
    for (int i = 0; c < shared_class_count_ && i < 2; ++i)
      own_rates_[SharedEstimateIndex(c, -1) + Idx(i)] =
          tier_mean_rates_[SharedEstimateIndex(c, -1) + Idx(i)] = 0;
    admission_.ResetClass(c);
  }
}

std::vector<WorkerView> LoadBalancerImpl::WorkerViews() const {
  std::vector<WorkerView> views;
  views.reserve(Idx(workers_.size()));
  for (const Worker& w : workers_) {
    views.push_back(
        {.worker = w.name,
         .kind = w.kind,
         .usable = w.ready && !w.ejected,
         .warming_up = WarmingUp(w),
         .in_other_zone = settings_.price_cross_zone > 0 && w.zone != settings_.zone,
         .capacity_slots = w.capacity_slots,
         .capacity_memory = w.capacity_memory,
         .peer_slots_in_flight = w.peer_slots_in_flight,
         .reported_free_slots =
             now_ - w.reported_at < kLoadReportFreshS ? w.reported_free_slots : -1,
         .own_slots_at_report = std::max(0.0, w.slots_in_flight - w.slots_sent_since_report)});
  }
  return views;
}

void LoadBalancerImpl::On(const DispatcherStarted&) {
  reported_at_ = now_;
  fleet_rate_.AllowCutAt(
      now_ + std::max(kDemandSmoothingS, 2 * report_interval_s_));  // demand is not known before
  actions_->push_back(SetTimer{kReportTimer, report_interval_s_ * (0.2 + random_.Unit())});
  if (settings_.polls_discovery) PollEndpoints();
}

void LoadBalancerImpl::On(const TimerFired& e) {
  if (e.timer_id == kReportTimer) {
    EndEjections();
    if (!full_mesh_) UpdateThroughputs();
    UpdatePeerSlots();
    // Peers of a large tier do not report slots in flight; they are taken to be as this one's.
    for (Worker& w : workers_)
      w.peer_slots_in_flight =
          full_mesh_ ? w.peer_slots_in_flight
                     : (settings_.dispatcher_count - 1) * w.TakeMeanSlotsInFlight(now_);
    estimates_.RecoverGroups(kGroupRecovery, report_interval_s_, kReportIntervalS);
    if (now_ - reported_at_ > report_interval_s_ / 4) PublishUsage();
    // Jitter keeps dispatchers that started together from reporting in step. In large tiers with
    // little traffic the price of messages, per job, sets the interval.
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
      PollEndpoints();  // else the timer was set again meanwhile
  }
}

}  // namespace millethollow::balancing
