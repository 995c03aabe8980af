// Estimates how many slots a kind of worker has, from load reports with free slots.
//
// Each report gives a sample of the capacity, independent of the load: the reported free slots plus
// the slots that were certainly in use at that time. A sample is too low if a job has just started
// and too high if one has just ended, so the estimate is an upper quantile of the samples.
#ifndef MILLETHOLLOW_SCHEDULING_CAPACITY_ESTIMATOR_H_
#define MILLETHOLLOW_SCHEDULING_CAPACITY_ESTIMATOR_H_

#include <algorithm>
#include <cmath>
#include <map>

namespace millethollow::scheduling {

// Estimates slots by kind of worker. Not thread-safe.
class CapacityEstimator {
 public:
  static constexpr double kMinSamples = 3;    // before there is an estimate
  static constexpr double kQuantile = 0.75;   // of the samples, by weight
  static constexpr double kHalfLifeS = 30;    // of a sample's weight
  static constexpr double kMaxSlots = 4096;   // larger samples are ignored
  static constexpr double kMinWeight = 0.01;  // samples with less are dropped

  // Adds a report of `free_slots` from a worker of the kind on which `slots_in_use` slots were
  // certainly in use at that time. `now`: seconds on the caller's clock, which must not go
  // backwards.
  void OnReport(int kind, double free_slots, double slots_in_use, double now) {
    const double slots = std::round(free_slots) + slots_in_use;
    if (!(slots >= 0.5) || slots > kMaxSlots) return;
    KindEstimate& estimate = kinds_[kind];
    if (free_slots < 0.5) {
      // Attempts may be queued at the worker, so the sample is only an upper bound of the capacity.
      // It is used until there is an estimate.
      estimate.upper_bound =
          estimate.upper_bound_samples++ == 0 ? slots : std::min(estimate.upper_bound, slots);
      return;
    }
    const double decay = std::exp2((estimate.decayed_at - now) / kHalfLifeS);
    for (auto& [slot_count, weight] : estimate.weights) weight *= decay;
    estimate.decayed_at = now;
    estimate.weights[static_cast<int>(std::lround(slots))] += 1;
    std::erase_if(estimate.weights, [](const auto& entry) { return entry.second < kMinWeight; });
    double total_weight = 0, sum = 0;
    for (const auto& [slot_count, weight] : estimate.weights) total_weight += weight;
    if (total_weight < kMinSamples) return;
    for (const auto& [slot_count, weight] : estimate.weights) {
      sum += weight;
      estimate.slots = slot_count;
      if (sum >= kQuantile * total_weight) return;
    }
  }
  // The estimated slots of a worker of the kind, or the mean over the other kinds if there is no
  // estimate for it; 0 if nothing is known.
  double SlotsOf(int kind) const {
    const auto it = kinds_.find(kind);
    if (it != kinds_.end() && it->second.Slots() > 0) return it->second.Slots();
    double sum = 0, known_kinds = 0;
    for (const auto& [other_kind, estimate] : kinds_) {
      sum += estimate.Slots();
      known_kinds += estimate.Slots() > 0;
    }
    return known_kinds > 0 ? std::round(sum / known_kinds) : 0;
  }

 private:
  struct KindEstimate {
    double slots = 0, decayed_at = 0, upper_bound = 0;
    int upper_bound_samples = 0;
    std::map<int, double> weights;  // by number of slots
    double Slots() const {
      return slots > 0                            ? slots
             : upper_bound_samples >= kMinSamples ? std::max(1.0, upper_bound)
                                                  : 0;
    }
  };
  std::map<int, KindEstimate> kinds_;
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_CAPACITY_ESTIMATOR_H_
