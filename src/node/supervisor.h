// Starts the processes of a two-level deployment, and starts again one that dies.
#ifndef MILLETHOLLOW_NODE_SUPERVISOR_H_
#define MILLETHOLLOW_NODE_SUPERVISOR_H_

#include <functional>
#include <vector>

#include "node/node.h"

namespace millethollow {

// Runs `run` in a process of its own for each planner and forwarder until SIGTERM or SIGINT, which
// stops the forwarders first and the planners once these are gone. SIGUSR1 is passed on, and SIGHUP
// once `reload` has found the new file fit. Returns the exit status for the whole.
int Supervise(int planners, int forwarders, const std::function<int(Role)>& run,
              const std::function<bool()>& reload);

}  // namespace millethollow

#endif  // MILLETHOLLOW_NODE_SUPERVISOR_H_
