// The table of the workers that the endpoint list has named.
#ifndef MILLETHOLLOW_BALANCING_WORKER_TABLE_H_
#define MILLETHOLLOW_BALANCING_WORKER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "balancing/support.h"
#include "balancing/worker.h"

namespace millethollow::balancing {

// Workers by index and by name, and pools of those that may receive requests. A worker keeps its
// index while it is in the table; the index of a forgotten worker is reused. Pools and counts are
// as of the last RebuildPools.
class WorkerTable {
 public:
  WorkerTable(int kind_count, int zone_count) : pools_(kind_count, zone_count) {}

  int size() const { return static_cast<int>(workers_.size()); }
  Worker& operator[](int index) { return workers_[ToIndex(index)]; }
  const Worker& operator[](int index) const { return workers_[ToIndex(index)]; }
  auto begin() { return workers_.begin(); }
  auto end() { return workers_.end(); }
  auto begin() const { return workers_.begin(); }
  auto end() const { return workers_.end(); }
  std::vector<Worker>* all() { return &workers_; }
  // Index of the worker; -1: not known.
  int Find(std::string_view name) const;
  int IndexOf(const Worker& worker) const { return static_cast<int>(&worker - workers_.data()); }

  // The first worker that may be forgotten: missing from the endpoint list for kForgetWorkerS, with
  // nothing in flight, and not `in_use(index)`. -1: none.
  template <typename InUse>
  int FindForgettable(double now_s, InUse in_use) const {
    for (int i = 0; i < size(); ++i) {
      if (IsIdle((*this)[i], now_s) && !in_use(i)) return i;
    }
    return -1;
  }
  // Adds a worker, in place of the one with the index `replaced` unless that is -1. Returns the new
  // worker's index.
  int Add(const std::string& name, int replaced);

  // Must be called after a worker became ready or not ready, was ejected or returned.
  void RebuildPools();
  // Indices of the workers of this kind and zone that may receive requests; -1 stands for any.
  const std::vector<int>& EligibleWorkers(int kind, int zone) const {
    return pools_.Workers(kind, zone);
  }
  std::uint64_t pool_version() const { return pool_version_; }  // changes with each rebuild
  int ready_count() const { return ready_count_; }              // ejected workers included
  int ejected_count() const { return ejected_count_; }
  double mean_slot_limit() const { return mean_slot_limit_; }

 private:
  friend struct StateTransfer;  // transferred in a hot restart
  static bool IsIdle(const Worker& worker, double now_s);

  std::vector<Worker> workers_;
  StringMap<int> index_;
  WorkerPools pools_;
  std::uint64_t pool_version_ = 0;
  int ready_count_ = 0, ejected_count_ = 0;
  double mean_slot_limit_ = 1;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_WORKER_TABLE_H_
