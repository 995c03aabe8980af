// Forecasts: how long a request would take at a worker, and whether the worker has capacity for it.
#include <algorithm>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kFreeSlotTolerance = 0.5;  // slots that a report may be short of the need

double LoadBalancerImpl::LatencyObjectiveOf(const Request& request) const {
  const ClassSettings& class_settings = ClassSettingsOf(request.class_index);
  return std::max(settings_.tick_s,
                  class_settings.latency_objective_s +
                      class_settings.latency_objective_stretch * ExpectedRunTime(request));
}

// Throughput relative to other workers: by the capacity hints of the endpoint list where they are
// valid, otherwise by learned slots and slowdown.
double LoadBalancerImpl::ThroughputOf(const Worker& worker) const {
  return settings_.capacity_hints_valid ? worker.capacity_hint
                                        : std::max(1.0, SlotsOf(worker)) / SlowdownOf(worker);
}

Forecast LoadBalancerImpl::ForecastFor(const Request& request, const Worker& worker) const {
  const double run_s = ExpectedRunTime(request) * SlowdownOf(worker);
  const double slots = SlotsOf(worker);
  const bool unresponsive =
      worker.probed_at > worker.last_response_at && now_ - worker.probed_at > kProbeTimeoutS / 2;
  Forecast forecast{.time_s = StartWaitOf(worker), .no_capacity = unresponsive};
  // Compares what all dispatchers have in flight at the worker with what its kind can hold.
  if (slots > 0) {
    // A recent report covers what all dispatchers have in flight; in a large tier the peers' slots
    // are only an estimate.
    const double peer_slots = full_mesh_ || now_ - worker.reported_at > kLoadReportFreshS
                                  ? worker.peer_slots_in_flight
                                  : 0;
    double needed_slots = worker.slots_in_flight + peer_slots + request.slots;
    if (request.memory > 0) {
      needed_slots =
          std::max(needed_slots, worker.memory_in_flight + peer_slots * estimates_.MemoryPerSlot() +
                                     request.memory);
    }
    forecast.time_s = std::max(0.0, needed_slots - slots) / slots * estimates_.MeanRunTime(run_s) *
                      SlowdownOf(worker);
    forecast.no_capacity |= needed_slots > slots;
  } else {
    const double needed_slots = worker.slots_in_flight + request.slots;
    forecast.no_capacity |= worker.slots_in_flight > 0 && needed_slots > worker.slot_limit;
    if (forecast.no_capacity)
      forecast.time_s += run_s * needed_slots / std::max(worker.slot_limit, 1.0);
  }
  if (now_ - worker.reported_at < kLoadReportFreshS) {
    double free_slots = worker.reported_free_slots - worker.slots_sent_since_report;
    if (worker.reported_free_memory != kInf) {
      free_slots =
          std::min(free_slots, worker.reported_free_memory - request.memory + request.slots);
    }
    if (free_slots < request.slots - kFreeSlotTolerance) {
      forecast.no_capacity = true;
      forecast.time_s +=
          run_s * (request.slots - free_slots + worker.reported_queued) / std::max(1.0, slots);
    }
  }
  forecast.time_s = run_s + forecast.time_s;
  return forecast;
}

}  // namespace millethollow::balancing
