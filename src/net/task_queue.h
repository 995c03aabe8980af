// A queue of tasks that any thread posts and an event loop runs, in the order of posting.
#ifndef MILLETHOLLOW_NET_TASK_QUEUE_H_
#define MILLETHOLLOW_NET_TASK_QUEUE_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "net/loop.h"

namespace millethollow {

// Must outlive the threads that post to it. Tasks that are still queued when it is destroyed are
// discarded. Create and destroy it on the loop's thread; the loop is not owned and must outlive it.
class TaskQueue {
 public:
  using Task = std::function<void()>;
  TaskQueue() = default;
  ~TaskQueue();
  TaskQueue(const TaskQueue&) = delete;
  TaskQueue& operator=(const TaskQueue&) = delete;

  // Starts running tasks on `loop`. False, with `error`, if no eventfd can be created.
  bool Open(Loop* loop, std::string* error);
  // Queues a task. May be called on any thread.
  void Post(Task task);

 private:
  void RunTasks();  // on the loop's thread

  std::mutex mutex_;
  std::vector<Task> tasks_;  // guarded by mutex_
  int event_fd_ = -1;        // wakes the loop
  EventPtr read_event_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_TASK_QUEUE_H_
