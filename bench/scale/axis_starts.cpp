// Starts: jobs through one planner at a rising rate, and many jobs open at once.
#include <algorithm>
#include <stdexcept>

#include "scale/axes.h"
#include "scale/planner_fixture.h"
#include "scale/process.h"
#include "scale/statistics.h"

namespace millethollow::scale {
namespace {

constexpr int kFullWorkers = 23000, kShortWorkers = 1000;
constexpr double kSweepS = 0.005;  // deadlines are swept this often

// Jobs that a worker begins and ends at once.
void ServeFor(PlannerFixture* fixture, double rate, double seconds) {
  double due = 0;
  for (double t = 0; t < seconds; t += kSweepS) {
    for (due += rate * kSweepS; due >= 1; due -= 1) {
      const RequestId id = fixture->Take();
      if (id != 0) fixture->Serve(id);
    }
    fixture->Advance(kSweepS);
  }
}

Point MeasureRate(int workers, double rate, double seconds, std::uint64_t seed) {
  PlannerFixture fixture(workers, seed);
  ServeFor(&fixture, rate, seconds / 4);  // until the maps have grown
  const std::uint64_t before = fixture.answered();
  const std::uint64_t refused_before = fixture.refused();
  const double spent_before = ProcessorSeconds();
  ServeFor(&fixture, rate, seconds);
  const double spent = ProcessorSeconds() - spent_before;
  const auto served = static_cast<double>(fixture.answered() - before);
  Point point;
  point.Computed("starts", "start/s", rate);
  point.Computed("served", "job", served);
  point.Computed("refused", "job", static_cast<double>(fixture.refused() - refused_before));
  point.Measured("core_share", "core", spent / seconds);
  point.Measured("per_job", "us", served > 0 ? 1e6 * spent / served : 0);
  point.Measured("saturates_at", "start/s", spent > 0 ? served / spent : 0);
  return point;
}

Point MeasureOpen(int workers, int open, int decisions, std::uint64_t seed) {
  PlannerFixture fixture(workers, seed);
  const std::size_t before = ResidentMemory();
  int sent = 0;
  for (int i = 0; i < open; ++i) {
    const RequestId id = fixture.Take();
    if (id == 0) continue;
    fixture.Begin(id);
    ++sent;
    if (i % 100 == 99) fixture.Advance(kSweepS);
  }
  const std::size_t grown = ResidentMemory() - std::min(before, ResidentMemory());
  Samples taken, served;
  for (int i = 0; i < decisions; ++i) {
    const Stopwatch watch;
    const RequestId id = fixture.Take();
    taken.Add(watch.Nanoseconds());
    if (id == 0) throw std::runtime_error("a job found no worker beside the open ones");
    const Stopwatch end_watch;
    fixture.Serve(id);
    served.Add(end_watch.Nanoseconds());
  }
  Point point;
  point.Computed("open", "job", open);
  point.Computed("sent", "job", sent);
  point.Measured("bytes_each", "B", static_cast<double>(grown) / std::max(1, sent));
  point.Measured("rss", "MiB",
                 static_cast<double>(ResidentMemory()) / static_cast<double>(kMebibyte));
  AddQuantiles("decision", taken, &point);
  AddQuantiles("begin_and_end", served, &point);
  return point;
}

}  // namespace

AxisResult RunStarts(const AxisOptions& options) {
  AxisResult result = NewResult("starts");
  const int workers = options.is_short ? kShortWorkers : kFullWorkers;
  const double seconds = options.is_short ? 0.25 : 2;
  const std::vector<double> rates = options.is_short
                                        ? std::vector<double>{500, 1000, 2000, 4000}
                                        : std::vector<double>{1000, 5000, 10000, 20000, 40000};
  for (const double rate : rates) {
    AddPoint({[=] { return MeasureRate(workers, rate, seconds, options.seed); }},
             std::to_string(static_cast<int>(rate)) + " starts a second", &result);
  }
  for (const char* figure : {"core_share", "per_job"}) {
    result.trends.push_back(TrendOf(figure, result.points));
  }
  return result;
}

AxisResult RunInFlight(const AxisOptions& options) {
  AxisResult result = NewResult("in-flight");
  const int workers = options.is_short ? kShortWorkers : kFullWorkers;
  const int decisions = options.is_short ? 300 : 5000;
  const std::vector<int> sizes = options.is_short ? std::vector<int>{200, 500, 1000, 3000}
                                                  : std::vector<int>{1000, 10000, 40000, 160000};
  for (const int open : sizes) {
    AddPoint({[=] { return MeasureOpen(workers, open, decisions, options.seed); }},
             std::to_string(open) + " open jobs", &result);
  }
  for (const char* figure : {"rss", "decision_p50", "begin_and_end_p50"}) {
    result.trends.push_back(TrendOf(figure, result.points));
  }
  return result;
}

}  // namespace millethollow::scale
