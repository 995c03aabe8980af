// The event loop of a process: a libevent base, its timers, and the budget of file descriptors.
//
// A loop and everything that is registered with it belong to one thread. Other threads hand work to
// it through a TaskQueue.
#ifndef MILLETHOLLOW_NET_LOOP_H_
#define MILLETHOLLOW_NET_LOOP_H_

#include <event2/event.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/deadlines.h"

namespace millethollow {

// Deleters for libevent objects held by smart pointers.
struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};
struct EventDeleter {
  void operator()(event* handle) const { event_free(handle); }
};
// Owns a libevent event; destroying it removes it from its loop.
using EventPtr = std::unique_ptr<event, EventDeleter>;

// How many sockets clients and workers may use, within the process's limit of open descriptors. The
// sockets of sibling processes in a hot restart count as well: both share one limit.
struct DescriptorBudget {
  std::size_t max_clients = 480, max_workers = 480;
  std::size_t clients = 0, workers = 0;
  std::size_t sibling_clients = 0, sibling_workers = 0;  // as reported by sibling processes

  bool ClientsFull() const { return clients + sibling_clients >= max_clients; }
  bool WorkersFull() const { return workers + sibling_workers >= max_workers; }

  // The budget for a limit of `sockets` open sockets.
  static DescriptorBudget ForSocketLimit(std::size_t sockets) {
    // 64 descriptors are reserved for the listeners, discovery, the sockets between planners, the
    // standard streams, and sockets that are about to be accepted or closed. At least 16 stay
    // available.
    const std::size_t available = sockets > 80 ? sockets - 64 : 16;
    return {.max_clients = available / 2, .max_workers = available / 2};
  }
  // Lowers the number of clients so that what all of them may have the process hold takes half of
  // this memory at most. At least 16 stay available.
  void LimitClientsToMemory(std::size_t bytes) {
    constexpr std::size_t kBytesPerClient = 192 * 1024;  // a request, and input ahead of its answer
    max_clients = std::min(max_clients, std::max<std::size_t>(16, bytes / 2 / kBytesPerClient));
  }
};

// Dispatches I/O events, timers and deferred callbacks.
class Loop {
 public:
  // Priority of events that are handled before all ordinary ones.
  static constexpr int kHighPriority = 0;

  // Also ignores SIGPIPE in the whole process.
  Loop();
  ~Loop();
  event_base* base() { return base_.get(); }
  // Timers, on the clock of Now().
  Deadlines& deadlines() { return deadlines_; }
  DescriptorBudget& budget() { return budget_; }

  // Seconds since the Unix epoch: the wall-clock time at which the loop was created plus the
  // monotonic time since. It never runs backwards, and the start times in endpoint lists, which are
  // Unix times, can be compared with it.
  double Now() const;

  // Converts times of Now() to and from those of the system's monotonic clock, which all processes
  // of a machine share.
  double ToMonotonic(double time) const {
    return time - wall_time_at_start_s_ + monotonic_time_at_start_s_;
  }
  double FromMonotonic(double time) const {
    return time - monotonic_time_at_start_s_ + wall_time_at_start_s_;
  }

  // Now() minus the system's monotonic clock, in seconds.
  double ClockOffset() const { return wall_time_at_start_s_ - monotonic_time_at_start_s_; }
  // Continues the clock of another process of this machine, so that times of that process mean the
  // same here although the wall clock was set in between. Call before any timer is set.
  void AdoptClockOffset(double offset_s) {
    wall_time_at_start_s_ = offset_s + monotonic_time_at_start_s_;
  }

  // Registers a callback for when a client's descriptor has been released. Clients of all fronts
  // share the budget, so a release at one front may let another accept again.
  void OnClientFreed(std::function<void()> callback) {
    client_freed_callbacks_.push_back(std::move(callback));
  }
  // Takes one client off the budget and runs the callbacks registered by OnClientFreed.
  void ClientFreed();
  // Runs the callbacks registered by OnClientFreed: more clients may be accepted again.
  void NotifyClientCapacity();

  // Runs a callback at the end of the current turn. Connections are destroyed there, so that none
  // is destroyed within one of its own callbacks. Many callbacks end the turn early: they may take
  // longer than the events that defer them.
  void Defer(std::function<void()> callback);
  // One iteration of the loop: waits for events until the next deadline at the latest, handles
  // them, runs the timers that are due, and then the deferred callbacks.
  void Turn();
  // Iterates until Stop is called.
  void Run();
  void Stop() { stopped_ = true; }

 private:
  std::unique_ptr<event_base, EventBaseDeleter> base_;
  EventPtr turn_timeout_;
  Deadlines deadlines_;
  DescriptorBudget budget_;
  std::vector<std::function<void()>> deferred_, client_freed_callbacks_;
  double wall_time_at_start_s_ = 0, monotonic_time_at_start_s_ = 0;
  bool stopped_ = false;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_LOOP_H_
