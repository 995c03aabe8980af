// A model of a worker without a network: slots, memory and a queue served in order. Shared by the
// workers on sockets and the simulated fleet.
#ifndef MILLETHOLLOW_TESTS_SUPPORT_WORKER_MODEL_H_
#define MILLETHOLLOW_TESTS_SUPPORT_WORKER_MODEL_H_

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

#include "scheduling/resource_index.h"

namespace millethollow {

class WorkerModel {
 public:
  struct Job {
    std::string id;
    scheduling::Resources need;
    double run_s = 0;
    double ends_at = 0;
  };
  WorkerModel(scheduling::Resources capacity, std::size_t queue)
      : capacity_(capacity), max_queue_(queue) {}

  // False: rejected, since the queue is full or no such worker could run it.
  bool Submit(Job job) {
    if (!job.need.Within(capacity_)) return false;
    if (waiting_.size() >= max_queue_ && !(waiting_.empty() && job.need.Within(Free())))
      return false;
    waiting_.push_back(std::move(job));
    return true;
  }
  // Those that begin now. The head waits until it fits, and all behind it.
  std::vector<Job> Begin(double now) {
    std::vector<Job> begun;
    while (!waiting_.empty() && waiting_.front().need.Within(Free())) {
      Job job = std::move(waiting_.front());
      waiting_.pop_front();
      job.ends_at = now + job.run_s;
      running_.push_back(job);
      begun.push_back(std::move(job));
    }
    max_used_ = std::max(max_used_, capacity_.slots - Free().slots);
    return begun;
  }
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
  void Remove(const std::string& id) {  // cancelled: its work stops
    const auto same = [&](const Job& j) { return j.id == id; };
    std::erase_if(waiting_, same);
    std::erase_if(running_, same);
  }
  scheduling::Resources Free() const {
    scheduling::Resources free = capacity_;
    for (const Job& j : running_) free = free - j.need;
    return free;
  }
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t running() const { return running_.size(); }
  double max_used() const { return max_used_; }

 private:
  scheduling::Resources capacity_;
  std::size_t max_queue_;
  double max_used_ = 0;
  std::deque<Job> waiting_;
  std::vector<Job> running_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_TESTS_SUPPORT_WORKER_MODEL_H_
