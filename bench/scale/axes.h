// The axes of fleet size along which the program's parts are measured.
#ifndef MILLETHOLLOW_BENCH_SCALE_AXES_H_
#define MILLETHOLLOW_BENCH_SCALE_AXES_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "scale/figures.h"

namespace millethollow::scale {

// Options that apply to every axis.
struct AxisOptions {
  bool is_short = false;  // Small sizes and few samples, for continuous integration.
  std::uint64_t seed = 1;
};

// An axis and the function that measures all of its sizes.
struct Axis {
  std::string name;
  AxisResult (*run)(const AxisOptions& options);
};

// Each measures one axis at all of its sizes; bench/scale/README.md describes the figures.
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

// All axes in the order in which they run.
const std::vector<Axis>& AllAxes();

// One measurement at one size.
using Measure = std::function<Point()>;
// Runs each measurement in a child process and appends their combined figures to `result` as one
// point. A measurement that fails is recorded under failures with the text `size`.
void AddPoint(const std::vector<Measure>& measures, const std::string& size, AxisResult* result);

// An empty result with the command that repeats the run.
AxisResult NewResult(const std::string& name);

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_AXES_H_
