// Budgets for hedged requests and for shedding of queued work.
#ifndef MILLETHOLLOW_BALANCING_HEDGE_BUDGET_H_
#define MILLETHOLLOW_BALANCING_HEDGE_BUDGET_H_

#include <algorithm>

namespace millethollow::balancing {

// Hedged requests that are permitted now. Each attempt adds to the budget, each hedge takes one (a
// retry budget). Where load is never reported a hedge is the only way to a free slot; how much an
// attempt adds is then controlled by AIMD, since nothing says whether a cancel ends queued work.
class HedgeBudget {
 public:
  static constexpr double kMaxPerAttempt = 1.0;

  // Hedges that an attempt adds to the budget at first; 0: only lost attempts are hedged.
  void SetPerAttempt(double hedges) { per_attempt_ = hedges; }
  void OnAttempt() { available_ = std::min(kMaxAvailable, available_ + per_attempt_); }
  bool Available() const { return available_ >= 1; }
  void Spend() { available_ -= 1; }
  void OnRateCut() { per_attempt_ /= 2; }
  void OnRateRise(double factor) {
    per_attempt_ = std::min((per_attempt_ + kRiseStep) * factor, kMaxPerAttempt);
  }

 private:
  friend struct StateTransfer;  // handed over in a hot restart
  static constexpr double kMaxAvailable = 3.0;
  static constexpr double kRiseStep = 0.01;

  double available_ = 0;
  double per_attempt_ = 0;
};

// Queued jobs that may be cancelled while the tier is full, one for each job that starts.
class ShedBudget {
 public:
  void OnStart() { available_ = std::min(available_ + 1, kMaxAvailable); }
  bool Available() const { return available_ >= 1; }
  void Spend() { available_ -= 1; }

 private:
  friend struct StateTransfer;  // handed over in a hot restart
  static constexpr double kMaxAvailable = 10.0;

  double available_ = 0;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_HEDGE_BUDGET_H_
