#include "net/task_queue.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <utility>

namespace millethollow {

TaskQueue::~TaskQueue() {
  read_event_.reset();
  if (event_fd_ >= 0) close(event_fd_);
}

bool TaskQueue::Open(Loop* loop, std::string* error) {
  event_fd_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (event_fd_ < 0) return *error = "cannot create an eventfd", false;
  read_event_.reset(event_new(
      loop->base(), event_fd_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<TaskQueue*>(self)->RunTasks(); }, this));
  event_add(read_event_.get(), nullptr);
  return true;
}

void TaskQueue::Post(Task task) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  eventfd_write(event_fd_, 1);
}

void TaskQueue::RunTasks() {
  eventfd_t count = 0;
  eventfd_read(event_fd_, &count);
  std::vector<Task> tasks;
  {
    const std::lock_guard lock(mutex_);
    tasks.swap(tasks_);
  }
  for (const Task& task : tasks) task();
}

}  // namespace millethollow
