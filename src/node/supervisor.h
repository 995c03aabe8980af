// Supervisor of a two-level deployment: runs its processes and restarts those that exit.
#ifndef MILLETHOLLOW_NODE_SUPERVISOR_H_
#define MILLETHOLLOW_NODE_SUPERVISOR_H_

#include <functional>

#include "node/node.h"

namespace millethollow {

// Calls `run` in a child process for each planner and forwarder; its result is the child's exit
// status. On SIGTERM or SIGINT stops the forwarders first, and the planners once all forwarders
// have exited. Forwards SIGUSR1 to all children, and SIGHUP too if `reload` returns true: `reload`
// checks and loads the configuration in this process, so that children that are started later also
// have it. Returns the exit status: 0, or 1 if a child could not be kept running. Blocks the
// signals in the calling thread.
int Supervise(int planners, int forwarders, const std::function<int(Role)>& run,
              const std::function<bool()>& reload);

}  // namespace millethollow

#endif  // MILLETHOLLOW_NODE_SUPERVISOR_H_
