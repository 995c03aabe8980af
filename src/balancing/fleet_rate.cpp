// The fleet rate, and what of it each tenant and class gets.
#include <algorithm>
#include <cmath>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kFullShare = 0.05;  // more jobs than this that found workers full: a cut
constexpr double kProof = 8;         // jobs of an interval that a share of them must stand against
constexpr double kLateWeight = 0.7;  // a late start is a 'full' only in part
constexpr double kCut = 0.85;        // deep enough to end an overload in a few cuts
constexpr double kRiseRoomy = 1.0;   // the step up in a tier that is found roomy
constexpr double kRise = 0.2;        // step up, as a share of the rate, per second without a cut
// Never below what is told and asked for: a bounce is cheap, refusing in-share work is not. Deep
// waiting rooms make all late instead: then less, by the share that starts late.
constexpr double kLateDepth = 0.5;
constexpr double kSpare = 0.2;   // of a class's work, for another that room is held for
constexpr double kSlack = 1.25;  // a rate this far above demand binds nobody

void LoadBalancerImpl::Control(double span) {
  // What live dispatchers report in all, those not yet heard taken as the average one.
  const std::vector<double> fleet = Fleet();
  const double sends = fleet[Idx(tenants_)], fulls = fleet[Idx(tenants_ + 1)];
  const double lates = fleet[Idx(tenants_ + 2)];
  std::vector<double> part(Idx(tenants_), 0.0);  // by tenant, at first what is told and asked for
  double demand = 0, told = 0;
  for (int t = 0; t < tenants_; ++t) {
    part[Idx(t)] = std::min(fleet[Idx(t)], s_.tenants[Idx(t)].quota_rps);
    demand += fleet[Idx(t)];
    told += part[Idx(t)];
  }
  // One or two jobs prove nothing: shares are taken as of some more sends than were seen.
  const double shown = sends + kProof / std::max(span, interval_) *
                                   (direct_ ? 1.0 : s_.dispatcher_count * kOwnWeight);
  full_ = sends > 0 && fulls + kLateWeight * lates > kFullShare * shown;
  // Where the tier asks workers, what they say goes before what some slow ones make late.
  const bool roomy = !direct_ && Found(0) > kRoomy;
  full_ &= !roomy;
  if (full_) {
    if (now_ >= next_cut_) {
      // Cut from what was carried: clients that return at once make sends a multiple of demand.
      rate_ = std::max(std::min({rate_, demand, sends - fulls}) * kCut,
                       told * (1 - kLateDepth * std::min(1.0, lates / shown)));
      next_cut_ = now_ + std::max(1.0, 2 * interval_);
      copies_ /= 2;
    }
  } else {
    // Reports of a large tier come late; its rate must not rise the slower for it.
    const double step = roomy ? kRiseRoomy : kRise;
    const double rise = std::pow(1 + step, direct_ ? interval_ : span);
    // Never under what is told and asked, here too: where a node restarts, demand goes and comes
    // back at once, and a rate that had shrunk with it refused all for seconds at idle workers.
    if (rate_ != kInf) rate_ = std::max(told, std::min(rate_ * rise, kSlack * demand));
    if (blind_) copies_ = std::min((copies_ + 0.01) * rise, kCopies);
  }
  // Each tenant is served within its told quota first; what is left is lent by told shares.
  double left = rate_;
  if (rate_ != kInf) {
    for (int t = 0; t < tenants_; ++t) {
      part[Idx(t)] *= std::min(1.0, told > 0 ? rate_ / told : 1.0);
      left -= part[Idx(t)];
    }
    for (int round = 0; round < tenants_ && left > 1e-9; ++round) {
      double shares = 0;
      for (int t = 0; t < tenants_; ++t)
        shares += part[Idx(t)] < fleet[Idx(t)] ? s_.tenants[Idx(t)].share : 0;
      if (shares <= 0) break;
      const double lend = left;
      for (int t = 0; t < tenants_; ++t) {
        const double lent = lend * s_.tenants[Idx(t)].share / shares;
        const double more = std::clamp(fleet[Idx(t)] - part[Idx(t)], 0.0, lent);
        part[Idx(t)] += more;
        left -= more;
      }
    }
  }
  for (int t = 0; t < tenants_; ++t) {
    const double want = fleet[Idx(t)];
    const double fraction = rate_ == kInf || want <= 0 ? 1 : std::min(1.0, part[Idx(t)] / want);
    // Each class gives up the same share. The worst-served class counts for itself, and work of
    // less worth is mostly short: shed first, it pays for little room. Exception: where room is
    // held for a class, holding it is of no use if its jobs are refused at the door. The tenant's
    // other work then gives up more, by as much work and no more than kSpare of it.
    double all = 0, held = 0;
    const auto holds = [this](int c) { return room_keeper_ && room_keeper_->MayReserve(c); };
    for (int c = 0; c < classes_; ++c) {
      const double work =
          buckets_[Idx(c * tenants_ + t)].demand * run_[Idx(c)].Or(ClassOf(c).latency_objective_s);
      all += work;
      held += holds(c) ? work : 0;
    }
    const double others = std::clamp((fraction * all - held) / std::max(all - held, 1e-9),
                                     fraction * (1 - kSpare), fraction);
    const double first = (fraction * all - others * (all - held)) / std::max(held, 1e-9);
    for (int c = 0; c < classes_; ++c) {
      Bucket& b = buckets_[Idx(c * tenants_ + t)];
      b.share = held <= 0 ? fraction : holds(c) ? std::clamp(first, fraction, 1.0) : others;
      b.rate = b.share > 0.999 ? kInf : b.demand * b.share;
    }
  }
}

}  // namespace millethollow::balancing
