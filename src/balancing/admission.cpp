// Admission control: one token bucket for each class and tenant, filled at its part of the fleet
// rate.
#include <algorithm>
#include <cmath>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

// Depth absorbs chance: a Poisson stream strays by the root of its count.
constexpr double kBurstS = 0.5;  // steady part of a bucket's depth, in seconds of its rate
constexpr double kBurstDeviations =
    2.0;                            // and this many standard deviations of a second's arrivals
constexpr double kSparseRps = 1.0;  // jobs a second; below, depth outlasts an overload
constexpr double kReturnWindowS =
    0.3;  // a job refused this recently that comes again is the same one

void LoadBalancerImpl::On(const RequestArrived& e) {
  if (e.cls < 0 || e.cls >= class_count_ || jobs_.contains(e.id)) return;
  Job job = MakeJob(e, tenant_count_, worker_index_);
  job.max_attempts = settings_.max_attempts;
  memory_per_slot_.Add(job.memory / job.slots, 200);
  Bucket& bucket = buckets_[BucketOf(job)];
  if (!std::exchange(bucket.in_use, true)) {
    bucket.tokens = BurstSize(bucket);
    bucket.tokens_at = now_;
    if (now_ - reported_at_ > report_interval_s_ / 2)
      PublishUsage();  // a new bucket reports at once
  }
  // Demand must not grow with our own refusals: what comes back is not counted again.
  const bool returned = e.retry || recent_rejections_.Take(job.digest, now_ - kReturnWindowS);
  if (!returned) bucket.first_attempts += 1;
  const double more = bucket.rate_rps == kInf ? kInf : bucket.rate_rps * (now_ - bucket.tokens_at);
  bucket.tokens = std::min(BurstSize(bucket), bucket.tokens + more);
  bucket.tokens_at = now_;
  // Exception: a bucket that sees less than a job a second would outlast any overload on its
  // depth. Its jobs are drawn at the quota's share of demand, once each.
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

// Within its aim a refused job that comes back finds the same quotas: advise to wait that long.
void LoadBalancerImpl::Reject(const Job& job) {
  recent_rejections_.Put(job.digest, now_);
  const double wait =
      std::min(settings_.max_retry_after_s, ClassOf(job.class_index).latency_objective_s);
  actions_->push_back(RejectRequest{job.id, settings_.retry_after ? wait : 0.0});
}

void LoadBalancerImpl::SetFleetShare(const FleetShare& parts) {
  agreed_share_.Set(parts);
  for (std::size_t b = 0; b < buckets_.size(); ++b) {
    Bucket& bucket = buckets_[b];
    const std::size_t tenant = b % Idx(tenant_count_);
    const double given = agreed_share_.AdmitShare(tenant, own_rates_[tenant]);
    if (bucket.rate_rps != kInf) {
      bucket.rate_rps *= agreed_share_.Factor(tenant);
    } else if (fleet_rate_rps_ != kInf && agreed_share_.Factor(tenant) < 1 && given < 1) {
      // There was enough for all until now.
      bucket.admit_share = given;
      bucket.rate_rps = bucket.demand_rps * given;
    }
    // What was saved up of a larger given rate goes with it: others may use that rate now.
    if (agreed_share_.HasTenantRate(tenant))
      bucket.tokens *= std::min(1.0, agreed_share_.Factor(tenant));
  }
}

}  // namespace millethollow::balancing
