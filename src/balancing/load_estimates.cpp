#include "balancing/load_estimates.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace millethollow::balancing {
namespace {

constexpr double kStartWaitDecayS = 1.0;  // an observed wait for a start says little after this
constexpr double kPaceDecayS = 10.0;      // a slow spell is forgiven and the worker tried again
constexpr double kKindPaceJobs = 8.0;     // jobs that the pace of a worker's kind counts for
constexpr double kMaxPaceJobs = 16.0;     // jobs of one worker that its own pace is a mean of
constexpr double kMaxPace = 10.0;
constexpr double kMinRunTimeS = 1e-4;
constexpr double kMinCapacityHint = 0.1;
// Jobs that a mean is taken over; older ones fade.
constexpr double kMeanJobs = 200, kAllRunJobs = 400, kPromptStartJobs = 50, kGroupWaitJobs = 50;
constexpr double kMinAdoptedJobs = 50;  // that means adopted from a large tier count for

}  // namespace

LoadEstimates::LoadEstimates(int kinds, int zones) : zones_(std::max(1, zones)) {
  kind_pace_.resize(Idx(std::max(1, kinds)));
  kind_slots_.assign(kind_pace_.size(), 0.0);
  kind_max_slots_.assign(kind_pace_.size(), {0.0, -1});
  group_wait_s_.assign(kind_pace_.size() * Idx(zones_), 0.0);
  group_success_.assign(group_wait_s_.size(), 1.0);
}

void LoadEstimates::SetClassCount(std::size_t classes) {
  class_run_time_.resize(classes);
  class_hint_fit_.resize(classes);
}

void LoadEstimates::ForgetClass(int cls) {
  class_run_time_[Idx(cls)] = {};
  class_hint_fit_[Idx(cls)] = {};
}

double LoadEstimates::RunTime(const Job& job, const ClassSettings& settings) const {
  const double mean_s = ClassRunTime(job.class_index, settings.latency_objective_s);
  return job.size_hint_s > 0 ? class_hint_fit_[Idx(job.class_index)].At(job.size_hint_s, mean_s)
                             : mean_s;
}

double LoadEstimates::Pace(const Worker& worker, double now_s) const {
  const double kind =
      kind_pace_[Idx(worker.kind)].Or(1 / std::max(kMinCapacityHint, worker.capacity_hint));
  const double jobs = worker.pace_weight * std::exp((worker.pace_at - now_s) / kPaceDecayS);
  return (worker.pace * jobs + kind * kKindPaceJobs) / (jobs + kKindPaceJobs);
}

// A worker's last wait says less and less; then its group's is the better estimate.
double LoadEstimates::StartWait(const Worker& worker, double now_s) const {
  const double group_s = group_wait_s_[GroupOf(worker)];
  return group_s + (worker.start_wait_s - group_s) *
                       std::exp((worker.start_wait_at - now_s) / kStartWaitDecayS);
}

double LoadEstimates::KeyFetchOverhead() const {
  return other_key_pace_.Or(1) / std::max(recent_key_pace_.Or(1), 1e-9) - 1;
}

void LoadEstimates::OnRequest(const Job& job) {
  memory_per_slot_.Add(job.memory / job.slots, kMeanJobs);
}

void LoadEstimates::OnPromptStart(bool prompt) { prompt_starts_.Add(prompt, kPromptStartJobs); }

void LoadEstimates::OnStartWait(double wait_s, double now_s, Worker* worker) {
  double& group_s = group_wait_s_[GroupOf(*worker)];
  group_s += (wait_s - group_s) / kGroupWaitJobs;
  worker->start_wait_s = wait_s;
  worker->start_wait_at = now_s;
}

RunSample LoadEstimates::OnRunEnded(const Job& job, const ClassSettings& settings,
                                    const Attempt& attempt, double now_s, Worker* worker) {
  const double since_s = attempt.started_at >= 0 ? attempt.started_at : attempt.sent_at;
  const double took_s = std::max(kMinRunTimeS, now_s - since_s);
  const double pace = std::min(took_s / std::max(RunTime(job, settings), kMinRunTimeS), kMaxPace);
  class_run_time_[Idx(job.class_index)].Add(took_s, kMeanJobs);
  all_run_.Add(took_s, kAllRunJobs);
  if (job.size_hint_s > 0) {
    class_hint_fit_[Idx(job.class_index)].Add(job.size_hint_s, took_s, kMeanJobs);
  }
  kind_pace_[Idx(worker->kind)].Add(pace, kMeanJobs);
  if (job.key != 0) {
    Mean& key_pace = attempt.recent_key ? recent_key_pace_ : other_key_pace_;
    key_pace.Add(took_s / Pace(*worker, now_s), kMeanJobs);
  }
  const double faded = worker->pace_weight * std::exp((worker->pace_at - now_s) / kPaceDecayS);
  worker->pace_weight = std::min(faded + 1, kMaxPaceJobs);
  worker->pace += (pace - worker->pace) / worker->pace_weight;
  worker->pace_at = now_s;
  return {.took_s = took_s, .pace = pace};
}

void LoadEstimates::OnLoadReport(std::ptrdiff_t index, Worker* worker) {
  // A kind holds what two workers agree on: one wrong report must not make it unlimited.
  double& slots = kind_slots_[Idx(worker->kind)];
  auto& [most, reporter] = kind_max_slots_[Idx(worker->kind)];
  const double reported = worker->ImpliedSlots();
  if (reporter != index) slots = std::max(slots, std::min(most, reported));
  if (reported > most) std::tie(most, reporter) = std::pair(reported, index);
  if (worker->reported_queued < 0) {  // not reported: what exceeds the busy slots is queued
    const double busy = slots - worker->reported_free_slots;
    worker->reported_queued = std::max(0.0, worker->reported_in_flight - busy);
  }
}

void LoadEstimates::OnWorkerForgotten(std::ptrdiff_t index) {
  for (auto& [most, reporter] : kind_max_slots_) {
    if (reporter == index) std::tie(most, reporter) = std::pair(0.0, -1);
  }
}

void LoadEstimates::RecoverGroups(double share, double span_s, double interval_s) {
  for (double& success : group_success_) success += (1 - success) * share * span_s / interval_s;
}

double LoadEstimates::RaiseKindSlots(int kind, double slots) {
  double& known = kind_slots_[Idx(kind)];
  known = std::max(known, slots);
  return known;
}

void LoadEstimates::Adopt(double value, Mean* mean) {
  *mean = {value, std::max(mean->n, kMinAdoptedJobs)};
}

}  // namespace millethollow::balancing
