#include "scale/axes.h"

#include "scale/process.h"

namespace millethollow::scale {

const std::vector<Axis>& AllAxes() {
  static const std::vector<Axis> axes{
      {"tenants", RunTenants},
      {"workers", RunWorkers},
      {"dispatchers", RunDispatchers},
      {"starts", RunStarts},
      {"in-flight", RunInFlight},
      {"list-changes", RunListChanges},
      {"members", RunMembers},
      {"quota-dispatchers", RunQuotaDispatchers},
      {"quota-tenants", RunQuotaTenants},
      {"quota-allocators", RunQuotaAllocators},
  };
  return axes;
}

void AddPoint(const std::vector<Measure>& measures, const std::string& size, AxisResult* result) {
  Point combined;
  for (const Measure& measure : measures) {
    ChildResult child = RunInChild(measure);
    if (!child.point) {
      result->failures.push_back(size + ": " + child.failure);
      continue;
    }
    for (Figure& figure : child.point->figures) combined.figures.push_back(std::move(figure));
  }
  if (!combined.figures.empty()) result->points.push_back(std::move(combined));
}

AxisResult NewResult(const std::string& name) {
  AxisResult result;
  result.name = name;
  result.command = "make scale AXIS=" + name;
  return result;
}

}  // namespace millethollow::scale
