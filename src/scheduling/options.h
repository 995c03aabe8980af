// Limits of the scheduler's queue and reservations. The defaults are for a small fleet; the section
// `scheduling` of the configuration sets others.
#ifndef MILLETHOLLOW_SCHEDULING_OPTIONS_H_
#define MILLETHOLLOW_SCHEDULING_OPTIONS_H_

#include <cstddef>
#include <string>
#include <vector>

namespace millethollow::scheduling {

struct Options {
  bool on = false;  // off: the balancer rejects what it can't place at once
  // The queue. Beyond these limits a job is rejected by the balancer.
  std::size_t max_queued_jobs = 4096;
  double max_queued_bytes = 64 << 20;  // of bodies
  double max_tenant_share = 0.5;       // of max_queued_jobs, for one tenant
  // Reservations. The classes that may have them; empty: those with more than the least priority
  // weight.
  std::vector<std::string> reserving_classes;
  double max_reserved_worker_share = 1.0;  // of a worker's slots, for one job
  double max_reserved_fleet_share = 0.1;   // of all slots, by all nodes together
  double reservation_timeout_s = 5.0;
  // How long a job waits for a slot in its own zone where crossing has a cost. It does not wait
  // while more jobs are queued than the zone frees slots in that time.
  double local_zone_wait_s = 0.07;
  // Memory of a worker that reports none; 0: its memory is unlimited.
  double memory_per_slot = 1.0;
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_OPTIONS_H_
