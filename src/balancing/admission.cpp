// Arrival of requests, and the control round that sets what is admitted.
#include <algorithm>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kMaxReserveLoss = 0.2;  // of a class's work, for one that capacity is reserved for
constexpr double kMinWork = 1e-9;

void LoadBalancerImpl::On(const RequestArrived& e) {
  if (e.cls < 0 || e.cls >= class_count_ || jobs_.contains(e.id)) return;
  Job job = MakeJob(e, tenant_count_, workers_);
  job.max_attempts = settings_.max_attempts;
  estimates_.OnRequest(job);
  // A new bucket is reported at once.
  if (admission_.OpenBucket(job, now_) && now_ - reported_at_ > report_interval_s_ / 2) {
    PublishUsage();
  }
  if (!admission_.Admit(job, e.retry, !full_mesh_, now_, &random_)) return Reject(job);
  DrawSlowStartWorker(job);
  auto [it, unused] = jobs_.emplace(job.id, std::move(job));
  if (ProbeCandidates(it->second)) return;
  PlaceJob(it->second);
  FinishIfIdle(it->second);
}

// Within its latency objective a job that returns finds the same quotas: that long is the advice.
void LoadBalancerImpl::Reject(const Job& job) {
  admission_.OnRejected(job, now_);
  const double wait =
      std::min(settings_.max_retry_after_s, ClassOf(job.class_index).latency_objective_s);
  actions_->push_back(RejectRequest{job.id, settings_.retry_after ? wait : 0.0});
}

// One control round: the fleet rate, then the rate and share of each bucket.
void LoadBalancerImpl::UpdateFleetRate(double sample_s) {
  const std::vector<double> tier = TierRates();
  TierLoad load{.sends_rps = tier[Idx(tenant_count_)],
                .full_rps = tier[Idx(tenant_count_ + 1)],
                .late_rps = tier[Idx(tenant_count_ + 2)],
                .has_free_workers = !full_mesh_ && ProbedFreeShare(0) > kFreeShareNotFull};
  for (int t = 0; t < tenant_count_; ++t) {
    load.demand_rps += tier[Idx(t)];
    load.guaranteed_rps += std::min(tier[Idx(t)], settings_.tenants[Idx(t)].quota_rps);
  }
  // Reports of a large tier come late; its rate must not rise more slowly for that.
  const RateChange change = fleet_rate_.Update(
      load, {.now_s = now_,
             .interval_s = report_interval_s_,
             .sample_s = sample_s,
             .sample_scale = full_mesh_ ? 1.0 : settings_.dispatcher_count * kOwnSampleWeight,
             .rise_s = full_mesh_ ? report_interval_s_ : sample_s});
  if (change.cut) hedge_budget_.OnRateCut();
  if (!fleet_rate_.tier_full() && load_unreported_) hedge_budget_.OnRateRise(change.rise_factor);
  const std::vector<double> rates =
      DivideFleetRate(fleet_rate_.rate_rps(), load.guaranteed_rps, settings_.tenants, tier);
  for (int t = 0; t < tenant_count_; ++t) {
    const double demand = tier[Idx(t)];
    const bool unlimited = !fleet_rate_.limits() || demand <= 0;
    LimitTenant(t, unlimited ? 1 : std::min(1.0, rates[Idx(t)] / demand));
  }
}

// Sets the rates of a tenant's buckets so that `admit_share` of its demand is admitted.
//
// Each class gives up the same share. The worst-served class counts for itself, and work of less
// weight is mostly short: shed first, it would free little capacity. Exception: capacity that is
// reserved for a class is of no use if its jobs are rejected on arrival. The tenant's other classes
// then give up more, by as much work and no more than kMaxReserveLoss of it.
void LoadBalancerImpl::LimitTenant(int tenant, double admit_share) {
  double work = 0, reserving_work = 0;  // seconds of run time per second
  const auto reserves = [this](int c) { return reservations_ && reservations_->MayReserve(c); };
  for (int c = 0; c < class_count_; ++c) {
    const double class_work = admission_.DemandRps(c, tenant) *
                              estimates_.ClassRunTime(c, ClassOf(c).latency_objective_s);
    work += class_work;
    reserving_work += reserves(c) ? class_work : 0;
  }
  const double other_work = work - reserving_work;
  const double other_share =
      std::clamp((admit_share * work - reserving_work) / std::max(other_work, kMinWork),
                 admit_share * (1 - kMaxReserveLoss), admit_share);
  const double reserving_share =
      (admit_share * work - other_share * other_work) / std::max(reserving_work, kMinWork);
  for (int c = 0; c < class_count_; ++c) {
    const double limited_share =
        reserves(c) ? std::clamp(reserving_share, admit_share, 1.0) : other_share;
    admission_.SetAdmitShare(c, tenant, reserving_work <= 0 ? admit_share : limited_share);
  }
}

void LoadBalancerImpl::SetFleetShare(const FleetShare& share) {
  agreed_share_.Set(share);
  admission_.ApplyFleetShare(agreed_share_, own_rates_, fleet_rate_.limits());
}

}  // namespace millethollow::balancing
