// Estimates that the decisions use: service times and capacity.
#include <gtest/gtest.h>

#include <cmath>
#include <random>
#include <utility>
#include <vector>

#include "balancing/peer_usage.h"
#include "balancing/support.h"

namespace millethollow::balancing {
namespace {

// Hints are off by a lognormal factor. The mean of time over hint is dominated by the smallest
// hints.
TEST(EstimatorsTest, LogLinearFitPredictsServiceTimeFromRoughHints) {
  struct Case {
    double spread;  // of the hint around the work, in logs
    bool tells;     // the hint follows the work at all
  };
  for (const Case c : {Case{0.3, true}, Case{1.2, true}, Case{1.0, false}}) {
    std::mt19937_64 random(3);
    std::lognormal_distribution<double> work(std::log(0.25), 0.6), noise(0, c.spread);
    LogLinearFit line;
    Mean ratio;
    std::vector<std::pair<double, double>> requests;  // hint, time
    for (int i = 0; i < 4000; ++i) {
      const double w = work(random), other = work(random);
      const double hint = (c.tells ? w : other) * noise(random);
      requests.emplace_back(hint, 2 * w);  // workers take twice the hinted work
      if (i < 200) continue;               // learn from the later ones, test on the first
      line.Add(hint, 2 * w, 200);
      ratio.Add(2 * w / hint, 200);
    }
    double sum = 0, by_line = 0, by_ratio = 0;
    for (int i = 0; i < 200; ++i) {
      sum += requests[ToIndex(i)].second;
      by_line += line.Predict(requests[ToIndex(i)].first, -1);
      by_ratio += requests[ToIndex(i)].first * ratio.value;
    }
    EXPECT_NEAR(by_line / sum, 1.0, 0.25) << c.spread;
    if (c.spread > 1) {
      EXPECT_GT(by_ratio / sum, 1.5) << "the mean ratio, for comparison";
    }
  }
  EXPECT_EQ(LogLinearFit{}.Predict(0.3, 7.0), 7.0);  // nothing learned: the fallback
}

// Where a slot is free no request is queued, so all that the worker holds run.
TEST(EstimatorsTest, FreeSlotsAndHeldRequestsGiveTheCapacity) {
  struct Case {
    double free, held, told;
  };
  for (const Case c : {Case{2, 3, 5}, Case{0, 7, 0}, Case{1.2, -1, 1}, Case{3, 0, 3}}) {
    Worker w;
    w.reported_free_slots = c.free;
    w.reported_in_flight = c.held;
    EXPECT_EQ(w.ImpliedSlots(), c.told) << c.free << " " << c.held;
  }
}

}  // namespace
}  // namespace millethollow::balancing
