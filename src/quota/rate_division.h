// Division of one tenant's leasable rate over dispatchers by their demand. Pure functions.
#ifndef MILLETHOLLOW_QUOTA_RATE_DIVISION_H_
#define MILLETHOLLOW_QUOTA_RATE_DIVISION_H_

#include <vector>

namespace millethollow::quota {

// One dispatcher's part in a division.
struct DispatcherDemand {
  double demand_rps = 0;
  double rate_rps = 0;  // that it has now
};

// Free rate below this share of what is divided is not worth a message.
constexpr double kNegligibleFraction = 1e-3;

// Sums of rates that should be equal differ by this share of them at most.
constexpr double kRoundingTolerance = 1e-9;

// The rate of each claim in proportion to its demand, 0 without demand; all of `available` is
// handed out where there is any demand.
std::vector<double> ProportionalRates(double available,
                                      const std::vector<DispatcherDemand>& claims);

// The same with hysteresis: a claim keeps its rate while that is within `hysteresis` of its
// proportional one, unless others need what it has too much, or something is left over. Those
// furthest from their proportional rate change first.
std::vector<double> RatesWithHysteresis(double available,
                                        const std::vector<DispatcherDemand>& claims,
                                        double hysteresis);

}  // namespace millethollow::quota

#endif  // MILLETHOLLOW_QUOTA_RATE_DIVISION_H_
