// Outlier detection: ejection of workers that fail, and their return.
#include <algorithm>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

// Duration of the first ejection and of the longest one; each further ejection doubles it.
constexpr double kBaseEjectionS = 2.0, kMaxEjectionS = 12.0;
// Limit on the ejected share of the ready workers; it covers the loss of one zone of two.
constexpr double kMaxEjectedShare = 0.7;
// Factor of a group's success rate at each failure. Random choices prefer groups (the workers of
// one kind in one zone) where attempts succeed. If the workers of a group fail one after the other,
// all of them are probably lost, and a dispatcher cannot find that out for each worker separately.
// Attempts in the group resume as its success rate recovers.
constexpr double kGroupFailureKeep = 0.75;

void LoadBalancerImpl::Eject(int worker_index) {
  Worker& worker = workers_[worker_index];
  estimates_.GroupSuccess(worker) *= kGroupFailureKeep;
  if (worker.ejected) return;
  worker.ejection_s = std::clamp(worker.ejection_s * 2, kBaseEjectionS, kMaxEjectionS);
  // If most of the fleet fails, workers are used as the endpoint list has them.
  if (workers_.ejected_count() + 1 > kMaxEjectedShare * workers_.ready_count()) return;
  worker.ejected = true;
  worker.probation = false;
  worker.ejected_until = now_ + worker.ejection_s * (0.8 + 0.4 * random_.Uniform());
  RebuildPools();
}

// Returns ejected workers whose time is over, in probation.
void LoadBalancerImpl::EndEjections() {
  bool changed = false;
  for (Worker& worker : workers_) {
    if (!worker.ejected || now_ < worker.ejected_until) continue;
    worker.ejected = false;
    worker.probation = changed = true;
    worker.slot_limit = 1;
    worker.error_rate = 0;
  }
  if (changed) RebuildPools();
}

}  // namespace millethollow::balancing
