#include "balancing/admission_controller.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <utility>

namespace millethollow::balancing {
namespace {

// The depth of a bucket absorbs random variation: the count of a Poisson process varies by its
// square root.
constexpr double kBurstRequests = 2;
constexpr double kBurstS = 0.5;           // seconds of the bucket's rate
constexpr double kBurstDeviations = 2.0;  // standard deviations of the arrivals in a second
// The tokens of a full bucket with less than one request per second would outlast any overload. In
// a large tier the requests of such a bucket are admitted at random with its admitted share, each
// of them once.
constexpr double kSparseRps = 1.0;
// A request that returns within this time after its rejection is recognized.
constexpr double kReturnWindowS = 0.3;
constexpr double kUnlimitedShare = 0.999;  // a larger admitted share is not limited

void IncrementSaturating(std::uint16_t* count) {
  if (*count < std::numeric_limits<std::uint16_t>::max()) ++*count;
}

}  // namespace

void AdmissionController::SetShape(int class_count, int tenant_count) {
  tenant_count_ = tenant_count;
  buckets_.resize(ToIndex(class_count * tenant_count));
}

void AdmissionController::ResetClass(int class_index) {
  std::fill_n(buckets_.begin() + class_index * tenant_count_, tenant_count_, Bucket{});
}

bool AdmissionController::OpenBucket(const Request& request, double now_s) {
  Bucket& bucket = buckets_[IndexOf(request.class_index, request.tenant)];
  if (std::exchange(bucket.in_use, true)) return false;
  bucket.tokens = BurstSize(bucket);
  bucket.tokens_at = now_s;
  return true;
}

bool AdmissionController::Admit(const Request& request, bool marked_retry, bool large_tier,
                                double now_s, Random* random) {
  Bucket& bucket = buckets_[IndexOf(request.class_index, request.tenant)];
  const bool returned =
      marked_retry || recent_rejections_.Remove(request.digest, now_s - kReturnWindowS);
  if (!returned) bucket.first_attempts += 1;
  const double refill =
      bucket.rate_rps == kInf ? kInf : bucket.rate_rps * (now_s - bucket.tokens_at);
  bucket.tokens = std::min(BurstSize(bucket), bucket.tokens + refill);
  bucket.tokens_at = now_s;
  if (large_tier && bucket.rate_rps < kSparseRps) {
    bucket.tokens = !returned && random->Uniform() < bucket.admit_share ? 1 : 0;
  }
  if ((bucket.tokens < 1 && !request.MayHaveRun()) || request.expires_at_s <= now_s) {
    if (!returned) IncrementSaturating(&bucket.rejected);
    return false;
  }
  bucket.tokens -= 1;
  IncrementSaturating(&bucket.admitted);
  return true;
}

void AdmissionController::SetAdmitShare(int class_index, int tenant, double admit_share) {
  Bucket& bucket = buckets_[IndexOf(class_index, tenant)];
  bucket.admit_share = admit_share;
  bucket.rate_rps = admit_share > kUnlimitedShare ? kInf : bucket.demand_rps * admit_share;
}

void AdmissionController::ApplyFleetShare(const AgreedShare& share,
                                          const std::vector<double>& own_rates,
                                          bool fleet_rate_known) {
  for (std::size_t bucket_index = 0; bucket_index < buckets_.size(); ++bucket_index) {
    Bucket& bucket = buckets_[bucket_index];
    const std::size_t tenant = bucket_index % ToIndex(tenant_count_);
    const double admit_share = share.AdmitShare(tenant, own_rates[tenant]);
    if (bucket.rate_rps != kInf) {
      bucket.rate_rps *= share.Factor(tenant);
    } else if (fleet_rate_known && share.Factor(tenant) < 1 && admit_share < 1) {
      // The bucket was not limited until now.
      bucket.admit_share = admit_share;
      bucket.rate_rps = bucket.demand_rps * admit_share;
    }
    // Tokens that were saved at a higher rate are lost with it: other dispatchers may use that rate
    // now.
    if (share.HasTenantRate(tenant)) bucket.tokens *= std::min(1.0, share.Factor(tenant));
  }
}

std::vector<UsageReport::Usage> AdmissionController::Measure(double sample_s, double keep_weight,
                                                             bool first_sample,
                                                             std::vector<double>* tenant_rates) {
  std::vector<UsageReport::Usage> usage;
  for (std::size_t bucket_index = 0; bucket_index < buckets_.size(); ++bucket_index) {
    Bucket& bucket = buckets_[bucket_index];
    if (bucket.admitted + bucket.rejected > 0) {
      usage.push_back({static_cast<int>(bucket_index), bucket.admitted, bucket.rejected});
    }
    bucket.admitted = bucket.rejected = 0;
    const double rate = bucket.first_attempts / sample_s;
    bucket.demand_rps =
        first_sample ? rate : bucket.demand_rps * keep_weight + rate * (1 - keep_weight);
    bucket.first_attempts = 0;
    (*tenant_rates)[bucket_index % ToIndex(tenant_count_)] += bucket.demand_rps;
  }
  return usage;
}

double AdmissionController::BurstSize(const Bucket& bucket) {
  const double rate = bucket.rate_rps == kInf ? bucket.demand_rps : bucket.rate_rps;
  return kBurstRequests + kBurstS * rate + kBurstDeviations * std::sqrt(rate);
}

}  // namespace millethollow::balancing
