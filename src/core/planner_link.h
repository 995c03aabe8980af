// The one interface between the two levels. A forwarder reports through PlannerLink and carries out
// what comes through ForwarderPort. Both may be called in process or across a socket.
#ifndef MILLETHOLLOW_CORE_PLANNER_LINK_H_
#define MILLETHOLLOW_CORE_PLANNER_LINK_H_

#include <string>

#include "core/request.h"

namespace millethollow {

class PlannerLink {
 public:
  virtual ~PlannerLink() = default;
  virtual void OnRequest(const Request& request) = 0;
  virtual void OnRequestCancelled(RequestId id) = 0;
  virtual void OnAttemptStarted(RequestId id, int attempt) = 0;
  virtual void OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome) = 0;
  virtual void OnProbeAnswered(const std::string& worker, const Outcome& outcome) = 0;
  // A worker that connects to the forwarder by itself (Gearman) came, drains or went.
  virtual void OnWorkerChanged(const balancing::Endpoint& member) = 0;
};

class ForwarderPort {
 public:
  virtual ~ForwarderPort() = default;
  virtual void Send(RequestId id, int attempt, const std::string& worker) = 0;
  virtual void Cancel(RequestId id, int attempt) = 0;
  virtual void Probe(const std::string& worker) = 0;
  virtual void Answer(RequestId id, const FinalAnswer& answer) = 0;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_PLANNER_LINK_H_
