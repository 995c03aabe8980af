// The interface between forwarders and planners. A forwarder sends its events through PlannerLink
// and executes the commands that it receives through ForwarderPort. Both are implemented by direct
// calls within a process and by messages over a socket.
#ifndef MILLETHOLLOW_CORE_PLANNER_LINK_H_
#define MILLETHOLLOW_CORE_PLANNER_LINK_H_

#include <string>

#include "core/request.h"

namespace millethollow {

// Events from a forwarder to its planner. The attempts of a request are numbered from 0.
class PlannerLink {
 public:
  virtual ~PlannerLink() = default;
  // A client's request has arrived. The planner calls ForwarderPort::Answer for it exactly once,
  // unless it is cancelled first.
  virtual void OnRequest(const Request& request) = 0;
  // The client timed out or disconnected: no answer is due any more.
  virtual void OnRequestCancelled(RequestId id) = 0;
  // The worker has reported that it has started the attempt.
  virtual void OnAttemptStarted(RequestId id, int attempt) = 0;
  // The attempt has ended. Called once for each attempt, unless the planner has cancelled it.
  virtual void OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome) = 0;
  // The result of a probe.
  virtual void OnProbeAnswered(const std::string& worker, const Outcome& outcome) = 0;
  // A worker that connects to the forwarder itself (Gearman) has connected, is draining or has
  // disconnected.
  virtual void OnWorkerChanged(const balancing::Endpoint& endpoint) = 0;
};

// Commands from a planner to a forwarder.
class ForwarderPort {
 public:
  virtual ~ForwarderPort() = default;
  // Sends attempt number `attempt` of the request to the worker, or ends it as not sent once
  // `limit` has passed.
  virtual void Send(RequestId id, int attempt, const std::string& worker,
                    const DeliveryLimit& limit) = 0;
  // Cancels an attempt. The planner ignores any outcome that is reported for it afterwards.
  virtual void Cancel(RequestId id, int attempt) = 0;
  // Sends a health check to the worker.
  virtual void Probe(const std::string& worker) = 0;
  // Delivers the final answer of a request to its client.
  virtual void Answer(RequestId id, const FinalAnswer& answer) = 0;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_PLANNER_LINK_H_
