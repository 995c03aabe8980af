// Budgets for hedged requests and for shedding queued requests.
#ifndef MILLETHOLLOW_BALANCING_HEDGE_BUDGET_H_
#define MILLETHOLLOW_BALANCING_HEDGE_BUDGET_H_

#include <algorithm>

namespace millethollow::balancing {

// A budget for hedged requests, like a retry budget: each attempt adds to it and each hedge takes
// one. Where workers never report load, hedging is the only way to find a free slot. The amount
// that an attempt adds is then controlled by AIMD, because nothing shows whether a cancel removes
// queued work.
class HedgeBudget {
 public:
  static constexpr double kMaxPerAttempt = 1.0;

  // Sets the initial number of hedges that an attempt adds to the budget; 0: only attempts at lost
  // workers are hedged.
  void SetPerAttempt(double hedges_per_attempt) { per_attempt_ = hedges_per_attempt; }
  // An attempt was sent.
  void OnAttempt() { available_ = std::min(kMaxAvailable, available_ + per_attempt_); }
  // Whether Spend is permitted.
  bool Available() const { return available_ >= 1; }
  void Spend() { available_ -= 1; }
  // Multiplicative decrease and additive increase, as the fleet rate changes by `factor`.
  void OnRateCut() { per_attempt_ /= 2; }
  void OnRateRise(double factor) {
    per_attempt_ = std::min((per_attempt_ + kRiseStep) * factor, kMaxPerAttempt);
  }

 private:
  friend struct StateTransfer;                  // transferred in a hot restart
  static constexpr double kMaxAvailable = 3.0;  // hedges
  static constexpr double kRiseStep = 0.01;     // hedges per attempt

  double available_ = 0;
  double per_attempt_ = 0;
};

// A budget of queued requests that may be cancelled while the tier is full: one for each request
// that starts.
class ShedBudget {
 public:
  // A request has started at a worker.
  void OnStart() { available_ = std::min(available_ + 1, kMaxAvailable); }
  // Whether Spend is permitted.
  bool Available() const { return available_ >= 1; }
  void Spend() { available_ -= 1; }

 private:
  friend struct StateTransfer;                   // transferred in a hot restart
  static constexpr double kMaxAvailable = 10.0;  // requests

  double available_ = 0;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_HEDGE_BUDGET_H_
