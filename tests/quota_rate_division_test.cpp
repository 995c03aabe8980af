// Division of a rate among dispatchers, with hysteresis.
#include <gtest/gtest.h>

#include <numeric>
#include <vector>

#include "quota/rate_division.h"

namespace millethollow::quota {
namespace {

double Sum(const std::vector<double>& rates) {
  return std::accumulate(rates.begin(), rates.end(), 0.0);
}

TEST(RateDivisionTest, IsProportionalToDemandAndDividesAll) {
  const std::vector<double> rates = ProportionalRates(90, {{10, 0}, {20, 0}, {0, 0}});
  EXPECT_DOUBLE_EQ(rates[0], 30);
  EXPECT_DOUBLE_EQ(rates[1], 60);
  EXPECT_DOUBLE_EQ(rates[2], 0);
  EXPECT_EQ(Sum(ProportionalRates(90, {{0, 5}, {0, 0}})), 0);
}

TEST(RateDivisionTest, KeepsRatesWithinHysteresis) {
  const std::vector<double> rates = RatesWithHysteresis(100, {{52, 50}, {48, 50}}, 0.1);
  EXPECT_DOUBLE_EQ(rates[0], 50);
  EXPECT_DOUBLE_EQ(rates[1], 50);
}

TEST(RateDivisionTest, TakesFromOthersOnlyWhatIsNeeded) {
  std::vector<DispatcherDemand> demands(20, {5, 5});
  demands[0].demand_rps = 10;
  const std::vector<double> rates = RatesWithHysteresis(100, demands, 0.1);
  EXPECT_NEAR(rates[0], 100 * 10.0 / 105, 1e-9);
  EXPECT_LE(Sum(rates), 100 + 1e-6);
  EXPECT_GE(Sum(rates), 100 - 0.3) << "no more is taken than is needed";
}

TEST(RateDivisionTest, FreedRateIsDividedEvenInSmallRaises) {
  std::vector<DispatcherDemand> demands(21, {5, 100.0 / 21});
  demands[0].demand_rps = 0;
  const std::vector<double> rates = RatesWithHysteresis(100, demands, 0.1);
  EXPECT_EQ(rates[0], 0);
  EXPECT_GE(Sum(rates), 99.9 - 1e-9);
}

}  // namespace
}  // namespace millethollow::quota
