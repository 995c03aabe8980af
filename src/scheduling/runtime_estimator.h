// Run time estimates: quantiles of how long a job runs, and of how much longer one that runs
// already, by class and kind of worker and, where clients give size hints, relative to the hint.
//
// The sketch is the extended P-square algorithm (Raatikainen 1987, after Jain and Chlamtac 1985) of
// Boost.Accumulators: a fixed set of quantiles in constant space.
#ifndef MILLETHOLLOW_SCHEDULING_RUNTIME_ESTIMATOR_H_
#define MILLETHOLLOW_SCHEDULING_RUNTIME_ESTIMATOR_H_

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <utility>

namespace millethollow::scheduling {

// The quantiles of a stream. Samples older than kWindow are dropped, half a window at a time.
class Quantiles {
 public:
  static constexpr std::size_t kSteps = 16;  // the table holds the 0/16 to 16/16 quantiles
  static constexpr std::size_t kWindow = 512;
  static constexpr std::size_t kEnough = 16;  // samples before there is an estimate

  Quantiles();
  ~Quantiles();
  Quantiles(Quantiles&&) noexcept;
  Quantiles& operator=(Quantiles&&) noexcept;

  void Add(double value);
  std::size_t count() const { return count_; }
  bool known() const { return count_ >= kEnough; }
  double At(double p) const;         // `p`: 0 to 1
  double Below(double value) const;  // the share of samples under `value`
  // The quantile `p` of what remains of a sample that has reached `elapsed`.
  double Remaining(double elapsed, double p) const;

 private:
  struct Sketch;
  void Refresh();
  std::unique_ptr<Sketch> now_, next_;  // `next_` began half a window later
  std::array<double, kSteps + 1> table_{};
  std::size_t count_ = 0, stale_ = 0;
};

// Times are in seconds.
class RuntimeEstimator {
 public:
  // The run time of a class until it has samples.
  void SetPrior(int cls, double run_s) { prior_s_[cls] = run_s; }
  // A job of the class took `took_s` on a worker of that kind. `hint_s`: its size hint, 0 without.
  void AddSample(int cls, int kind, double hint_s, double took_s);
  // The quantile `p` of the time that remains to a job that has run for `elapsed`.
  double Remaining(int cls, int kind, double hint_s, double elapsed, double p) const;

 private:
  const Quantiles* BestSketch(int cls, int kind, double hint_s, double* unit) const;
  std::map<int, double> prior_s_;
  std::map<std::pair<int, int>, Quantiles> runs_;    // by class and kind; kind -1: of any
  std::map<std::pair<int, int>, Quantiles> scaled_;  // the same in multiples of the hint
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_RUNTIME_ESTIMATOR_H_
