#include "balancing/load_estimates.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace millethollow::balancing {
namespace {

// Time constant with which a worker's observed start wait decays to that of its group.
constexpr double kStartWaitDecayS = 1.0;
// Time constant with which the weight of a worker's slowdown decays, so that a worker that was slow
// for a time is tried again.
constexpr double kSlowdownDecayS = 10.0;
// Weight, in samples, of the slowdown of a worker's kind.
constexpr double kKindSlowdownSamples = 8.0;
constexpr double kMaxSlowdownSamples = 16.0;  // samples in the mean of a worker's own slowdown
constexpr double kMaxSlowdown = 10.0;
constexpr double kMinRunTimeS = 1e-4;
constexpr double kMinCapacityHint = 0.1;
// Samples in a mean; older ones decay.
constexpr double kMeanSamples = 200, kAllRunSamples = 400, kPromptStartSamples = 50,
                 kGroupWaitSamples = 50;
// Weight, in samples, of a mean adopted from a large tier.
constexpr double kMinAdoptedSamples = 50;

}  // namespace

LoadEstimates::LoadEstimates(int kind_count, int zone_count)
    : zone_count_(std::max(1, zone_count)) {
  kind_slowdown_.resize(ToIndex(std::max(1, kind_count)));
  kind_slots_.assign(kind_slowdown_.size(), 0.0);
  kind_max_slots_.assign(kind_slowdown_.size(), {0.0, -1});
  group_wait_s_.assign(kind_slowdown_.size() * ToIndex(zone_count_), 0.0);
  group_success_.assign(group_wait_s_.size(), 1.0);
}

void LoadEstimates::SetClassCount(std::size_t class_count) {
  class_run_time_.resize(class_count);
  class_hint_fit_.resize(class_count);
}

void LoadEstimates::ForgetClass(int class_index) {
  class_run_time_[ToIndex(class_index)] = {};
  class_hint_fit_[ToIndex(class_index)] = {};
}

double LoadEstimates::RunTime(const Request& request, const ClassSettings& settings) const {
  const double mean_s = ClassRunTime(request.class_index, settings.latency_objective_s);
  return request.size_hint_s > 0
             ? class_hint_fit_[ToIndex(request.class_index)].Predict(request.size_hint_s, mean_s)
             : mean_s;
}

double LoadEstimates::Slowdown(const Worker& worker, double now_s) const {
  const double kind_slowdown = kind_slowdown_[ToIndex(worker.kind)].ValueOr(
      1 / std::max(kMinCapacityHint, worker.capacity_hint));
  const double own_samples =
      worker.slowdown_weight * std::exp((worker.slowdown_at - now_s) / kSlowdownDecayS);
  return (worker.slowdown * own_samples + kind_slowdown * kKindSlowdownSamples) /
         (own_samples + kKindSlowdownSamples);
}

// The worker's last wait decays towards the mean wait of its group.
double LoadEstimates::StartWait(const Worker& worker, double now_s) const {
  const double group_s = group_wait_s_[GroupOf(worker)];
  return group_s + (worker.start_wait_s - group_s) *
                       std::exp((worker.start_wait_at - now_s) / kStartWaitDecayS);
}

double LoadEstimates::KeyFetchOverhead() const {
  return other_key_slowdown_.ValueOr(1) / std::max(recent_key_slowdown_.ValueOr(1), 1e-9) - 1;
}

void LoadEstimates::OnRequest(const Request& request) {
  memory_per_slot_.Add(request.memory / request.slots, kMeanSamples);
}

void LoadEstimates::OnPromptStart(bool prompt) { prompt_starts_.Add(prompt, kPromptStartSamples); }

void LoadEstimates::OnStartWait(double wait_s, double now_s, Worker* worker) {
  double& group_s = group_wait_s_[GroupOf(*worker)];
  group_s += (wait_s - group_s) / kGroupWaitSamples;
  worker->start_wait_s = wait_s;
  worker->start_wait_at = now_s;
}

RunSample LoadEstimates::OnRunEnded(const Request& request, const ClassSettings& settings,
                                    const Attempt& attempt, double now_s, Worker* worker) {
  const double since_s = attempt.started_at >= 0 ? attempt.started_at : attempt.sent_at;
  const double run_time_s = std::max(kMinRunTimeS, now_s - since_s);
  const double slowdown =
      std::min(run_time_s / std::max(RunTime(request, settings), kMinRunTimeS), kMaxSlowdown);
  class_run_time_[ToIndex(request.class_index)].Add(run_time_s, kMeanSamples);
  all_run_.Add(run_time_s, kAllRunSamples);
  if (request.size_hint_s > 0) {
    class_hint_fit_[ToIndex(request.class_index)].Add(request.size_hint_s, run_time_s,
                                                      kMeanSamples);
  }
  kind_slowdown_[ToIndex(worker->kind)].Add(slowdown, kMeanSamples);
  if (request.key != 0) {
    Mean& key_slowdown = attempt.recent_key ? recent_key_slowdown_ : other_key_slowdown_;
    key_slowdown.Add(run_time_s / Slowdown(*worker, now_s), kMeanSamples);
  }
  const double decayed_weight =
      worker->slowdown_weight * std::exp((worker->slowdown_at - now_s) / kSlowdownDecayS);
  worker->slowdown_weight = std::min(decayed_weight + 1, kMaxSlowdownSamples);
  worker->slowdown += (slowdown - worker->slowdown) / worker->slowdown_weight;
  worker->slowdown_at = now_s;
  return {.run_time_s = run_time_s, .slowdown = slowdown};
}

void LoadEstimates::OnLoadReport(std::ptrdiff_t index, Worker* worker) {
  // The slots of a kind are the second largest number that workers reported: a single wrong report
  // must not make the kind appear unlimited.
  double& slots = kind_slots_[ToIndex(worker->kind)];
  auto& [max_slots, reporter] = kind_max_slots_[ToIndex(worker->kind)];
  const double reported_slots = worker->ImpliedSlots();
  if (reporter != index) slots = std::max(slots, std::min(max_slots, reported_slots));
  if (reported_slots > max_slots) std::tie(max_slots, reporter) = std::pair(reported_slots, index);
  if (worker->reported_queued < 0) {  // not reported: what exceeds the busy slots is queued
    const double busy = slots - worker->reported_free_slots;
    worker->reported_queued = std::max(0.0, worker->reported_in_flight - busy);
  }
}

void LoadEstimates::OnWorkerForgotten(std::ptrdiff_t index) {
  for (auto& [max_slots, reporter] : kind_max_slots_) {
    if (reporter == index) std::tie(max_slots, reporter) = std::pair(0.0, -1);
  }
}

void LoadEstimates::RecoverGroupSuccess(double recovery, double elapsed_s, double interval_s) {
  for (double& group_success : group_success_)
    group_success += (1 - group_success) * recovery * elapsed_s / interval_s;
}

double LoadEstimates::RaiseKindSlots(int kind_index, double slots) {
  double& known = kind_slots_[ToIndex(kind_index)];
  known = std::max(known, slots);
  return known;
}

void LoadEstimates::Adopt(double value, Mean* mean) {
  *mean = {value, std::max(mean->count, kMinAdoptedSamples)};
}

}  // namespace millethollow::balancing
