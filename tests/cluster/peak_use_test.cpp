// What the tests of quota leases on several processes count as use of a quota.
#include "support/peak_use.h"

#include <gtest/gtest.h>

namespace millethollow::cluster_test {
namespace {

constexpr double kQuotaRps = 100, kWindowS = 5, kMaxOveruse = 1.05;
constexpr int kSteadyAnswers = 2000;  // 20 s of the quota

// Answers at the rate of the quota for 20 s, and further ones at one time.
std::vector<double> AnswersWithBurst(double burst_at_s, int burst, AnswerPause pause = {}) {
  std::vector<double> times;
  for (int i = 0; i < kSteadyAnswers; ++i) {
    const double at_s = i / kQuotaRps;
    if (at_s <= pause.start_s || at_s >= pause.start_s + pause.length_s) times.push_back(at_s);
  }
  times.insert(times.end(), static_cast<std::size_t>(burst), burst_at_s);
  std::sort(times.begin(), times.end());
  return times;
}

// Guards against a failure of the tests of quotas where the load generator or the machine stalls:
// the buckets then save tokens for that long, which docs/cluster.md allows on top of the quota.
TEST(PeakUse, DoesNotCountWhatWasSavedInAPause) {
  const AnswerPause pause{.start_s = 10, .length_s = 0.3};
  const auto answers = AnswersWithBurst(10.305, 30, pause);
  EXPECT_LE(PeakUse(answers, {pause}, 0, kWindowS, kQuotaRps), 1.01);
  EXPECT_GT(PeakUse(answers, {}, 0, kWindowS, kQuotaRps), kMaxOveruse);
}

// Guards against a pause that excuses more than the buckets can have saved in it.
TEST(PeakUse, CountsWhatIsMoreThanWasSavedInAPause) {
  const AnswerPause pause{.start_s = 10, .length_s = 0.3};
  EXPECT_GT(PeakUse(AnswersWithBurst(10.305, 60, pause), {pause}, 0, kWindowS, kQuotaRps),
            kMaxOveruse);
  EXPECT_GT(PeakUse(AnswersWithBurst(9.995, 30, pause), {pause}, 0, kWindowS, kQuotaRps),
            kMaxOveruse)
      << "before the pause";
  EXPECT_GT(PeakUse(AnswersWithBurst(11, 30, pause), {pause}, 0, kWindowS, kQuotaRps), kMaxOveruse)
      << "long after the pause";
  const AnswerPause long_pause{.start_s = 10, .length_s = 2};
  EXPECT_GT(PeakUse(AnswersWithBurst(12.005, 80, long_pause), {long_pause}, 0, kWindowS, kQuotaRps),
            kMaxOveruse)
      << "a bucket is not deeper than that";
}

}  // namespace
}  // namespace millethollow::cluster_test
