// Estimates of run times, paces, start waits and capacities, learned from attempts and load
// reports.
#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kMaxReportValue = 1e6;   // a larger figure in a report is none
constexpr double kSlotRounding = 0.5;     // a report may be short of a slot by so much
constexpr double kStartWaitDecayS = 1.0;  // an observed wait for a start says little after this
constexpr double kKindPaceWeight =
    8.0;  // a worker's own pace outweighs its kind's after so many jobs

double LoadBalancerImpl::ExpectedRun(const Job& job) const {
  const double mean =
      class_run_time_[Idx(job.class_index)].Or(ClassOf(job.class_index).latency_objective_s);
  return job.size_hint_s > 0 ? class_hint_fit_[Idx(job.class_index)].At(job.size_hint_s, mean)
                             : mean;
}

double LoadBalancerImpl::PaceOf(const Worker& w) const {
  const double kind = kind_pace_[Idx(w.kind)].Or(1 / std::max(0.1, w.capacity_hint));
  // What was seen of one worker fades: a slow spell is forgiven and the worker tried again.
  const double n = w.pace_weight * std::exp((w.pace_at - now_) / kPaceDecayS);
  return (w.pace * n + kind * kKindPaceWeight) / (n + kKindPaceWeight);
}

double LoadBalancerImpl::LatencyObjectiveOf(const Job& job) const {
  const ClassSettings& c = ClassOf(job.class_index);
  return std::max(settings_.tick_s,
                  c.latency_objective_s + c.latency_objective_stretch * ExpectedRun(job));
}

void LoadBalancerImpl::OnLoadReport(Worker& w, const double (&report)[4]) {
  for (const double v : report) {  // no worker's figures are negative or so large: unreadable
    if (!(v >= 0 && v < kMaxReportValue)) return;
  }
  w.ApplyReport(now_, settings_.load_report_metrics, report);
  ++version_;
  // A kind holds what two workers agree on: one that is wrong must not make it bottomless.
  double& slots = kind_slots_[Idx(w.kind)];
  auto& [most, who] = kind_max_slots_[Idx(w.kind)];
  const double told = w.ImpliedSlots();
  if (who != &w - workers_.data()) slots = std::max(slots, std::min(most, told));
  if (told > most) std::tie(most, who) = std::pair(told, &w - workers_.data());
  const double busy = slots - w.reported_free_slots;
  if (w.reported_queued < 0)
    w.reported_queued =
        std::max(0.0, w.reported_in_flight - busy);  // the rest of what it holds waits
}

void LoadBalancerImpl::RecordStartWait(Worker& w, double wait) {
  double& kind = group_wait_s_[GroupOf(w)];
  kind += (wait - kind) / 50;
  w.start_wait_s = wait;
  w.start_wait_at = now_;
}

// A worker's last known wait says less and less; then its kind's is the better guess.
double LoadBalancerImpl::StartWaitOf(const Worker& w) const {
  const double kind = group_wait_s_[GroupOf(w)];
  return kind + (w.start_wait_s - kind) * std::exp((w.start_wait_at - now_) / kStartWaitDecayS);
}

void LoadBalancerImpl::RecordRunTime(const Job& job, const Attempt& a, Worker& w) {
  const double took = std::max(1e-4, now_ - (a.started_at >= 0 ? a.started_at : a.sent_at));
  const double ratio = std::min(took / std::max(ExpectedRun(job), 1e-4), 10.0);
  class_run_time_[Idx(job.class_index)].Add(took, 200);
  all_run_.Add(took, 400);
  if (job.size_hint_s > 0) class_hint_fit_[Idx(job.class_index)].Add(job.size_hint_s, took, 200);
  kind_pace_[Idx(w.kind)].Add(ratio, 200);
  if (job.key != 0) (a.recent_key ? recent_key_pace_ : other_key_pace_).Add(took / PaceOf(w), 200);
  if (!full_mesh_) {
    const auto tell = [this](std::size_t at, double sum) {
      own_rates_[at] += sum;
      own_rates_[at + 1] += 1;
    };
    // Classes that came by a reload have no place in the reports.
    if (job.class_index < shared_class_count_) tell(SharedEstimateIndex(job.class_index, -1), took);
    tell(SharedEstimateIndex(-1, w.kind), ratio);
  }
  w.pace_weight = std::min(w.pace_weight * std::exp((w.pace_at - now_) / kPaceDecayS) + 1, 16.0);
  w.pace += (ratio - w.pace) / w.pace_weight;
  w.pace_at = now_;
}

double LoadBalancerImpl::ThroughputOf(const Worker& w) const {
  return settings_.capacity_hints_valid ? w.capacity_hint : std::max(1.0, SlotsOf(w)) / PaceOf(w);
}

Forecast LoadBalancerImpl::ForecastFor(const Job& job, const Worker& w) const {
  const double run_s = ExpectedRun(job) * PaceOf(w);
  const double slots = SlotsOf(w);
  const bool silent = w.probed_at > w.heard_at && now_ - w.probed_at > kProbeTimeoutS / 2;
  Forecast forecast{.time_s = StartWaitOf(w), .no_capacity = silent};
  if (slots > 0) {  // what all dispatchers have in flight there, against what its kind can hold
    // A fresh report counts what all have in flight there; in a large tier the peers' slots are an
    // estimate.
    const double peers =
        full_mesh_ || now_ - w.reported_at > kLoadReportFreshS ? w.peer_slots_in_flight : 0;
    double need = w.slots_in_flight + peers + job.slots;
    if (job.memory > 0) {
      need = std::max(need, w.memory_in_flight + peers * memory_per_slot_.Or(0) + job.memory);
    }
    forecast.time_s = std::max(0.0, need - slots) / slots * all_run_.Or(run_s) * PaceOf(w);
    forecast.no_capacity |= need > slots;
  } else {
    const double need = w.slots_in_flight + job.slots;
    forecast.no_capacity |= w.slots_in_flight > 0 && need > w.slot_limit;
    if (forecast.no_capacity) forecast.time_s += run_s * need / std::max(w.slot_limit, 1.0);
  }
  if (now_ - w.reported_at < kLoadReportFreshS) {
    double free_slots = w.reported_free_slots - w.slots_sent_since_report;
    if (w.reported_free_memory != kInf) {
      free_slots = std::min(free_slots, w.reported_free_memory - job.memory + job.slots);
    }
    if (free_slots < job.slots - kSlotRounding) {
      forecast.no_capacity = true;
      forecast.time_s +=
          run_s * (job.slots - free_slots + w.reported_queued) / std::max(1.0, slots);
    }
  }
  forecast.time_s = run_s + forecast.time_s;
  return forecast;
}

}  // namespace millethollow::balancing
