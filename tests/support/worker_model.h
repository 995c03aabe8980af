// A model of a worker without a network: slots, memory and a FIFO queue. Used by test workers on
// sockets and by the simulated fleet.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_WORKER_MODEL_H_
#define MILLETHOLLOW_TESTS_SUPPORT_WORKER_MODEL_H_

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include "scheduling/resource_index.h"

namespace millethollow {

// Times are seconds on the caller's clock.
class WorkerModel {
 public:
  struct Job {
    std::string id;
    scheduling::Resources need;
    double run_s = 0;
    double ends_at = 0;
  };
  // `max_queued`: the number of jobs that may wait.
  WorkerModel(scheduling::Resources capacity, std::size_t max_queued)
      : capacity_(capacity), max_queued_(max_queued) {}

  // Returns false if the job is rejected, because the queue is full or the job exceeds the
  // capacity.
  bool Submit(Job job) {
    if (!job.need.Within(capacity_)) return false;
    if (waiting_.size() >= max_queued_ && !(waiting_.empty() && job.need.Within(Free())))
      return false;
    waiting_.push_back(std::move(job));
    return true;
  }
  // Starts queued jobs in order, as long as the first one fits, and returns them.
  std::vector<Job> Begin(double now) {
    std::vector<Job> started;
    while (!waiting_.empty() && waiting_.front().need.Within(Free())) {
      Job job = std::move(waiting_.front());
      waiting_.pop_front();
      job.ends_at = now + job.run_s;
      running_.push_back(job);
      started.push_back(std::move(job));
    }
    max_used_ = std::max(max_used_, capacity_.slots - Free().slots);
    return started;
  }
  // Ends the jobs whose run time is over, and returns them.
  std::vector<Job> End(double now) {
    std::vector<Job> ended;
    for (auto it = running_.begin(); it != running_.end();) {
      if (it->ends_at > now + 1e-9) {
        ++it;
      } else {
        ended.push_back(std::move(*it));
        it = running_.erase(it);
      }
    }
    return ended;
  }
  // Removes a cancelled job, queued or running.
  void Remove(const std::string& id) {
    const auto has_id = [&](const Job& job) { return job.id == id; };
    std::erase_if(waiting_, has_id);
    std::erase_if(running_, has_id);
  }
  // Resources that are not in use.
  scheduling::Resources Free() const {
    scheduling::Resources free = capacity_;
    for (const Job& job : running_) free = free - job.need;
    return free;
  }
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t running() const { return running_.size(); }
  // The largest number of slots that were in use at the same time.
  double max_used() const { return max_used_; }

 private:
  scheduling::Resources capacity_;
  std::size_t max_queued_;
  double max_used_ = 0;
  std::deque<Job> waiting_;
  std::vector<Job> running_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_TESTS_SUPPORT_WORKER_MODEL_H_
