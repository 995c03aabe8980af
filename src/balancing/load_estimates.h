// What a dispatcher learns about run times, worker paces, waits and capacities.
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

// How a job ran, against what was expected.
struct RunSample {
  double took_s = 0;
  double pace = 1;  // seconds taken per second expected
};

// Estimates that are learned from attempts and load reports: by class, by worker kind, by group
// (the workers of one kind in one zone) and over all. They forget: newer samples outweigh older
// ones. What is learned of one worker alone stands in Worker. Times are seconds on the caller's
// clock.
class LoadEstimates {
 public:
  LoadEstimates(int kinds, int zones);

  // Classes may be added; the estimates of those known stay.
  void SetClassCount(std::size_t classes);
  void ForgetClass(int cls);
  int kinds() const { return static_cast<int>(kind_pace_.size()); }
  int zones() const { return zones_; }

  // Run time of a job at ordinary pace, by its size hint where it has one.
  double RunTime(const Job& job, const ClassSettings& settings) const;
  double ClassRunTime(int cls, double otherwise_s) const {
    return class_run_time_[Idx(cls)].Or(otherwise_s);
  }
  double MeanRunTime(double otherwise_s) const { return all_run_.Or(otherwise_s); }
  // Seconds that the worker takes per second expected.
  double Pace(const Worker& worker, double now_s) const;
  // From the sending of an attempt to its start.
  double StartWait(const Worker& worker, double now_s) const;
  // What the worker holds at once: as the endpoint list says, else as its kind was seen to; 0: not
  // known.
  double Slots(const Worker& worker) const {
    return worker.capacity_slots > 0 ? worker.capacity_slots : kind_slots_[Idx(worker.kind)];
  }
  double MemoryPerSlot() const { return memory_per_slot_.Or(0); }
  // Share of attempts in the worker's group that do not fail.
  double& GroupSuccess(const Worker& worker) { return group_success_[GroupOf(worker)]; }
  double GroupSuccess(const Worker& worker) const { return group_success_[GroupOf(worker)]; }
  // Time added to a job, as a share, where its key was not among the last sent to the worker.
  double KeyFetchOverhead() const;
  // Share of attempts, sent on the word of a load report, that started at once.
  double PromptStartShare() const { return prompt_starts_.Or(1.0); }

  void OnRequest(const Job& job);
  void OnPromptStart(bool prompt);
  void OnStartWait(double wait_s, double now_s, Worker* worker);
  RunSample OnRunEnded(const Job& job, const ClassSettings& settings, const Attempt& attempt,
                       double now_s, Worker* worker);
  // `index` is the worker's in the caller's table. The report is already applied to the worker.
  void OnLoadReport(std::ptrdiff_t index, Worker* worker);
  void OnWorkerForgotten(std::ptrdiff_t index);
  // Forgives failures of groups by this share of the way.
  void RecoverGroups(double share, double span_s, double interval_s);

  // Takes over means that a large tier agrees on.
  void AdoptClassRunTime(int cls, double mean_s) { Adopt(mean_s, &class_run_time_[Idx(cls)]); }
  void AdoptKindPace(int kind, double pace) { Adopt(pace, &kind_pace_[Idx(kind)]); }
  // Returns the larger of this and what was known.
  double RaiseKindSlots(int kind, double slots);

 private:
  friend struct StateTransfer;  // handed over in a hot restart
  std::size_t GroupOf(const Worker& worker) const {
    return Idx(worker.kind * zones_ + worker.zone);
  }
  static void Adopt(double value, Mean* mean);

  int zones_;
  std::vector<Mean> class_run_time_;    // seconds
  std::vector<LogFit> class_hint_fit_;  // run time by size hint
  std::vector<Mean> kind_pace_;
  // Slots of a kind: the second largest that workers reported, so that one wrong report does not
  // count; and the largest with the worker that reported it, -1: none.
  std::vector<double> kind_slots_;
  std::vector<std::pair<double, std::ptrdiff_t>> kind_max_slots_;
  std::vector<double> group_wait_s_;
  std::vector<double> group_success_;
  Mean memory_per_slot_;  // of jobs
  Mean all_run_;          // seconds
  Mean prompt_starts_;
  // Pace relative to the worker's, where the job's key was among the last sent there, or was not.
  Mean recent_key_pace_, other_key_pace_;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_LOAD_ESTIMATES_H_
