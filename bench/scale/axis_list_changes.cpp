// Axis `list-changes`: the share of a core that a planner uses to apply endpoint list changes.
#include "scale/axes.h"
#include "scale/planner_fixture.h"
#include "scale/statistics.h"

namespace millethollow::scale {
namespace {

constexpr int kFullWorkers = 23000, kShortWorkers = 1000;
constexpr double kBatchIntervalS = 0.25;  // Changes of this time go into one list.

// Share of a core used when each list holds `batch` changes.
double MeasureCoreShare(PlannerFixture* fixture, double changes_per_s, int batch, double seconds) {
  const double list_count = changes_per_s * seconds / batch;
  const double interval_s = seconds / list_count;
  const double processor_before_s = ProcessCpuSeconds();
  for (double i = 0; i < list_count; ++i) {
    fixture->ChangeWorkers(batch);
    fixture->Advance(interval_s);
  }
  return (ProcessCpuSeconds() - processor_before_s) / seconds;
}

Point MeasureChanges(int workers, int changes_per_s, double min_seconds, std::uint64_t seed) {
  const double seconds = std::max(min_seconds, 10.0 / changes_per_s);
  PlannerFixture fixture(workers, seed);
  const int batch = std::max(1, static_cast<int>(changes_per_s * kBatchIntervalS));
  Point point;
  point.AddComputed("changes", "change/s", changes_per_s);
  point.AddMeasured("core_share", "core", MeasureCoreShare(&fixture, changes_per_s, 1, seconds));
  point.AddComputed("batch", "change", batch);
  point.AddMeasured("core_share_batched", "core",
                    MeasureCoreShare(&fixture, changes_per_s, batch, seconds));
  return point;
}

}  // namespace

AxisResult RunListChanges(const AxisOptions& options) {
  AxisResult result = NewResult("list-changes");
  const int workers = options.is_short ? kShortWorkers : kFullWorkers;
  const std::vector<int> sizes =
      options.is_short ? std::vector<int>{1, 5, 10, 50} : std::vector<int>{1, 10, 100, 500};
  for (const int changes : sizes) {
    AddPoint({[=] {
               return MeasureChanges(workers, changes, options.is_short ? 0.5 : 2, options.seed);
             }},
             std::to_string(changes) + " changes a second", &result);
  }
  for (const char* figure : {"core_share", "core_share_batched"}) {
    result.trends.push_back(FitTrend(figure, result.points));
  }
  return result;
}

}  // namespace millethollow::scale
