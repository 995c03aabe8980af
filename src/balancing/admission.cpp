// Arrival of requests, and the control round that sets how much demand is admitted.
#include <algorithm>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

// Largest share of the admitted work of a tenant's other classes that is given up in favour of
// classes that capacity is reserved for.
constexpr double kMaxReserveLoss = 0.2;
constexpr double kMinWork = 1e-9;  // avoids a division by zero; seconds of run time per second

void LoadBalancerImpl::On(const RequestArrived& event) {
  if (event.class_index < 0 || event.class_index >= class_count_ || requests_.contains(event.id))
    return;
  Request request = MakeRequest(event, tenant_count_, workers_);
  request.max_attempts = settings_.max_attempts;
  estimates_.OnRequest(request);
  // The first request of a token bucket is reported at once.
  if (admission_.OpenBucket(request, now_) && now_ - reported_at_ > report_interval_s_ / 2) {
    PublishUsage();
  }
  if (!admission_.Admit(request, event.retry, !full_mesh_, now_, &random_)) return Reject(request);
  DrawSlowStartWorker(request);
  auto [entry, unused] = requests_.emplace(request.id, std::move(request));
  if (ProbeCandidates(entry->second)) return;
  PlaceRequest(entry->second);
  FinishIfIdle(entry->second);
}

// Rejects a request and advises the client to wait for the latency objective: the limits hardly
// change within that time, so an earlier retry would be rejected too.
void LoadBalancerImpl::Reject(const Request& request) {
  admission_.OnRejected(request, now_);
  const double retry_after_s = std::min(settings_.max_retry_after_s,
                                        ClassSettingsOf(request.class_index).latency_objective_s);
  actions_->push_back(RejectRequest{request.id, settings_.retry_after ? retry_after_s : 0.0});
}

// Runs a control round: updates the fleet rate, then the rate and admitted share of each bucket.
void LoadBalancerImpl::UpdateFleetRate(double sample_s) {
  const std::vector<double> tier_rates = TierRates();
  TierLoad load{.sends_rps = tier_rates[ToIndex(tenant_count_)],
                .full_rps = tier_rates[ToIndex(tenant_count_ + 1)],
                .late_rps = tier_rates[ToIndex(tenant_count_ + 2)],
                .has_free_workers = !full_mesh_ && ProbedFreeShare(0) > kMinFreeProbedShare};
  for (int tenant = 0; tenant < tenant_count_; ++tenant) {
    load.demand_rps += tier_rates[ToIndex(tenant)];
    load.guaranteed_rps +=
        std::min(tier_rates[ToIndex(tenant)], settings_.tenants[ToIndex(tenant)].quota_rps);
  }
  // Reports of a large tier are sent less often; its fleet rate must not rise more slowly for that.
  const RateChange change = fleet_rate_.Update(
      load, {.now_s = now_,
             .interval_s = report_interval_s_,
             .sample_s = sample_s,
             .sample_scale = full_mesh_ ? 1.0 : settings_.dispatcher_count * kOwnRateWeight,
             .rise_s = full_mesh_ ? report_interval_s_ : sample_s});
  if (change.cut) hedge_budget_.OnRateCut();
  if (!fleet_rate_.tier_full() && load_unreported_) hedge_budget_.OnRateRise(change.rise_factor);
  const std::vector<double> tenant_rates =
      DivideFleetRate(fleet_rate_.rate_rps(), load.guaranteed_rps, settings_.tenants, tier_rates);
  for (int tenant = 0; tenant < tenant_count_; ++tenant) {
    const double demand = tier_rates[ToIndex(tenant)];
    const bool unlimited = !fleet_rate_.limits() || demand <= 0;
    LimitTenant(tenant, unlimited ? 1 : std::min(1.0, tenant_rates[ToIndex(tenant)] / demand));
  }
}

// Sets the rates of a tenant's buckets so that `admit_share` of its demand is admitted.
//
// All classes are cut by the same share: the service of the worst class is rated separately, and
// the requests of classes with little weight are mostly short, so that shedding them first would
// free little capacity. Exception: capacity reserved for a class is wasted if its requests are
// rejected on arrival. The tenant's other classes are then cut further, by as much work, but at
// most by kMaxReserveLoss of their share.
void LoadBalancerImpl::LimitTenant(int tenant, double admit_share) {
  double work = 0, reserving_work = 0;  // seconds of run time per second
  const auto may_reserve = [this](int class_index) {
    return reservations_ && reservations_->MayReserve(class_index);
  };
  for (int class_index = 0; class_index < class_count_; ++class_index) {
    const double class_work =
        admission_.DemandRps(class_index, tenant) *
        estimates_.ClassRunTime(class_index, ClassSettingsOf(class_index).latency_objective_s);
    work += class_work;
    reserving_work += may_reserve(class_index) ? class_work : 0;
  }
  const double other_work = work - reserving_work;
  const double other_share =
      std::clamp((admit_share * work - reserving_work) / std::max(other_work, kMinWork),
                 admit_share * (1 - kMaxReserveLoss), admit_share);
  const double reserving_share =
      (admit_share * work - other_share * other_work) / std::max(reserving_work, kMinWork);
  for (int class_index = 0; class_index < class_count_; ++class_index) {
    const double limited_share =
        may_reserve(class_index) ? std::clamp(reserving_share, admit_share, 1.0) : other_share;
    admission_.SetAdmitShare(class_index, tenant,
                             reserving_work <= 0 ? admit_share : limited_share);
  }
}

void LoadBalancerImpl::SetFleetShare(const FleetShare& share) {
  agreed_share_.Set(share);
  admission_.ApplyFleetShare(agreed_share_, own_rates_, fleet_rate_.limits());
}

}  // namespace millethollow::balancing
