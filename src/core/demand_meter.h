// Measures the demand of each tenant: the rate at which its requests arrive, admitted or not.
#ifndef MILLETHOLLOW_CORE_DEMAND_METER_H_
#define MILLETHOLLOW_CORE_DEMAND_METER_H_

#include <cmath>
#include <cstddef>
#include <vector>

namespace millethollow {

// Keeps two exponential moving averages of each tenant's arrival rate. The slow one is reported
// until the fast one differs from it by more than random variation explains: quota leases then
// follow a real change at once, but not noise.
//
// Times are seconds on the caller's clock. Not thread-safe.
class DemandMeter {
 public:
  explicit DemandMeter(std::size_t tenants) : tenants_(tenants) {}

  // Counts a request of the tenant that arrived at `now`. Ignores unknown tenants.
  void Count(double now, std::size_t tenant) {
    if (tenant >= tenants_.size()) return;
    Means& means = tenants_[tenant];
    Decay(now, &means);
    means.fast += 1 / kFastTimeConstantS;
    means.slow += 1 / kSlowTimeConstantS;
  }

  // The arrival rate of each tenant, by index, in requests per second.
  std::vector<double> Rates(double now) {
    std::vector<double> rates;
    rates.reserve(tenants_.size());
    for (Means& means : tenants_) {
      Decay(now, &means);
      const double difference = std::abs(means.fast - means.slow);
      if (difference > kMaxDeviations * StandardDeviation(means.slow)) {
        means.slow = means.fast;
      }
      rates.push_back(means.slow);
    }
    return rates;
  }

 private:
  static constexpr double kFastTimeConstantS = 0.6, kSlowTimeConstantS = 2.0;
  // In standard deviations of the fast average; a larger difference counts as a change of demand.
  static constexpr double kMaxDeviations = 2.0;

  // Requests per second, as of `updated_at`.
  struct Means {
    double fast = 0, slow = 0, updated_at = 0;
  };
  static void Decay(double now, Means* means) {
    const double elapsed_s = now - means->updated_at;
    means->fast *= std::exp(-elapsed_s / kFastTimeConstantS);
    means->slow *= std::exp(-elapsed_s / kSlowTimeConstantS);
    means->updated_at = now;
  }
  // Standard deviation of the fast average for Poisson arrivals at `rate`.
  static double StandardDeviation(double rate) {
    return std::sqrt(rate / (2 * kFastTimeConstantS));
  }

  std::vector<Means> tenants_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_DEMAND_METER_H_
