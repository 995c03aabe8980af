// The share of the fleet that a dispatcher may use where the tier agrees on shares (a cluster):
// an even share, or one by demand while all members hear each other; of a tenant's quota the rate
// allocated to it, if any. Invariant: the shares of all members never exceed 1 in sum. Off until
// a share is set.
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
  // All other members of the agreed view were heard lately; part of the usage reports.
  bool hears_all() const { return hears_all_; }

  // After a stop of this length others may have ceased to hear this dispatcher, and use its
  // share.
  static constexpr double kStoppedS = 1.0;
  void Set(const FleetShare& parts) {
    const bool by_demand = shares_follow_demand_ && parts.member_count > 0 && !parts.stopped;
    factors_ = shares_;
    for (std::size_t i = 0; i < shares_.size(); ++i) {
      // By demand: new members have their share from now on, the others make way for it.
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
  // The factor by which the last Set changed a rate: 0 to 1. A tenant's allocated rate may also
  // rise: who allocates them bounds their sum.
  double Factor(std::size_t i) const { return i < factors_.size() ? factors_[i] : 1; }
  std::uint8_t view() const { return view_; }  // for the reports; 0: cut off

  // The rates of the whole tier, scaled so that this dispatcher's part of them is its share.
  // `all`: own rates and those of the `heard` others that were heard lately; `others_hear`: each
  // of them hears all. A share falls at once, but after a change between even shares and shares
  // by demand it rises only after `hold_s`: by then the others have changed too.
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
  // The share of `own` jobs per second that the tenant's allocated rate admits; 1 where there is
  // none.
  double AdmitShare(std::size_t i, double own) const {
    return HasRate(tenant_rates_, i) && own > tenant_rates_[i] ? tenant_rates_[i] / own : 1;
  }
  // Sets in `fleet`, for each tenant with an allocated rate, the tier's rate: where demand
  // exceeds the allocated rate, the one of which the quota admits just that rate here; else at
  // most the quota, so that all is admitted.
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

  // What a warm worker carries of this dispatcher's attempts, per second: `mine` by its own
  // count, `all` by that of all dispatchers heard. Cut off, no more than its share of what all
  // sent before.
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
  std::vector<double> shares_, factors_;  // by rate, as last computed
  std::vector<double> tenant_rates_;      // per second; below 0: none
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_AGREED_SHARE_H_
