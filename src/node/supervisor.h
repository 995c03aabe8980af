// Runs the processes of a two-level deployment, and restarts those that die.
#ifndef MILLETHOLLOW_NODE_SUPERVISOR_H_
#define MILLETHOLLOW_NODE_SUPERVISOR_H_

#include <functional>

#include "node/node.h"

namespace millethollow {

// Calls `run` in a child process for each planner and forwarder; what it returns is the child's
// exit status. On SIGTERM and SIGINT stops the forwarders first, and the planners once these are
// gone. Passes SIGUSR1 on, and SIGHUP if `reload` returns true: it checks the configuration in this
// process, so that children that are started later have it too. Returns the exit status: 0, or 1
// after a child that could not be kept running. Blocks the signals in the calling thread.
int Supervise(int planners, int forwarders, const std::function<int(Role)>& run,
              const std::function<bool()>& reload);

}  // namespace millethollow

#endif  // MILLETHOLLOW_NODE_SUPERVISOR_H_
