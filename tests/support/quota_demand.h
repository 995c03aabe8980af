// Demand in the simulation of quota leases: patterns of it, and the utilization of quotas.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_QUOTA_DEMAND_H_
#define MILLETHOLLOW_TESTS_SUPPORT_QUOTA_DEMAND_H_

#include <algorithm>
#include <string>
#include <vector>

#include "support/quota_simulation.h"

namespace millethollow::quota {

// Random demand of one tenant at each dispatcher, in requests per second: at none, at one, in one
// region, equal at all or random at all.
inline std::vector<double> RandomDemand(Random* random, std::size_t dispatchers,
                                        std::size_t regions, double quota) {
  constexpr double kMaxQuotaMultiple = 3;
  std::vector<double> weights(dispatchers, 0);
  const std::size_t pattern = random->Below(8), chosen = random->Below(dispatchers);
  for (std::size_t i = 0; i < dispatchers; ++i) {
    switch (pattern) {
      case 0:
        break;
      case 1:
      case 2:
        weights[i] = i == chosen;
        break;
      case 3:
      case 4:
        weights[i] = i % regions == chosen % regions;
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
  const double total = kMaxQuotaMultiple * quota * random->Unit();
  for (double& weight : weights) weight *= total / sum;
  return weights;
}

inline void SetTenantDemand(QuotaSimulation* simulation, std::size_t tenant,
                            const std::vector<double>& demand) {
  for (std::size_t i = 0; i < demand.size(); ++i) {
    if (demand[i] != simulation->demand(i, tenant)) simulation->SetDemand(i, tenant, demand[i]);
  }
}

// Requests per second of a tenant that are admitted, and that could be: its demand, or its quota
// less the floor rates that dispatchers have without demand for them.
struct Utilization {
  double admitted = 0, achievable = 0;
  bool IsFull() const {
    constexpr double kFullFraction = 0.95;
    return admitted >= kFullFraction * achievable;
  }
};

inline Utilization UtilizationOf(const QuotaSimulation& simulation, std::size_t tenant) {
  const double floors = simulation.options().timings.floor_fraction * simulation.quota(tenant);
  const double floor = floors / static_cast<double>(simulation.size());
  Utilization utilization;
  double demand = 0, usable_floors = 0;
  for (std::size_t i = 0; i < simulation.size(); ++i) {
    const double dispatcher_demand = simulation.demand(i, tenant);
    demand += dispatcher_demand;
    usable_floors += std::min(dispatcher_demand, floor);
    utilization.admitted += std::min(dispatcher_demand, simulation.RateOf(i, tenant));
  }
  utilization.achievable = std::min(demand, simulation.quota(tenant) - floors + usable_floors);
  return utilization;
}

// Describes the first tenant whose quota is underused; empty: there is none.
inline std::string DescribeUnderused(const QuotaSimulation& simulation) {
  for (std::size_t tenant = 0; tenant < simulation.tenants(); ++tenant) {
    const Utilization utilization = UtilizationOf(simulation, tenant);
    if (utilization.IsFull()) continue;
    return "at " + std::to_string(simulation.now()) + " s tenant " + std::to_string(tenant) +
           " has " + std::to_string(utilization.admitted) + " of " +
           std::to_string(utilization.achievable);
  }
  return "";
}

// The longest time until all of a quota is in use again, from when all processes run and know the
// view: an earlier allocator may have granted for superseded_grant_s, its leases last for their
// duration, and a dispatcher gets the rate that is free with a renewal.
inline double MaxRecoverySeconds(const LeaseTimings& timings) {
  return (timings.superseded_grant_s + timings.lease_duration_s) *
             (1 + 4 * timings.max_clock_drift) +
         2 * timings.renew_interval_s;
}

// Number of messages that the running processes have rejected.
inline std::uint64_t RejectedMessages(const QuotaSimulation& simulation) {
  std::uint64_t rejected = 0;
  for (std::size_t i = 0; i < simulation.size(); ++i) {
    const QuotaSimulation::Process& process = simulation.process(i);
    if (process.holder) {
      for (const std::uint64_t count : process.holder->counters().rejected) rejected += count;
    }
    if (process.allocator) {
      for (const std::uint64_t count : process.allocator->counters().rejected) rejected += count;
    }
  }
  return rejected;
}

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_TESTS_SUPPORT_QUOTA_DEMAND_H_
