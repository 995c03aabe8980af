// Backoff with jitter for polling discovery from a large tier, and the gate that holds back
// requests until a new process has its first endpoint list.
//
// Pure decisions without I/O or a clock of their own; the caller passes in the time and random
// numbers. Not synchronized.
#ifndef MILLETHOLLOW_NET_POLL_BACKOFF_H_
#define MILLETHOLLOW_NET_POLL_BACKOFF_H_

#include <algorithm>

namespace millethollow {

// Computes the delay, in seconds, before a node's next poll of discovery.
//
// Discovery serves polls one at a time; it fails those that have been queued for too long (some
// seconds) or that arrive while its queue is full. A poll that follows an answer immediately
// continues the node's watch, which costs discovery almost nothing; a later poll starts a new watch
// and has to queue. In a tier of 32 nodes, new watches after each change can keep discovery so
// busy that it rejects eight polls of a node in a row. So a watch is continued immediately until
// discovery rejects such a poll; from then on polls after answers are spread over a window as well,
// until they succeed again.
//
// The delay after a failure is bounded. After a failed poll, a change counts as delivered to the
// node 6 s after discovery had it, and the node may send to a draining worker for the drain grace
// longer. A failed poll, the delay after it and one more poll have to take less than that in total.
class PollBackoff {
 public:
  // `nodes` is the number of nodes that poll the same discovery.
  explicit PollBackoff(int nodes)
      : startup_window_s_(std::min(kMaxStartupWindowS, kStartupWindowPerNodeS * nodes)),
        min_window_s_(std::min(kMaxMinWindowS, kWindowPerNodeS * nodes)),
        window_s_(min_window_s_) {}

  // Before the first poll of a process. `random` is uniform in [0, 1], here and below.
  double InitialDelay(double random) const { return startup_window_s_ * random; }
  // After an answer. 0 means to poll immediately, which continues the watch.
  double DelayAfterAnswer(double random) {
    failure_delays_s_ = 0;
    window_s_ = std::max(min_window_s_, std::min(kMaxAnswerWindowS, window_s_ * kWindowDecay));
    if (!spread_polls_) return 0;
    spread_polls_ = window_s_ > min_window_s_;
    return window_s_ * (kMinAnswerShare + (1 - kMinAnswerShare) * random);
  }
  // A poll that followed an answer immediately was rejected: discovery is overloaded.
  void OnImmediatePollRejected() { spread_polls_ = true; }
  // After a failed poll: exponential backoff with jitter, which starts over with the next answer.
  double DelayAfterFailure(double random) {
    const bool first_failure = failure_delays_s_ == 0;
    // After failures for this long, discovery may be too overloaded to answer anyone. It recovers
    // only once fewer nodes poll, so the window grows.
    window_s_ = first_failure ? kFirstRetryWindowS
                : failure_delays_s_ < kWindowGrowthAfterS
                    ? kRetryWindowS
                    : std::min(kRetryWindowGrowth * window_s_, kMaxRetryWindowS);
    const double wait_s = window_s_ * (kMinRetryShare + (1 - kMinRetryShare) * random);
    failure_delays_s_ += wait_s;
    return wait_s;
  }
  // After a long poll that timed out. That does not indicate overload, and the changes it should
  // have returned are overdue, so the delay is short.
  double DelayAfterTimeout(double random) const {
    return std::min(min_window_s_, kMaxTimeoutWindowS) * random;
  }

 private:
  // Windows per node of the tier: after an answer, and at startup, when all nodes may start at the
  // same time and none knows the load of discovery.
  static constexpr double kWindowPerNodeS = 0.03, kStartupWindowPerNodeS = 0.045;
  static constexpr double kMaxMinWindowS = 1.3, kMaxStartupWindowS = 2.8;
  // Smallest delay after an answer, as a share of the window: bounds the rate of polls.
  static constexpr double kMinAnswerShare = 0.6;
  // The window after the first failure, the window after further ones, and the factor and the limit
  // of its growth once the delays after failures add up to kWindowGrowthAfterS.
  static constexpr double kFirstRetryWindowS = 2.0, kRetryWindowS = 4.0, kRetryWindowGrowth = 3.0,
                          kMaxRetryWindowS = 20.0;
  static constexpr double kWindowGrowthAfterS = 10.0;
  // Largest window after an answer: well within the time for which a list may be used without
  // polling.
  static constexpr double kMaxAnswerWindowS = 7.0;
  // Factor by which each answer shrinks the window.
  static constexpr double kWindowDecay = 0.4;
  // Smallest delay after a failure, as a share of the window: a full queue has to drain first.
  static constexpr double kMinRetryShare = 0.25;
  static constexpr double kMaxTimeoutWindowS = 0.8;

  double startup_window_s_, min_window_s_, window_s_;
  bool spread_polls_ = false;    // an immediate poll was rejected
  double failure_delays_s_ = 0;  // sum of the delays after failures since the last answer
};

// Decides when a new process may take requests. The process is bound by discovery's current list
// from its start, and the list it was configured with may name workers that terminated long ago. So
// it takes no request before it has received its first list, unless discovery is unavailable. Times
// are in seconds on the caller's clock.
class InitialListGate {
 public:
  // In a large tier a failed poll does not open the gate: discovery may be overloaded for a moment.
  InitialListGate(bool large_tier, double started_at)
      : large_tier_(large_tier), deadline_(started_at + kMaxWaitS) {}
  void OnList() { ready_ = true; }
  void OnPollFailed() { ready_ |= !large_tier_; }
  bool Ready(double now) const { return ready_ || now >= deadline_; }
  // The time from which the gate is open in any case.
  double deadline() const { return deadline_; }

 private:
  static constexpr double kMaxWaitS = 7.0;  // 90% of the processes have to be ready within 10 s
  bool large_tier_, ready_ = false;
  double deadline_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_POLL_BACKOFF_H_
