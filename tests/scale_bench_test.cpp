// The scale tests' own checks, and the bounds that hold at small sizes.
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

AxisOptions Short(std::uint64_t seed = 1) { return {.is_short = true, .seed = seed}; }

double Value(const Point& point, const std::string& name) {
  const Figure* figure = point.Find(name);
  if (figure == nullptr) {
    ADD_FAILURE() << "no figure " << name;
    return 0;
  }
  return figure->value;
}

// All that the virtual clock decides, without times and memory.
std::string ComputedFigures(const AxisResult& result) {
  std::ostringstream out;
  for (const Point& point : result.points) {
    for (const Figure& figure : point.figures) {
      if (figure.source == Source::kComputed) out << figure.name << "=" << figure.value << "\n";
    }
  }
  return out.str();
}

void ExpectWhole(const AxisResult& result, std::size_t sizes) {
  EXPECT_EQ(result.points.size(), sizes);
  EXPECT_TRUE(result.failures.empty()) << result.failures.front();
}

TEST(ScaleStatistics, QuantilesAreExact) {
  Samples samples;
  for (const int v : {5, 1, 4, 2, 3}) samples.Add(v);
  EXPECT_EQ(samples.Quantile(0.5), 3);
  EXPECT_EQ(samples.Quantile(0.99), 5);
  EXPECT_EQ(samples.Quantile(0), 1);
  EXPECT_EQ(Samples().Quantile(0.5), 0);
}

TEST(ScaleStatistics, ALineIsFoundAndItsErrorToo) {
  const Line exact = FitLine({1, 2, 4}, {5, 7, 11});
  EXPECT_DOUBLE_EQ(exact.slope, 2);
  EXPECT_DOUBLE_EQ(exact.intercept, 3);
  EXPECT_EQ(exact.from, 1);
  EXPECT_EQ(exact.to, 4);
  EXPECT_NEAR(exact.relative_error, 0, 1e-12);
  EXPECT_GT(FitLine({1, 2, 3}, {1, 4, 1}).relative_error, 0.5);
}

TEST(ScaleMemory, TheGuardRefusesWithOneLine) {
  std::istringstream meminfo("MemTotal: 2000 kB\nMemFree: 1 kB\nMemAvailable:  1024 kB\n");
  const auto available = ReadAvailableMemory(meminfo);
  ASSERT_TRUE(available.has_value());
  EXPECT_EQ(*available, kMebibyte);
  EXPECT_EQ(RefusalForMemory(available, kMebibyte), "");
  EXPECT_EQ(RefusalForMemory(available, 2 * kMebibyte),
            "scale: 1 MiB of memory are available, 2 MiB are needed");
  std::istringstream unknown("MemTotal: 2000 kB\n");
  EXPECT_FALSE(ReadAvailableMemory(unknown).has_value());
  EXPECT_NE(RefusalForMemory(std::nullopt, 1), "");
}

TEST(ScaleChildren, FiguresComeBackAndAFailureIsToldAsSuch) {
  const ChildResult good = RunInChild([] {
    Point point;
    point.Computed("size", "thing", 3);
    point.Measured("time", "us", 0.5);
    return point;
  });
  ASSERT_TRUE(good.point.has_value()) << good.failure;
  EXPECT_EQ(Value(*good.point, "size"), 3);
  EXPECT_EQ(good.point->figures[1].source, Source::kMeasured);
  const ChildResult bad = RunInChild([]() -> Point { throw std::runtime_error("of the test"); });
  EXPECT_FALSE(bad.point.has_value());
  EXPECT_NE(bad.failure, "");
}

