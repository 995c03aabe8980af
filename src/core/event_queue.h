// Serializes events: an event that is posted while another one runs is queued until that one ends.
#ifndef MILLETHOLLOW_CORE_EVENT_QUEUE_H_
#define MILLETHOLLOW_CORE_EVENT_QUEUE_H_

#include <deque>
#include <functional>
#include <utility>

namespace millethollow {

// A queue of events that never run within each other. Not thread-safe: used from the loop's thread
// only.
class EventQueue {
 public:
  // Runs `event` and all events that it posts before returning. If an event is running already,
  // only queues `event`.
  void Post(std::function<void()> event) {
    events_.push_back(std::move(event));
    if (running_) return;
    running_ = true;
    while (!events_.empty()) {
      const auto next = std::move(events_.front());
      events_.pop_front();
      next();
    }
    running_ = false;
  }

 private:
  std::deque<std::function<void()>> events_;
  bool running_ = false;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_EVENT_QUEUE_H_
