// Run time estimates: quantiles of the run time of a job, and of the remaining run time of a
// running one, by class and kind of worker and, where clients send size hints, relative to the
// hint.
//
// Quantiles are computed by the extended P-square algorithm (Raatikainen 1987, after Jain and
// Chlamtac 1985) of Boost.Accumulators, which keeps a fixed set of quantiles in constant space.
#ifndef MILLETHOLLOW_SCHEDULING_RUNTIME_ESTIMATOR_H_
#define MILLETHOLLOW_SCHEDULING_RUNTIME_ESTIMATOR_H_

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <utility>

namespace millethollow::scheduling {

// Quantiles of a stream of samples. Only the last kWindow samples count; older ones are dropped
// half a window at a time. Not thread-safe.
class Quantiles {
 public:
  static constexpr std::size_t kSteps = 16;       // the table holds the quantiles 0/16 to 16/16
  static constexpr std::size_t kWindow = 512;     // samples
  static constexpr std::size_t kMinSamples = 16;  // samples that are needed for an estimate

  Quantiles();
  ~Quantiles();
  Quantiles(Quantiles&&) noexcept;
  Quantiles& operator=(Quantiles&&) noexcept;

  void Add(double value);
  std::size_t count() const { return count_; }  // of all samples ever added
  // Whether there are enough samples for an estimate.
  bool known() const { return count_ >= kMinSamples; }
  double At(double p) const;         // the quantile `p`, from 0 to 1
  double Below(double value) const;  // the share of samples below `value`, from 0 to 1
  // The quantile `p` of the remaining part of a sample that is known to exceed `elapsed`.
  double Remaining(double elapsed, double p) const;

 private:
  struct Sketch;
  void Refresh();
  std::unique_ptr<Sketch> current_, next_;  // `next_` was started half a window later
  std::array<double, kSteps + 1> table_{};
  std::size_t count_ = 0, samples_since_refresh_ = 0;
};

// Estimates run times by class of job and kind of worker. Times are in seconds. Not thread-safe.
class RuntimeEstimator {
 public:
  // Sets the run time that is assumed for a class until it has samples.
  void SetPrior(int class_index, double run_s) { prior_run_s_[class_index] = run_s; }
  // Adds the run time of a job of the class on a worker of the kind. `hint_s`: the job's size hint,
  // 0 if it has none.
  void AddSample(int class_index, int kind, double hint_s, double run_s);
  // The quantile `p` of the remaining run time of a job that has run for `elapsed`. `kind`: -1 if
  // not known.
  double Remaining(int class_index, int kind, double hint_s, double elapsed, double p) const;

 private:
  // Returns the most specific quantiles with enough samples, or null. Sets `*unit` to the time in
  // seconds that they are multiples of.
  const Quantiles* FindQuantiles(int class_index, int kind, double hint_s, double* unit) const;
  std::map<int, double> prior_run_s_;
  // By class and kind, where -1 is any kind: run times, and run times as multiples of the size
  // hint.
  std::map<std::pair<int, int>, Quantiles> run_times_;
  std::map<std::pair<int, int>, Quantiles> relative_run_times_;
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_RUNTIME_ESTIMATOR_H_
