// Exact quantiles, straight lines by least squares, and clocks.
#ifndef MILLETHOLLOW_BENCH_SCALE_STATISTICS_H_
#define MILLETHOLLOW_BENCH_SCALE_STATISTICS_H_

#include <chrono>
#include <limits>
#include <string>
#include <vector>

#include "scale/figures.h"

namespace millethollow::scale {

// Keeps every sample, so that quantiles are exact.
class Samples {
 public:
  void Add(double value) { values_.push_back(value); }
  std::size_t size() const { return values_.size(); }
  double Sum() const;
  double Mean() const;
  // The smallest sample such that at least `share` of all samples are not above it; 0 without
  // samples.
  double Quantile(double share) const;

 private:
  std::vector<double> values_;
};

// Real time since construction.
class Stopwatch {
 public:
  double Nanoseconds() const {
    return std::chrono::duration<double, std::nano>(Clock::now() - start_).count();
  }

 private:
  using Clock = std::chrono::steady_clock;
  Clock::time_point start_ = Clock::now();
};

// Processor time used by this process so far, in seconds.
double ProcessCpuSeconds();

// Adds the p50 and p99 of samples in nanoseconds as figures in microseconds.
void AddQuantiles(const std::string& name, const Samples& nanoseconds, Point* point);

// Fits a line by least squares.
Line FitLine(const std::vector<double>& x, const std::vector<double>& y);

// The sizes to which a line is fitted, both bounds included.
struct SizeRange {
  double min = 0, max = std::numeric_limits<double>::infinity();
};

// Fits one figure over the size of each point that has that figure and lies in `range`.
Trend FitTrend(const std::string& figure, const std::vector<Point>& points, SizeRange range = {});

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_STATISTICS_H_
