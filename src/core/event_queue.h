// Runs events one after the other: an event that is posted while another runs waits for its end.
#ifndef MILLETHOLLOW_CORE_EVENT_QUEUE_H_
#define MILLETHOLLOW_CORE_EVENT_QUEUE_H_

#include <deque>
#include <functional>
#include <utility>

namespace millethollow {

// Not thread-safe: used from the loop's thread alone.
class EventQueue {
 public:
  // Runs `event` at once, with all that it posts, unless an event runs already: then it is queued.
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
