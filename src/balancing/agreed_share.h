// What a dispatcher may do of the whole where the tier agrees on parts (a cluster): its even part,
// or by demand while all hear each other; of a tenant's quota the rate that it was given, where it
// was given one. Off, until a part is set, nothing is other than without it.
#ifndef MILLETHOLLOW_BALANCING_AGREED_SHARE_H_
#define MILLETHOLLOW_BALANCING_AGREED_SHARE_H_

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {

class AgreedShare {
 public:
  bool on() const { return share_ >= 0; }
  double share() const { return share_; }
  // All others of the agreed view were heard of late: told to peers, who heed it.
  bool hears_all() const { return hears_all_; }

  // Nothing was done here for longer: others may have ceased to hear this one since, and taken up
  // what it does not know of.
  static constexpr double kStoppedS = 1.0;
  void Set(const FleetShare& parts) {
    const bool by_demand = shares_follow_demand_ && parts.member_count > 0 && !parts.stopped;
    factors_ = shares_;
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      // By demand: newcomers of the view have their part from now on, whoever stays makes room for
      // it.
      double share = std::min(shares_[i], parts.share);
      if (by_demand) share = shares_[i] * std::min(1.0, parts.share / computed_for_);
      factors_[i] = shares_[i] > 0 ? share / shares_[i] : 1;
      shares_[i] = share;
    }
    computed_for_ = std::min(computed_for_, parts.share);
    share_ = parts.share;
    member_count_ = parts.member_count;
    // Six bits in a report tell one view from those shortly before and after it.
    view_ = parts.member_count == 0 ? 0 : static_cast<std::uint8_t>(1 + parts.epoch % 63);
    if (parts.stopped) {
      shares_follow_demand_ = false;
      must_hold_ = true;
    }
    ApplyTenantFactors(parts.tenant_rates_rps);
  }
  // By how much a rate that was reckoned before the last Set is to fall: 0 to 1. A tenant's rate
  // that was given may also rise, by more than 1: whoever gives them keeps their sum.
  double Factor(std::size_t i) const { return i < factors_.size() ? factors_[i] : 1; }
  std::uint8_t view() const { return view_; }  // for the reports; 0: cut off

  // The whole tier's rates, as this dispatcher has to take them so that its share of them is what
  // it may have. `all`: own rates and those of the `heard` others that were heard of late;
  // `others_hear`: each of these hears all. A share falls at once, but when the way to reckon
  // changes it rises only after `hold_s`: by then others, who may reckon in the other way yet, have
  // heard of it.
  std::vector<double> TierRates(double now, double hold_s, const std::vector<double>& own,
                                const std::vector<double>& all, int heard, bool others_hear) {
    hears_all_ = member_count_ > 1 && heard >= member_count_ - 1;
    const bool by_demand = hears_all_ && others_hear;
    if (by_demand != shares_follow_demand_ || std::exchange(must_hold_, false)) changed_at_ = now;
    shares_follow_demand_ = by_demand;
    if (shares_.size() != own.size()) shares_.assign(own.size(), share_);
    std::vector<double> fleet(own.size());
    computed_for_ = share_;
    for (std::size_t i = 0; i < own.size(); ++i) {
      double share = share_;
      if (by_demand && all[i] > 0) share = share_ * member_count_ * own[i] / all[i];
      if (now - changed_at_ < hold_s) share = std::min(share, shares_[i]);
      shares_[i] = share;
      fleet[i] = own[i] / std::max(share, kMinShare);
    }
    return fleet;
  }

  bool HasTenantRate(std::size_t i) const { return HasRate(tenant_rates_, i); }
  // Of `own` jobs per second of a tenant the share that its given rate lets in; 1 where there is
  // none.
  double AdmitShare(std::size_t i, double own) const {
    return HasRate(tenant_rates_, i) && own > tenant_rates_[i] ? tenant_rates_[i] / own : 1;
  }
  // Puts into `fleet`, for each tenant with a rate that was given, a rate of the whole tier: where
  // more is asked for than was given, the one of which the quota lets in just the given rate here;
  // else at most the quota, so that all is let in.
  void ApplyTenantRates(const std::vector<double>& own, const std::vector<TenantSettings>& tenants,
                        std::vector<double>* fleet) const {
    for (std::size_t i = 0; i < tenants.size(); ++i) {
      if (!HasRate(tenant_rates_, i) || tenants[i].quota_rps <= 0) continue;
      const double quota = tenants[i].quota_rps;
      const double share = std::min(1.0, tenant_rates_[i] / quota);
      const bool binds = own[i] > tenant_rates_[i];
      (*fleet)[i] = binds ? own[i] / std::max(share, kMinShare)
                          : std::min(own[i] / std::max(share_, kMinShare), quota);
    }
  }

  // What a warm worker carries of this dispatcher's sends: `mine` by its own count, `all` by that
  // of all that are heard. Cut off, not more than its share of what all had there before.
  double WorkerRate(double mine, double all, std::size_t sends) {
    if (!on()) return mine;
    if (shares_follow_demand_) {
      worker_rate_rps_ = std::max(worker_rate_rps_ * kWorkerRateKeep, all);
      return mine;
    }
    const bool known = worker_rate_rps_ > 0 && sends < shares_.size();
    return known ? std::min(mine, shares_[sends] * worker_rate_rps_) : mine;
  }

 private:
  static constexpr double kMinShare = 1e-6, kWorkerRateKeep = 0.99;
  static bool HasRate(const std::vector<double>& rates, std::size_t i) {
    return i < rates.size() && rates[i] >= 0;
  }
  void ApplyTenantFactors(const std::vector<double>& rates) {
    if (factors_.size() < rates.size()) factors_.resize(rates.size(), 1.0);
    for (std::size_t i = 0; i < rates.size(); ++i) {
      if (!HasRate(rates, i)) continue;
      const double before = HasRate(tenant_rates_, i) ? tenant_rates_[i] : rates[i];
      factors_[i] = before > 0 ? rates[i] / before : 1;
    }
    tenant_rates_ = rates;
  }

  double share_ = -1, computed_for_ = -1, changed_at_ = -1e18, worker_rate_rps_ = 0;
  int member_count_ = 0;
  std::uint8_t view_ = 0;
  bool hears_all_ = false, shares_follow_demand_ = false, must_hold_ = false;
  std::vector<double> shares_, factors_;  // by rate, as last reckoned
  std::vector<double> tenant_rates_;      // as given; below 0: none
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_AGREED_SHARE_H_
