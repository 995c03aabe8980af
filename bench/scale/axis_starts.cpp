// Axes `starts` and `in-flight`: one planner at increasing job rates, and with many jobs open at
// once.
#include <algorithm>
#include <stdexcept>

#include "scale/axes.h"
#include "scale/planner_fixture.h"
#include "scale/process.h"
#include "scale/statistics.h"

namespace millethollow::scale {
namespace {

constexpr int kFullWorkers = 23000, kShortWorkers = 1000;
constexpr double kDeadlineSweepS = 0.005;  // Interval at which deadlines are checked.

// Submits jobs at a constant rate; the workers start and end each of them at once.
void RunJobs(PlannerFixture* fixture, double jobs_per_s, double seconds) {
  double due_jobs = 0;
  for (double time_s = 0; time_s < seconds; time_s += kDeadlineSweepS) {
    for (due_jobs += jobs_per_s * kDeadlineSweepS; due_jobs >= 1; due_jobs -= 1) {
      const RequestId id = fixture->SubmitJob();
      if (id != 0) fixture->CompleteJob(id);
    }
    fixture->Advance(kDeadlineSweepS);
  }
}

Point MeasureRate(int workers, double jobs_per_s, double seconds, std::uint64_t seed) {
  PlannerFixture fixture(workers, seed);
  RunJobs(&fixture, jobs_per_s, seconds / 4);  // Warm-up: lets the maps reach their size.
  const std::uint64_t answered_before = fixture.answered();
  const std::uint64_t rejected_before = fixture.rejected();
  const double processor_before_s = ProcessCpuSeconds();
  RunJobs(&fixture, jobs_per_s, seconds);
  const double processor_s = ProcessCpuSeconds() - processor_before_s;
  const auto served = static_cast<double>(fixture.answered() - answered_before);
  Point point;
  point.AddComputed("starts", "start/s", jobs_per_s);
  point.AddComputed("served", "job", served);
  point.AddComputed("refused", "job", static_cast<double>(fixture.rejected() - rejected_before));
  point.AddMeasured("core_share", "core", processor_s / seconds);
  point.AddMeasured("per_job", "us", served > 0 ? 1e6 * processor_s / served : 0);
  point.AddMeasured("saturates_at", "start/s", processor_s > 0 ? served / processor_s : 0);
  return point;
}

Point MeasureInFlight(int workers, int open_jobs, int decisions, std::uint64_t seed) {
  PlannerFixture fixture(workers, seed);
  const std::size_t memory_before = ResidentMemory();
  int sent = 0;
  for (int i = 0; i < open_jobs; ++i) {
    const RequestId id = fixture.SubmitJob();
    if (id == 0) continue;
    fixture.StartJob(id);
    ++sent;
    if (i % 100 == 99) fixture.Advance(kDeadlineSweepS);
  }
  const std::size_t memory_growth_bytes =
      ResidentMemory() - std::min(memory_before, ResidentMemory());
  Samples decision_times, completion_times;
  for (int i = 0; i < decisions; ++i) {
    const Stopwatch watch;
    const RequestId id = fixture.SubmitJob();
    decision_times.Add(watch.Nanoseconds());
    if (id == 0) throw std::runtime_error("no worker took a job while others were open");
    const Stopwatch end_watch;
    fixture.CompleteJob(id);
    completion_times.Add(end_watch.Nanoseconds());
  }
  Point point;
  point.AddComputed("open", "job", open_jobs);
  point.AddComputed("sent", "job", sent);
  point.AddMeasured("bytes_each", "B",
                    static_cast<double>(memory_growth_bytes) / std::max(1, sent));
  point.AddMeasured("rss", "MiB",
                    static_cast<double>(ResidentMemory()) / static_cast<double>(kMebibyte));
  AddQuantiles("decision", decision_times, &point);
  AddQuantiles("begin_and_end", completion_times, &point);
  return point;
}

}  // namespace

AxisResult RunStarts(const AxisOptions& options) {
  AxisResult result = NewResult("starts");
  const int workers = options.is_short ? kShortWorkers : kFullWorkers;
  const double seconds = options.is_short ? 0.25 : 2;
  const std::vector<double> job_rates = options.is_short
                                            ? std::vector<double>{500, 1000, 2000, 4000}
                                            : std::vector<double>{1000, 5000, 10000, 20000, 40000};
  for (const double jobs_per_s : job_rates) {
    AddPoint({[=] { return MeasureRate(workers, jobs_per_s, seconds, options.seed); }},
             std::to_string(static_cast<int>(jobs_per_s)) + " starts a second", &result);
  }
  for (const char* figure : {"core_share", "per_job"}) {
    result.trends.push_back(FitTrend(figure, result.points));
  }
  return result;
}

AxisResult RunInFlight(const AxisOptions& options) {
  AxisResult result = NewResult("in-flight");
  const int workers = options.is_short ? kShortWorkers : kFullWorkers;
  const int decisions = options.is_short ? 300 : 5000;
  const std::vector<int> sizes = options.is_short ? std::vector<int>{200, 500, 1000, 3000}
                                                  : std::vector<int>{1000, 10000, 40000, 160000};
  for (const int open_jobs : sizes) {
    AddPoint({[=] { return MeasureInFlight(workers, open_jobs, decisions, options.seed); }},
             std::to_string(open_jobs) + " open jobs", &result);
  }
  for (const char* figure : {"rss", "decision_p50", "begin_and_end_p50"}) {
    result.trends.push_back(FitTrend(figure, result.points));
  }
  return result;
}

}  // namespace millethollow::scale
