// What a planner needs of the process around it.
#ifndef MILLETHOLLOW_CORE_PLANNER_ENVIRONMENT_H_
#define MILLETHOLLOW_CORE_PLANNER_ENVIRONMENT_H_

#include <functional>
#include <optional>
#include <string>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow {

// Records attempts of durable jobs at other members before they are made, so that whoever takes
// such a job over knows where it may have run.
class AttemptRecorder {
 public:
  // `recorded`: the attempt may be made.
  using Done = std::function<void(bool recorded)>;
  struct Attempt {
    std::string durable_job;  // its handle
    std::string worker;
    bool local_worker = false;  // the worker is connected to this process, and unknown to others
    bool idempotent = false;    // the job may run twice
  };

  virtual ~AttemptRecorder() = default;
  // Calls `done` once, at once or later, on the loop's thread.
  virtual void Record(const Attempt& attempt, Done done) = 0;
};

// Methods with a body are optional: their default is that of a process without that part. All are
// called on the loop's thread.
class PlannerEnvironment {
 public:
  virtual ~PlannerEnvironment() = default;

  // Seconds on the loop's clock, which never runs backwards.
  virtual double Now() = 0;

  // Starts or stops the watch of the endpoint list.
  virtual void Subscribe(bool /*enable*/) {}
  // Polls the endpoint list once.
  virtual void FetchEndpoints() {}
  // The endpoint list is older than it may be: attempts wait until OnEndpointsUpdated.
  virtual bool EndpointsOverdue() { return false; }

  // Sends a datagram; it may be lost.
  virtual void SendPeerMessage(int /*recipient*/, const std::string& /*body*/) {}
  // The share of the fleet that the cluster's members agreed on. None: there is no cluster.
  virtual std::optional<balancing::FleetShare> FleetShare() { return std::nullopt; }
  // A request with this wire id was accepted.
  virtual void OnWireIdTaken(const std::string& /*wire_id*/) {}
  // Null: there are no durable jobs.
  virtual AttemptRecorder* attempt_recorder() { return nullptr; }

  // A warning, one line.
  virtual void Log(const std::string& /*line*/) {}
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_PLANNER_ENVIRONMENT_H_
