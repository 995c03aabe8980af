// The axes along which the program is measured, each with its sizes.
#ifndef MILLETHOLLOW_BENCH_SCALE_AXES_H_
#define MILLETHOLLOW_BENCH_SCALE_AXES_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "scale/figures.h"

namespace millethollow::scale {

struct AxisOptions {
  bool is_short = false;  // small sizes and few samples, for continuous integration
  std::uint64_t seed = 1;
};

struct Axis {
  std::string name;
  AxisResult (*run)(const AxisOptions& options);
};

AxisResult RunTenants(const AxisOptions& options);
AxisResult RunWorkers(const AxisOptions& options);
AxisResult RunDispatchers(const AxisOptions& options);
AxisResult RunStarts(const AxisOptions& options);
AxisResult RunInFlight(const AxisOptions& options);
AxisResult RunListChanges(const AxisOptions& options);
AxisResult RunMembers(const AxisOptions& options);
AxisResult RunQuotaDispatchers(const AxisOptions& options);
AxisResult RunQuotaTenants(const AxisOptions& options);
AxisResult RunQuotaAllocators(const AxisOptions& options);

const std::vector<Axis>& AllAxes();

// Runs each size's measurements in child processes of their own and puts their figures together.
using Measure = std::function<Point()>;
void AddPoint(const std::vector<Measure>& measures, const std::string& size, AxisResult* result);

// A result that says how to get it again.
AxisResult NewResult(const std::string& name);

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_AXES_H_
