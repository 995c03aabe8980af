// Estimates how many slots a kind of worker has, from reports of free slots.
//
// The free slots of a report plus those that were surely in use then are the capacity, whatever the
// load. Samples stray: low where a job has just started, high where one has just ended. The
// estimate is an upper quantile of them.
#ifndef MILLETHOLLOW_SCHEDULING_CAPACITY_ESTIMATOR_H_
#define MILLETHOLLOW_SCHEDULING_CAPACITY_ESTIMATOR_H_

#include <algorithm>
#include <cmath>
#include <map>

namespace millethollow::scheduling {

class CapacityEstimator {
 public:
  static constexpr double kMinReports = 3;   // fewer give no estimate
  static constexpr double kQuantile = 0.75;  // of the samples, by weight
  static constexpr double kHalfLifeS = 30;   // of a sample's weight
  static constexpr double kMaxSlots = 4096;  // larger samples are ignored
  static constexpr double kMinWeight = 0.01;

  // `taken`: slots that were surely in use when `free` were reported. `now`: seconds, not falling.
  void OnReport(int kind, double free, double taken, double now) {
    const double slots = std::round(free) + taken;
    if (!(slots >= 0.5) || slots > kMaxSlots) return;
    Kind& k = kinds_[kind];
    if (free < 0.5) {
      // Some attempts may wait at the worker: an upper bound, used until there is an estimate.
      k.bound = k.bounds++ == 0 ? slots : std::min(k.bound, slots);
      return;
    }
    const double keep = std::exp2((k.at - now) / kHalfLifeS);
    for (auto& [value, weight] : k.weights) weight *= keep;
    k.at = now;
    k.weights[static_cast<int>(std::lround(slots))] += 1;
    std::erase_if(k.weights, [](const auto& w) { return w.second < kMinWeight; });
    double all = 0, sum = 0;
    for (const auto& [value, weight] : k.weights) all += weight;
    if (all < kMinReports) return;
    for (const auto& [value, weight] : k.weights) {
      sum += weight;
      k.slots = value;
      if (sum >= kQuantile * all) return;
    }
  }
  // 0: not known. A kind without an estimate gets the mean of the others.
  double SlotsOf(int kind) const {
    const auto it = kinds_.find(kind);
    if (it != kinds_.end() && it->second.Known() > 0) return it->second.Known();
    double sum = 0, n = 0;
    for (const auto& [other, k] : kinds_) {
      sum += k.Known();
      n += k.Known() > 0;
    }
    return n > 0 ? std::round(sum / n) : 0;
  }

 private:
  struct Kind {
    double slots = 0, at = 0, bound = 0;
    int bounds = 0;
    std::map<int, double> weights;  // of each number of slots
    double Known() const {
      return slots > 0 ? slots : bounds >= kMinReports ? std::max(1.0, bound) : 0;
    }
  };
  std::map<int, Kind> kinds_;
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_CAPACITY_ESTIMATOR_H_
