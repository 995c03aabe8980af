// The table of workers that the endpoint list has named.
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

// Workers by index and by name, and the pools of those that may get jobs. A worker keeps its index
// while it is known; a forgotten one gives its index to a new one. Pools and counts are as of the
// last RebuildPools.
class WorkerTable {
 public:
  WorkerTable(int kinds, int zones) : pools_(kinds, zones) {}

  int size() const { return static_cast<int>(workers_.size()); }
  Worker& operator[](int index) { return workers_[Idx(index)]; }
  const Worker& operator[](int index) const { return workers_[Idx(index)]; }
  auto begin() { return workers_.begin(); }
  auto end() { return workers_.end(); }
  auto begin() const { return workers_.begin(); }
  auto end() const { return workers_.end(); }
  std::vector<Worker>* all() { return &workers_; }
  // -1: not known.
  int Find(std::string_view name) const;
  int IndexOf(const Worker& worker) const { return static_cast<int>(&worker - workers_.data()); }

  // The first worker that may be forgotten: off the list for long, with nothing in flight, and not
  // `in_use(index)`; -1: none.
  template <typename InUse>
  int FindForgettable(double now_s, InUse in_use) const {
    for (int i = 0; i < size(); ++i) {
      if (IsIdle((*this)[i], now_s) && !in_use(i)) return i;
    }
    return -1;
  }
  // Adds a worker, in place of the one at `replaced` unless that is -1. Returns its index.
  int Add(const std::string& name, int replaced);

  // To be called when a worker became ready or not ready, ejected or not.
  void RebuildPools();
  // Of a kind and zone, -1: any.
  const std::vector<int>& Selectable(int kind, int zone) const {
    return pools_.Workers(kind, zone);
  }
  std::uint64_t pool_version() const { return pool_version_; }  // changes with each rebuild
  int ready_count() const { return ready_count_; }              // ejected ones included
  int ejected_count() const { return ejected_count_; }
  double mean_slot_limit() const { return mean_slot_limit_; }

 private:
  friend struct StateTransfer;  // handed over in a hot restart
  static bool IsIdle(const Worker& worker, double now_s);

  std::vector<Worker> workers_;
  TextMap<int> index_;
  WorkerPools pools_;
  std::uint64_t pool_version_ = 0;
  int ready_count_ = 0, ejected_count_ = 0;
  double mean_slot_limit_ = 1;
};

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_WORKER_TABLE_H_
