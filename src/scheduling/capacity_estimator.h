// How many slots a kind of worker has, learned from what its workers tell is free.
//
// A report of free slots together with the slots that surely are taken gives the capacity, whatever
// the load; free slots alone would need an idle worker. Figures stray: down where a job has only
// just begun, up where one has just ended. A kind has an upper quantile of them.
#ifndef MILLETHOLLOW_SCHEDULING_CAPACITY_ESTIMATOR_H_
#define MILLETHOLLOW_SCHEDULING_CAPACITY_ESTIMATOR_H_

#include <algorithm>
#include <cmath>
#include <map>

namespace millethollow::scheduling {

class CapacityEstimator {
 public:
  static constexpr double kEnough = 3;  // reports, before anything is known
  static constexpr double kUpper = 0.75;
  static constexpr double kHalfS = 30;   // a report counts half after so long
  static constexpr double kMost = 4096;  // a larger figure is none

  // `taken`: slots that surely were taken when `free` were told to be free.
  void Told(int kind, double free, double taken, double now) {
    const double slots = std::round(free) + taken;
    if (!(slots >= 0.5) || slots > kMost) return;
    Kind& k = kinds_[kind];
    if (free < 0.5) {  // some of what is out there may wait: a bound, until better is known
      k.bound = k.bounds++ == 0 ? slots : std::min(k.bound, slots);
      return;
    }
    const double keep = std::exp2((k.at - now) / kHalfS);
    for (auto& [value, weight] : k.weights) weight *= keep;
    k.at = now;
    k.weights[static_cast<int>(std::lround(slots))] += 1;
    std::erase_if(k.weights, [](const auto& w) { return w.second < 0.01; });
    double all = 0, sum = 0;
    for (const auto& [value, weight] : k.weights) all += weight;
    if (all < kEnough) return;
    for (const auto& [value, weight] : k.weights) {
      sum += weight;
      k.slots = value;
      if (sum >= kUpper * all) return;
    }
  }
  // 0: not known. A kind of which nothing is known yet is taken for like the others.
  double Of(int kind) const {
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
    std::map<int, double> weights;  // how often each figure came
    double Known() const {
      return slots > 0 ? slots : bounds >= kEnough ? std::max(1.0, bound) : 0;
    }
  };
  std::map<int, Kind> kinds_;
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_CAPACITY_ESTIMATOR_H_
