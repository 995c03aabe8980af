// The interface between forwarders and planners. A forwarder reports through PlannerLink and
// carries out what comes through ForwarderPort. Calls are made in process or travel over a socket.
#ifndef MILLETHOLLOW_CORE_PLANNER_LINK_H_
#define MILLETHOLLOW_CORE_PLANNER_LINK_H_

#include <string>

#include "core/request.h"

namespace millethollow {

// A forwarder's events. Attempts are numbered from 0 for each request.
class PlannerLink {
 public:
  virtual ~PlannerLink() = default;
  // The planner owes one ForwarderPort::Answer for it.
  virtual void OnRequest(const Request& request) = 0;
  // The client gave up or disconnected: no answer is owed any more.
  virtual void OnRequestCancelled(RequestId id) = 0;
  // The worker has reported that the attempt runs.
  virtual void OnAttemptStarted(RequestId id, int attempt) = 0;
  // Once for each attempt, unless the planner has cancelled it.
  virtual void OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome) = 0;
  virtual void OnProbeAnswered(const std::string& worker, const Outcome& outcome) = 0;
  // A worker that connects to the forwarder itself (Gearman) came, is draining or has gone.
  virtual void OnWorkerChanged(const balancing::Endpoint& endpoint) = 0;
};

// A planner's commands to a forwarder.
class ForwarderPort {
 public:
  virtual ~ForwarderPort() = default;
  virtual void Send(RequestId id, int attempt, const std::string& worker) = 0;
  // Stops an attempt. Its outcome is not expected any more; a report of it is ignored.
  virtual void Cancel(RequestId id, int attempt) = 0;
  // Sends a health check.
  virtual void Probe(const std::string& worker) = 0;
  // The final answer of a request, for its client.
  virtual void Answer(RequestId id, const FinalAnswer& answer) = 0;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_PLANNER_LINK_H_
