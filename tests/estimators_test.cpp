// Estimates that decisions are based on: run times and capacity.
#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <utility>
#include <vector>

#include "balancing/peer_usage.h"
#include "balancing/support.h"

namespace millethollow::balancing {
namespace {

// Size hints differ from the work by a lognormal factor. The mean of run time over hint would be
// dominated by the smallest hints.
TEST(EstimatorsTest, LogLinearFitPredictsServiceTimeFromRoughHints) {
  struct Case {
    double spread;    // of the hint around the work, as standard deviation of the logarithm
    bool correlated;  // whether the hint is correlated with the work
  };
  for (const Case test_case : {Case{0.3, true}, Case{1.2, true}, Case{1.0, false}}) {
    std::mt19937_64 random(3);
    std::lognormal_distribution<double> work(std::log(0.25), 0.6), noise(0, test_case.spread);
    LogLinearFit fit;
    Mean mean_ratio;
    std::vector<std::pair<double, double>> requests;  // hint, run time
    for (int i = 0; i < 4000; ++i) {
      const double work_s = work(random), other = work(random);
      const double hint = (test_case.correlated ? work_s : other) * noise(random);
      requests.emplace_back(hint, 2 * work_s);  // the run time is twice the hinted work
      if (i < 200) continue;  // the later samples train the fit, the first ones test it
      fit.Add(hint, 2 * work_s, 200);
      mean_ratio.Add(2 * work_s / hint, 200);
    }
    double actual = 0, predicted_by_fit = 0, predicted_by_ratio = 0;
    for (int i = 0; i < 200; ++i) {
      actual += requests[ToIndex(i)].second;
      predicted_by_fit += fit.Predict(requests[ToIndex(i)].first, -1);
      predicted_by_ratio += requests[ToIndex(i)].first * mean_ratio.value;
    }
    EXPECT_NEAR(predicted_by_fit / actual, 1.0, 0.25) << test_case.spread;
    if (test_case.spread > 1) {
      EXPECT_GT(predicted_by_ratio / actual, 1.5) << "the mean ratio, for comparison";
    }
  }
  EXPECT_EQ(LogLinearFit{}.Predict(0.3, 7.0), 7.0);  // without samples: the fallback
}

// While a slot is free no request is queued, so all requests in flight at the worker are running.
TEST(EstimatorsTest, FreeSlotsAndHeldRequestsGiveTheCapacity) {
  struct Case {
    double free, in_flight, implied;
  };
  for (const Case test_case : {Case{2, 3, 5}, Case{0, 7, 0}, Case{1.2, -1, 1}, Case{3, 0, 3}}) {
    Worker worker;
    worker.reported_free_slots = test_case.free;
    worker.reported_in_flight = test_case.in_flight;
    EXPECT_EQ(worker.ImpliedSlots(), test_case.implied)
        << test_case.free << " " << test_case.in_flight;
  }
}

}  // namespace
}  // namespace millethollow::balancing
