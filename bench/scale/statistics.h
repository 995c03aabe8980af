// Exact quantiles of kept samples, straight lines by least squares, and a stopwatch.
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
  // The smallest sample that at least `share` of all are not above; 0 without samples.
  double Quantile(double share) const;

 private:
  std::vector<double> values_;
};

// Real time since its making.
class Stopwatch {
 public:
  double Nanoseconds() const {
    return std::chrono::duration<double, std::nano>(Clock::now() - start_).count();
  }

 private:
  using Clock = std::chrono::steady_clock;
  Clock::time_point start_ = Clock::now();
};

// Processor time of this process so far, in seconds.
double ProcessorSeconds();

// Adds p50 and p99 of samples in nanoseconds, as microseconds.
void AddQuantiles(const std::string& name, const Samples& nanoseconds, Point* point);

Line FitLine(const std::vector<double>& x, const std::vector<double>& y);

// Which sizes a line is fitted to, both ends among them.
struct SizeRange {
  double min = 0, max = std::numeric_limits<double>::infinity();
};

// The line of one figure over the first figure of each point that has both.
Trend TrendOf(const std::string& figure, const std::vector<Point>& points, SizeRange range = {});

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_STATISTICS_H_
