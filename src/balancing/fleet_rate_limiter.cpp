#include "balancing/fleet_rate_limiter.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace millethollow::balancing {
namespace {

constexpr double kFullShare = 0.05;  // of sends that find workers full: above it, a cut
constexpr double kPriorJobs = 8;     // added to an interval's sends: one or two jobs prove nothing
constexpr double kLateWeight = 0.7;  // of a late start, against a full worker
constexpr double kCutFactor = 0.85;  // ends an overload in a few cuts
constexpr double kLateCutShare = 0.5;  // most of the guaranteed demand that late starts may cut
constexpr double kMinCutIntervalS = 1.0;
constexpr double kRisePerS = 0.2;          // share of the rate, without a cut
constexpr double kRisePerSWhenFree = 1.0;  // where probes find free workers
constexpr double kUnboundFactor = 1.25;    // a rate so far above demand limits nobody
constexpr double kRateRounding = 1e-9;

}  // namespace

RateChange FleetRateLimiter::Update(const TierLoad& load, const ControlRound& round) {
  const double sends =
      load.sends_rps + kPriorJobs / std::max(round.sample_s, round.interval_s) * round.sample_scale;
  tier_full_ =
      load.sends_rps > 0 && load.full_rps + kLateWeight * load.late_rps > kFullShare * sends;
  // What probed workers report goes before late starts, which a few slow workers may cause.
  tier_full_ &= !load.has_free_workers;
  if (!tier_full_) {
    const double step = load.has_free_workers ? kRisePerSWhenFree : kRisePerS;
    const double factor = std::pow(1 + step, round.rise_s);
    // Not below the guaranteed demand: where a node restarts, demand goes and comes back at once,
    // and a rate that had shrunk with it would refuse jobs for seconds at idle workers.
    if (limits()) {
      rate_rps_ = std::max(load.guaranteed_rps,
                           std::min(rate_rps_ * factor, kUnboundFactor * load.demand_rps));
    }
    return {.cut = false, .rise_factor = factor};
  }
  if (round.now_s < next_cut_at_s_) return {};
  // Cut from what was carried: clients that return at once make sends a multiple of demand.
  const double carried = std::min({rate_rps_, load.demand_rps, load.sends_rps - load.full_rps});
  // Not below the guaranteed demand: a rejected send costs little. Deep queues at workers make all
  // jobs late instead; then less, by the share that starts late.
  const double least =
      load.guaranteed_rps * (1 - kLateCutShare * std::min(1.0, load.late_rps / sends));
  rate_rps_ = std::max(carried * kCutFactor, least);
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
  const std::size_t count = tenants.size();
  std::vector<double> rates(count);
  for (std::size_t t = 0; t < count; ++t) {
    rates[t] = std::min(demand_rps[t], tenants[t].quota_rps);
  }
  if (fleet_rate_rps == kInf) return rates;
  double left = fleet_rate_rps;
  for (double& rate : rates) {
    rate *= std::min(1.0, guaranteed_rps > 0 ? fleet_rate_rps / guaranteed_rps : 1.0);
    left -= rate;
  }
  for (std::size_t round = 0; round < count && left > kRateRounding; ++round) {
    double shares = 0;
    for (std::size_t t = 0; t < count; ++t) {
      shares += rates[t] < demand_rps[t] ? tenants[t].share : 0;
    }
    if (shares <= 0) break;
    const double lendable = left;
    for (std::size_t t = 0; t < count; ++t) {
      const double lent = lendable * tenants[t].share / shares;
      const double more = std::clamp(demand_rps[t] - rates[t], 0.0, lent);
      rates[t] += more;
      left -= more;
    }
  }
  return rates;
}

}  // namespace millethollow::balancing
