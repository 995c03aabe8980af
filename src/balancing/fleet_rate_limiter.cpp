#include "balancing/fleet_rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace millethollow::balancing {
namespace {

// Share of sends that find workers full, above which the tier is full.
constexpr double kFullSendShare = 0.05;
// Added to the sends of an interval, so that one or two requests that find workers full do not make
// the tier full.
constexpr double kPriorRequests = 8;
// Weight of a late start, relative to a request that found workers full.
constexpr double kLateWeight = 0.7;
constexpr double kCutFactor = 0.85;  // ends an overload within a few cuts
// Share of the guaranteed demand that is cut at most where requests start late.
constexpr double kLateCutShare = 0.5;
constexpr double kMinCutIntervalS = 1.0;
constexpr double kRisePerS = 0.2;            // share of the rate, while the tier is not full
constexpr double kRisePerSWhenFree = 1.0;    // while probes find free workers
constexpr double kMaxRateOverDemand = 1.25;  // a rate this many times the demand limits nobody
constexpr double kRateRounding = 1e-9;

}  // namespace

RateChange FleetRateLimiter::Update(const TierLoad& load, const ControlRound& round) {
  const double sends_rps_with_prior =
      load.sends_rps +
      kPriorRequests / std::max(round.sample_s, round.interval_s) * round.sample_scale;
  tier_full_ = load.sends_rps > 0 &&
               load.full_rps + kLateWeight * load.late_rps > kFullSendShare * sends_rps_with_prior;
  // Reports of probed workers take precedence over late starts, which a few slow workers may cause.
  tier_full_ &= !load.has_free_workers;
  if (!tier_full_) {
    const double step = load.has_free_workers ? kRisePerSWhenFree : kRisePerS;
    const double factor = std::pow(1 + step, round.rise_s);
    // Not below the guaranteed demand: when a node restarts, its demand disappears and returns at
    // once. A rate that had shrunk with it would reject requests for seconds at idle workers.
    if (limits()) {
      rate_rps_ = std::max(load.guaranteed_rps,
                           std::min(rate_rps_ * factor, kMaxRateOverDemand * load.demand_rps));
    }
    return {.cut = false, .rise_factor = factor};
  }
  if (round.now_s < next_cut_at_s_) return {};
  // The cut starts from the rate of requests that workers accepted, at most the demand: where
  // clients retry at once, sends are a multiple of demand.
  const double carried_rps = std::min({rate_rps_, load.demand_rps, load.sends_rps - load.full_rps});
  // Not below the guaranteed demand, because a rejected send costs little. If instead requests
  // start late, deep queues at the workers delay all of them, and the minimum falls with the share
  // of late starts.
  const double min_rate_rps =
      load.guaranteed_rps *
      (1 - kLateCutShare * std::min(1.0, load.late_rps / sends_rps_with_prior));
  rate_rps_ = std::max(carried_rps * kCutFactor, min_rate_rps);
  next_cut_at_s_ = round.now_s + std::max(kMinCutIntervalS, 2 * round.interval_s);
  return {.cut = true};
}

void FleetRateLimiter::FollowPeer(double peer_rate_rps, double weight) {
  constexpr double kUnlimitedRps = 1e12;
  if (!limits()) weight = 1;
  rate_rps_ = std::min(rate_rps_, kUnlimitedRps) * (1 - weight) + peer_rate_rps * weight;
}

std::vector<double> DivideFleetRate(double fleet_rate_rps, double guaranteed_rps,
                                    const std::vector<TenantSettings>& tenants,
                                    const std::vector<double>& demand_rps) {
  const std::size_t tenant_count = tenants.size();
  std::vector<double> rates(tenant_count);
  for (std::size_t tenant = 0; tenant < tenant_count; ++tenant) {
    rates[tenant] = std::min(demand_rps[tenant], tenants[tenant].quota_rps);
  }
  if (fleet_rate_rps == kInf) return rates;
  double remaining_rps = fleet_rate_rps;
  for (double& rate : rates) {
    rate *= std::min(1.0, guaranteed_rps > 0 ? fleet_rate_rps / guaranteed_rps : 1.0);
    remaining_rps -= rate;
  }
  for (std::size_t round = 0; round < tenant_count && remaining_rps > kRateRounding; ++round) {
    double share_sum = 0;
    for (std::size_t tenant = 0; tenant < tenant_count; ++tenant) {
      share_sum += rates[tenant] < demand_rps[tenant] ? tenants[tenant].share : 0;
    }
    if (share_sum <= 0) break;
    const double lendable_rps = remaining_rps;
    for (std::size_t tenant = 0; tenant < tenant_count; ++tenant) {
      const double lent_rps = lendable_rps * tenants[tenant].share / share_sum;
      const double added_rps = std::clamp(demand_rps[tenant] - rates[tenant], 0.0, lent_rps);
      rates[tenant] += added_rps;
      remaining_rps -= added_rps;
    }
  }
  return rates;
}

}  // namespace millethollow::balancing
