#include "balancing/admission_controller.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

namespace millethollow::balancing {
namespace {

// A bucket's depth absorbs chance: a Poisson stream varies by the square root of its count.
constexpr double kBurstJobs = 2;
constexpr double kBurstS = 0.5;           // of the bucket's rate
constexpr double kBurstDeviations = 2.0;  // standard deviations of a second's arrivals
// A bucket with less than a job per second would last through any overload on its depth. In a large
// tier its jobs are admitted at random by the bucket's share, once each.
constexpr double kSparseRps = 1.0;
constexpr double kReturnWindowS = 0.3;  // a rejected job that returns within this is the same one
constexpr double kUnlimitedShare = 0.999;  // a larger share is not limited

void CountOne(std::uint16_t* count) {
  if (*count < std::numeric_limits<std::uint16_t>::max()) ++*count;
}

}  // namespace

void AdmissionController::SetShape(int classes, int tenants) {
  tenant_count_ = tenants;
  buckets_.resize(Idx(classes * tenants));
}

void AdmissionController::ResetClass(int cls) {
  std::fill_n(buckets_.begin() + cls * tenant_count_, tenant_count_, Bucket{});
}

bool AdmissionController::OpenBucket(const Job& job, double now_s) {
  Bucket& bucket = buckets_[IndexOf(job.class_index, job.tenant)];
  if (std::exchange(bucket.in_use, true)) return false;
  bucket.tokens = BurstSize(bucket);
  bucket.tokens_at = now_s;
  return true;
}

bool AdmissionController::Admit(const Job& job, bool marked_retry, bool large_tier, double now_s,
                                Random* random) {
  Bucket& bucket = buckets_[IndexOf(job.class_index, job.tenant)];
  const bool returned = marked_retry || recent_rejections_.Take(job.digest, now_s - kReturnWindowS);
  if (!returned) bucket.first_attempts += 1;
  const double refill =
      bucket.rate_rps == kInf ? kInf : bucket.rate_rps * (now_s - bucket.tokens_at);
  bucket.tokens = std::min(BurstSize(bucket), bucket.tokens + refill);
  bucket.tokens_at = now_s;
  if (large_tier && bucket.rate_rps < kSparseRps) {
    bucket.tokens = !returned && random->Unit() < bucket.admit_share ? 1 : 0;
  }
  if ((bucket.tokens < 1 && !job.MayHaveRun()) || job.expires_at_s <= now_s) {
    if (!returned) CountOne(&bucket.rejected);
    return false;
  }
  bucket.tokens -= 1;
  CountOne(&bucket.admitted);
  return true;
}

void AdmissionController::SetAdmitShare(int cls, int tenant, double admit_share) {
  Bucket& bucket = buckets_[IndexOf(cls, tenant)];
  bucket.admit_share = admit_share;
  bucket.rate_rps = admit_share > kUnlimitedShare ? kInf : bucket.demand_rps * admit_share;
}

void AdmissionController::ApplyFleetShare(const AgreedShare& share,
                                          const std::vector<double>& own_rates, bool limited) {
  for (std::size_t b = 0; b < buckets_.size(); ++b) {
    Bucket& bucket = buckets_[b];
    const std::size_t tenant = b % Idx(tenant_count_);
    const double admit_share = share.AdmitShare(tenant, own_rates[tenant]);
    if (bucket.rate_rps != kInf) {
      bucket.rate_rps *= share.Factor(tenant);
    } else if (limited && share.Factor(tenant) < 1 && admit_share < 1) {
      // Was not limited until now.
      bucket.admit_share = admit_share;
      bucket.rate_rps = bucket.demand_rps * admit_share;
    }
    // Tokens saved at a larger rate go with it: others may use that rate now.
    if (share.HasTenantRate(tenant)) bucket.tokens *= std::min(1.0, share.Factor(tenant));
  }
}

std::vector<UsageReport::Usage> AdmissionController::Measure(double sample_s, double keep,
                                                             bool first,
                                                             std::vector<double>* tenant_rates) {
  std::vector<UsageReport::Usage> usage;
  for (std::size_t b = 0; b < buckets_.size(); ++b) {
    Bucket& bucket = buckets_[b];
    if (bucket.admitted + bucket.rejected > 0) {
      usage.push_back({static_cast<int>(b), bucket.admitted, bucket.rejected});
    }
    bucket.admitted = bucket.rejected = 0;
    const double rate = bucket.first_attempts / sample_s;
    bucket.demand_rps = first ? rate : bucket.demand_rps * keep + rate * (1 - keep);
    bucket.first_attempts = 0;
    (*tenant_rates)[b % Idx(tenant_count_)] += bucket.demand_rps;
  }
  return usage;
}

double AdmissionController::BurstSize(const Bucket& bucket) {
  const double rate = bucket.rate_rps == kInf ? bucket.demand_rps : bucket.rate_rps;
  return kBurstJobs + kBurstS * rate + kBurstDeviations * std::sqrt(rate);
}

}  // namespace millethollow::balancing
