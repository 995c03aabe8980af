// The event loop: libevent, the one sorted structure of deadlines, and the descriptor budget.
#ifndef MILLETHOLLOW_NET_LOOP_H_
#define MILLETHOLLOW_NET_LOOP_H_

#include <event2/event.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/deadlines.h"

namespace millethollow {

struct EventBaseFree {
  void operator()(event_base* b) const { event_base_free(b); }
};
struct EventFree {
  void operator()(event* e) const { event_free(e); }
};
using EventPtr = std::unique_ptr<event, EventFree>;

// Who may hold how many sockets, under the one limit that the platform sets.
struct DescriptorBudget {
  std::size_t max_clients = 480, max_workers = 480;
  std::size_t clients = 0, workers = 0;
  std::size_t sibling_clients = 0, sibling_workers = 0;  // of the process that we replace

  bool ClientsFull() const { return clients + sibling_clients >= max_clients; }
  bool WorkersFull() const { return workers + sibling_workers >= max_workers; }

  static DescriptorBudget ForSocketLimit(std::size_t sockets) {
    // The rest is for the listener, discovery, peers, standard streams, and sockets that wait for
    // their accept or close.
    const std::size_t free = sockets > 80 ? sockets - 64 : 16;
    return {.max_clients = free / 2, .max_workers = free / 2};
  }
};

class Loop {
 public:
  static constexpr int kHighPriority = 0;  // the priority of events that go before all others

  Loop();
  ~Loop();
  event_base* base() { return base_.get(); }
  Deadlines& deadlines() { return deadlines_; }
  DescriptorBudget& budget() { return budget_; }

  // Seconds since the epoch as of the start, carried on by the monotonic clock: never runs back,
  // and the list's start times, which are Unix time, compare with it directly.
  double Now() const;

  // Every front counts its clients here: one that gives a descriptor back may let another accept.
  void OnClientFreed(std::function<void()> what) { client_freed_.push_back(std::move(what)); }
  void ClientFreed();
  void NotifyClientCapacity();  // more clients may be accepted again

  // Runs at the end of this turn: where connections are destroyed, never within a callback of
  // theirs.
  void Defer(std::function<void()> what) { deferred_.push_back(std::move(what)); }
  void Turn();  // waits for events up to the next deadline, then sweeps
  void Run();   // turns until Stop
  void Stop() { stopped_ = true; }

 private:
  std::unique_ptr<event_base, EventBaseFree> base_;
  EventPtr tick_;
  Deadlines deadlines_;
  DescriptorBudget budget_;
  std::vector<std::function<void()>> deferred_, client_freed_;
  double wall_at_start_ = 0, steady_at_start_ = 0;
  bool stopped_ = false;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_LOOP_H_
