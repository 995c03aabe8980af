// Options of the scheduler: limits of its queue and of reservations. The defaults suit a small
// fleet; the section `scheduling` of the configuration overrides them.
#ifndef MILLETHOLLOW_SCHEDULING_OPTIONS_H_
#define MILLETHOLLOW_SCHEDULING_OPTIONS_H_

#include <cstddef>
#include <string>
#include <vector>

namespace millethollow::scheduling {

struct Options {
  bool on = false;  // if off, the balancer rejects jobs that it can't place at once
  // Limits of the queue. A job that would exceed one of them is rejected.
  std::size_t max_queued_jobs = 4096;
  double max_queued_bytes = 64 << 20;  // sum of the bodies of queued jobs
  double max_tenant_share = 0.5;       // of max_queued_jobs, for one tenant
  // Names of the classes whose jobs may get reservations. If empty, these are all classes with more
  // than the lowest priority weight.
  std::vector<std::string> reserving_classes;
  double max_reserved_worker_share = 1.0;  // part of a worker's slots that one job may reserve
  double max_reserved_fleet_share = 0.1;   // part of all slots that all nodes together may reserve
  double reservation_timeout_s = 5.0;      // a reservation that lasts longer is cancelled
  // Time for which a job waits for a slot in the local zone before it may use a remote one. It does
  // not wait while more jobs are queued than the local zone is expected to free slots in that time.
  double local_zone_wait_s = 0.07;
  // Memory per slot that is assumed for a worker that reports none; 0 for unlimited memory.
  double memory_per_slot = 1.0;
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_OPTIONS_H_
