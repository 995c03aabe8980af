// A worker as one dispatcher knows it: from the endpoint list, load reports and its own attempts.
#ifndef MILLETHOLLOW_BALANCING_WORKER_H_
#define MILLETHOLLOW_BALANCING_WORKER_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "balancing/support.h"
#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {

// The state of a worker. Times are seconds on the caller's clock, loads are slots and memory units.
struct Worker {
  std::string name;
  std::uint64_t hash = 0;
  bool ready = false;           // listed as ready and not out of service
  bool listed = false;          // ready by the endpoint list
  bool out_of_service = false;  // taken out of service by an operator
  int zone = 0, kind = 0, cell = 0;
  double capacity_hint = 1;  // relative to other workers
  double started_at_s = 0;   // 0: long ago
  double seen_at = 0;        // when an endpoint list last contained the worker
  double capacity_slots = 0, capacity_memory = 0;  // by the endpoint list; 0: not known
  double slots_in_flight = 0;                      // of this dispatcher
  double memory_in_flight = 0;                     // of this dispatcher
  double peer_slots_in_flight = 0;     // of the other dispatchers, by their latest usage reports
  double sibling_slots_in_flight = 0;  // the part of it that the sibling process has in flight
  double slot_limit = 1;               // learned limit on this dispatcher's slots in flight
  // The latest load report. Values that no report contained keep their defaults.
  double reported_free_slots = 0, reported_queued = 0, reported_in_flight = -1,
         reported_free_memory = kInf, reported_at = -kInf, slots_sent_since_report = 0;
  // Slowdown: run time over expected run time, as a mean whose weight (in samples) decays with
  // time. Start wait: from sending an attempt to its start, as observed last.
  double slowdown = 1, slowdown_weight = 0, slowdown_at = 0, start_wait_s = 0,
         start_wait_at = -kInf;
  // Outlier detection. A worker in probation gets one idempotent request at a time.
  double last_response_at = -kInf, probed_at = -kInf, ejected_until = -kInf, ejection_s = 0,
         error_rate = 0;
  bool ejected = false, probation = false;
  // Slow start: a token bucket of requests. A worker that returns to service goes through slow
  // start as after a restart, because the endpoint list may report a restart late.
  double slow_start_tokens = 0, slow_start_tokens_at = 0, returned_at = 0;
  std::uint64_t recent_keys[2] = {0, 0};  // the keys of the latest requests sent to the worker
  // Integral of the own slots in flight over time, from `slot_seconds_since` to `slot_seconds_at`.
  double slot_seconds = 0, slot_seconds_at = 0, slot_seconds_since = 0;

  // Whether the key was among the last sent to the worker.
  bool HasRecentKey(std::uint64_t key) const {
    return key != 0 && (recent_keys[0] == key || recent_keys[1] == key);
  }
  // Records an attempt that is sent to the worker. Returns whether the worker has received the
  // request's key recently.
  bool OnAttemptSent(double slots, double memory, std::uint64_t key, double now) {
    AccumulateSlotSeconds(now);
    slots_in_flight += slots;
    memory_in_flight += memory;
    slots_sent_since_report += slots;
    const bool had_recent_key = HasRecentKey(key);
    if (recent_keys[0] != key) recent_keys[1] = std::exchange(recent_keys[0], key);
    return had_recent_key;
  }
  // Records the end of an attempt at the worker.
  void OnAttemptEnded(double slots, double memory, double now) {
    AccumulateSlotSeconds(now);
    slots_in_flight = std::max(0.0, slots_in_flight - slots);
    memory_in_flight = std::max(0.0, memory_in_flight - memory);
  }
  // Extends the integral of the own slots in flight to `now`.
  void AccumulateSlotSeconds(double now) {
    slot_seconds += slots_in_flight * std::max(0.0, now - slot_seconds_at);
    slot_seconds_at = now;
  }
  // Returns the mean of the own slots in flight since the last call.
  double TakeMeanSlotsInFlight(double now) {
    AccumulateSlotSeconds(now);
    const double mean =
        now > slot_seconds_since ? slot_seconds / (now - slot_seconds_since) : slots_in_flight;
    slot_seconds = 0;
    slot_seconds_since = now;
    return mean;
  }

