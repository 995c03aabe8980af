// What other threads have for the loop's: taken out in turns of the loop, in order.
#ifndef MILLETHOLLOW_NET_TASK_QUEUE_H_
#define MILLETHOLLOW_NET_TASK_QUEUE_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "net/loop.h"

namespace millethollow {

// To outlive the threads that speak to it. What is left in it at its end is not run.
class TaskQueue {
 public:
  using Task = std::function<void()>;
  TaskQueue() = default;
  ~TaskQueue();
  TaskQueue(const TaskQueue&) = delete;
  TaskQueue& operator=(const TaskQueue&) = delete;

  bool Open(Loop* loop, std::string* error);  // false: no descriptor to be had
  void Post(Task task);                   // on any thread

 private:
  void RunTasks();

  std::mutex mutex_;
  std::vector<Task> tasks_;
  int event_fd_ = -1;
  EventPtr readable_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_TASK_QUEUE_H_
