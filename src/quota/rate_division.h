// Division of one tenant's leasable rate among dispatchers by their demand, in requests per second.
// Pure functions.
#ifndef MILLETHOLLOW_QUOTA_RATE_DIVISION_H_
#define MILLETHOLLOW_QUOTA_RATE_DIVISION_H_

#include <vector>

namespace millethollow::quota {

// One dispatcher in a division.
struct DispatcherDemand {
  double demand_rps = 0;
  double rate_rps = 0;  // its current one
};

// A smaller free rate, as a fraction of the divided rate, stays unused.
constexpr double kNegligibleFraction = 1e-3;

// Relative difference of sums that are equal but for rounding.
constexpr double kRoundingTolerance = 1e-9;

// Rates in proportion to demand, 0 without demand. Divides all of `available` where there is any
// demand.
std::vector<double> ProportionalRates(double available,
                                      const std::vector<DispatcherDemand>& demands);

// The same with hysteresis: a dispatcher keeps its rate while that differs from its proportional
// rate by at most the fraction `hysteresis`, unless others need the surplus or free rate is left.
// Those furthest from their proportional rate change first.
std::vector<double> RatesWithHysteresis(double available,
                                        const std::vector<DispatcherDemand>& demands,
                                        double hysteresis);

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_RATE_DIVISION_H_
