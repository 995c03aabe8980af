#include "quota/rate_division.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>

namespace millethollow::quota {
namespace {

double Sum(const std::vector<double>& rates) {
  return std::accumulate(rates.begin(), rates.end(), 0.0);
}

// Whether a dispatcher gets its proportional rate whatever the others need.
bool MustChange(double rate, double target, double hysteresis) {
  if (rate <= 0 || target <= 0) return rate != target;
  return std::abs(target - rate) > hysteresis * rate;
}

// The dispatchers above (`surplus`) or below their target rate, furthest first.
std::vector<std::size_t> Candidates(const std::vector<double>& rates,
                                    const std::vector<double>& targets, bool surplus) {
  const auto distance = [&](std::size_t i) {
    return surplus ? rates[i] - targets[i] : targets[i] - rates[i];
  };
  std::vector<std::size_t> found;
  for (std::size_t i = 0; i < rates.size(); ++i) {
    if (distance(i) > 0) found.push_back(i);
  }
  std::stable_sort(found.begin(), found.end(),
                   [&](std::size_t a, std::size_t b) { return distance(a) > distance(b); });
  return found;
}

}  // namespace

std::vector<double> ProportionalRates(double available,
                                      const std::vector<DispatcherDemand>& demands) {
  double total = 0;
  for (const DispatcherDemand& demand : demands) total += demand.demand_rps;
  std::vector<double> rates(demands.size(), 0.0);
  if (total <= 0 || available <= 0) return rates;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    rates[i] = available * (demands[i].demand_rps / total);
  }
  return rates;
}

std::vector<double> RatesWithHysteresis(double available,
                                        const std::vector<DispatcherDemand>& demands,
                                        double hysteresis) {
  const std::vector<double> targets = ProportionalRates(available, demands);
  std::vector<double> rates(demands.size());
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const bool change = MustChange(demands[i].rate_rps, targets[i], hysteresis);
    rates[i] = change ? targets[i] : demands[i].rate_rps;
  }
  double remaining = available - Sum(rates);
  const bool surplus = remaining < 0;
  for (const std::size_t i : Candidates(rates, targets, surplus)) {
    if (surplus ? remaining >= -kRoundingTolerance * available
                : remaining <= kNegligibleFraction * available)
      break;
    remaining += rates[i] - targets[i];
    rates[i] = targets[i];
  }
  return rates;
}

}  // namespace millethollow::quota
