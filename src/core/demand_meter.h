// Measures each tenant's demand: requests per second that arrive, whether admitted or not.
#ifndef MILLETHOLLOW_CORE_DEMAND_METER_H_
#define MILLETHOLLOW_CORE_DEMAND_METER_H_

#include <cmath>
#include <cstddef>
#include <vector>

namespace millethollow {

// Two exponential means: the steady one is used until the quick one differs by more than chance, so
// that quota leases follow a change at once but don't follow noise. Times are seconds on the
// caller's clock.
class DemandMeter {
 public:
  explicit DemandMeter(std::size_t tenants) : tenants_(tenants) {}

  // A request of the tenant arrived. Unknown tenants are ignored.
  void Count(double now, std::size_t tenant) {
    if (tenant >= tenants_.size()) return;
    Means& means = tenants_[tenant];
    Decay(now, &means);
    means.quick += 1 / kQuickS;
    means.steady += 1 / kSteadyS;
  }

  // By tenant, in requests per second.
  std::vector<double> Rates(double now) {
    std::vector<double> rates;
    rates.reserve(tenants_.size());
    for (Means& means : tenants_) {
      Decay(now, &means);
      const double difference = std::abs(means.quick - means.steady);
      if (difference > kMaxDeviations * StandardDeviation(means.steady)) {
        means.steady = means.quick;
      }
      rates.push_back(means.steady);
    }
    return rates;
  }

 private:
  static constexpr double kQuickS = 0.6, kSteadyS = 2.0;  // time constants
  static constexpr double kMaxDeviations = 2.0;           // a larger difference is not chance

  struct Means {
    double quick = 0, steady = 0, at = 0;
  };
  static void Decay(double now, Means* means) {
    const double span = now - means->at;
    means->quick *= std::exp(-span / kQuickS);
    means->steady *= std::exp(-span / kSteadyS);
    means->at = now;
  }
  // Of the quick mean, for Poisson arrivals.
  static double StandardDeviation(double rate) { return std::sqrt(rate / (2 * kQuickS)); }

  std::vector<Means> tenants_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_DEMAND_METER_H_
