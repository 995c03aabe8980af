// Walltime estimates: how long a job runs, and how much longer one that runs already, as quantiles
// by class and kind of worker and, where jobs tell their size, in multiples of what they told.
//
// The sketch is the extended P-square algorithm (Raatikainen 1987, after Jain and Chlamtac 1985) as
// Boost.Accumulators has it: a fixed set of quantiles in constant space.
#ifndef MILLETHOLLOW_SCHEDULING_RUNTIME_ESTIMATOR_H_
#define MILLETHOLLOW_SCHEDULING_RUNTIME_ESTIMATOR_H_

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <utility>

namespace millethollow::scheduling {

// A stream's quantiles. Old samples are dropped in halves, so that a change shows within kWindow.
class Quantiles {
 public:
  static constexpr std::size_t kSteps = 16;  // the table holds the 0/16 to 16/16 quantiles
  static constexpr std::size_t kWindow = 512;
  static constexpr std::size_t kEnough = 16;  // fewer samples say nothing

  Quantiles();
  ~Quantiles();
  Quantiles(Quantiles&&) noexcept;
  Quantiles& operator=(Quantiles&&) noexcept;

  void Add(double value);
  std::size_t count() const { return count_; }
  bool known() const { return count_ >= kEnough; }
  double At(double p) const;                         // p from 0 to 1
  double Below(double value) const;                  // the share of samples under `value`
  double Remaining(double elapsed, double p) const;  // of one that has lasted so long

 private:
  struct Sketch;
  void Refresh();
  std::unique_ptr<Sketch> now_, next_;  // `next_` began half a window later
  std::array<double, kSteps + 1> table_{};
  std::size_t count_ = 0, stale_ = 0;
};

class RuntimeEstimator {
 public:
  // What is taken for granted until enough jobs of a class have ended, in seconds.
  void Expect(int cls, double run_s) { expected_[cls] = run_s; }
  // A job of the class ran for so long on a worker of that kind. `hint_s` 0: none told.
  void Ran(int cls, int kind, double hint_s, double took_s);
  // With a chance of `p` it ends within this many more seconds, having run for `elapsed`.
  double Remaining(int cls, int kind, double hint_s, double elapsed, double p) const;

 private:
  const Quantiles* Best(int cls, int kind, double hint_s, double* unit) const;
  std::map<int, double> expected_;
  std::map<std::pair<int, int>, Quantiles> runs_;    // by class and kind; kind -1: of any
  std::map<std::pair<int, int>, Quantiles> scaled_;  // the same in multiples of the hint
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_RUNTIME_ESTIMATOR_H_
