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
  std::size_t most_jobs = 4096;
  double most_bytes = 64 << 20;  // of the bodies that wait
  double tenant_share = 0.5;     // of the room's jobs, the most that one tenant may fill
  // Held room. Without names, the classes worth more than the least worthy one may hold.
  std::vector<std::string> hold_classes;
  double hold_of_worker = 1.0;  // of a worker's slots, the most that is held for one job
  double hold_of_fleet = 0.1;   // of all slots, the most that all nodes together hold
  double hold_s = 5.0;          // how long one job holds room before it is broken off
  // How long a job waits for room in its own zone where crossing has a price. Not at all while more
  // jobs wait than the zone frees slots in that time.
  double zone_patience_s = 0.07;
  double memory_per_slot = 1.0;  // of a worker whose memory is not told; 0: memory binds nothing
};

}  // namespace millethollow::scheduling

#endif  // MILLETHOLLOW_SCHEDULING_OPTIONS_H_
