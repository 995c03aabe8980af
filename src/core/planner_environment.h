// The services that a planner requires from the process that hosts it.
#ifndef MILLETHOLLOW_CORE_PLANNER_ENVIRONMENT_H_
#define MILLETHOLLOW_CORE_PLANNER_ENVIRONMENT_H_

#include <functional>
#include <optional>
#include <string>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow {

// Records attempts of durable jobs at other members before they are sent, so that a member that
// takes such a job over knows which workers may have run it.
class AttemptRecorder {
 public:
  // `recorded`: whether the record is stored, so that the attempt may be sent.
  using DoneCallback = std::function<void(bool recorded)>;
  // An attempt that is about to be sent.
  struct Attempt {
    std::string durable_job;  // the job's handle
    int number = 0;           // within the request, as in FinalAnswer::never_ran
    std::string worker;
    bool local_worker = false;  // the worker is connected to this process and unknown to others
    bool idempotent = false;    // the job may run twice
  };

  virtual ~AttemptRecorder() = default;
  // Records the attempt and calls `done` exactly once, possibly before returning, on the loop's
  // thread.
  virtual void Record(const Attempt& attempt, DoneCallback done) = 0;
};

// Implemented by the node, and by test doubles. Methods with a body are optional: the default is
// that of a process without the corresponding component. All are called on the loop's thread.
class PlannerEnvironment {
 public:
  virtual ~PlannerEnvironment() = default;

  // Seconds on the loop's clock, which never runs backwards.
  virtual double Now() = 0;

  // Starts or stops watching the endpoint list.
  virtual void Subscribe(bool /*enable*/) {}
  // Polls the endpoint list once.
  virtual void FetchEndpoints() {}
  // Whether the endpoint list is too old to be used. Attempts are then deferred until
  // Planner::OnEndpointsUpdated is called.
  virtual bool EndpointsOverdue() { return false; }

  // Sends a datagram to another dispatcher, identified by its index. It may be lost.
  virtual void SendPeerMessage(int /*recipient*/, const std::string& /*body*/) {}
  // This node's share of the fleet as agreed by the members of the cluster; nullopt without a
  // cluster.
  virtual std::optional<balancing::FleetShare> FleetShare() { return std::nullopt; }
  // Called when a request with this wire id has been accepted.
  virtual void OnWireIdReserved(const std::string& /*wire_id*/) {}
  // Called when the first attempt of such a request is handed to its forwarder.
  virtual void OnWireIdSent(const std::string& /*wire_id*/) {}
  // Returns null if the process has no durable jobs.
  virtual AttemptRecorder* attempt_recorder() { return nullptr; }

  // Logs a warning of one line.
  virtual void Log(const std::string& /*line*/) {}
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_PLANNER_ENVIRONMENT_H_
