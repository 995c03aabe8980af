// The fleet rate, and what of it each tenant and class may use.
#include <algorithm>
#include <cmath>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kFullSignalShare = 0.05;  // more jobs than this that found workers full: a cut
constexpr double kPriorJobs = 8;  // jobs of an interval that a share of them must stand against
constexpr double kLateSignalWeight = 0.7;  // a late start is a 'full' only in part
constexpr double kCutFactor = 0.85;        // deep enough to end an overload in a few cuts
constexpr double kRiseWhenFree = 1.0;      // the step up in a tier that is found roomy
constexpr double kRise = 0.2;  // step up, as a share of the rate, per second without a cut
// Never below what is told and asked for: a bounce is cheap, refusing in-share work is not. Deep
// waiting rooms make all late instead: then less, by the share that starts late.
constexpr double kLateCutShare = 0.5;
constexpr double kMaxReserveLoss = 0.2;  // of a class's work, for another that room is held for
constexpr double kUnboundFactor = 1.25;  // a rate this far above demand binds nobody

void LoadBalancerImpl::UpdateFleetRate(double span) {
  // What live dispatchers report in all, those not yet heard taken as the average one.
  const std::vector<double> fleet = TierRates();
  const double sends = fleet[Idx(tenant_count_)], fulls = fleet[Idx(tenant_count_ + 1)];
  const double lates = fleet[Idx(tenant_count_ + 2)];
  std::vector<double> part(Idx(tenant_count_),
                           0.0);  // by tenant, at first what is told and asked for
  double demand = 0, told = 0;
  for (int t = 0; t < tenant_count_; ++t) {
    part[Idx(t)] = std::min(fleet[Idx(t)], settings_.tenants[Idx(t)].quota_rps);
    demand += fleet[Idx(t)];
    told += part[Idx(t)];
  }
  // One or two jobs prove nothing: shares are taken as of some more sends than were seen.
  const double shown =
      sends + kPriorJobs / std::max(span, report_interval_s_) *
                  (full_mesh_ ? 1.0 : settings_.dispatcher_count * kOwnSampleWeight);
  tier_full_ = sends > 0 && fulls + kLateSignalWeight * lates > kFullSignalShare * shown;
  // Where the tier asks workers, what they say goes before what some slow ones make late.
  const bool roomy = !full_mesh_ && ProbedFreeShare(0) > kFreeShareNotFull;
  tier_full_ &= !roomy;
  if (tier_full_) {
    if (now_ >= next_cut_at_) {
      // Cut from what was carried: clients that return at once make sends a multiple of demand.
      fleet_rate_rps_ = std::max(std::min({fleet_rate_rps_, demand, sends - fulls}) * kCutFactor,
                                 told * (1 - kLateCutShare * std::min(1.0, lates / shown)));
      next_cut_at_ = now_ + std::max(1.0, 2 * report_interval_s_);
      hedges_per_attempt_ /= 2;
    }
  } else {
    // Reports of a large tier come late; its rate must not rise the slower for it.
    const double step = roomy ? kRiseWhenFree : kRise;
    const double rise = std::pow(1 + step, full_mesh_ ? report_interval_s_ : span);
    // Never under what is told and asked, here too: where a node restarts, demand goes and comes
    // back at once, and a rate that had shrunk with it refused all for seconds at idle workers.
    if (fleet_rate_rps_ != kInf)
      fleet_rate_rps_ = std::max(told, std::min(fleet_rate_rps_ * rise, kUnboundFactor * demand));
    if (load_unreported_)
      hedges_per_attempt_ = std::min((hedges_per_attempt_ + 0.01) * rise, kMaxHedgesPerAttempt);
  }
  // Each tenant is served within its told quota first; what is left is lent by told shares.
  double left = fleet_rate_rps_;
  if (fleet_rate_rps_ != kInf) {
    for (int t = 0; t < tenant_count_; ++t) {
      part[Idx(t)] *= std::min(1.0, told > 0 ? fleet_rate_rps_ / told : 1.0);
      left -= part[Idx(t)];
    }
    for (int round = 0; round < tenant_count_ && left > 1e-9; ++round) {
      double shares = 0;
      for (int t = 0; t < tenant_count_; ++t)
        shares += part[Idx(t)] < fleet[Idx(t)] ? settings_.tenants[Idx(t)].share : 0;
      if (shares <= 0) break;
      const double lend = left;
      for (int t = 0; t < tenant_count_; ++t) {
        const double lent = lend * settings_.tenants[Idx(t)].share / shares;
        const double more = std::clamp(fleet[Idx(t)] - part[Idx(t)], 0.0, lent);
        part[Idx(t)] += more;
        left -= more;
      }
    }
  }
  for (int t = 0; t < tenant_count_; ++t) {
    const double want = fleet[Idx(t)];
    const double fraction =
        fleet_rate_rps_ == kInf || want <= 0 ? 1 : std::min(1.0, part[Idx(t)] / want);
    // Each class gives up the same share. The worst-served class counts for itself, and work of
    // less worth is mostly short: shed first, it pays for little room. Exception: where room is
    // held for a class, holding it is of no use if its jobs are refused at the door. The tenant's
    // other work then gives up more, by as much work and no more than kMaxReserveLoss of it.
    double all = 0, held = 0;
    const auto holds = [this](int c) { return reservations_ && reservations_->MayReserve(c); };
    for (int c = 0; c < class_count_; ++c) {
      const double work = buckets_[Idx(c * tenant_count_ + t)].demand_rps *
                          class_run_time_[Idx(c)].Or(ClassOf(c).latency_objective_s);
      all += work;
      held += holds(c) ? work : 0;
    }
    const double others = std::clamp((fraction * all - held) / std::max(all - held, 1e-9),
                                     fraction * (1 - kMaxReserveLoss), fraction);
    const double first = (fraction * all - others * (all - held)) / std::max(held, 1e-9);
    for (int c = 0; c < class_count_; ++c) {
      Bucket& b = buckets_[Idx(c * tenant_count_ + t)];
      b.admit_share = held <= 0 ? fraction : holds(c) ? std::clamp(first, fraction, 1.0) : others;
      b.rate_rps = b.admit_share > 0.999 ? kInf : b.demand_rps * b.admit_share;
    }
  }
}

}  // namespace millethollow::balancing
