#include "balancing/worker_table.h"

#include <utility>

namespace millethollow::balancing {
namespace {

// A worker that is off the list for so long is forgotten. Else the table would grow with every name
// that a list ever carried.
constexpr double kForgetWorkerS = 300;
constexpr double kSlotResidue = 1e-6;  // below the least slots of a job

}  // namespace

int WorkerTable::Find(std::string_view name) const {
  const auto it = index_.find(name);
  return it == index_.end() ? -1 : it->second;
}

bool WorkerTable::IsIdle(const Worker& worker, double now_s) {
  return !worker.listed && !worker.out_of_service && !(worker.slots_in_flight > kSlotResidue) &&
         !(worker.memory_in_flight > kSlotResidue) && !(now_s - worker.seen_at < kForgetWorkerS);
}

int WorkerTable::Add(const std::string& name, int replaced) {
  Worker fresh{.name = name, .hash = HashText(name), .slot_limit = mean_slot_limit_};
  int index = replaced;
  if (replaced >= 0) {
    index_.erase(workers_[Idx(replaced)].name);
    workers_[Idx(replaced)] = std::move(fresh);
  } else {
    workers_.push_back(std::move(fresh));
    index = size() - 1;
  }
  index_.emplace(name, index);
  return index;
}

void WorkerTable::RebuildPools() {
  pools_.Rebuild(workers_);
  ready_count_ = ejected_count_ = 0;
  double limits = 0;
  for (const Worker& worker : workers_) {
    if (!worker.ready) continue;
    ready_count_ += 1;
    ejected_count_ += worker.ejected;
    limits += worker.slot_limit;
  }
  if (ready_count_ > 0) mean_slot_limit_ = limits / ready_count_;
  ++pool_version_;
}

}  // namespace millethollow::balancing
