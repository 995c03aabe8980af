#include "balancing/worker_table.h"

#include <utility>

namespace millethollow::balancing {
namespace {

// A worker missing from the endpoint list for this long is forgotten. Otherwise the table would
// grow with every name that ever appeared in a list.
constexpr double kForgetWorkerS = 300;
// Rounding residue of slots in flight, less than any request needs.
constexpr double kSlotResidue = 1e-6;

}  // namespace

int WorkerTable::Find(std::string_view name) const {
  const auto entry = index_.find(name);
  return entry == index_.end() ? -1 : entry->second;
}

bool WorkerTable::IsIdle(const Worker& worker, double now_s) {
  return !worker.listed && !worker.out_of_service && !(worker.slots_in_flight > kSlotResidue) &&
         !(worker.memory_in_flight > kSlotResidue) && !(now_s - worker.seen_at < kForgetWorkerS);
}

int WorkerTable::Add(const std::string& name, int replaced) {
  Worker added{.name = name, .hash = HashText(name), .slot_limit = mean_slot_limit_};
  int index = replaced;
  if (replaced >= 0) {
    index_.erase(workers_[ToIndex(replaced)].name);
    workers_[ToIndex(replaced)] = std::move(added);
  } else {
    workers_.push_back(std::move(added));
    index = size() - 1;
  }
  index_.emplace(name, index);
  return index;
}

void WorkerTable::RebuildPools() {
  pools_.Rebuild(workers_);
  ready_count_ = ejected_count_ = 0;
  double slot_limit_sum = 0;
  for (const Worker& worker : workers_) {
    if (!worker.ready) continue;
    ready_count_ += 1;
    ejected_count_ += worker.ejected;
    slot_limit_sum += worker.slot_limit;
  }
  if (ready_count_ > 0) mean_slot_limit_ = slot_limit_sum / ready_count_;
  ++pool_version_;
}

}  // namespace millethollow::balancing
