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

// Admits jobs by token buckets (token bucket rate limiting, as the local part of RLQS). A bucket is
// not limited while its rate is kInf. Jobs that return after a rejection do not count as demand: it
// must not grow with rejections.
class AdmissionController {
 public:
  // Classes may be added; buckets of those known stay.
  void SetShape(int classes, int tenants);
  void ResetClass(int cls);

  // Makes the job's bucket ready. True if it is the bucket's first job.
  bool OpenBucket(const Job& job, double now_s);
  // `marked_retry`: the client marked it as a retry. `large_tier`: see kSparseRps.
  bool Admit(const Job& job, bool marked_retry, bool large_tier, double now_s, Random* random);
  void OnRejected(const Job& job, double now_s) { recent_rejections_.Put(job.digest, now_s); }

  double DemandRps(int cls, int tenant) const { return buckets_[IndexOf(cls, tenant)].demand_rps; }
  // Admits this share of the demand.
  void SetAdmitShare(int cls, int tenant, double admit_share);
  // Applies a change of the agreed share. `limited`: a fleet rate is known.
  void ApplyFleetShare(const AgreedShare& share, const std::vector<double>& own_rates,
                       bool limited);
  // Smooths each bucket's demand with `keep` of the old value (0: the first sample), adds it to
  // its tenant's in `tenant_rates`, and takes the counts of jobs since the last call.
  std::vector<UsageReport::Usage> Measure(double sample_s, double keep, bool first,
                                          std::vector<double>* tenant_rates);

 private:
  friend struct StateTransfer;  // handed over in a hot restart
  // By class first: classes may be added while the program runs.
  std::size_t IndexOf(int cls, int tenant) const { return Idx(cls * tenant_count_ + tenant); }
  static double BurstSize(const Bucket& bucket);

  int tenant_count_ = 1;
  std::vector<Bucket> buckets_;
  RecentDigests recent_rejections_;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_ADMISSION_CONTROLLER_H_
