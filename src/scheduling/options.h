// How the waiting room and the holding of room are bounded. Defaults are for a small fleet; an
// operator's file sets others under `scheduling`.
#ifndef MILLETHOLLOW_SCHEDULING_OPTIONS_H_
#define MILLETHOLLOW_SCHEDULING_OPTIONS_H_

#include <cstddef>
#include <string>
#include <vector>

namespace millethollow::scheduling {

struct Options {
  bool on = false;
  // The waiting room. Beyond these a job is turned away by the module.
  std::size_t max_queued_jobs = 4096;
  double max_queued_bytes = 64 << 20;  // of the bodies that wait
  double max_tenant_share = 0.5;       // of the room's jobs, the most that one tenant may fill
  // Held room. Without names, the classes worth more than the least worthy one may hold.
  std::vector<std::string> reserving_classes;
  double max_reserved_worker_share = 1.0;  // of a worker's slots, the most that is held for one job
  double max_reserved_fleet_share = 0.1;   // of all slots, the most that all nodes together hold
  double reservation_timeout_s = 5.0;      // how long one job holds room before it is broken off
  // How long a job waits for room in its own zone where crossing has a price. Not at all while more
  // jobs wait than the zone frees slots in that time.
  double local_zone_wait_s = 0.07;
  double memory_per_slot = 1.0;  // of a worker whose memory is not told; 0: memory binds nothing
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_OPTIONS_H_
