// List changes: the share of a core that workers which come and go cost a planner.
#include "scale/axes.h"
#include "scale/planner_fixture.h"
#include "scale/statistics.h"

namespace millethollow::scale {
namespace {

constexpr int kFullWorkers = 23000, kShortWorkers = 1000;
constexpr double kBatchS = 0.25;  // one list tells of all that changed in so long

// Share of a core, where each list tells of `batch` changes.
double ShareOfCore(PlannerFixture* fixture, double changes_per_s, int batch, double seconds) {
  const double lists = changes_per_s * seconds / batch;
  const double gap = seconds / lists;
  const double before = ProcessorSeconds();
  for (double i = 0; i < lists; ++i) {
    fixture->ChangeWorkers(batch);
    fixture->Advance(gap);
  }
  return (ProcessorSeconds() - before) / seconds;
}

Point MeasureChanges(int workers, int changes_per_s, double least_seconds, std::uint64_t seed) {
  const double seconds = std::max(least_seconds, 10.0 / changes_per_s);
  PlannerFixture fixture(workers, seed);
  const int batch = std::max(1, static_cast<int>(changes_per_s * kBatchS));
  Point point;
  point.Computed("changes", "change/s", changes_per_s);
  point.Measured("core_share", "core", ShareOfCore(&fixture, changes_per_s, 1, seconds));
  point.Computed("batch", "change", batch);
  point.Measured("core_share_batched", "core",
                 ShareOfCore(&fixture, changes_per_s, batch, seconds));
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
    result.trends.push_back(TrendOf(figure, result.points));
  }
  return result;
}

}  // namespace millethollow::scale
