// Outlier detection: ejection of workers that fail, and their return.
#include <algorithm>

#include "balancing/load_balancer_impl.h"

namespace millethollow::balancing {

constexpr double kBaseEjectionS = 2.0,
                 kMaxEjectionS = 12.0;  // first ejection, doubled with each further one
constexpr double kMaxEjectedShare =
    0.7;  // of the ready workers: covers the loss of one zone of two
// Samples go where attempts succeed, by kind and zone. Workers that fail one after the other there
// are lost: no dispatcher could find each of them out by itself. Trials go on as it recovers.
constexpr double kGroupFailureKeep = 0.75;

void LoadBalancerImpl::Eject(int index) {
  Worker& w = workers_[index];
  estimates_.GroupSuccess(w) *= kGroupFailureKeep;
  if (w.ejected) return;
  w.ejection_s = std::clamp(w.ejection_s * 2, kBaseEjectionS, kMaxEjectionS);
  // Never most of the fleet: then the endpoint list is the better guide.
  if (workers_.ejected_count() + 1 > kMaxEjectedShare * workers_.ready_count()) return;
  w.ejected = true;
  w.probation = false;
  w.ejected_until = now_ + w.ejection_s * (0.8 + 0.4 * random_.Unit());
  RebuildPools();
}

void LoadBalancerImpl::EndEjections() {  // ejected workers return in probation
  bool changed = false;
  for (Worker& w : workers_) {
    if (!w.ejected || now_ < w.ejected_until) continue;
    w.ejected = false;
    w.probation = changed = true;
    w.slot_limit = 1;
    w.error_rate = 0;
  }
  if (changed) RebuildPools();
}

}  // namespace millethollow::balancing
