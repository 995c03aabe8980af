// Construction, settings, timers, and the callers' view of the workers.
#include "balancing/load_balancer_impl.h"

#include <algorithm>
#include <cmath>

namespace millethollow::balancing {

// Share of a request's weight that may be spent on messages to peers.
constexpr double kPeerMessageBudget = 0.003;
// Part of the way back to 1 that a group's success rate recovers per kBaseReportIntervalS.
constexpr double kGroupRecovery = 0.05;

LoadBalancerImpl::LoadBalancerImpl(Settings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      workers_(settings_.kinds, settings_.zones),
      estimates_(settings_.kinds, settings_.zones) {
  SizeForSettings();
  full_mesh_ = settings_.dispatcher_count - 1 <= kMaxFullMeshPeers;
  report_interval_s_ =
      kBaseReportIntervalS * std::max(1.0, std::cbrt(settings_.dispatcher_count / 4.0));
  shared_class_count_ = full_mesh_ ? 0 : class_count_;
  layout_ = {.tenants = ToIndex(tenant_count_),
             .large_tier = !full_mesh_,
             .classes = ToIndex(shared_class_count_),
             .kinds = ToIndex(std::max(1, settings_.kinds))};
  own_rates_.assign(layout_.size(), 0.0);
  tier_mean_rates_ = own_rates_;
  peers_.rows.resize(full_mesh_ && settings_.peers ? ToIndex(settings_.dispatcher_count) : 0);
  load_unreported_ =
      settings_.workers_notify_start && settings_.load_report_source == LoadReportSource::kOff;
  hedge_budget_.SetPerAttempt(load_unreported_ ? HedgeBudget::kMaxPerAttempt : 0.0);
  may_shed_queued_ =
      settings_.cancel &&
      (settings_.workers_notify_start ? load_unreported_
                                      : settings_.load_report_source == LoadReportSource::kOnProbe);
}

// Adapts the state to the settings, at the start and when they change. Buckets are ordered by class
// first, so that their indices stay valid.
void LoadBalancerImpl::SizeForSettings() {
  class_count_ = static_cast<int>(settings_.classes.size());
  if (settings_.tenants.empty()) settings_.tenants.push_back({.share = 1});
  tenant_count_ = static_cast<int>(settings_.tenants.size());
  admission_.SetShape(class_count_, tenant_count_);
  estimates_.SetClassCount(settings_.classes.size());
}

void LoadBalancerImpl::On(const SettingsChanged& event) {
  settings_ = *event.settings;
  SizeForSettings();
  for (const int class_index : *event.redefined_classes) {
    estimates_.ForgetClass(class_index);
    for (int i = 0; class_index < shared_class_count_ && i < 2; ++i)
      own_rates_[SharedEstimateIndex(class_index, -1) + ToIndex(i)] =
          tier_mean_rates_[SharedEstimateIndex(class_index, -1) + ToIndex(i)] = 0;
    admission_.ResetClass(class_index);
  }
}

std::vector<WorkerView> LoadBalancerImpl::WorkerViews() const {
  std::vector<WorkerView> views;
  views.reserve(ToIndex(workers_.size()));
  for (const Worker& worker : workers_) {
    views.push_back(
        {.worker = worker.name,
         .kind = worker.kind,
         .usable = worker.ready && !worker.ejected,
         .in_slow_start = InSlowStart(worker),
         .in_other_zone = settings_.price_cross_zone > 0 && worker.zone != settings_.zone,
         .capacity_slots = worker.capacity_slots,
         .capacity_memory = worker.capacity_memory,
         .peer_slots_in_flight = worker.peer_slots_in_flight,
         .reported_free_slots =
             now_ - worker.reported_at < kLoadReportFreshS ? worker.reported_free_slots : -1,
         .own_slots_at_report =
             std::max(0.0, worker.slots_in_flight - worker.slots_sent_since_report)});
  }
  return views;
}

void LoadBalancerImpl::On(const DispatcherStarted&) {
  reported_at_ = now_;
  // Demand is not known earlier, and a cut is computed from it.
  fleet_rate_.AllowCutAt(now_ + std::max(kDemandSmoothingS, 2 * report_interval_s_));
  actions_->push_back(SetTimer{kReportTimer, report_interval_s_ * (0.2 + random_.Uniform())});
  if (settings_.polls_discovery) PollEndpoints();
}

void LoadBalancerImpl::On(const TimerFired& event) {
  if (event.timer_id == kReportTimer) {
    EndEjections();
    if (!full_mesh_) UpdateThroughputs();
    UpdatePeerSlots();
    // Peers of a large tier do not report slots in flight. They are taken to have as many as this
    // dispatcher.
    for (Worker& worker : workers_)
      worker.peer_slots_in_flight =
          full_mesh_ ? worker.peer_slots_in_flight
                     : (settings_.dispatcher_count - 1) * worker.TakeMeanSlotsInFlight(now_);
    estimates_.RecoverGroupSuccess(kGroupRecovery, report_interval_s_, kBaseReportIntervalS);
    if (now_ - reported_at_ > report_interval_s_ / 4) PublishUsage();
    // Jitter keeps dispatchers that started together from sending their reports at the same time.
    // In large tiers with little traffic the price of messages per request determines the interval.
    // A message is taken to have 100 bytes; price_peer is that of 256.
    const double message_price =
        full_mesh_ ? 0 : settings_.price_peer * kGossipFanout * 100 / 256 / kPeerMessageBudget;
    const double affordable_interval_s =
        message_price / std::max(own_rates_[ToIndex(tenant_count_)], 1e-3);
    const double interval_s =
        std::clamp(affordable_interval_s, report_interval_s_, 4 * report_interval_s_);
    actions_->push_back(SetTimer{kReportTimer, interval_s * (0.75 + 0.5 * random_.Uniform())});
  } else if (event.timer_id == kCheckTimer) {
    while (!scheduled_checks_.empty() && scheduled_checks_.top().due_at <= now_) {
      const ScheduledCheck check = scheduled_checks_.top();
      scheduled_checks_.pop();
      RunCheck(check);
    }
    check_timer_set_ = !scheduled_checks_.empty();
    const double delay_s = check_timer_set_ ? std::clamp(scheduled_checks_.top().due_at - now_,
                                                         0.005, kMaxCheckIntervalS)
                                            : 0;
    if (check_timer_set_) actions_->push_back(SetTimer{kCheckTimer, delay_s});
  } else if (event.timer_id == kPollTimer) {
    if (!subscribed_ && now_ > poll_at_ - settings_.tick_s)
      PollEndpoints();  // otherwise the timer was set again in the meantime
  }
}

}  // namespace millethollow::balancing
