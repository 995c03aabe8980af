// The one interface between the two levels. A forwarder reports through PlannerLink and carries out
// what comes through ForwarderPort. Both may be called in process or across a socket.
#ifndef MILLETHOLLOW_CORE_PLANNER_LINK_H_
#define MILLETHOLLOW_CORE_PLANNER_LINK_H_

#include <string>

#include "core/envelope.h"

namespace millethollow {

class PlannerLink {
 public:
  virtual ~PlannerLink() = default;
  virtual void Taken(const Envelope& envelope) = 0;
  virtual void SenderGone(EnvelopeId id) = 0;
  virtual void Began(EnvelopeId id, int attempt) = 0;
  virtual void Ended(EnvelopeId id, int attempt, const Outcome& outcome) = 0;
  virtual void Probed(const std::string& next_hop, const Outcome& outcome) = 0;
  // A next hop that connects to the forwarder by itself (Gearman) came, drains or went.
  virtual void NextHopChanged(const decksail::Member& member) = 0;
};

class ForwarderPort {
 public:
  virtual ~ForwarderPort() = default;
  virtual void Send(EnvelopeId id, int attempt, const std::string& next_hop) = 0;
  virtual void Cancel(EnvelopeId id, int attempt) = 0;
  virtual void Probe(const std::string& next_hop) = 0;
  virtual void Answer(EnvelopeId id, const FinalAnswer& answer) = 0;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_PLANNER_LINK_H_
