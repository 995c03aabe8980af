// The highest rate at which requests were admitted within any window of time, as a fraction of a
// quota, from the times at which their answers were received.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_PEAK_USE_H_
#define MILLETHOLLOW_TESTS_SUPPORT_PEAK_USE_H_

#include <algorithm>
#include <vector>

namespace millethollow::cluster_test {

// A time during which no node answered any request, admitted or rejected.
struct AnswerPause {
  double start_s = 0, length_s = 0;
  // The longest time within it during which the load generator did not run. If this is about as
  // long as the pause, the load generator or the machine stalled, else the nodes or the workers.
  double generator_stall_s = 0;
};

// A bucket holds at least this many seconds of its rate (docs/cluster.md, 'not promised').
constexpr double kBucketDepthS = 0.5;

// The seconds of the last kBucketDepthS before `at_s` that lie in pauses. Token buckets saved their
// rate for that long.
inline double PausedBefore(const std::vector<AnswerPause>& pauses, double at_s) {
  double paused_s = 0;
  for (const AnswerPause& pause : pauses) {
    const double start_s = std::max(pause.start_s, at_s - kBucketDepthS);
    const double end_s = std::min(pause.start_s + pause.length_s, at_s);
    paused_s += std::max(0.0, end_s - start_s);
  }
  return paused_s;
}

// Returns the highest rate admitted within any `window_s` that begins at `from_s` or later, as a
// fraction of the quota. Requests that were admitted with tokens saved in a pause just before the
// window are not counted. `admitted_at` and `pauses` are in ascending order.
inline double PeakUse(const std::vector<double>& admitted_at,
                      const std::vector<AnswerPause>& pauses, double from_s, double window_s,
                      double quota_rps) {
  double peak = 0;
  auto first = std::lower_bound(admitted_at.begin(), admitted_at.end(), from_s);
  for (auto end = first; first != admitted_at.end(); ++first) {
    while (end != admitted_at.end() && *end - *first <= window_s) ++end;
    const double saved = PausedBefore(pauses, *first) * quota_rps;
    const double admitted = static_cast<double>(end - first) - saved;
    peak = std::max(peak, admitted / (window_s * quota_rps));
  }
  return peak;
}

}  // namespace millethollow::cluster_test

#endif  // MILLETHOLLOW_TESTS_SUPPORT_PEAK_USE_H_
