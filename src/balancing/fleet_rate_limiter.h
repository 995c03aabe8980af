// The fleet rate: how many jobs per second the whole tier admits while workers are overloaded.
#ifndef MILLETHOLLOW_BALANCING_FLEET_RATE_LIMITER_H_
#define MILLETHOLLOW_BALANCING_FLEET_RATE_LIMITER_H_

#include <vector>

#include "balancing/support.h"
#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {

// What the whole tier reports, in jobs per second.
struct TierLoad {
  double sends_rps = 0;           // first attempts
  double full_rps = 0;            // jobs that found workers full
  double late_rps = 0;            // jobs that started too late for their latency objective
  double demand_rps = 0;          // of all tenants
  double guaranteed_rps = 0;      // demand within the tenants' quotas
  bool has_free_workers = false;  // a good share of probed workers had a free slot
};

// How one control round is measured.
struct ControlRound {
  double now_s = 0;
  double interval_s = 0;    // report interval
  double sample_s = 0;      // over which the load was sampled
  double sample_scale = 1;  // by which a sample counts in a large tier, whose rates are means
  double rise_s = 0;        // the rate rises as by so much time
};

struct RateChange {
  bool cut = false;
  double rise_factor = 1;  // 1 while the tier is full
};

// Additive-increase/multiplicative-decrease (AIMD) control of the fleet rate, in the manner of
// global rate limiting (A77, RLQS): cut while too many jobs find workers full, else raised step by
// step. Every dispatcher runs one; the rates are drawn together by the peers' reports.
//
// Invariant: the rate is never cut below the demand within quotas, except by the share of jobs that
// start late.
class FleetRateLimiter {
 public:
  double rate_rps() const { return rate_rps_; }  // kInf: all is admitted
  bool limits() const { return rate_rps_ != kInf; }
  bool tier_full() const { return tier_full_; }

  void AllowCutAt(double at_s) { next_cut_at_s_ = at_s; }
  RateChange Update(const TierLoad& load, const ControlRound& round);
  // Moves towards a peer's rate by `weight` of the way; at once where no rate is known here.
  void FollowPeer(double peer_rate_rps, double weight);

 private:
  friend struct StateTransfer;  // hands the rate over in a hot restart
  double rate_rps_ = kInf;
  double next_cut_at_s_ = 0;
  bool tier_full_ = false;
};

// Divides the fleet rate among tenants: each gets its demand within its quota first, in proportion
// where that is too much; the rest is lent by the tenants' shares. `demand_rps` begins with one
// rate for each tenant.
std::vector<double> DivideFleetRate(double fleet_rate_rps, double guaranteed_rps,
                                    const std::vector<TenantSettings>& tenants,
                                    const std::vector<double>& demand_rps);

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_FLEET_RATE_LIMITER_H_
