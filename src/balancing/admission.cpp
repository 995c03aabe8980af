// Admission control: one token bucket for each class and tenant, filled at its part of the fleet
// rate.
#include <algorithm>
#include <cmath>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

// A bucket's depth absorbs chance: a Poisson stream varies by the square root of its count.
constexpr double kBurstS = 0.5;           // of the bucket's rate
constexpr double kBurstDeviations = 2.0;  // standard deviations of a second's arrivals
constexpr double kSparseRps = 1.0;        // below it, the depth would last through an overload
constexpr double kReturnWindowS = 0.3;    // a rejected job that returns within this is the same one
constexpr double kHedgeRiseStep = 0.01;   // added to the hedges per attempt with each rise
constexpr double kMaxReserveLoss = 0.2;  // of a class's work, for one that capacity is reserved for
constexpr double kMinWork = 1e-9;
constexpr double kUnlimitedShare = 0.999;  // a larger share is not limited

void LoadBalancerImpl::On(const RequestArrived& e) {
  if (e.cls < 0 || e.cls >= class_count_ || jobs_.contains(e.id)) return;
  Job job = MakeJob(e, tenant_count_, worker_index_);
  job.max_attempts = settings_.max_attempts;
  estimates_.OnRequest(job);
  Bucket& bucket = buckets_[BucketOf(job)];
  if (!std::exchange(bucket.in_use, true)) {
    bucket.tokens = BurstSize(bucket);
    bucket.tokens_at = now_;
    if (now_ - reported_at_ > report_interval_s_ / 2)
      PublishUsage();  // a new bucket is reported at once
  }
  // Demand must not grow with rejections: a job that returns is not counted again.
  const bool returned = e.retry || recent_rejections_.Take(job.digest, now_ - kReturnWindowS);
  if (!returned) bucket.first_attempts += 1;
  const double more = bucket.rate_rps == kInf ? kInf : bucket.rate_rps * (now_ - bucket.tokens_at);
  bucket.tokens = std::min(BurstSize(bucket), bucket.tokens + more);
  bucket.tokens_at = now_;
  // A bucket with less than a job per second would last through any overload on its depth. Its
  // jobs are admitted at random by the bucket's share, once each.
  const bool sparse = !full_mesh_ && bucket.rate_rps < kSparseRps;
  if (sparse) bucket.tokens = !returned && random_.Unit() < bucket.admit_share ? 1 : 0;
  if ((bucket.tokens < 1 && !job.MayHaveRun()) || job.expires_at_s <= now_) {
    if (!returned && bucket.rejected < 0xffff) ++bucket.rejected;
    return Reject(job);
  }
  bucket.tokens -= 1;
  DrawSlowStartWorker(job);
  if (bucket.admitted < 0xffff) ++bucket.admitted;
  auto [it, unused] = jobs_.emplace(job.id, std::move(job));
  if (ProbeCandidates(it->second)) return;
  PlaceJob(it->second);
  FinishIfIdle(it->second);
}

double LoadBalancerImpl::BurstSize(const Bucket& b) {
  const double rate = b.rate_rps == kInf ? b.demand_rps : b.rate_rps;
  return 2 + kBurstS * rate + kBurstDeviations * std::sqrt(rate);
}

// Within its latency objective a job that returns finds the same quotas: that long is the advice.
void LoadBalancerImpl::Reject(const Job& job) {
  recent_rejections_.Put(job.digest, now_);
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
  if (change.cut) hedges_per_attempt_ /= 2;
  if (!fleet_rate_.tier_full() && load_unreported_) {
    hedges_per_attempt_ =
        std::min((hedges_per_attempt_ + kHedgeRiseStep) * change.rise_factor, kMaxHedgesPerAttempt);
  }
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
    const double class_work = buckets_[Idx(c * tenant_count_ + tenant)].demand_rps *
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
    Bucket& bucket = buckets_[Idx(c * tenant_count_ + tenant)];
    bucket.admit_share = reserving_work <= 0 ? admit_share
                         : reserves(c)       ? std::clamp(reserving_share, admit_share, 1.0)
                                             : other_share;
    bucket.rate_rps =
        bucket.admit_share > kUnlimitedShare ? kInf : bucket.demand_rps * bucket.admit_share;
  }
}

void LoadBalancerImpl::SetFleetShare(const FleetShare& parts) {
  agreed_share_.Set(parts);
  for (std::size_t b = 0; b < buckets_.size(); ++b) {
    Bucket& bucket = buckets_[b];
    const std::size_t tenant = b % Idx(tenant_count_);
    const double given = agreed_share_.AdmitShare(tenant, own_rates_[tenant]);
    if (bucket.rate_rps != kInf) {
      bucket.rate_rps *= agreed_share_.Factor(tenant);
    } else if (fleet_rate_.limits() && agreed_share_.Factor(tenant) < 1 && given < 1) {
      // Was not limited until now.
      bucket.admit_share = given;
      bucket.rate_rps = bucket.demand_rps * given;
    }
    // Tokens saved at a larger rate go with it: others may use that rate now.
    if (agreed_share_.HasTenantRate(tenant))
      bucket.tokens *= std::min(1.0, agreed_share_.Factor(tenant));
  }
}

}  // namespace millethollow::balancing
