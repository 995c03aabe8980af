// Results of a scale test: figures at points along one axis, and straight lines fitted to them.
#ifndef MILLETHOLLOW_BENCH_SCALE_FIGURES_H_
#define MILLETHOLLOW_BENCH_SCALE_FIGURES_H_

#include <string>
#include <vector>

namespace millethollow::scale {

// Equal seeds give equal computed figures; measured ones (times, memory) differ from run to run.
enum class Source { kComputed, kMeasured };

// One value with its unit.
struct Figure {
  std::string name;
  std::string unit;
  double value = 0;
  Source source = Source::kComputed;
};

// All figures at one size. The first figure is the size itself.
struct Point {
  std::vector<Figure> figures;

  void AddComputed(std::string name, std::string unit, double value) {
    figures.push_back({std::move(name), std::move(unit), value, Source::kComputed});
  }
  void AddMeasured(std::string name, std::string unit, double value) {
    figures.push_back({std::move(name), std::move(unit), value, Source::kMeasured});
  }
  const Figure* Find(const std::string& name) const {
    for (const Figure& figure : figures) {
      if (figure.name == name) return &figure;
    }
    return nullptr;
  }
};

// y = intercept + slope * x, fitted by least squares.
struct Line {
  double slope = 0, intercept = 0;
  double from = 0, to = 0;    // Range of x.
  double relative_error = 0;  // Largest residual over the mean of |y|.
};

// How one figure grows with the size.
struct Trend {
  std::string figure;  // y.
  std::string over;    // x.
  std::string unit;    // Of the slope.
  Line line;
};

// All points and trends of one axis.
struct AxisResult {
  std::string name;
  std::string command;  // Repeats the run.
  std::vector<Point> points;
  std::vector<Trend> trends;
  std::vector<std::string> failures;  // Measurements that failed, with the reason.
};

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_FIGURES_H_
