#include "scale/statistics.h"

#include <algorithm>
#include <cmath>
#include <ctime>
#include <numeric>

namespace millethollow::scale {
namespace {

constexpr double kNanosecondsPerMicrosecond = 1e3;

double MeanValue(const std::vector<double>& values) {
  if (values.empty()) return 0;
  return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

}  // namespace

double Samples::Sum() const { return std::accumulate(values_.begin(), values_.end(), 0.0); }

double Samples::Mean() const { return MeanValue(values_); }

double Samples::Quantile(double share) const {
  if (values_.empty()) return 0;
  std::vector<double> sorted = values_;
  const double rank = std::ceil(share * static_cast<double>(sorted.size())) - 1;
  const auto index =
      static_cast<std::ptrdiff_t>(std::clamp(rank, 0.0, static_cast<double>(sorted.size() - 1)));
  std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
  return sorted[static_cast<std::size_t>(index)];
}

double ProcessCpuSeconds() {
  timespec processor_time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &processor_time);
  return static_cast<double>(processor_time.tv_sec) +
         1e-9 * static_cast<double>(processor_time.tv_nsec);
}

void AddQuantiles(const std::string& name, const Samples& nanoseconds, Point* point) {
  point->AddMeasured(name + "_p50", "us", nanoseconds.Quantile(0.5) / kNanosecondsPerMicrosecond);
  point->AddMeasured(name + "_p99", "us", nanoseconds.Quantile(0.99) / kNanosecondsPerMicrosecond);
}

Line FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  Line line;
  if (x.empty() || x.size() != y.size()) return line;
  line.from = *std::min_element(x.begin(), x.end());
  line.to = *std::max_element(x.begin(), x.end());
  const double mean_x = MeanValue(x);
  const double mean_y = MeanValue(y);
  double covariance = 0;
  double variance = 0;
  double magnitude = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    covariance += (x[i] - mean_x) * (y[i] - mean_y);
    variance += (x[i] - mean_x) * (x[i] - mean_x);
    magnitude += std::abs(y[i]) / static_cast<double>(y.size());
  }
  line.slope = variance > 0 ? covariance / variance : 0;
  line.intercept = mean_y - line.slope * mean_x;
  for (std::size_t i = 0; i < x.size(); ++i) {
    const double residual = std::abs(y[i] - line.intercept - line.slope * x[i]);
    if (magnitude > 0) line.relative_error = std::max(line.relative_error, residual / magnitude);
  }
  return line;
}

Trend FitTrend(const std::string& figure, const std::vector<Point>& points, SizeRange range) {
  Trend trend;
  trend.figure = figure;
  std::vector<double> x;
  std::vector<double> y;
  for (const Point& point : points) {
    const Figure* value = point.Find(figure);
    if (value == nullptr || point.figures.empty()) continue;
    const Figure& size = point.figures.front();
    if (size.value < range.min || size.value > range.max) continue;
    trend.over = size.name;
    trend.unit = value->unit + " per " + size.unit;
    x.push_back(size.value);
    y.push_back(value->value);
  }
  trend.line = FitLine(x, y);
  return trend;
}

}  // namespace millethollow::scale
