// When a node of a large tier calls discovery next, and when a new process may take requests.
// Decides only: no I/O, no clock; random numbers come from the caller.
#ifndef MILLETHOLLOW_NET_POLL_BACKOFF_H_
#define MILLETHOLLOW_NET_POLL_BACKOFF_H_

#include <algorithm>

namespace millethollow {

// Discovery serves one call after the other and fails those that have waited too long (some
// seconds), or that find too many before them. A call that follows an answer at once lets the watch
// go on, which costs discovery next to nothing; a later one begins a new watch, and waits in turn.
// In a tier of 32 nodes new watches after each change kept discovery so busy that a node's calls
// were turned away eight times in a row. So the watch goes on at once, until discovery turns such a
// call away: then the calls after answers are spread too, until they no longer fail.
//
// After a call that failed, a change counts as told 6 s after discovery had it, and a node may send
// to a server that is to end for the drain grace longer: of a failed call, the wait after it, and
// one more call, the sum has to stay below that. So waits after failures are bounded.
class PollBackoff {
 public:
  explicit PollBackoff(int nodes)
      : start_(std::min(kMaxStartS, kStartSpreadS * nodes)),
        min_window_(std::min(kMaxSpreadS, kSpreadS * nodes)),
        window_(min_window_) {}

  // The wait before the next call; `unit` is random, from 0 to 1.
  double InitialDelay(double unit) const { return start_ * unit; }
  // 0: at once, so that the watch goes on.
  double DelayAfterAnswer(double unit) {
    waited_ = 0;
    window_ = std::max(min_window_, std::min(kMaxAnsweredS, window_ * kNarrower));
    if (!refused_) return 0;
    refused_ = window_ > min_window_;
    return window_ * (kSure + (1 - kSure) * unit);
  }
  // A call that followed an answer at once was turned away: discovery bears no such calls now.
  void OnImmediatePollRejected() { refused_ = true; }
  double DelayAfterFailure(double unit) {
    const bool first = waited_ == 0;
    // Overbooked for so long, discovery may answer nobody: it comes back only once fewer call.
    window_ = first                 ? kFirstS
              : waited_ < kHopefulS ? kNextS
                                    : std::min(kWider * window_, kMaxFailedS);
    const double wait = window_ * (kSoonest + (1 - kSoonest) * unit);
    waited_ += wait;
    return wait;
  }
  // A watch that fell silent says nothing of how busy discovery is, and what it missed is overdue.
  double DelayAfterSilence(double unit) const { return std::min(min_window_, kSilenceS) * unit; }

 private:
  // For each node of the tier: after an answer, and where all may have been started at once and
  // none knows what discovery bears.
  static constexpr double kSpreadS = 0.03, kStartSpreadS = 0.045;
  static constexpr double kMaxSpreadS = 1.3, kMaxStartS = 2.8;
  static constexpr double kSure = 0.6;  // of a wait after an answer: it bounds the pace
  static constexpr double kFirstS = 2.0, kNextS = 4.0, kWider = 3.0,
                          kMaxFailedS = 20.0;   // after failures
  static constexpr double kHopefulS = 10.0;     // of waits after failures, without an answer
  static constexpr double kMaxAnsweredS = 7.0;  // well within the time that a list may be kept
  static constexpr double kNarrower = 0.4;
  static constexpr double kSoonest = 0.25;  // of the window: a queue that is full must drain first
  static constexpr double kSilenceS = 0.8;

  double start_, min_window_, window_;
  bool refused_ = false;
  double waited_ = 0;  // in all, after failures since the last answer
};

// A process that has not heard the list is held to what discovery has all the same, from its first
// moment: what it last knew may name servers that ended long ago. So it takes no request before its
// first list, unless there is none to be had.
class InitialListGate {
 public:
  // In a large tier a call that fails says little: discovery may have too many callers just then.
  InitialListGate(bool large_tier, double started_at)
      : large_tier_(large_tier), deadline_(started_at + kMaxWaitS) {}
  void OnList() { ready_ = true; }
  void OnPollFailed() { ready_ |= !large_tier_; }
  bool Ready(double now) const { return ready_ || now >= deadline_; }
  double deadline() const { return deadline_; }

 private:
  static constexpr double kMaxWaitS = 7.0;  // nine in ten are to be ready within 10 s
  bool large_tier_, ready_ = false;
  double deadline_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_POLL_BACKOFF_H_
