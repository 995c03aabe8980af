// The fleet rate: how many requests per second the whole tier admits while workers are overloaded.
#ifndef MILLETHOLLOW_BALANCING_FLEET_RATE_LIMITER_H_
#define MILLETHOLLOW_BALANCING_FLEET_RATE_LIMITER_H_

#include <vector>

#include "balancing/support.h"
#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {

// Load of the whole tier by its usage reports, in requests per second.
struct TierLoad {
  double sends_rps = 0;           // first attempts
  double full_rps = 0;            // requests that found workers full
  double late_rps = 0;            // requests that started too late for their latency objective
  double demand_rps = 0;          // of all tenants
  double guaranteed_rps = 0;      // demand within the tenants' quotas
  bool has_free_workers = false;  // enough probed workers had a free slot (kMinFreeProbedShare)
};

// Timing and sampling of one control round.
struct ControlRound {
  double now_s = 0;
  double interval_s = 0;    // report interval
  double sample_s = 0;      // seconds over which the load was sampled
  double sample_scale = 1;  // weight of a sample; in a large tier rates are gossiped means
  double rise_s = 0;        // seconds for which the rate rises
};

// The result of a control round.
struct RateChange {
  bool cut = false;
  double rise_factor = 1;  // 1 while the tier is full
};

// Controls the fleet rate by additive increase and multiplicative decrease (AIMD), similar to
// global rate limiting with RLQS (gRPC proposal A77): the rate is cut while too many requests find
// workers full and raised step by step otherwise. Every dispatcher runs a limiter; the rates
// converge through the peers' reports.
//
// Invariant: the rate is never cut below the demand within quotas, except by the share of requests
// that start late.
class FleetRateLimiter {
 public:
  double rate_rps() const { return rate_rps_; }  // kInf: not limited
  // Whether there is a fleet rate.
  bool limits() const { return rate_rps_ != kInf; }
  // Whether too many requests found workers full, as of the last Update.
  bool tier_full() const { return tier_full_; }

  // Permits no cut before `at_s`.
  void AllowCutAt(double at_s) { next_cut_at_s_ = at_s; }
  // Runs a control round.
  RateChange Update(const TierLoad& load, const ControlRound& round);
  // Moves the rate by `weight` of the way towards a peer's rate; all the way if no rate is known
  // here.
  void FollowPeer(double peer_rate_rps, double weight);

 private:
  friend struct StateTransfer;  // transfers the rate in a hot restart
  double rate_rps_ = kInf;
  double next_cut_at_s_ = 0;
  bool tier_full_ = false;
};

// Divides the fleet rate among tenants. Each gets its demand within its quota first, scaled down
// where the sum exceeds the fleet rate; the rest is lent in proportion to the tenants' shares.
// `demand_rps` begins with one rate for each tenant. Returns requests per second by tenant.
std::vector<double> DivideFleetRate(double fleet_rate_rps, double guaranteed_rps,
                                    const std::vector<TenantSettings>& tenants,
                                    const std::vector<double>& demand_rps);

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_FLEET_RATE_LIMITER_H_
