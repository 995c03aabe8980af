// Forecasts: how long a job would take at a worker, and whether the worker has capacity for it.
#include <algorithm>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kSlotRounding = 0.5;  // a report may be short of a slot by so much

double LoadBalancerImpl::LatencyObjectiveOf(const Job& job) const {
  const ClassSettings& c = ClassOf(job.class_index);
  return std::max(settings_.tick_s,
                  c.latency_objective_s + c.latency_objective_stretch * ExpectedRun(job));
}

// Relative to other workers: by the capacity hints of the list where they mean something, else by
// learned slots and pace.
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
      need = std::max(need, w.memory_in_flight + peers * estimates_.MemoryPerSlot() + job.memory);
    }
    forecast.time_s =
        std::max(0.0, need - slots) / slots * estimates_.MeanRunTime(run_s) * PaceOf(w);
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
