// Admission control: a token bucket for each class and tenant.
#ifndef MILLETHOLLOW_BALANCING_ADMISSION_CONTROLLER_H_
#define MILLETHOLLOW_BALANCING_ADMISSION_CONTROLLER_H_

#include <cstddef>
#include <vector>

#include "balancing/agreed_share.h"
#include "balancing/request.h"
#include "balancing/support.h"
#include "balancing/token_bucket.h"
#include "balancing/usage_report.h"

namespace millethollow::balancing {

// Admits requests by token buckets, as the local part of rate limiting with RLQS. A bucket is not
// limited while its rate is kInf. Requests that return after a rejection do not count as demand,
// because demand must not grow with rejections.
class AdmissionController {
 public:
  // Sets the numbers of classes and tenants. Classes may be added later; existing buckets stay.
  void SetShape(int class_count, int tenant_count);
  // Empties the buckets of a class that means another one from now on.
  void ResetClass(int class_index);

  // Prepares the request's bucket. Returns true if this is the bucket's first request.
  bool OpenBucket(const Request& request, double now_s);
  // Whether the request is admitted. `marked_retry`: the client marked it as a retry. `large_tier`:
  // buckets below kSparseRps admit at random.
  bool Admit(const Request& request, bool marked_retry, bool large_tier, double now_s,
             Random* random);
  // Remembers the request, to recognize it when it returns.
  void OnRejected(const Request& request, double now_s) {
    recent_rejections_.Insert(request.digest, now_s);
  }

  // Smoothed demand of a bucket in requests per second.
  double DemandRps(int class_index, int tenant) const {
    return buckets_[IndexOf(class_index, tenant)].demand_rps;
  }
  // Sets the share of the demand that is admitted.
  void SetAdmitShare(int class_index, int tenant, double admit_share);
  // Applies a change of the agreed share. `fleet_rate_known`: a fleet rate limits admission.
  void ApplyFleetShare(const AgreedShare& share, const std::vector<double>& own_rates,
                       bool fleet_rate_known);
  // Updates the smoothed demand of each bucket with `keep_weight` as the weight of the old value (0
  // for the first sample), adds it to the demand of its tenant in `tenant_rates`, and returns and
  // resets the counts of requests since the last call. `sample_s`: seconds since then.
  std::vector<UsageReport::Usage> Measure(double sample_s, double keep_weight, bool first_sample,
                                          std::vector<double>* tenant_rates);

 private:
  friend struct StateTransfer;  // transferred in a hot restart
  // Ordered by class first, so that indices stay valid when classes are added.
  std::size_t IndexOf(int class_index, int tenant) const {
    return ToIndex(class_index * tenant_count_ + tenant);
  }
  static double BurstSize(const Bucket& bucket);

  int tenant_count_ = 1;
  std::vector<Bucket> buckets_;
  RecentDigests recent_rejections_;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_ADMISSION_CONTROLLER_H_
