// Tests the statistics, processes and reports of the scale tests, and runs each axis at small sizes
// with bounds on its figures.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "scale/axes.h"
#include "scale/process.h"
#include "scale/report.h"
#include "scale/statistics.h"

namespace millethollow::scale {
namespace {

AxisOptions ShortOptions(std::uint64_t seed = 1) { return {.is_short = true, .seed = seed}; }

double FigureValue(const Point& point, const std::string& name) {
  const Figure* figure = point.Find(name);
  if (figure == nullptr) {
    ADD_FAILURE() << "no figure " << name;
    return 0;
  }
  return figure->value;
}

// Figures that depend on the seed only: all but measured times and memory.
std::string ComputedFigures(const AxisResult& result) {
  std::ostringstream out;
  for (const Point& point : result.points) {
    for (const Figure& figure : point.figures) {
      if (figure.source == Source::kComputed) out << figure.name << "=" << figure.value << "\n";
    }
  }
  return out.str();
}

void ExpectComplete(const AxisResult& result, std::size_t sizes) {
  EXPECT_EQ(result.points.size(), sizes);
  EXPECT_TRUE(result.failures.empty()) << result.failures.front();
}

TEST(ScaleStatistics, QuantilesAreExact) {
  Samples samples;
  for (const int value : {5, 1, 4, 2, 3}) samples.Add(value);
  EXPECT_EQ(samples.Quantile(0.5), 3);
  EXPECT_EQ(samples.Quantile(0.99), 5);
  EXPECT_EQ(samples.Quantile(0), 1);
  EXPECT_EQ(Samples().Quantile(0.5), 0);
}

TEST(ScaleStatistics, LineFitReportsItsRelativeError) {
  const Line exact = FitLine({1, 2, 4}, {5, 7, 11});
  EXPECT_DOUBLE_EQ(exact.slope, 2);
  EXPECT_DOUBLE_EQ(exact.intercept, 3);
  EXPECT_EQ(exact.from, 1);
  EXPECT_EQ(exact.to, 4);
  EXPECT_NEAR(exact.relative_error, 0, 1e-12);
  EXPECT_GT(FitLine({1, 2, 3}, {1, 4, 1}).relative_error, 0.5);
}

TEST(ScaleMemory, ShortageIsReportedInOneLine) {
  std::istringstream meminfo("MemTotal: 2000 kB\nMemFree: 1 kB\nMemAvailable:  1024 kB\n");
  const auto available = ReadAvailableMemory(meminfo);
  ASSERT_TRUE(available.has_value());
  EXPECT_EQ(*available, kMebibyte);
  EXPECT_EQ(MemoryShortageMessage(available, kMebibyte), "");
  EXPECT_EQ(MemoryShortageMessage(available, 2 * kMebibyte),
            "scale: 1 MiB of memory are available, 2 MiB are needed");
  std::istringstream unknown("MemTotal: 2000 kB\n");
  EXPECT_FALSE(ReadAvailableMemory(unknown).has_value());
  EXPECT_NE(MemoryShortageMessage(std::nullopt, 1), "");
}

TEST(ScaleChildren, FiguresAndFailuresAreReturned) {
  const ChildResult success = RunInChild([] {
    Point point;
    point.AddComputed("size", "thing", 3);
    point.AddMeasured("time", "us", 0.5);
    return point;
  });
  ASSERT_TRUE(success.point.has_value()) << success.failure;
  EXPECT_EQ(FigureValue(*success.point, "size"), 3);
  EXPECT_EQ(success.point->figures[1].source, Source::kMeasured);
  const ChildResult failure =
      RunInChild([]() -> Point { throw std::runtime_error("of the test"); });
  EXPECT_FALSE(failure.point.has_value());
  EXPECT_NE(failure.failure, "");
}

TEST(ScaleReport, WritingReplacesOneAxisAndKeepsOthers) {
  const std::string folder = testing::TempDir();
  const std::string json_path = folder + "scale_bench_test.json";
  const std::string table_path = folder + "scale_bench_test.txt";
  std::remove(json_path.c_str());
  AxisResult result = NewResult("one");
  Point point;
  point.AddComputed("size", "thing", 3);
  result.points.push_back(point);
  std::string error;
  ASSERT_TRUE(WriteResult(result, {}, json_path, table_path, &error)) << error;
  AxisResult other = NewResult("other");
  other.failures.emplace_back("it was not run");
  ASSERT_TRUE(WriteResult(other, {}, json_path, table_path, &error)) << error;
  std::ifstream file(json_path);
  const auto json = nlohmann::json::parse(file);
  EXPECT_EQ(json["axes"]["one"]["points"][0]["size"], 3);
  EXPECT_EQ(json["axes"]["one"]["command"], "make scale AXIS=one");
  EXPECT_EQ(json["axes"]["other"]["failures"][0], "it was not run");
  std::ifstream table(table_path);
  std::stringstream text;
  text << table.rdbuf();
  EXPECT_NE(text.str().find("FAILED: it was not run"), std::string::npos);
  EXPECT_FALSE(WriteResult(result, {}, folder + "no/such/folder.json", table_path, &error));
}

// Guards against reports that exceed a datagram: they are dropped, and quotas no longer follow
// demand.
TEST(ScaleTenants, ReportOfThirteenTenantsFitsAndIsReceived) {
  const AxisResult result = RunTenants(ShortOptions());
  ExpectComplete(result, 4);
  double bytes_before = 0;
  for (const Point& point : result.points) {
    const double tenants = FigureValue(point, "tenants");
    EXPECT_GE(FigureValue(point, "report_datagrams"), 1) << tenants;
    EXPECT_GT(FigureValue(point, "report_bytes"), bytes_before) << tenants;
    bytes_before = FigureValue(point, "report_bytes");
    // The peer receives the report exactly when it fits.
    EXPECT_EQ(FigureValue(point, "heard_by_peer"), FigureValue(point, "fits")) << tenants;
    if (tenants <= 13) {
      EXPECT_EQ(FigureValue(point, "fits"), 1) << tenants;
    }
  }
}

TEST(ScaleTenants, EqualSeedsGiveEqualFigures) {
  const std::string first_run = ComputedFigures(RunTenants(ShortOptions(7)));
  EXPECT_NE(first_run, "");
  EXPECT_EQ(first_run, ComputedFigures(RunTenants(ShortOptions(7))));
}

// Guards against a decision whose time grows with the number of workers: a job without a key is
// placed by a sample of them. Compares the medians of one run at 1 and 30 times the workers.
TEST(ScaleWorkers, DecisionTimeHardlyGrowsWithTheFleet) {
  constexpr double kMaxGrowth = 6;
  const AxisResult result = RunWorkers(ShortOptions());
  ExpectComplete(result, 4);
  const Point& smallest = result.points.front();
  const Point& largest = result.points.back();
  ASSERT_EQ(FigureValue(largest, "workers"), 30 * FigureValue(smallest, "workers"));
  for (const char* figure : {"planner_decision_p50", "balancer_decision_p50"}) {
    EXPECT_LE(FigureValue(largest, figure), kMaxGrowth * FigureValue(smallest, figure)) << figure;
  }
  for (const Point& point : result.points) {
    EXPECT_LT(FigureValue(point, "list_indented_of_bound"), 1) << FigureValue(point, "workers");
  }
}

TEST(ScaleDispatchers, QuotasFollowMovingDemandOfThirteenTenants) {
  const AxisResult result = RunDispatchers(ShortOptions());
  ExpectComplete(result, 4);
  for (const Point& point : result.points) {
    const double dispatchers = FigureValue(point, "dispatchers");
    EXPECT_EQ(FigureValue(point, "dropped_each_13t"), 0) << dispatchers;
    EXPECT_GT(FigureValue(point, "datagrams_each_13t"), 0) << dispatchers;
    EXPECT_GT(FigureValue(point, "quota_used_even_13t"), 0.5) << dispatchers;
    EXPECT_GE(FigureValue(point, "back_after_move_13t"), 0) << dispatchers;
  }
}

TEST(ScaleStarts, EveryJobIsServed) {
  const AxisResult result = RunStarts(ShortOptions());
  ExpectComplete(result, 4);
  for (const Point& point : result.points) {
    EXPECT_EQ(FigureValue(point, "refused"), 0) << FigureValue(point, "starts");
    EXPECT_GT(FigureValue(point, "served"), 0) << FigureValue(point, "starts");
  }
}

TEST(ScaleInFlight, EveryJobIsSent) {
  const AxisResult result = RunInFlight(ShortOptions());
  ExpectComplete(result, 4);
  for (const Point& point : result.points) {
    EXPECT_EQ(FigureValue(point, "sent"), FigureValue(point, "open"));
  }
}

TEST(ScaleListChanges, ProcessorShareIsMeasured) {
  const AxisResult result = RunListChanges(ShortOptions());
  ExpectComplete(result, 4);
  for (const Point& point : result.points) EXPECT_GT(FigureValue(point, "core_share"), 0);
}

TEST(ScaleMembers, AllMembersConvergeAndReceiveAFact) {
  const AxisResult result = RunMembers(ShortOptions());
  ExpectComplete(result, 4);
  for (const Point& point : result.points) {
    const double members = FigureValue(point, "members");
    EXPECT_EQ(FigureValue(point, "one_view"), 1) << members;
    EXPECT_GE(FigureValue(point, "fact_at_last"), 0) << members;
    EXPECT_LT(FigureValue(point, "fact_at_last"), 2) << members;
  }
}

// Guards against quota traffic per dispatcher that grows with the number of dispatchers or in
// proportion to the tenants, and against shifts of demand that are not granted. All figures come
// from the virtual clock.
TEST(ScaleQuota, DispatcherTrafficHardlyGrowsAndShiftsAreGranted) {
  struct Case {
    AxisResult (*run)(const AxisOptions&);
    const char* size_figure;
    double max_growth;  // Bytes per dispatcher at eight times the size over those at the smallest.
  };
  constexpr double kMaxShiftS = 1;
  for (const Case& test_case :
       {Case{RunQuotaDispatchers, "dispatchers", 1.5}, Case{RunQuotaTenants, "tenants", 4}}) {
    const AxisResult result = test_case.run(ShortOptions());
    ExpectComplete(result, 4);
    const Point& smallest = result.points.front();
    const Point& largest = result.points.back();
    ASSERT_EQ(FigureValue(largest, test_case.size_figure),
              8 * FigureValue(smallest, test_case.size_figure));
    for (const char* figure : {"dispatcher_bytes_steady", "dispatcher_bytes_moving"}) {
      EXPECT_GT(FigureValue(smallest, figure), 0) << test_case.size_figure;
      EXPECT_LE(FigureValue(largest, figure), test_case.max_growth * FigureValue(smallest, figure))
          << test_case.size_figure << " " << figure;
    }
    for (const Point& point : result.points) {
      EXPECT_EQ(FigureValue(point, "shifts_granted"), 1)
          << test_case.size_figure << " " << FigureValue(point, test_case.size_figure);
      EXPECT_LT(FigureValue(point, "shift_to_grant_p99"), kMaxShiftS)
          << test_case.size_figure << " " << FigureValue(point, test_case.size_figure);
    }
  }
}

// Guards against allocators that do not divide the load: steady traffic of a dispatcher is
// proportional to its links, one per allocator, and moving demand is spread over all allocators.
TEST(ScaleQuota, AllocatorsShareTheLoad) {
  constexpr double kTolerance = 0.2;
  const AxisResult result = RunQuotaAllocators(ShortOptions());
  ExpectComplete(result, 4);
  const Point& smallest = result.points.front();
  const Point& largest = result.points.back();
  const double allocator_ratio =
      FigureValue(largest, "allocators") / FigureValue(smallest, "allocators");
  const double growth = FigureValue(largest, "dispatcher_bytes_steady") /
                        FigureValue(smallest, "dispatcher_bytes_steady");
  EXPECT_NEAR(growth / allocator_ratio, 1, kTolerance);
  EXPECT_LT(FigureValue(largest, "allocator_bytes_moving"),
            0.7 * FigureValue(smallest, "allocator_bytes_moving"));
}

}  // namespace
}  // namespace millethollow::scale
