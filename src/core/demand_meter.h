// How much is asked for of each tenant, counted as it comes in. Quick where demand moves, and
// steady where it only strays by chance: leases follow it, and need not swing with it.
#ifndef MILLETHOLLOW_CORE_DEMAND_METER_H_
#define MILLETHOLLOW_CORE_DEMAND_METER_H_

#include <cmath>
#include <cstddef>
#include <vector>

namespace millethollow {

class DemandMeter {
 public:
  explicit DemandMeter(std::size_t tenants) : tenants_(tenants) {}

  // A request came in, whatever is done with it.
  void Count(double now, std::size_t tenant) {
    if (tenant >= tenants_.size()) return;
    Means& means = tenants_[tenant];
    Decay(now, &means);
    means.quick += 1 / kQuickS;
    means.steady += 1 / kSteadyS;
  }

  // By tenant, in requests per second.
  std::vector<double> Rates(double now) {
    std::vector<double> all;
    all.reserve(tenants_.size());
    for (Means& means : tenants_) {
      Decay(now, &means);
      if (std::abs(means.quick - means.steady) > kStray * Stray(means.steady)) {
        means.steady = means.quick;
      }
      all.push_back(means.steady);
    }
    return all;
  }

 private:
  static constexpr double kQuickS = 0.6, kSteadyS = 2.0;  // over which each mean fades
  // The quick mean counts where it is this many standard deviations off the steady one.
  static constexpr double kStray = 2.0;

  struct Means {
    double quick = 0, steady = 0, at = 0;
  };
  static void Decay(double now, Means* means) {
    const double span = now - means->at;
    means->quick *= std::exp(-span / kQuickS);
    means->steady *= std::exp(-span / kSteadyS);
    means->at = now;
  }
  // The standard deviation of the quick mean of a Poisson stream.
  static double Stray(double rate) { return std::sqrt(rate / (2 * kQuickS)); }

  std::vector<Means> tenants_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_DEMAND_METER_H_
