// Demand in the simulation of quota leases: forms of it, and how much of a quota is in use.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_QUOTA_DEMAND_H_
#define MILLETHOLLOW_TESTS_SUPPORT_QUOTA_DEMAND_H_

#include <algorithm>
#include <string>
#include <vector>

#include "support/quota_simulation.h"

namespace millethollow::quota {

// Demand of one tenant at each dispatcher: at none, one, a region, all alike or all by chance.
inline std::vector<double> PickDemand(Random* random, std::size_t dispatchers, std::size_t regions,
                                      double quota) {
  constexpr double kMostOfQuota = 3;
  std::vector<double> weights(dispatchers, 0);
  const std::size_t form = random->Below(8), one = random->Below(dispatchers);
  for (std::size_t i = 0; i < dispatchers; ++i) {
    switch (form) {
      case 0:
        break;
      case 1:
      case 2:
        weights[i] = i == one;
        break;
      case 3:
      case 4:
        weights[i] = i % regions == one % regions;
        break;
      case 5:
        weights[i] = 1;
        break;
      default:
        weights[i] = random->Unit();
    }
  }
  double sum = 0;
  for (const double weight : weights) sum += weight;
  if (sum <= 0) return weights;
  const double total = kMostOfQuota * quota * random->Unit();
  for (double& weight : weights) weight *= total / sum;
  return weights;
}

inline void SetDemandOf(QuotaSimulation* simulation, std::size_t tenant,
                        const std::vector<double>& demand) {
  for (std::size_t i = 0; i < demand.size(); ++i) {
    if (demand[i] != simulation->demand(i, tenant)) simulation->SetDemand(i, tenant, demand[i]);
  }
}

// Jobs per second of a tenant that are admitted, and that could be: its demand, or all of its quota
// but the floors of dispatchers that have no use for them.
struct Use {
  double admitted = 0, possible = 0;
  bool Full() const {
    constexpr double kFullPart = 0.95;
    return admitted >= kFullPart * possible;
  }
};

inline Use UseOf(const QuotaSimulation& simulation, std::size_t tenant) {
  const double floors = simulation.options().timings.floor_fraction * simulation.quota(tenant);
  const double floor = floors / static_cast<double>(simulation.size());
  Use use;
  double demand = 0, usable_floors = 0;
  for (std::size_t i = 0; i < simulation.size(); ++i) {
    const double wanted = simulation.demand(i, tenant);
    demand += wanted;
    usable_floors += std::min(wanted, floor);
    use.admitted += std::min(wanted, simulation.RateOf(i, tenant));
  }
  use.possible = std::min(demand, simulation.quota(tenant) - floors + usable_floors);
  return use;
}

// The first tenant of whose quota too little is in use; empty: there is none.
inline std::string FirstUnused(const QuotaSimulation& simulation) {
  for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
    const Use use = UseOf(simulation, tenant);
    if (use.Full()) continue;
    return "at " + std::to_string(simulation.now()) + " s tenant " + std::to_string(tenant) +
           " has " + std::to_string(use.admitted) + " of " + std::to_string(use.possible);
  }
  return "";
}

// The longest until all of a quota is in use after the last fault, from when everyone is well and
// knows the view: an allocator before may have granted for superseded_grant_s, its leases last
// their span, and a dispatcher learns what is free with a renewal.
inline double FullUseAgainSeconds(const LeaseTimings& timings) {
  return (timings.superseded_grant_s + timings.lease_duration_s) *
             (1 + 4 * timings.max_clock_drift) +
         2 * timings.renew_interval_s;
}

// Messages that were refused by the processes that are there.
inline std::uint64_t RefusedEverywhere(const QuotaSimulation& simulation) {
  std::uint64_t refused = 0;
  for (std::size_t i = 0; i < simulation.size(); ++i) {
    const QuotaSimulation::Process& process = simulation.process(i);
    if (process.holder) {
      for (const std::uint64_t count : process.holder->counters().rejected) refused += count;
    }
    if (process.allocator) {
      for (const std::uint64_t count : process.allocator->counters().rejected) refused += count;
    }
  }
  return refused;
}

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_TESTS_SUPPORT_QUOTA_DEMAND_H_
