// Estimates of run times, worker slowdowns, start waits and capacities.
#ifndef MILLETHOLLOW_BALANCING_LOAD_ESTIMATES_H_
#define MILLETHOLLOW_BALANCING_LOAD_ESTIMATES_H_

#include <cstddef>
#include <utility>
#include <vector>

#include "balancing/request.h"
#include "balancing/support.h"
#include "balancing/worker.h"
#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {

// The measured run of a request.
struct RunSample {
  double run_time_s = 0;
  double slowdown = 1;  // run time over expected run time
};

// Estimates learned from attempts and load reports: by class, by worker kind, by group (the workers
// of one kind in one zone) and overall. Newer samples outweigh older ones. Estimates of a single
// worker are kept in Worker. Times are seconds on the caller's clock.
class LoadEstimates {
 public:
  LoadEstimates(int kind_count, int zone_count);

  // Classes may be added; the estimates of existing ones stay.
  void SetClassCount(std::size_t class_count);
  // Drops the estimates of a class that means another one from now on.
  void ForgetClass(int class_index);
  // Numbers of worker kinds and zones.
  int kinds() const { return static_cast<int>(kind_slowdown_.size()); }
  int zones() const { return zone_count_; }

  // Expected run time of a request at a slowdown of 1, by its size hint if it has one.
  double RunTime(const Request& request, const ClassSettings& settings) const;
  // Mean run times in seconds, of a class and of all requests.
  double ClassRunTime(int class_index, double fallback_s) const {
    return class_run_time_[ToIndex(class_index)].ValueOr(fallback_s);
  }
  double MeanRunTime(double fallback_s) const { return all_run_.ValueOr(fallback_s); }
  // Expected run time at the worker over the ordinary run time.
  double Slowdown(const Worker& worker, double now_s) const;
  // Seconds from sending an attempt to its start.
  double StartWait(const Worker& worker, double now_s) const;
  // Slots of the worker by the endpoint list, otherwise as observed for its kind; 0: not known.
  double Slots(const Worker& worker) const {
    return worker.capacity_slots > 0 ? worker.capacity_slots : kind_slots_[ToIndex(worker.kind)];
  }
  // Mean units of memory of a request, per slot.
  double MemoryPerSlot() const { return memory_per_slot_.ValueOr(0); }
  // Share of attempts in the worker's group that do not fail.
  double& GroupSuccess(const Worker& worker) { return group_success_[GroupOf(worker)]; }
  double GroupSuccess(const Worker& worker) const { return group_success_[GroupOf(worker)]; }
  // Relative increase of the run time if the request's key was not among the last sent to the
  // worker.
  double KeyFetchOverhead() const;
  // Share of the attempts sent to a worker whose load report showed a free slot that started at
  // once.
  double PromptStartShare() const { return prompt_starts_.ValueOr(1.0); }

  // Samples: a request arrived; an attempt started, at once or not; it started after `wait_s`; it
  // ended successfully.
  void OnRequest(const Request& request);
  void OnPromptStart(bool prompt);
  void OnStartWait(double wait_s, double now_s, Worker* worker);
  RunSample OnRunEnded(const Request& request, const ClassSettings& settings,
                       const Attempt& attempt, double now_s, Worker* worker);
  // `index` is the worker's index in the WorkerTable. The report must already be applied to the
  // worker.
  void OnLoadReport(std::ptrdiff_t index, Worker* worker);
  // The WorkerTable reuses the worker's index.
  void OnWorkerForgotten(std::ptrdiff_t index);
  // Moves the success rates of all groups towards 1, by `recovery` of the way per `interval_s`.
  void RecoverGroupSuccess(double recovery, double elapsed_s, double interval_s);

  // Adopt means that a large tier agrees on.
  void AdoptClassRunTime(int class_index, double mean_s) {
    Adopt(mean_s, &class_run_time_[ToIndex(class_index)]);
  }
  void AdoptKindSlowdown(int kind, double slowdown) {
    Adopt(slowdown, &kind_slowdown_[ToIndex(kind)]);
  }
  // Returns the larger of `slots` and what was known.
  double RaiseKindSlots(int kind_index, double slots);

 private:
  friend struct StateTransfer;  // transferred in a hot restart
  std::size_t GroupOf(const Worker& worker) const {
    return ToIndex(worker.kind * zone_count_ + worker.zone);
  }
  static void Adopt(double value, Mean* mean);

  int zone_count_;
  std::vector<Mean> class_run_time_;          // seconds
  std::vector<LogLinearFit> class_hint_fit_;  // run time by size hint, both in seconds
  std::vector<Mean> kind_slowdown_;
  // Slots of each kind: the second largest number that workers reported, so that a single wrong
  // report has no effect; and the largest, with the index of the worker that reported it (-1:
  // none).
  std::vector<double> kind_slots_;
  std::vector<std::pair<double, std::ptrdiff_t>> kind_max_slots_;
  std::vector<double> group_wait_s_;  // start wait in seconds
  std::vector<double> group_success_;
  Mean memory_per_slot_;  // of requests, in units of memory
  Mean all_run_;          // seconds
  Mean prompt_starts_;
  // Slowdown relative to the worker's, of requests whose key was among the last sent to the worker,
  // and of the others.
  Mean recent_key_slowdown_, other_key_slowdown_;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_LOAD_ESTIMATES_H_