TEST(ScaleReport, AnAxisIsReplacedAndOthersStay) {
  const std::string folder = testing::TempDir();
  const std::string json_path = folder + "scale_rig_test.json";
  const std::string table_path = folder + "scale_rig_test.txt";
  std::remove(json_path.c_str());
  AxisResult result = NewResult("one");
  Point point;
  point.Computed("size", "thing", 3);
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

// A report that is too long is dropped, and quotas then don't follow demand.
TEST(ScaleTenants, AReportOfThirteenTenantsFitsAndIsHeard) {
  const AxisResult result = RunTenants(Short());
  ExpectWhole(result, 4);
  double bytes_before = 0;
  for (const Point& point : result.points) {
    const double tenants = Value(point, "tenants");
    EXPECT_GE(Value(point, "report_datagrams"), 1) << tenants;
    EXPECT_GT(Value(point, "report_bytes"), bytes_before) << tenants;
    bytes_before = Value(point, "report_bytes");
    // What is sent is heard, and what can't be sent is not.
    EXPECT_EQ(Value(point, "heard_by_peer"), Value(point, "fits")) << tenants;
    if (tenants <= 13) {
      EXPECT_EQ(Value(point, "fits"), 1) << tenants;
    }
  }
}

TEST(ScaleTenants, EqualSeedsGiveEqualFigures) {
  const std::string once = ComputedFigures(RunTenants(Short(7)));
  EXPECT_NE(once, "");
  EXPECT_EQ(once, ComputedFigures(RunTenants(Short(7))));
}

// A job without a key is placed by a sample of the workers: thirty times the workers may not make
// it many times as slow. Both are medians of one run.
TEST(ScaleWorkers, ADecisionHardlyGrowsWithTheFleet) {
  constexpr double kMaxTimes = 6;
  const AxisResult result = RunWorkers(Short());
  ExpectWhole(result, 4);
  const Point& smallest = result.points.front();
  const Point& largest = result.points.back();
  ASSERT_EQ(Value(largest, "workers"), 30 * Value(smallest, "workers"));
  for (const char* figure : {"planner_decision_p50", "balancer_decision_p50"}) {
    EXPECT_LE(Value(largest, figure), kMaxTimes * Value(smallest, figure)) << figure;
  }
  for (const Point& point : result.points) {
    EXPECT_LT(Value(point, "list_indented_of_bound"), 1) << Value(point, "workers");
  }
}

TEST(ScaleDispatchers, QuotasFollowDemandThatMovesAtThirteenTenants) {
  const AxisResult result = RunDispatchers(Short());
  ExpectWhole(result, 4);
  for (const Point& point : result.points) {
    const double dispatchers = Value(point, "dispatchers");
    EXPECT_EQ(Value(point, "dropped_each_13t"), 0) << dispatchers;
    EXPECT_GT(Value(point, "datagrams_each_13t"), 0) << dispatchers;
    EXPECT_GT(Value(point, "quota_used_even_13t"), 0.5) << dispatchers;
    EXPECT_GE(Value(point, "back_after_move_13t"), 0) << dispatchers;
  }
}

TEST(ScaleStarts, EveryJobIsServed) {
  const AxisResult result = RunStarts(Short());
  ExpectWhole(result, 4);
  for (const Point& point : result.points) {
    EXPECT_EQ(Value(point, "refused"), 0) << Value(point, "starts");
    EXPECT_GT(Value(point, "served"), 0) << Value(point, "starts");
  }
}

TEST(ScaleInFlight, EveryJobFindsASlot) {
  const AxisResult result = RunInFlight(Short());
  ExpectWhole(result, 4);
  for (const Point& point : result.points) {
    EXPECT_EQ(Value(point, "sent"), Value(point, "open"));
  }
}

TEST(ScaleListChanges, AreMeasured) {
  const AxisResult result = RunListChanges(Short());
  ExpectWhole(result, 4);
  for (const Point& point : result.points) EXPECT_GT(Value(point, "core_share"), 0);
}

TEST(ScaleMembers, AllComeToOneViewAndHearAFact) {
  const AxisResult result = RunMembers(Short());
  ExpectWhole(result, 4);
  for (const Point& point : result.points) {
    const double members = Value(point, "members");
    EXPECT_EQ(Value(point, "one_view"), 1) << members;
    EXPECT_GE(Value(point, "fact_at_last"), 0) << members;
    EXPECT_LT(Value(point, "fact_at_last"), 2) << members;
  }
}

// A dispatcher's part may not grow with what others there are, nor in proportion to the tenants;
// and each shift of demand is granted. All on the virtual clock.
TEST(ScaleQuota, ADispatcherIsNearFlatAndShiftsAreGranted) {
  struct Case {
    AxisResult (*run)(const AxisOptions&);
    const char* size;
    double max_times;  // the bytes of a dispatcher at eight times the size, against those at the
                       // smallest
  };
  constexpr double kMaxShiftS = 1;
  for (const Case& c :
       {Case{RunQuotaDispatchers, "dispatchers", 1.5}, Case{RunQuotaTenants, "tenants", 4}}) {
    const AxisResult result = c.run(Short());
    ExpectWhole(result, 4);
    const Point& smallest = result.points.front();
    const Point& largest = result.points.back();
    ASSERT_EQ(Value(largest, c.size), 8 * Value(smallest, c.size));
    for (const char* figure : {"dispatcher_bytes_steady", "dispatcher_bytes_moving"}) {
      EXPECT_GT(Value(smallest, figure), 0) << c.size;
      EXPECT_LE(Value(largest, figure), c.max_times * Value(smallest, figure))
          << c.size << " " << figure;
    }
    for (const Point& point : result.points) {
      EXPECT_EQ(Value(point, "shifts_granted"), 1) << c.size << " " << Value(point, c.size);
      EXPECT_LT(Value(point, "shift_to_grant_p99"), kMaxShiftS)
          << c.size << " " << Value(point, c.size);
    }
  }
}

// Each allocator is a link more for a dispatcher, and what moves is spread over all of them.
TEST(ScaleQuota, AllocatorsShareTheirWork) {
  constexpr double kOff = 0.2;
  const AxisResult result = RunQuotaAllocators(Short());
  ExpectWhole(result, 4);
  const Point& smallest = result.points.front();
  const Point& largest = result.points.back();
  const double links = Value(largest, "allocators") / Value(smallest, "allocators");
  const double times =
      Value(largest, "dispatcher_bytes_steady") / Value(smallest, "dispatcher_bytes_steady");
  EXPECT_NEAR(times / links, 1, kOff);
  EXPECT_LT(Value(largest, "allocator_bytes_moving"),
            0.7 * Value(smallest, "allocator_bytes_moving"));
}

}  // namespace
}  // namespace millethollow::scale