  template <typename Visitor>
  void Visit(Visitor& visitor) {  // fields transferred in a hot restart
    visitor(name, hash, zone, kind, cell, capacity_hint, started_at_s, listed, out_of_service,
            slot_limit, slowdown, slowdown_weight, slowdown_at, start_wait_s, start_wait_at);
    visitor(last_response_at, probed_at, ejected_until, ejection_s, error_rate, ejected, probation,
            slow_start_tokens, slow_start_tokens_at, returned_at);
  }

  // Takes over an entry of the endpoint list.
  void ApplyEndpoint(const Endpoint& endpoint, double now, int kind_count, int zone_count) {
    seen_at = now;
    zone = std::clamp(endpoint.zone, 0, zone_count - 1);
    kind = std::clamp(endpoint.kind, 0, kind_count - 1);
    cell = endpoint.cell;
    capacity_hint = endpoint.capacity_hint;
    capacity_slots = endpoint.slots;
    capacity_memory = endpoint.memory;
    started_at_s = std::max(endpoint.started_at_s, returned_at);
    listed = endpoint.readiness == Readiness::kReady;
    ready = listed && !out_of_service;
  }

  // The worker's number of slots by its load report. While a slot is free nothing is queued, so
  // everything in flight is running.
  double ImpliedSlots() const {
    return std::round(reported_free_slots + (reported_free_slots >= 1 && reported_in_flight > 0
                                                 ? reported_in_flight
                                                 : 0));
  }

  // Takes over a load report, whose values are in the order of `metrics`.
  void ApplyReport(double now, const std::vector<LoadMetric>& metrics, const double (&values)[4]) {
    reported_at = now;
    slots_sent_since_report = 0;
    reported_queued = -1;  // not reported
    for (std::size_t i = 0; i < metrics.size() && i < 4; ++i) {
      if (metrics[i] == LoadMetric::kFreeSlots) reported_free_slots = values[i];
      if (metrics[i] == LoadMetric::kInFlight) reported_in_flight = values[i];
      if (metrics[i] == LoadMetric::kQueued) reported_queued = values[i];
      if (metrics[i] == LoadMetric::kFreeMemory) reported_free_memory = values[i];
    }
  }
};

// Whether both workers are in the same deduplication scope, within which repeats of a request with
// an idempotency key are dropped.
inline bool InSameDeduplicationScope(DeduplicationScope scope, const Worker& first,
                                     const Worker& second) {
  return scope == DeduplicationScope::kAll ||
         (first.zone == second.zone &&
          (scope == DeduplicationScope::kZone || first.cell == second.cell));
}

// Indices of the workers that may receive requests, by kind and zone. A kind or zone of -1 stands
// for all.
class WorkerPools {
 public:
  WorkerPools(int kind_count, int zone_count)
      : kind_count_(std::max(1, kind_count)),
        zone_count_(std::max(1, zone_count)),
        pools_(PoolIndex(kind_count_ - 1, zone_count_ - 1) + 1) {}
  // Indices of the workers of a kind and zone.
  const std::vector<int>& Workers(int kind, int zone) const {
    return kind < kind_count_ && zone < zone_count_ ? pools_[PoolIndex(kind, zone)] : empty_pool_;
  }
  // Must be called after workers became ready or not ready, were ejected or returned.
  void Rebuild(const std::vector<Worker>& workers) {
    for (auto& pool : pools_) pool.clear();
    for (int index = 0; index < static_cast<int>(workers.size()); ++index) {
      const Worker& worker = workers[static_cast<std::size_t>(index)];
      if (!worker.ready || worker.ejected) continue;
      for (const int kind : {-1, worker.kind}) {
        pools_[PoolIndex(kind, -1)].push_back(index);
        pools_[PoolIndex(kind, worker.zone)].push_back(index);
      }
    }
  }

 private:
  std::size_t PoolIndex(int kind, int zone) const {
    const int index = (kind + 1) * (zone_count_ + 1) + zone + 1;
    return static_cast<std::size_t>(index);
  }
  int kind_count_, zone_count_;
  std::vector<std::vector<int>> pools_;
  std::vector<int> empty_pool_;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_WORKER_H_
