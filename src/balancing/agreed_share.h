// The share of the fleet's capacity that a dispatcher may use in a cluster, where the members agree
// on shares.
#ifndef MILLETHOLLOW_BALANCING_AGREED_SHARE_H_
#define MILLETHOLLOW_BALANCING_AGREED_SHARE_H_

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {

// The agreed share is even, or by demand while all members receive each other's reports; for a
// tenant with an allocated rate, that rate applies instead. Invariant: the shares of all members
// never add up to more than 1. Disabled until a share is set.
class AgreedShare {
 public:
  // Whether a share is set.
  bool enabled() const { return share_ >= 0; }
  double share() const { return share_; }
  // Whether all other members of the agreed view have reported recently. Usage reports contain it.
  bool receives_all() const { return receives_all_; }

  // After the process was stopped for this long, in seconds, the other members may have missed this
  // dispatcher's reports and may use its share.
  static constexpr double kStoppedS = 1.0;
  // Sets the agreed share. It takes effect at once.
  void Set(const FleetShare& fleet_share) {
    const bool by_demand =
        shares_follow_demand_ && fleet_share.member_count > 0 && !fleet_share.stopped;
    factors_ = shares_;
    for (std::size_t index = 0; index < shares_.size(); ++index) {
      // Where shares follow demand, all are scaled down alike, which frees the shares of new
      // members.
      double share = std::min(shares_[index], fleet_share.share);
      if (by_demand)
        share = shares_[index] * std::min(1.0, fleet_share.share / shares_computed_for_);
      factors_[index] = shares_[index] > 0 ? share / shares_[index] : 1;
      shares_[index] = share;
    }
    shares_computed_for_ = std::min(shares_computed_for_, fleet_share.share);
    share_ = fleet_share.share;
    member_count_ = fleet_share.member_count;
    // Six bits of a report distinguish a view from those shortly before and after it.
    view_ =
        fleet_share.member_count == 0 ? 0 : static_cast<std::uint8_t>(1 + fleet_share.epoch % 63);
    if (fleet_share.stopped) {
      shares_follow_demand_ = false;
      must_restart_hold_ = true;
    }
    ApplyTenantFactors(fleet_share.tenant_rates_rps);
  }
  // The factor by which the last Set changed the rate at this index: 0 to 1. A tenant's allocated
  // rate may also rise: the allocator bounds the sum of these rates.
  double Factor(std::size_t index) const { return index < factors_.size() ? factors_[index] : 1; }
  std::uint8_t view() const { return view_; }  // sent in usage reports; 0: cut off

  // Returns the rates of the whole tier, scaled so that this dispatcher's part of them is its
  // share. `received_rates`: sum of the own rates and those of the `reporting` peers that reported
  // recently; `others_receive_all`: each of these peers receives all reports. A share falls at
  // once. After a change between even shares and shares by demand it rises only after `hold_s`
  // seconds: by then the other members have changed too.
  std::vector<double> TierRates(double now, double hold_s, const std::vector<double>& own_rates,
                                const std::vector<double>& received_rates, int reporting,
                                bool others_receive_all) {
    receives_all_ = member_count_ > 1 && reporting >= member_count_ - 1;
    const bool by_demand = receives_all_ && others_receive_all;
    if (by_demand != shares_follow_demand_ || std::exchange(must_restart_hold_, false))
      share_rule_changed_at_ = now;
    shares_follow_demand_ = by_demand;
    if (shares_.size() != own_rates.size()) shares_.assign(own_rates.size(), share_);
    std::vector<double> tier_rates(own_rates.size());
    shares_computed_for_ = share_;
    for (std::size_t index = 0; index < own_rates.size(); ++index) {
      double share = share_;
      if (by_demand && received_rates[index] > 0)
        share = share_ * member_count_ * own_rates[index] / received_rates[index];
      if (now - share_rule_changed_at_ < hold_s) share = std::min(share, shares_[index]);
      shares_[index] = share;
      tier_rates[index] = own_rates[index] / std::max(share, kMinShare);
    }
    return tier_rates;
  }

  // Whether the tenant has an allocated rate.
  bool HasTenantRate(std::size_t index) const { return HasRate(tenant_rates_, index); }
  // The share of `own_rps` requests per second that the tenant's allocated rate admits; 1 if the
  // tenant has none.
  double AdmitShare(std::size_t index, double own_rps) const {
    return HasRate(tenant_rates_, index) && own_rps > tenant_rates_[index]
               ? tenant_rates_[index] / own_rps
               : 1;
  }
  // Sets the tier's rate in `tier_rates` for each tenant with an allocated rate. Where demand
  // exceeds the allocated rate, it is the rate of which the quota admits exactly the allocated rate
  // here; otherwise at most the quota, so that everything is admitted.
  void ApplyTenantRates(const std::vector<double>& own_rates,
                        const std::vector<TenantSettings>& tenants,
                        std::vector<double>* tier_rates) const {
    for (std::size_t index = 0; index < tenants.size(); ++index) {
      if (!HasRate(tenant_rates_, index) || tenants[index].quota_rps <= 0) continue;
      const double quota = tenants[index].quota_rps;
      const double share = std::min(1.0, tenant_rates_[index] / quota);
      const bool exceeds_rate = own_rates[index] > tenant_rates_[index];
      (*tier_rates)[index] = exceeds_rate
                                 ? own_rates[index] / std::max(share, kMinShare)
                                 : std::min(own_rates[index] / std::max(share_, kMinShare), quota);
    }
  }

  // The part of this dispatcher's attempts, in requests per second, that a worker past its slow
  // start carries: `own_rps` by its own count, `received_rps` by that of all dispatchers whose
  // reports are received. A dispatcher that is cut off gets at most its share of what all sent
  // before.
  double WorkerRate(double own_rps, double received_rps, std::size_t sends_index) {
    if (!enabled()) return own_rps;
    if (shares_follow_demand_) {
      worker_rate_rps_ = std::max(worker_rate_rps_ * kWorkerRateKeep, received_rps);
      return own_rps;
    }
    const bool has_tier_rate = worker_rate_rps_ > 0 && sends_index < shares_.size();
    return has_tier_rate ? std::min(own_rps, shares_[sends_index] * worker_rate_rps_) : own_rps;
  }

 private:
  // kMinShare avoids a division by zero. kWorkerRateKeep is the part of the largest rate of a
  // worker that is kept from one control round to the next.
  static constexpr double kMinShare = 1e-6, kWorkerRateKeep = 0.99;
  static bool HasRate(const std::vector<double>& rates, std::size_t index) {
    return index < rates.size() && rates[index] >= 0;
  }
  void ApplyTenantFactors(const std::vector<double>& rates) {
    if (factors_.size() < rates.size()) factors_.resize(rates.size(), 1.0);
    for (std::size_t index = 0; index < rates.size(); ++index) {
      if (!HasRate(rates, index)) continue;
      const double old_rate = HasRate(tenant_rates_, index) ? tenant_rates_[index] : rates[index];
      factors_[index] = old_rate > 0 ? rates[index] / old_rate : 1;
    }
    tenant_rates_ = rates;
  }

  double share_ = -1, shares_computed_for_ = -1, share_rule_changed_at_ = -1e18,
         worker_rate_rps_ = 0;
  int member_count_ = 0;
  std::uint8_t view_ = 0;
  bool receives_all_ = false, shares_follow_demand_ = false, must_restart_hold_ = false;
  std::vector<double> shares_, factors_;  // by rate, as last computed
  std::vector<double> tenant_rates_;      // requests per second by tenant; negative: none
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_AGREED_SHARE_H_
