// How many slots a kind of worker has, learned from what its workers tell is free.
//
// A report of free slots together with the slots that surely are taken gives the capacity, whatever
// the load; free slots alone would need an idle worker. Figures stray: down where a job has only
// just begun, up where one has just ended. A kind has an upper quantile of them.
#ifndef MILLETHOLLOW_SCHEDULING_CAPACITY_H_
#define MILLETHOLLOW_SCHEDULING_CAPACITY_H_

#include <algorithm>
#include <cmath>
#include <map>

namespace millethollow::scheduling {

class Capacity {
 public:
  static constexpr double kEnough = 3;  // reports, before anything is known
  static constexpr double kUpper = 0.75;
  static constexpr double kHalfS = 30;   // a report counts half after so long
  static constexpr double kMost = 4096;  // a larger figure is none

  void Told(int kind, double slots, double now) {
    if (!(slots >= 0.5) || slots > kMost) return;
    Kind& k = kinds_[kind];
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
  double Of(int kind) const {  // 0: not known
    const auto it = kinds_.find(kind);
    return it == kinds_.end() ? 0 : it->second.slots;
  }

 private:
  struct Kind {
    double slots = 0, at = 0;
    std::map<int, double> weights;  // how often each figure came
  };
  std::map<int, Kind> kinds_;
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_CAPACITY_H_
