// A worker: what the endpoint list, its load reports and its attempts say about it.
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

// A worker as this dispatcher knows it. Times are seconds on the caller's clock.
struct Worker {
  std::string name;
  std::uint64_t hash = 0;
  bool ready = false;           // listed as ready and not out of service
  bool listed = false;          // the endpoint list says ready
  bool out_of_service = false;  // taken out by an operator
  int zone = 0, kind = 0, cell = 0;
  double capacity_hint = 1;                        // relative to other workers
  double started_at_s = 0;                         // 0: long ago
  double seen_at = 0;                              // last named by an endpoint list
  double capacity_slots = 0, capacity_memory = 0;  // as the list says; 0: not known
  double slots_in_flight = 0;                      // of this dispatcher
  double memory_in_flight = 0;                     // of this dispatcher
  double peer_slots_in_flight = 0;                 // of other dispatchers, by their last report
  double sibling_slots_in_flight = 0;              // of these, those of the sibling process
  double slot_limit = 1;                           // learned limit on own slots in flight
  // The last load report; values that no report gave keep their defaults.
  double reported_free_slots = 0, reported_queued = 0, reported_in_flight = -1,
         reported_free_memory = kInf, reported_at = -kInf, slots_sent_since_report = 0;
  // Pace: seconds taken per second expected; its weight in jobs fades with time. Then the last wait
  // of an attempt for its start.
  double pace = 1, pace_weight = 0, pace_at = 0, start_wait_s = 0, start_wait_at = -kInf;
  // Outlier detection. In probation it gets one idempotent job at a time.
  double heard_at = -kInf, probed_at = -kInf, ejected_until = -kInf, ejection_s = 0, error_rate = 0;
  bool ejected = false, probation = false;
  // Slow start: token bucket in jobs. A worker put back into service warms up as after a start,
  // which the list may report late.
  double slow_start_tokens = 0, slow_start_tokens_at = 0, returned_at = 0;
  std::uint64_t recent_keys[2] = {0, 0};  // the last keys sent there
  double slot_seconds = 0, slot_seconds_at = 0,
         slot_seconds_since = 0;  // own slots in flight over time

  bool HasRecentKey(std::uint64_t key) const {
    return key != 0 && (recent_keys[0] == key || recent_keys[1] == key);
  }
  // Counts an attempt sent there. Returns whether its key was among the last sent there.
  bool OnSent(double slots, double mem, std::uint64_t key, double now) {
    AccumulateSlotSeconds(now);
    slots_in_flight += slots;
    memory_in_flight += mem;
    slots_sent_since_report += slots;
    const bool warm = HasRecentKey(key);
    if (recent_keys[0] != key) recent_keys[1] = std::exchange(recent_keys[0], key);
    return warm;
  }
  void OnEnded(double slots, double mem, double now) {
    AccumulateSlotSeconds(now);
    slots_in_flight = std::max(0.0, slots_in_flight - slots);
    memory_in_flight = std::max(0.0, memory_in_flight - mem);
  }
  void AccumulateSlotSeconds(double now) {
    slot_seconds += slots_in_flight * std::max(0.0, now - slot_seconds_at);
    slot_seconds_at = now;
  }
  // Mean of own slots in flight since the last call.
  double TakeMeanSlotsInFlight(double now) {
    AccumulateSlotSeconds(now);
    const double mean =
        now > slot_seconds_since ? slot_seconds / (now - slot_seconds_since) : slots_in_flight;
    slot_seconds = 0;
    slot_seconds_since = now;
    return mean;
  }

  template <typename Visitor>
  void Visit(Visitor& v) {  // handed over in a hot restart
    v(name, hash, zone, kind, cell, capacity_hint, started_at_s, listed, out_of_service, slot_limit,
      pace, pace_weight, pace_at, start_wait_s, start_wait_at);
    v(heard_at, probed_at, ejected_until, ejection_s, error_rate, ejected, probation,
      slow_start_tokens, slow_start_tokens_at, returned_at);
  }

  void ApplyEndpoint(const Endpoint& m, double now, int kinds, int zones) {
    seen_at = now;
    zone = std::clamp(m.zone, 0, zones - 1);
    kind = std::clamp(m.kind, 0, kinds - 1);
    cell = m.cell;
    capacity_hint = m.capacity_hint;
    capacity_slots = m.slots;
    capacity_memory = m.memory;
    started_at_s = std::max(m.started_at_s, returned_at);
    listed = m.readiness == Readiness::kReady;
    ready = listed && !out_of_service;
  }

  // Slots by its report: where a slot is free nothing is queued, so all that it holds runs.
  double ImpliedSlots() const {
    return std::round(reported_free_slots + (reported_free_slots >= 1 && reported_in_flight > 0
                                                 ? reported_in_flight
                                                 : 0));
  }

  void ApplyReport(double now, const std::vector<LoadMetric>& columns, const double (&values)[4]) {
    reported_at = now;
    slots_sent_since_report = 0;
    reported_queued = -1;  // not reported
    for (std::size_t i = 0; i < columns.size() && i < 4; ++i) {
      if (columns[i] == LoadMetric::kFreeSlots) reported_free_slots = values[i];
      if (columns[i] == LoadMetric::kInFlight) reported_in_flight = values[i];
      if (columns[i] == LoadMetric::kQueued) reported_queued = values[i];
      if (columns[i] == LoadMetric::kFreeMemory) reported_free_memory = values[i];
    }
  }
};

// Whether the two workers drop repeats of one keyed job.
inline bool InSameDeduplicationGroup(DeduplicationScope group, const Worker& a, const Worker& b) {
  return group == DeduplicationScope::kAll ||
         (a.zone == b.zone && (group == DeduplicationScope::kZone || a.cell == b.cell));
}

// Indices of the workers that may get jobs, by kind and zone; -1 for any.
class WorkerPools {
 public:
  WorkerPools(int kinds, int zones)
      : kinds_(std::max(1, kinds)),
        zones_(std::max(1, zones)),
        pools_(PoolIndex(kinds_ - 1, zones_ - 1) + 1) {}
  const std::vector<int>& Workers(int kind, int zone) const {
    return kind < kinds_ && zone < zones_ ? pools_[PoolIndex(kind, zone)] : none_;
  }
  void Rebuild(const std::vector<Worker>& workers) {
    for (auto& pool : pools_) pool.clear();
    for (int w = 0; w < static_cast<int>(workers.size()); ++w) {
      const Worker& worker = workers[static_cast<std::size_t>(w)];
      if (!worker.ready || worker.ejected) continue;
      for (const int kind : {-1, worker.kind}) {
        pools_[PoolIndex(kind, -1)].push_back(w);
        pools_[PoolIndex(kind, worker.zone)].push_back(w);
      }
    }
  }

 private:
  std::size_t PoolIndex(int kind, int zone) const {
    const int slot = (kind + 1) * (zones_ + 1) + zone + 1;
    return static_cast<std::size_t>(slot);
  }
  int kinds_, zones_;
  std::vector<std::vector<int>> pools_;
  std::vector<int> none_;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_WORKER_H_
